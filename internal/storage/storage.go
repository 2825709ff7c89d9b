// Package storage keeps named records durably on a small disk, in a SQLite database. It
// withstands power loss, torn writes, I/O errors and corruption: a record is on the disk
// once Save returns, and a record that cannot be read back is reported, with its previous
// generation where that is intact.
package storage

import (
	"cmp"
	"database/sql"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// formatVersion is the version of the tables. Open upgrades files of earlier versions.
const formatVersion = 1

const databaseName = "vault.db"

// Store is an open directory of records. Only one process may have it open.
type Store struct {
	mu          sync.Mutex
	path        string
	db          *sql.DB
	generations map[string]uint64 // highest intact generation by record name; 0 if all are lost
	stale       bool              // a write failed: generations may differ from the disk
}

// Open opens the store in a directory, or creates it. A damaged file is moved aside (to
// vault.db.damaged-1), its intact contents are salvaged, and Open returns both the store
// and a *DamagedError: a non-nil Store is usable. Load continues to report the damage of
// a record until the next Save of it.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, &IOError{dir, "making the folder", err}
	}
	path := filepath.Join(dir, databaseName)
	if err := finishRepair(path); err != nil {
		return nil, err
	}
	s, damage, err := open(path)
	if err != nil || damage == "" {
		return s, err
	}
	return repair(path, s, damage)
}

// open also returns a description of any damage; the store then reads what is readable.
func open(path string) (s *Store, damage string, err error) {
	db, err := connect(path, "")
	if err == nil {
		err = migrate(path, db)
	}
	if err != nil {
		damage = err.Error()
	}
	if fe, ok := err.(*FormatError); ok {
		return nil, "", errors.Join(fe, db.Close())
	}
	if err != nil && isIOError(err) {
		return nil, "", errors.Join(&IOError{path, "opening", err}, db.Close())
	}
	s = &Store{path: path, db: db}
	found, err := s.scan()
	if err != nil {
		return nil, "", errors.Join(err, db.Close())
	}
	return s, cmp.Or(damage, found), nil
}

// Close closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db.Close()
}

// Names returns the sorted names of all records that were ever saved, also of lost ones.
func (s *Store) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.generations))
}

// Load returns the content of a record. Its error is a *RolledBackError along with data,
// or a *DamagedError, *NotFoundError or *IOError without data.
func (s *Store) Load(name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.rescan(); err != nil {
		return nil, err
	}
	if _, ok := s.generations[name]; !ok {
		return nil, &NotFoundError{s.path, name}
	}
	p, err := readPair(s.db, name)
	if err != nil {
		return nil, &IOError{s.path, "reading", err}
	}
	r, confirmed := p.newest()
	switch {
	case r.state != intact:
		return nil, &DamagedError{s.path, name, p.problem()}
	case !confirmed:
		return r.data, &RolledBackError{s.path, name, p.problem()}
	}
	return r.data, nil
}

// Save replaces a record. After an error, Load returns either the old or the new
// content, never a mixture.
func (s *Store) Save(name string, data []byte) error {
	return s.SaveAll(map[string][]byte{name: data})
}

// SaveAll replaces several records atomically.
func (s *Store) SaveAll(records map[string][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.rescan(); err != nil {
		return err
	}
	return s.write(records, nil)
}

// write saves records and deletes those named in drop, in one transaction.
func (s *Store) write(records map[string][]byte, drop []string) error {
	generations := maps.Clone(s.generations)
	tx, err := s.db.Begin()
	if err != nil {
		return s.saveError(err)
	}
	defer tx.Rollback()
	for _, name := range slices.Sorted(maps.Keys(records)) {
		if name == nameIndex {
			return &IOError{s.path, "saving", os.ErrInvalid}
		}
		if generations[name], err = writeNext(tx, name, generations[name], records[name]); err != nil {
			return s.saveError(err)
		}
	}
	for _, name := range drop {
		delete(generations, name)
		for _, t := range tables {
			if _, err := tx.Exec("DELETE FROM "+t+" WHERE name = ?", name); err != nil {
				return s.saveError(err)
			}
		}
	}
	if len(generations) != len(s.generations) || len(drop) > 0 {
		if err := writeNameIndex(tx, generations); err != nil {
			return s.saveError(err)
		}
	}
	if err := tx.Commit(); err != nil {
		return s.saveError(err)
	}
	s.generations = generations
	return nil
}

// saveError classifies the error of a failed write and marks the cached generations as stale.
func (s *Store) saveError(err error) error {
	s.stale = true
	if !isIOError(err) {
		return &DamagedError{s.path, "", err.Error()}
	}
	return &IOError{s.path, "saving", err}
}

// writeNext writes the generation after gen and returns its number. A new or lost record
// (gen 0) gets its empty generation 0 first.
func writeNext(q querier, name string, gen uint64, data []byte) (uint64, error) {
	if gen == 0 {
		if err := writeRow(q, name, 0, nil); err != nil {
			return 0, err
		}
	}
	return gen + 1, writeRow(q, name, gen+1, data)
}

func writeNameIndex(q querier, generations map[string]uint64) error {
	list, err := json.Marshal(slices.Sorted(maps.Keys(generations)))
	if err != nil {
		return err
	}
	p, err := readPair(q, nameIndex)
	if err != nil {
		return err
	}
	r, _ := p.newest()
	_, err = writeNext(q, nameIndex, r.gen, list)
	return err
}

// rescan reloads the generations from the disk after a failed write.
func (s *Store) rescan() error {
	if !s.stale {
		return nil
	}
	if _, err := s.scan(); err != nil {
		return err
	}
	s.stale = false
	return nil
}
