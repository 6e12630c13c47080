package store

import (
	"context"
	"database/sql"
	"fmt"

	"github.com/cockroachdb/errors"
	_ "github.com/mattn/go-sqlite3" // the driver
)

const (
	// schemaVersion is stored in each file as PRAGMA user_version. A file with another version is treated as corrupt.
	schemaVersion = 1
	// pageSize is SQLite's page size in bytes.
	pageSize = 4096
)

// errCorrupt marks errors which show that a file's content can't be the result of committed transactions.
var errCorrupt = errors.New("store is corrupt")

// fileLayout is the schema of a file, with the limits of its size and of SQLite's cache.
type fileLayout struct {
	schema          string
	maxPages        int
	checkpointPages int // size of the write-ahead log that triggers a checkpoint
	cacheKilobytes  int
}

// pragmas returns the statements that prepare a connection. The exclusive locking mode is set before the write-ahead
// log is first used, so that SQLite keeps the log's index in heap memory instead of a shared-memory file.
func (l fileLayout) pragmas() []string {
	return []string{
		"PRAGMA locking_mode = EXCLUSIVE",
		"PRAGMA journal_mode = WAL",
		"PRAGMA synchronous = FULL",
		fmt.Sprintf("PRAGMA cache_size = -%d", l.cacheKilobytes),
		fmt.Sprintf("PRAGMA wal_autocheckpoint = %d", l.checkpointPages),
		fmt.Sprintf("PRAGMA journal_size_limit = %d", l.checkpointPages*pageSize),
		fmt.Sprintf("PRAGMA max_page_count = %d", l.maxPages),
		"PRAGMA temp_store = MEMORY",
		"PRAGMA mmap_size = 0",
	}
}

// sqliteFile is an open file with one connection. Statements run without a cancellable context, since it would be
// unknown whether a cancelled save was committed.
type sqliteFile struct {
	pool       *sql.DB
	connection *sql.Conn
}

// openSQLite opens or creates a file. If isCorruption is true for the returned error, the file is unusable.
func openSQLite(path string, layout fileLayout) (*sqliteFile, error) {
	pool, err := sql.Open("sqlite3", path)
	if err != nil {
		return nil, errors.Wrap(err, "open store")
	}
	pool.SetMaxOpenConns(1)
	connection, err := pool.Conn(context.Background())
	if err != nil {
		return nil, errors.Wrap(errors.CombineErrors(err, pool.Close()), "open store")
	}
	f := &sqliteFile{pool: pool, connection: connection}
	if err := f.initialize(layout); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// initialize prepares the connection, and creates the schema of a new file or checks an existing one.
func (f *sqliteFile) initialize(layout fileLayout) error {
	for _, pragma := range layout.pragmas() {
		if err := f.execute(pragma); err != nil {
			return err
		}
	}
	version, err := f.readSchemaVersion()
	switch {
	case err != nil:
		return err
	case version == 0:
		return f.createSchema(layout.schema)
	case version != schemaVersion:
		return errors.Mark(errors.Newf("store has schema version %d, want %d", version, schemaVersion), errCorrupt)
	}
	return f.checkIntegrity()
}

func (f *sqliteFile) readSchemaVersion() (version int, err error) {
	row := f.connection.QueryRowContext(context.Background(), "PRAGMA user_version")
	err = row.Scan(&version)
	return version, errors.Wrap(err, "read schema version of store")
}

// createSchema creates all tables in one transaction, so that a file either has all of them or counts as new.
func (f *sqliteFile) createSchema(schema string) error {
	return f.execute(fmt.Sprintf("BEGIN;%s PRAGMA user_version = %d; COMMIT;", schema, schemaVersion))
}

// checkIntegrity checks the structure of the whole file. The file is small enough for this at each opening.
func (f *sqliteFile) checkIntegrity() error {
	var result string
	row := f.connection.QueryRowContext(context.Background(), "PRAGMA quick_check(1)")
	if err := row.Scan(&result); err != nil {
		return errors.Wrap(err, "check store")
	}
	if result != "ok" {
		return errors.Mark(errors.Newf("integrity check of store: %s", result), errCorrupt)
	}
	return nil
}

func (f *sqliteFile) execute(statement string, arguments ...any) error {
	_, err := f.connection.ExecContext(context.Background(), statement, arguments...)
	return errors.Wrapf(err, "execute in store: %.30s", statement)
}

// runTransaction runs the statements in one transaction, which SQLite syncs to the disk when it commits. After an error
// the transaction may or may not have been committed.
func (f *sqliteFile) runTransaction(statements func() error) error {
	if err := f.execute("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	err := statements()
	if err == nil {
		err = f.execute("COMMIT")
	}
	if err != nil {
		_ = f.execute("ROLLBACK") // fails if SQLite has already rolled back
	}
	return err
}

// close ignores errors: every save was synced, and SQLite recovers the write-ahead log when the file is opened again.
func (f *sqliteFile) close() {
	_ = f.connection.Close()
	_ = f.pool.Close()
}
