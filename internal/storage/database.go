package storage

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"errors"
	"fmt"
	"net/url"

	"github.com/mattn/go-sqlite3"
)

// pragmas configure SQLite for a single process on a small disk: no write-ahead log,
// whose index would need shared memory; a sync at every step of a transaction; and a
// journal that is truncated rather than deleted, since a deletion is durable only once
// the directory is synced too.
const pragmas = `
PRAGMA page_size = 4096;
PRAGMA locking_mode = EXCLUSIVE;
PRAGMA mmap_size = 0;
PRAGMA cache_size = -128;
PRAGMA temp_store = MEMORY;
PRAGMA trusted_schema = OFF;
PRAGMA cell_size_check = ON;
PRAGMA synchronous = EXTRA;
PRAGMA journal_mode = TRUNCATE;`

// vfs is the SQLite VFS in use: the standard Unix one without file locks. Tests replace it.
var vfs = "unix-none"

const pageSize = 4096

// applicationID distinguishes our files from those of other programs.
const applicationID = 0x61767431

var setVersion = fmt.Sprintf("PRAGMA application_id = %d; PRAGMA user_version = %d", applicationID, formatVersion)

// connector opens connections through a driver that sets the pragmas.
type connector struct {
	dsn    string
	driver *sqlite3.SQLiteDriver
}

func (c connector) Connect(context.Context) (driver.Conn, error) { return c.driver.Open(c.dsn) }
func (c connector) Driver() driver.Driver                        { return c.driver }

// connect opens a database file; flags are appended to its URI parameters. It requests
// no locks: the VFS ignores them.
func connect(path, flags string) (*sql.DB, error) {
	dsn := "file:" + (&url.URL{Path: path}).EscapedPath() + "?vfs=" + vfs + flags
	db := sql.OpenDB(connector{dsn, &sqlite3.SQLiteDriver{
		ConnectHook: func(c *sqlite3.SQLiteConn) error {
			_, err := c.Exec(pragmas, nil)
			return err
		},
	}})
	db.SetMaxOpenConns(1)
	db.SetMaxIdleConns(1)
	return db, db.Ping()
}

// migrations[i] upgrades a file from format i to i+1. Never change an entry; append new ones.
var migrations = [formatVersion]string{`
CREATE TABLE even (name TEXT PRIMARY KEY, gen INTEGER, crc INTEGER, data BLOB) WITHOUT ROWID;
CREATE TABLE odd (name TEXT PRIMARY KEY, gen INTEGER, crc INTEGER, data BLOB) WITHOUT ROWID;`,
}

// migrate verifies that the file is ours and upgrades it to the current format.
func migrate(path string, db *sql.DB) error {
	var version, appID, objects int
	err := db.QueryRow(`SELECT (SELECT user_version FROM pragma_user_version),
		(SELECT application_id FROM pragma_application_id),
		(SELECT count(*) FROM sqlite_schema)`).Scan(&version, &appID, &objects)
	if err != nil {
		return err
	}
	empty := version == 0 && appID == 0 && objects == 0
	if appID != applicationID && !empty {
		return errors.New("not one of our files")
	}
	if version > 255 {
		return fmt.Errorf("no such format: %d", version)
	}
	if version > formatVersion {
		return &FormatError{path, version, formatVersion}
	}
	if version == formatVersion {
		return nil
	}
	tx, err := db.Begin()
	if err != nil {
		return err
	}
	defer tx.Rollback()
	for _, migration := range migrations[version:] {
		if _, err := tx.Exec(migration); err != nil {
			return err
		}
	}
	if empty {
		if err := writeNameIndex(tx, nil); err != nil {
			return err
		}
	}
	if _, err := tx.Exec(setVersion); err != nil {
		return err
	}
	return tx.Commit()
}
