// Package store keeps the state of a replica, and a copy of the endpoints, in SQLite files in the process's directory.
//
// One goroutine owns each file and works through a queue; only callers that load or save wait for the disk. The files
// are in write-ahead mode, opened exclusively (no shared memory), and each save is synced before it returns. A corrupt
// file of the replica is quarantined: the replica then has lost its disk, and rejoins under a new ID.
package store

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/register"
)

const (
	replicaFileName = "register.db"
	// quarantineSuffix is the suffix of a corrupt file. Only the newest one is kept: the disk is small.
	quarantineSuffix = ".damaged"
	// logSuffix is the suffix of SQLite's write-ahead log.
	logSuffix = "-wal"
)

// errClosed is returned after Close.
var errClosed = errors.New("store is closed")

// Store keeps the state of a replica. It implements register.Storage and is safe for concurrent use.
type Store struct {
	file *actor.Actor[replicaFile]
}

var _ register.Storage = (*Store)(nil)

// replicaFile is owned by the goroutine that uses the disk.
type replicaFile struct {
	databaseFile[*replicaDatabase]
}

// Open returns a store in a directory. The disk is first used by Load or Save, so that a failing disk doesn't delay the
// start of the process.
func Open(directory string, log *zerolog.Logger) *Store {
	file := &replicaFile{newDatabaseFile[*replicaDatabase](directory, log)}
	return &Store{file: actor.Start(file)}
}

// Close closes the file, without waiting for the disk.
func (s *Store) Close() {
	s.file.Send(func(f *replicaFile) {
		f.closeForGood()
		s.file.Stop()
	})
}

// Load returns the state that was saved last, and false if there is none. It returns register.ErrStateLost, once, if
// there was one and the file is corrupt. After other errors, which are those of the disk, another call may succeed.
func (s *Store) Load() (saved register.AcceptorState, found bool, err error) {
	type result struct {
		state register.AcceptorState
		found bool
		err   error
	}
	loaded, ok := actor.Call(s.file, func(f *replicaFile) result {
		state, found, err := f.load()
		return result{state: state, found: found, err: err}
	})
	if !ok {
		return register.AcceptorState{}, false, errClosed
	}
	return loaded.state, loaded.found, loaded.err
}

// Save returns once the state would survive a power failure. After an error it may or may not have been saved.
func (s *Store) Save(next register.AcceptorState) error {
	err, ok := actor.Call(s.file, func(f *replicaFile) error { return f.save(&next) })
	if !ok {
		return errClosed
	}
	return err
}

// load reads the state, and quarantines a corrupt file.
func (f *replicaFile) load() (register.AcceptorState, bool, error) {
	state, found, err := f.read()
	if !isCorruption(err) {
		return state, found, err
	}
	event.StoreMovedAside.Log(f.log).Err(err).Send()
	f.close()
	if err := f.quarantine(); err != nil {
		return register.AcceptorState{}, false, err
	}
	return register.AcceptorState{}, false, register.ErrStateLost
}

func (f *replicaFile) read() (register.AcceptorState, bool, error) {
	if err := f.open(); err != nil {
		return register.AcceptorState{}, false, err
	}
	return f.database.load()
}

func (f *replicaFile) save(next *register.AcceptorState) error {
	if err := f.open(); err != nil {
		return err
	}
	return f.database.save(next)
}

// open opens the file unless it is open.
func (f *replicaFile) open() error {
	if f.closed {
		return errClosed
	}
	if f.isOpen() {
		return nil
	}
	opened, err := openReplicaDatabase(filepath.Join(f.directory, replicaFileName))
	if err != nil {
		return err
	}
	if err := syncDirectory(f.directory); err != nil {
		opened.close()
		return err
	}
	f.database = opened
	return nil
}

// quarantine renames the corrupt file and removes its log. The log is removed last: the file without it could be read
// again with an old state, and the replica would have forgotten its votes. A log that is left over without its file
// either restores the newest state or is found to be corrupt once more.
func (f *replicaFile) quarantine() error {
	path := filepath.Join(f.directory, replicaFileName)
	if err := os.Rename(path, path+quarantineSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "move damaged store aside")
	}
	if err := syncDirectory(f.directory); err != nil {
		return err
	}
	if err := os.Remove(path + logSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove log of damaged store")
	}
	return syncDirectory(f.directory)
}

// syncDirectory makes the creation, renaming and removal of files in a directory durable.
func syncDirectory(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return errors.Wrap(err, "open store directory")
	}
	return errors.Wrap(errors.CombineErrors(opened.Sync(), opened.Close()), "sync store directory")
}
