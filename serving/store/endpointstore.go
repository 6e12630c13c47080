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

const endpointFileName = "endpoints.db"

// endpointFileLayout limits the file to 16 MB, its write-ahead log to 256 kB, and SQLite's cache. The file is separate
// from the replica's, so that neither writing it nor its corruption affects the replica's state.
var endpointFileLayout = fileLayout{
	schema:          endpointSchema,
	maxPages:        4096,
	checkpointPages: 64,
	cacheKilobytes:  64,
}

const endpointSchema = `CREATE TABLE endpoint (id TEXT PRIMARY KEY, body BLOB NOT NULL, checksum INTEGER NOT NULL)
	WITHOUT ROWID;`

const (
	selectEndpoints = `SELECT body, checksum FROM endpoint`
	upsertEndpoint  = `INSERT OR REPLACE INTO endpoint VALUES (?, ?, ?)`
	deleteEndpoint  = `DELETE FROM endpoint WHERE id = ?`
	deleteEndpoints = `DELETE FROM endpoint`
)

// EndpointChanges lists the changes of the endpoints since the last save.
type EndpointChanges struct {
	Changed  []state.Endpoint
	Removed  []string // by ID
	Snapshot bool     // Changed is the complete list and replaces all that was saved
}

// EndpointStore keeps a copy of the table of endpoints. Callers save an endpoint that accepts no new requests before
// they acknowledge that state. The states of all other endpoints may be out of date by the changes since the last save;
// they only make a restart faster. It is safe for concurrent use.
type EndpointStore struct{ file *actor.Actor[endpointFile] }

// endpointFile is the state of the store's actor; only the actor's goroutine may access it.
type endpointFile struct {
	databaseFile[*sqliteFile]
	directorySynced bool                         // since the file was opened, to make its creation durable
	syncDirectory   func(directory string) error // replaced in tests
}

// OpenEndpointStore returns a store that keeps its file in a directory. The first Load or Save opens the file.
func OpenEndpointStore(directory string, log *zerolog.Logger) *EndpointStore {
	file := &endpointFile{databaseFile: newDatabaseFile[*sqliteFile](directory, log), syncDirectory: syncDirectory}
	return &EndpointStore{file: actor.Start(file)}
}

// Close has the file closed in the background and doesn't wait for the disk.
func (s *EndpointStore) Close() {
	s.file.Send(func(f *endpointFile) {
		f.closeForGood()
		s.file.Stop()
	})
}

// Load returns the saved endpoints. It skips unreadable rows, and removes a corrupt file. The errors that it returns
// are those of the disk.
func (s *EndpointStore) Load() ([]state.Endpoint, error) {
	type result struct {
		endpoints []state.Endpoint
		err       error
	}
	loaded, ok := actor.Call(s.file, func(f *endpointFile) result {
		endpoints, err := f.load()
		return result{endpoints: endpoints, err: err}
	})
	if !ok {
		return nil, errClosed
	}
	return loaded.endpoints, loaded.err
}

// Save returns once the changes are synced, so that they survive a power failure. After an error it is unknown what was
// saved, and the caller has to save a snapshot next.
func (s *EndpointStore) Save(changes EndpointChanges) error {
	err, ok := actor.Call(s.file, func(f *endpointFile) error { return f.save(changes) })
	if !ok {
		return errClosed
	}
	return err
}

// load reads the endpoints. It removes the file if it is corrupt.
func (f *endpointFile) load() ([]state.Endpoint, error) {
	endpoints, err := f.read()
	if !isCorruption(err) {
		return endpoints, err
	}
	return nil, f.remove(err)
}

func (f *endpointFile) read() (endpoints []state.Endpoint, err error) {
	if err := f.open(); err != nil {
		return nil, err
	}
	rows, err := f.database.connection.QueryContext(context.Background(), selectEndpoints)
	if err != nil {
		return nil, errors.Wrap(err, "read endpoints from store")
	}
	defer func() { _ = rows.Close() }() // rows.Err returns errors of reading
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

// save writes the changes in one transaction. It removes the file if it is corrupt, and returns the error.
func (f *endpointFile) save(changes EndpointChanges) error {
	if err := f.open(); err != nil {
		if isCorruption(err) {
			return errors.CombineErrors(err, f.remove(err))
		}
		return err
	}
	err := f.database.runTransaction(func() error { return f.write(changes) })
	if isCorruption(err) {
		return errors.CombineErrors(err, f.remove(err))
	}
	return err
}

func (f *endpointFile) write(changes EndpointChanges) error {
	if changes.Snapshot {
		if err := f.database.execute(deleteEndpoints); err != nil {
			return err
		}
	}
	for _, endpoint := range changes.Changed {
		body, err := cbor.Marshal(endpoint)
		if err != nil {
			return errors.Wrap(err, "encode endpoint")
		}
		if err := f.database.execute(upsertEndpoint, endpoint.ID, body, int64(xxhash.Sum64(body))); err != nil {
			return err
		}
	}
	for _, id := range changes.Removed {
		if err := f.database.execute(deleteEndpoint, id); err != nil {
			return err
		}
	}
	return nil
}

// open opens the file unless it is already open, and syncs the directory once, so that the file's creation is durable.
// After an error the next call tries again.
func (f *endpointFile) open() error {
	if f.closed {
		return errClosed
	}
	if !f.isOpen() {
		opened, err := openSQLite(filepath.Join(f.directory, endpointFileName), endpointFileLayout)
		if err != nil {
			return err
		}
		f.database = opened
		f.directorySynced = false
	}
	if f.directorySynced {
		return nil
	}
	if err := f.syncDirectory(f.directory); err != nil {
		return err
	}
	f.directorySynced = true
	return nil
}

// remove deletes a corrupt file and its write-ahead log. This has the same effect as the loss of the disk; other
// members have copies of the endpoints.
func (f *endpointFile) remove(cause error) error {
	event.EndpointStoreRemoved.Log(f.log).Err(cause).Send()
	f.close()
	path := filepath.Join(f.directory, endpointFileName)
	for _, name := range []string{path, path + logSuffix} {
		if err := os.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Wrap(err, "remove corrupt endpoint store")
		}
	}
	return nil
}
