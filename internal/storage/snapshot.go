package storage

import (
	"errors"
	"io/fs"
	"os"
)

// Snapshot writes a copy of all records to path, which must not exist, and verifies the
// copy by reading it back.
func (s *Store) Snapshot(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if exists(path) {
		return &IOError{path, "copying", fs.ErrExist}
	}
	partial := path + newSuffix
	if err := removeDatabase(partial); err != nil {
		return err
	}
	if _, err := s.db.Exec("VACUUM INTO ?", partial); err != nil {
		return &IOError{partial, "copying", errors.Join(err, removeDatabase(partial))}
	}
	if _, err := readCopy(partial); err != nil {
		return errors.Join(err, removeDatabase(partial))
	}
	if err := syncFile(partial); err != nil {
		return err
	}
	return renameDatabase(partial, path)
}

// Restore atomically replaces all records with those of a snapshot. If any part of the
// snapshot is unreadable, it returns an error and changes nothing. A non-nil change may
// modify the records before they are written.
func (s *Store) Restore(path string, change func(records map[string][]byte) error) error {
	records, err := readCopy(path)
	if err == nil && change != nil {
		err = change(records)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.rescan(); err != nil {
		return err
	}
	var drop []string
	for name := range s.generations {
		if _, ok := records[name]; !ok {
			drop = append(drop, name)
		}
	}
	return s.write(records, drop)
}

// readCopy reads all records of a snapshot without creating or changing any file.
func readCopy(path string) (map[string][]byte, error) {
	if !exists(path) {
		return nil, &IOError{path, "reading the copy", fs.ErrNotExist}
	}
	db, err := connect(path, "&mode=ro&immutable=1")
	var version, appID int
	if err != nil {
		db.Close()
	} else {
		defer db.Close()
		err = db.QueryRow(`SELECT (SELECT user_version FROM pragma_user_version),
			(SELECT application_id FROM pragma_application_id)`).Scan(&version, &appID)
	}
	if err != nil && isIOError(err) {
		return nil, &IOError{path, "reading the copy", err}
	} else if err != nil {
		return nil, &DamagedError{path, "", err.Error()}
	}
	if appID != applicationID || version != formatVersion {
		return nil, &FormatError{path, version, formatVersion}
	}
	snapshot := &Store{path: path, db: db}
	if damage, err := snapshot.scan(); err != nil {
		return nil, err
	} else if damage != "" {
		return nil, &DamagedError{path, "", damage}
	}
	records := make(map[string][]byte, len(snapshot.generations))
	for name := range snapshot.generations {
		data, err := snapshot.Load(name)
		if rolledBack := (*RolledBackError)(nil); err != nil && !errors.As(err, &rolledBack) {
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
