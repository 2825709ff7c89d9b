package storage

import (
	"errors"
	"io/fs"
	"os"
)

// Snapshot writes a copy of all records to path, which must not exist. The copy has
// been read back when it returns.
func (v *Store) Snapshot(path string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if exists(path) {
		return &IOError{path, "copying", fs.ErrExist}
	}
	part := path + fresh
	if err := discard(part); err != nil {
		return err
	}
	if _, err := v.db.Exec("VACUUM INTO ?", part); err != nil {
		return &IOError{part, "copying", errors.Join(err, discard(part))}
	}
	if _, err := readCopy(part); err != nil {
		return errors.Join(err, discard(part))
	}
	if err := syncFile(part); err != nil {
		return err
	}
	return move(part, path)
}

// Restore replaces all records by those of a copy, at once: a copy with anything in it
// that can't be read is refused, and the old state stays. change may alter them before.
func (v *Store) Restore(path string, change func(records map[string][]byte) error) error {
	records, err := readCopy(path)
	if err == nil && change != nil {
		err = change(records)
	}
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.refresh(); err != nil {
		return err
	}
	var drop []string
	for name := range v.gens {
		if _, ok := records[name]; !ok {
			drop = append(drop, name)
		}
	}
	return v.write(records, drop)
}

// readCopy reads all of a copy without writing to it or beside it.
func readCopy(path string) (map[string][]byte, error) {
	if !exists(path) {
		return nil, &IOError{path, "reading the copy", fs.ErrNotExist}
	}
	db, err := connect(path, "&mode=ro&immutable=1")
	var have, owner int
	if err != nil {
		db.Close()
	} else {
		defer db.Close()
		err = db.QueryRow(`SELECT (SELECT user_version FROM pragma_user_version),
			(SELECT application_id FROM pragma_application_id)`).Scan(&have, &owner)
	}
	if err != nil && refused(err) {
		return nil, &IOError{path, "reading the copy", err}
	} else if err != nil {
		return nil, &DamagedError{path, "", err.Error()}
	}
	if owner != mark || have != format {
		return nil, &FormatError{path, have, format}
	}
	c := &Store{path: path, db: db}
	if what, err := c.survey(); err != nil {
		return nil, err
	} else if what != "" {
		return nil, &DamagedError{path, "", what}
	}
	records := make(map[string][]byte, len(c.gens))
	for name := range c.gens {
		data, err := c.Load(name)
		if back := (*RolledBackError)(nil); err != nil && !errors.As(err, &back) {
			return nil, err
		}
		records[name] = data
	}
	return records, nil
}

func syncFile(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err == nil {
		defer f.Close()
		err = f.Sync()
	}
	if err != nil {
		return &IOError{path, "syncing", err}
	}
	return nil
}
