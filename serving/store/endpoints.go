package store

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

const endpointsFile = "endpoints.db"

// endpointsLayout bounds the file (16 MB), its log (256 kB) and its cache. It is a file of its own so that neither its
// writes nor its damage ever stand in the way of the replica's state.
var endpointsLayout = layout{schema: endpointsSchema, mostPages: 4096, checkpointPages: 64, cacheKilobytes: 64}

const endpointsSchema = `CREATE TABLE endpoint (id TEXT PRIMARY KEY, body BLOB NOT NULL, checksum INTEGER NOT NULL)
	WITHOUT ROWID;`

const (
	selectEndpoints = `SELECT body, checksum FROM endpoint`
	upsertEndpoint  = `INSERT OR REPLACE INTO endpoint VALUES (?, ?, ?)`
	deleteEndpoint  = `DELETE FROM endpoint WHERE id = ?`
	deleteEndpoints = `DELETE FROM endpoint`
)

// EndpointChanges is what has become of the endpoints since the last save.
type EndpointChanges struct {
	Changed  []state.Endpoint
	Removed  []string // by ID
	Snapshot bool     // Changed is everything
}

// EndpointStore keeps a copy of the table of endpoints. What it holds may be out of date by whatever came after the last
// save, and nothing may rest on it but a quicker start. It is safe for use by several goroutines.
type EndpointStore struct{ file *actor.Actor[endpointFile] }

// endpointFile is what only the goroutine that owns the file touches.
type endpointFile struct {
	folder string
	log    *zerolog.Logger
	sqlite *sqlite // nil before the first use and after an error
	closed bool    // for good
}

// OpenEndpointStore makes a store in a folder. The disk is first touched by Load or Save.
func OpenEndpointStore(folder string, log *zerolog.Logger) *EndpointStore {
	return &EndpointStore{file: actor.Start(&endpointFile{folder: folder, log: log})}
}

// Close closes the file. It doesn't wait for the disk.
func (e *EndpointStore) Close() {
	e.file.Send(func(f *endpointFile) {
		f.close()
		f.closed = true
		e.file.Stop()
	})
}

// Load returns the endpoints that were saved. Rows that can't be read are left out, and a damaged file is removed.
// Errors are the disk's.
func (e *EndpointStore) Load() ([]state.Endpoint, error) {
	type loaded struct {
		endpoints []state.Endpoint
		err       error
	}
	result, ok := actor.Call(e.file, func(f *endpointFile) (l loaded) {
		l.endpoints, l.err = f.load()
		return l
	})
	if !ok {
		return nil, errStopped
	}
	return result.endpoints, result.err
}

// Save returns once the changes would survive a loss of power. After an error what is saved is unknown: the next
// changes have to be complete.
func (e *EndpointStore) Save(changes EndpointChanges) error {
	err, ok := actor.Call(e.file, func(f *endpointFile) error { return f.save(changes) })
	if !ok {
		return errStopped
	}
	return err
}

func (f *endpointFile) load() ([]state.Endpoint, error) {
	endpoints, err := f.read()
	if !isDamage(err) {
		return endpoints, err
	}
	return nil, f.remove(err)
}

func (f *endpointFile) read() (endpoints []state.Endpoint, err error) {
	if err := f.open(); err != nil {
		return nil, err
	}
	rows, err := f.sqlite.connection.QueryContext(context.Background(), selectEndpoints)
	if err != nil {
		return nil, errors.Wrap(err, "read endpoints from store")
	}
	defer rows.Close()
	for rows.Next() {
		var body []byte
		var checksum int64
		if err := rows.Scan(&body, &checksum); err != nil {
			return nil, errors.Wrap(err, "read endpoint from store")
		}
		var endpoint state.Endpoint
		if xxhash.Sum64(body) == uint64(checksum) && cbor.Unmarshal(body, &endpoint) == nil {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints, errors.Wrap(rows.Err(), "read endpoints from store")
}

func (f *endpointFile) save(changes EndpointChanges) error {
	if err := f.open(); err != nil {
		if isDamage(err) {
			return errors.CombineErrors(err, f.remove(err))
		}
		return err
	}
	err := f.sqlite.transact(func() error { return f.write(changes) })
	if isDamage(err) {
		return errors.CombineErrors(err, f.remove(err))
	}
	return err
}

func (f *endpointFile) write(changes EndpointChanges) error {
	if changes.Snapshot {
		if err := f.sqlite.execute(deleteEndpoints); err != nil {
			return err
		}
	}
	for _, endpoint := range changes.Changed {
		body, err := cbor.Marshal(endpoint)
		if err != nil {
			return errors.Wrap(err, "encode endpoint")
		}
		if err := f.sqlite.execute(upsertEndpoint, endpoint.ID, body, int64(xxhash.Sum64(body))); err != nil {
			return err
		}
	}
	for _, id := range changes.Removed {
		if err := f.sqlite.execute(deleteEndpoint, id); err != nil {
			return err
		}
	}
	return nil
}

// open opens the file unless it is open.
func (f *endpointFile) open() error {
	switch {
	case f.closed:
		return errStopped
	case f.sqlite != nil:
		return nil
	}
	opened, err := openSQLite(filepath.Join(f.folder, endpointsFile), endpointsLayout)
	if err != nil {
		return err
	}
	f.sqlite = opened
	return syncFolder(f.folder)
}

func (f *endpointFile) close() {
	if f.sqlite != nil {
		f.sqlite.close()
		f.sqlite = nil
	}
}

// remove takes a damaged file away: it was a copy.
func (f *endpointFile) remove(cause error) error {
	event.EndpointStoreRemoved.Log(f.log).Err(cause).Send()
	f.close()
	path := filepath.Join(f.folder, endpointsFile)
	for _, name := range []string{path, path + "-wal"} {
		if err := os.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Wrap(err, "remove damaged endpoints")
		}
	}
	return nil
}
