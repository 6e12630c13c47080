// Package store keeps the state of a replica in one SQLite file in the process's folder on disk.
//
// One goroutine owns the file and works through a queue; only those who load or save wait for the disk. The file is
// in write-ahead mode, opened exclusively (no shared memory), and every save is synced before it returns. A file that
// is damaged is moved aside: the replica has then lost its disk, and comes back under a new ID.
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
	fileName = "register.db"
	// damagedSuffix marks a file that was moved aside. Only the newest is kept: the disk is small.
	damagedSuffix = ".damaged"
)

// errStopped is returned after Close.
var errStopped = errors.New("store is closed")

// Store keeps the state of a replica. It implements register.Storage and is safe for use by several goroutines.
type Store struct {
	files *actor.Actor[files]
}

// files is what only the goroutine that owns the disk touches.
type files struct {
	folder   string
	log      *zerolog.Logger
	database *database // nil before the first use and after an error
	closed   bool      // for good
}

// Open makes a store in a folder. The disk is first touched by Load or Save, so that a disk in trouble doesn't hold
// up the process's start.
func Open(folder string, log *zerolog.Logger) *Store {
	return &Store{files: actor.Start(&files{folder: folder, log: log})}
}

// Close closes the file. It doesn't wait for the disk.
func (s *Store) Close() {
	s.files.Send(func(f *files) {
		f.close()
		f.closed = true
		s.files.Stop()
	})
}

// Load returns the state that was saved last; found is false where there is none. register.ErrDamaged says that there
// was one and it is lost; it is told once. After other errors, which are the disk's, another try may succeed.
func (s *Store) Load() (saved register.AcceptorState, found bool, err error) {
	type loaded struct {
		state register.AcceptorState
		found bool
		err   error
	}
	result, ok := actor.Call(s.files, func(f *files) loaded {
		state, found, err := f.load()
		return loaded{state, found, err}
	})
	if !ok {
		return register.AcceptorState{}, false, errStopped
	}
	return result.state, result.found, result.err
}

// Save returns once the state would survive a loss of power. After an error it may or may not be saved.
func (s *Store) Save(next register.AcceptorState) error {
	err, ok := actor.Call(s.files, func(f *files) error { return f.save(&next) })
	if !ok {
		return errStopped
	}
	return err
}

// load reads the state, after moving a damaged file aside.
func (f *files) load() (register.AcceptorState, bool, error) {
	state, found, err := f.read()
	if !isDamage(err) {
		return state, found, err
	}
	event.StoreMovedAside.Log(f.log).Err(err).Send()
	f.close()
	if err := f.moveAside(); err != nil {
		return register.AcceptorState{}, false, err
	}
	return register.AcceptorState{}, false, register.ErrStateLost
}

func (f *files) read() (register.AcceptorState, bool, error) {
	if err := f.open(); err != nil {
		return register.AcceptorState{}, false, err
	}
	return f.database.load()
}

func (f *files) save(next *register.AcceptorState) error {
	if err := f.open(); err != nil {
		return err
	}
	return f.database.save(next)
}

// open opens the file unless it is open.
func (f *files) open() error {
	switch {
	case f.closed:
		return errStopped
	case f.database != nil:
		return nil
	}
	opened, err := openDatabase(filepath.Join(f.folder, fileName))
	if err != nil {
		return err
	}
	if err := syncFolder(f.folder); err != nil {
		opened.close()
		return err
	}
	f.database = opened
	return nil
}

func (f *files) close() {
	if f.database != nil {
		f.database.close()
		f.database = nil
	}
}

// moveAside renames the damaged file and removes its log. The log goes last: without it the file could be read again
// as it was long ago, and a replica would have forgotten its votes. A log that is left over without its file either
// brings back the newest state or shows as damage once more.
func (f *files) moveAside() error {
	path := filepath.Join(f.folder, fileName)
	if err := os.Rename(path, path+damagedSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "move damaged store aside")
	}
	if err := syncFolder(f.folder); err != nil {
		return err
	}
	if err := os.Remove(path + "-wal"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove log of damaged store")
	}
	return syncFolder(f.folder)
}

// syncFolder makes new, renamed and removed names in a folder last.
func syncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open store folder")
	}
	return errors.Wrap(errors.CombineErrors(opened.Sync(), opened.Close()), "sync store folder")
}

var _ register.Storage = (*Store)(nil)
