// Package storage keeps named records on a small disk that may lose power, tear what is
// written, refuse it or damage it. What Save has returned for is on the disk; what
// can't be read back is told, never made up, and stepped back from where it can be.
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

// format is the version of the tables. Formats below it are brought up at Open.
const format = 1

const file = "vault.db"

// Store is an open folder of records. A process has it alone.
type Store struct {
	mu    sync.Mutex
	path  string
	db    *sql.DB
	gens  map[string]uint64 // newest good generation by name; 0 where all are lost
	stale bool              // a write failed: gens may not be what the disk has
}

// Open opens the records in a folder, or begins new ones. When a file is damaged, it
// is moved aside (vault.db.damaged-1), what is good in it is taken over, and both the
// vault and a *DamagedError come back: a Store that isn't nil can be used. Until the
// next Save of a record, Load goes on telling what became of it.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, &IOError{dir, "making the folder", err}
	}
	path := filepath.Join(dir, file)
	if err := tidy(path); err != nil {
		return nil, err
	}
	v, what, err := open(path)
	if err != nil || what == "" {
		return v, err
	}
	return mend(path, v, what)
}

// open also returns what is damaged. Even then the vault reads what can be read.
func open(path string) (v *Store, what string, err error) {
	db, err := connect(path, "")
	if err == nil {
		err = settle(path, db)
	}
	if err != nil {
		what = err.Error()
	}
	if fe, ok := err.(*FormatError); ok {
		return nil, "", errors.Join(fe, db.Close())
	}
	if err != nil && refused(err) {
		return nil, "", errors.Join(&IOError{path, "opening", err}, db.Close())
	}
	v = &Store{path: path, db: db}
	found, err := v.survey()
	if err != nil {
		return nil, "", errors.Join(err, db.Close())
	}
	return v, cmp.Or(what, found), nil
}

// Close ends the use of the folder.
func (v *Store) Close() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.db.Close()
}

// Names lists the records that were ever saved, in order.
func (v *Store) Names() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.gens))
}

// Load returns a record. Its error is *RolledBackError along with data, or without data
// *DamagedError, *NotFoundError or *IOError.
func (v *Store) Load(name string) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.refresh(); err != nil {
		return nil, err
	}
	if _, ok := v.gens[name]; !ok {
		return nil, &NotFoundError{v.path, name}
	}
	p, err := readPair(v.db, name)
	if err != nil {
		return nil, &IOError{v.path, "reading", err}
	}
	r, sure := p.newest()
	switch {
	case r.state != good:
		return nil, &DamagedError{v.path, name, p.trouble()}
	case !sure:
		return r.data, &RolledBackError{v.path, name, p.trouble()}
	}
	return r.data, nil
}

// Save replaces a record. After an error the record is the old one or the new one,
// never a mixture; Load tells which.
func (v *Store) Save(name string, data []byte) error {
	return v.SaveAll(map[string][]byte{name: data})
}

// SaveAll replaces several records at once: all of them or none.
func (v *Store) SaveAll(records map[string][]byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.refresh(); err != nil {
		return err
	}
	return v.write(records, nil)
}

// write saves records and drops others, in one transaction.
func (v *Store) write(records map[string][]byte, drop []string) error {
	gens := maps.Clone(v.gens)
	tx, err := v.db.Begin()
	if err != nil {
		return v.fail(err)
	}
	defer tx.Rollback()
	for _, name := range slices.Sorted(maps.Keys(records)) {
		if name == roster {
			return &IOError{v.path, "saving", os.ErrInvalid}
		}
		if gens[name], err = advance(tx, name, gens[name], records[name]); err != nil {
			return v.fail(err)
		}
	}
	for _, name := range drop {
		delete(gens, name)
		for _, t := range tables {
			if _, err := tx.Exec("DELETE FROM "+t+" WHERE name = ?", name); err != nil {
				return v.fail(err)
			}
		}
	}
	if len(gens) != len(v.gens) || len(drop) > 0 {
		if err := writeRoster(tx, gens); err != nil {
			return v.fail(err)
		}
	}
	if err := tx.Commit(); err != nil {
		return v.fail(err)
	}
	v.gens = gens
	return nil
}

func (v *Store) fail(err error) error {
	v.stale = true
	if !refused(err) {
		return &DamagedError{v.path, "", err.Error()}
	}
	return &IOError{v.path, "saving", err}
}

// advance writes the generation after gen, and returns it. A new record, or one that
// is lost, is born.
func advance(q querier, name string, gen uint64, data []byte) (uint64, error) {
	if gen == 0 {
		if err := writeRow(q, name, 0, nil); err != nil {
			return 0, err
		}
	}
	return gen + 1, writeRow(q, name, gen+1, data)
}

func writeRoster(q querier, gens map[string]uint64) error {
	list, err := json.Marshal(slices.Sorted(maps.Keys(gens)))
	if err != nil {
		return err
	}
	p, err := readPair(q, roster)
	if err != nil {
		return err
	}
	r, _ := p.newest()
	_, err = advance(q, roster, r.gen, list)
	return err
}

func (v *Store) refresh() error {
	if !v.stale {
		return nil
	}
	if _, err := v.survey(); err != nil {
		return err
	}
	v.stale = false
	return nil
}
