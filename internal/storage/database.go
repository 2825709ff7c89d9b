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

// pragmas suit one process alone on a small disk: no log beside the database, whose
// index would need memory that processes have in common; every step synced; a journal
// that stays, since removing a file lasts only once its folder is synced too.
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

// vfs is the file system that SQLite works on: its own, without locks.
var vfs = "unix-none"

const pageSize = 4096

// mark tells our files from those of other programs (application_id).
const mark = 0x61767431

var stamp = fmt.Sprintf("PRAGMA application_id = %d; PRAGMA user_version = %d", mark, format)

// connector opens the one connection with its pragmas set.
type connector struct {
	dsn    string
	driver *sqlite3.SQLiteDriver
}

func (c connector) Connect(context.Context) (driver.Conn, error) { return c.driver.Open(c.dsn) }
func (c connector) Driver() driver.Driver                        { return c.driver }

// connect opens a file; flags are further parameters of its address. No locks are
// asked for: they would have no effect.
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

// steps bring a file from format i to i+1. They stay as they are; new ones are added.
var steps = [format]string{`
CREATE TABLE even (name TEXT PRIMARY KEY, gen INTEGER, crc INTEGER, data BLOB) WITHOUT ROWID;
CREATE TABLE odd (name TEXT PRIMARY KEY, gen INTEGER, crc INTEGER, data BLOB) WITHOUT ROWID;`,
}

// settle checks whose file it is, and brings it to the format of this program.
func settle(path string, db *sql.DB) error {
	var have, owner, objects int
	err := db.QueryRow(`SELECT (SELECT user_version FROM pragma_user_version),
		(SELECT application_id FROM pragma_application_id),
		(SELECT count(*) FROM sqlite_schema)`).Scan(&have, &owner, &objects)
	if err != nil {
		return err
	}
	empty := have == 0 && owner == 0 && objects == 0
	if owner != mark && !empty {
		return errors.New("not one of our files")
	}
	if have > 255 {
		return fmt.Errorf("no such format: %d", have)
	}
	if have > format {
		return &FormatError{path, have, format}
	}
	if have == format {
		return nil
	}
	tx, err := db.Begin()
	if err != nil {
		return err
	}
	defer tx.Rollback()
	for _, step := range steps[have:] {
		if _, err := tx.Exec(step); err != nil {
			return err
		}
	}
	if empty {
		if err := writeRoster(tx, nil); err != nil {
			return err
		}
	}
	if _, err := tx.Exec(stamp); err != nil {
		return err
	}
	return tx.Commit()
}
