package store

import "github.com/rs/zerolog"

// closer is implemented by pointers to an open database. A nil pointer stands for a closed one.
type closer interface {
	comparable
	close()
}

// databaseFile holds what the files of Store and EndpointStore have in common. Only the goroutine of the store's actor
// may access it.
type databaseFile[Database closer] struct {
	directory string
	log       *zerolog.Logger
	database  Database // nil before the first use and after corruption
	closed    bool     // by closeForGood; the file isn't opened again
}

func newDatabaseFile[Database closer](directory string, log *zerolog.Logger) databaseFile[Database] {
	return databaseFile[Database]{directory: directory, log: log}
}

func (f *databaseFile[Database]) isOpen() bool {
	var none Database
	return f.database != none
}

// close closes the database if it is open. The next load or save opens it again.
func (f *databaseFile[Database]) close() {
	if !f.isOpen() {
		return
	}
	f.database.close()
	var none Database
	f.database = none
}

// closeForGood closes the database. Later loads and saves return errClosed.
func (f *databaseFile[Database]) closeForGood() {
	f.close()
	f.closed = true
}
