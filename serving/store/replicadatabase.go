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

// replicaFileLayout limits the file to 32 MB, its write-ahead log to 1 MB, and SQLite's cache.
var replicaFileLayout = fileLayout{
	schema:          replicaSchema,
	maxPages:        8192,
	checkpointPages: 256,
	cacheKilobytes:  256,
}

// replicaSchema has one row in each table. The proposal has a separate table, so that saving a promise doesn't rewrite
// the proposal.
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
	upsertReplica  = `INSERT OR REPLACE INTO replica VALUES (1, ?, ?, ?, ?, ?)`
	upsertProposal = `INSERT OR REPLACE INTO proposal VALUES (1, ?, ?)`
)

// replicaDatabase is the open file of a replica's state.
type replicaDatabase struct {
	*sqliteFile
	// savedKey identifies the proposal in the file. savedKeyKnown is false before the first save and after a failed
	// one, when the content of the file is unknown.
	savedKey      proposalKey
	savedKeyKnown bool
}

// proposalKey identifies the content of the proposal table. The ballot is sufficient for the accepted proposal, since a
// replica accepts at most one proposal under each ballot.
type proposalKey struct {
	replicaID       string
	accepted        register.Ballot
	learnedRevision uint64
}

// storedProposal is the body of the proposal table: the accepted proposal, and the newest committed record that the
// replica has stored as a learner.
type storedProposal struct {
	register.Proposal
	Learned state.Record `cbor:"4,keyasint,omitzero"`
}

// openReplicaDatabase opens or creates the file. If isCorruption is true for the returned error, the file is unusable.
func openReplicaDatabase(path string) (*replicaDatabase, error) {
	opened, err := openSQLite(path, replicaFileLayout)
	if err != nil {
		return nil, err
	}
	return &replicaDatabase{sqliteFile: opened}, nil
}

// load reads the state. It returns false if none was saved.
func (d *replicaDatabase) load() (saved register.AcceptorState, found bool, err error) {
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
		return register.AcceptorState{}, false, errors.Wrap(errCorrupt, "proposal in store doesn't match its checksum")
	}
	saved.Promised.Number = uint64(promised)
	saved.Accepted.Number = uint64(accepted)
	var stored storedProposal
	if err := cbor.Unmarshal(body, &stored); err != nil {
		return register.AcceptorState{}, false, errors.Mark(errors.Wrap(err, "decode proposal from store"), errCorrupt)
	}
	saved.Proposal = stored.Proposal
	saved.Learned = stored.Learned
	return saved, true, nil
}

// save writes the state in one transaction. The proposal is written only if it has changed.
func (d *replicaDatabase) save(next *register.AcceptorState) error {
	key := proposalKey{
		replicaID:       next.ReplicaID,
		accepted:        next.Accepted,
		learnedRevision: next.Learned.Revision,
	}
	proposalChanged := !d.savedKeyKnown || key != d.savedKey
	d.savedKeyKnown = false
	err := d.runTransaction(func() error {
		if proposalChanged {
			if err := d.writeProposal(next); err != nil {
				return err
			}
		}
		return d.execute(upsertReplica,
			next.ReplicaID,
			int64(next.Promised.Number), next.Promised.Proposer,
			int64(next.Accepted.Number), next.Accepted.Proposer)
	})
	if err != nil {
		return err
	}
	d.savedKey = key
	d.savedKeyKnown = true
	return nil
}

func (d *replicaDatabase) writeProposal(next *register.AcceptorState) error {
	body, err := cbor.Marshal(&storedProposal{Proposal: next.Proposal, Learned: next.Learned})
	if err != nil {
		return errors.Wrap(err, "encode proposal")
	}
	return d.execute(upsertProposal, body, int64(xxhash.Sum64(body)))
}
