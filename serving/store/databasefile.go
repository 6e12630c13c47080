package store

import "github.com/rs/zerolog"

// closer is a pointer to an open database.
type closer interface {
	comparable
	close()
}

// databaseFile is the state that the files of all stores have in common. It is owned by the goroutine that uses the
// disk.
type databaseFile[Database closer] struct {
	directory string
	log       *zerolog.Logger
	database  Database // nil before the first use and after corruption
	closed    bool     // for good
}

func newDatabaseFile[Database closer](directory string, log *zerolog.Logger) databaseFile[Database] {
	return databaseFile[Database]{directory: directory, log: log}
}

func (f *databaseFile[Database]) isOpen() bool {
	var none Database
	return f.database != none
}

// close closes the database if it is open. It is opened again by its next use.
func (f *databaseFile[Database]) close() {
	if !f.isOpen() {
		return
	}
	f.database.close()
	var none Database
	f.database = none
}

// closeForGood closes the database; its next use returns errClosed.
func (f *databaseFile[Database]) closeForGood() {
	f.close()
	f.closed = true
}
