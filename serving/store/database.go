package store

import (
	"context"
	"database/sql"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// pageBytes is the size of a page of SQLite.
const pageBytes = 4096

// replicaLayout bounds the file (32 MB), its log (1 MB) and its cache.
var replicaLayout = layout{schema: replicaSchema, mostPages: 8192, checkpointPages: 256, cacheKilobytes: 256}

// replicaSchema has one row in each table. The proposal stands apart so that a promise doesn't write it anew.
const replicaSchema = `
CREATE TABLE replica (
	slot INTEGER PRIMARY KEY CHECK (slot = 1),
	id TEXT NOT NULL,
	promised_number INTEGER NOT NULL, promised_proposer TEXT NOT NULL,
	accepted_number INTEGER NOT NULL, accepted_proposer TEXT NOT NULL
);
CREATE TABLE proposal (
	slot INTEGER PRIMARY KEY CHECK (slot = 1),
	body BLOB NOT NULL,
	checksum INTEGER NOT NULL
);`

const (
	selectState = `SELECT id, promised_number, promised_proposer, accepted_number, accepted_proposer, body, checksum
		FROM replica JOIN proposal USING (slot)`
	upsertReplica = `INSERT OR REPLACE INTO replica VALUES (1, ?, ?, ?, ?, ?)`
	upsertBody    = `INSERT OR REPLACE INTO proposal VALUES (1, ?, ?)`
)

// database is the open file.
type database struct {
	*sqlite
	// written identifies the proposal in the file; unknown before the first save and after a failed one.
	written      proposalKey
	writtenKnown bool
}

// proposalKey identifies a proposal: a replica accepts one under each ballot.
type proposalKey struct {
	replicaID string
	accepted  register.Ballot
	learned   uint64 // revision
}

// storedBody is what the body of a proposal holds: beside it, the record that a learner keeps.
type storedBody struct {
	register.Proposal
	Learned state.Record `cbor:"4,keyasint,omitzero"`
}

// openDatabase opens or creates the file. Errors that satisfy isDamage mean that it is of no use.
func openDatabase(path string) (*database, error) {
	opened, err := openSQLite(path, replicaLayout)
	if err != nil {
		return nil, err
	}
	return &database{sqlite: opened}, nil
}

// load reads the state; found is false in a new file.
func (d *database) load() (saved register.AcceptorState, found bool, err error) {
	var promised, accepted, checksum int64
	var body []byte
	row := d.connection.QueryRowContext(context.Background(), selectState)
	err = row.Scan(&saved.ReplicaID, &promised, &saved.Promised.Proposer, &accepted, &saved.Accepted.Proposer,
		&body, &checksum)
	switch {
	case errors.Is(err, sql.ErrNoRows):
		return register.AcceptorState{}, false, nil
	case err != nil:
		return register.AcceptorState{}, false, errors.Wrap(err, "read state from store")
	case xxhash.Sum64(body) != uint64(checksum):
		return register.AcceptorState{}, false, errors.Wrap(errDamaged, "checksum of the proposal differs")
	}
	saved.Promised.Number, saved.Accepted.Number = uint64(promised), uint64(accepted)
	var stored storedBody
	if err := cbor.Unmarshal(body, &stored); err != nil {
		return register.AcceptorState{}, false, errors.Mark(errors.Wrap(err, "read proposal from store"), errDamaged)
	}
	saved.Proposal, saved.Learned = stored.Proposal, stored.Learned
	return saved, true, nil
}

// save writes the state in one transaction, which SQLite syncs. The proposal is written only where it is another one.
func (d *database) save(next *register.AcceptorState) error {
	key := proposalKey{replicaID: next.ReplicaID, accepted: next.Accepted, learned: next.Learned.Revision}
	writeBody := !d.writtenKnown || key != d.written
	d.writtenKnown = false
	err := d.transact(func() error {
		if writeBody {
			if err := d.writeBody(next); err != nil {
				return err
			}
		}
		return d.execute(upsertReplica, next.ReplicaID, int64(next.Promised.Number), next.Promised.Proposer,
			int64(next.Accepted.Number), next.Accepted.Proposer)
	})
	if err != nil {
		return err
	}
	d.written, d.writtenKnown = key, true
	return nil
}

func (d *database) writeBody(next *register.AcceptorState) error {
	body, err := cbor.Marshal(&storedBody{Proposal: next.Proposal, Learned: next.Learned})
	if err != nil {
		return errors.Wrap(err, "encode proposal")
	}
	return d.execute(upsertBody, body, int64(xxhash.Sum64(body)))
}
