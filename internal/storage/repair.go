package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Suffixes of SQLite's rollback journal and of the files that a repair creates.
const (
	journalSuffix   = "-journal"
	newSuffix       = ".new"
	recoveredSuffix = ".revived"
)

// Offset of the page count in the first page, and the highest count that a repair
// trusts (64 MB).
const (
	pageCountOffset = 28
	maxPages        = 64 << 20 / pageSize
)

// repair moves a damaged file aside and replaces it with a new one that contains every
// intact row. A record with one intact row keeps only that row, so that Load continues
// to return *RolledBackError for it.
func repair(path string, s *Store, damage string) (*Store, error) {
	if len(s.generations) == 0 {
		if recovered := recoverCopy(path); recovered != nil {
			s.db.Close()
			s = recovered
		}
	}
	err := salvage(path+newSuffix, s)
	if err = errors.Join(err, s.db.Close()); err != nil {
		return nil, err
	}
	aside, err := moveAside(path)
	if err != nil {
		return nil, err
	}
	if err := renameDatabase(path+newSuffix, path); err != nil {
		return nil, err
	}
	if err := removeDatabase(path + recoveredSuffix); err != nil {
		return nil, err
	}
	repaired, stillDamaged, err := open(path)
	if err == nil && stillDamaged != "" {
		err = &DamagedError{path, "", "damaged again: " + stillDamaged}
	}
	if err != nil {
		return nil, err
	}
	return repaired, &DamagedError{aside, "", damage}
}

// recoverCopy opens a copy of an unreadable file after restoring what reading depends
// on: the length, if the file was truncated, and the first page, which is the same in
// each file of a format except for the page count. It returns nil if that does not help.
func recoverCopy(path string) *Store {
	src, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer src.Close()
	info, err := src.Stat()
	if err != nil || removeDatabase(path+recoveredSuffix) != nil || copyFile(src, path+recoveredSuffix) != nil {
		return nil
	}
	var count [4]byte
	if _, err := src.ReadAt(count[:], pageCountOffset); err != nil {
		return nil
	}
	pages := (info.Size() + pageSize - 1) / pageSize
	if n := int64(binary.BigEndian.Uint32(count[:])); n > pages && n <= maxPages {
		pages = n
	}
	page, err := emptyFirstPage(path + newSuffix)
	if err != nil {
		return nil
	}
	binary.BigEndian.PutUint32(page[pageCountOffset:], uint32(pages))
	f, err := os.OpenFile(path+recoveredSuffix, os.O_RDWR, 0)
	if err != nil {
		return nil
	}
	_, err = f.WriteAt(page, 0)
	if err = errors.Join(err, f.Truncate(pages*pageSize), f.Close()); err != nil {
		return nil
	}
	s, _, err := open(path + recoveredSuffix)
	if err != nil {
		return nil
	}
	return s
}

// emptyFirstPage creates an empty database at path and returns its first page.
func emptyFirstPage(path string) ([]byte, error) {
	db, err := connect(path, "")
	if err == nil {
		err = migrate(path, db)
	}
	if err = errors.Join(err, db.Close()); err != nil {
		return nil, err
	}
	content, err := os.ReadFile(path)
	if err != nil || len(content) < pageSize {
		return nil, errors.Join(err, io.ErrUnexpectedEOF)
	}
	return content[:pageSize], nil
}

func copyFile(src *os.File, to string) error {
	if _, err := src.Seek(0, io.SeekStart); err != nil {
		return err
	}
	dst, err := os.Create(to)
	if err != nil {
		return err
	}
	defer dst.Close()
	_, err = io.Copy(dst, src)
	return err
}

// salvage copies the intact rows of a store to a new file.
func salvage(path string, from *Store) error {
	if err := removeDatabase(path); err != nil {
		return err
	}
	db, err := connect(path, "")
	if err == nil {
		defer db.Close()
		err = migrate(path, db)
	}
	if err != nil {
		return &IOError{path, "mending", err}
	}
	tx, err := db.Begin()
	if err != nil {
		return &IOError{path, "mending", err}
	}
	defer tx.Rollback()
	for name := range from.generations {
		p, err := readPair(from.db, name)
		if err != nil {
			return &IOError{from.path, "reading", err}
		}
		for _, r := range p {
			if r.state != intact {
				continue
			}
			if err := writeRow(tx, name, r.gen, r.data); err != nil {
				return &IOError{path, "mending", err}
			}
		}
	}
	if err := writeNameIndex(tx, from.generations); err != nil {
		return &IOError{path, "mending", err}
	}
	if err := tx.Commit(); err != nil {
		return &IOError{path, "mending", err}
	}
	return nil
}

// finishRepair completes or undoes an interrupted repair. As long as the database is in
// place, the new file may be incomplete; once the database was moved aside, it is complete.
func finishRepair(path string) error {
	if err := removeDatabase(path + recoveredSuffix); err != nil {
		return err
	}
	if exists(path) {
		return removeDatabase(path + newSuffix)
	}
	if nonEmpty(path + journalSuffix) {
		// SQLite would delete a journal without a database.
		if _, err := moveAside(path); err != nil {
			return err
		}
	}
	if exists(path + newSuffix) {
		return renameDatabase(path+newSuffix, path)
	}
	return nil
}

// moveAside renames a database, and its journal unless that is empty, to the next
// unused name, and returns that name.
func moveAside(path string) (string, error) {
	aside := ""
	for n := 1; aside == "" || exists(aside) || exists(aside+journalSuffix); n++ {
		aside = fmt.Sprintf("%s.damaged-%d", path, n)
	}
	for _, suffix := range []string{"", journalSuffix} {
		if suffix == journalSuffix && !nonEmpty(path+journalSuffix) {
			break
		}
		if err := os.Rename(path+suffix, aside+suffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return "", &IOError{path + suffix, "moving aside", err}
		}
	}
	return aside, syncDir(path)
}

// DamagedFiles lists the damaged files that this and earlier repairs moved aside.
func (s *Store) DamagedFiles() ([]string, error) {
	entries, err := os.ReadDir(filepath.Dir(s.path))
	if err != nil {
		return nil, &IOError{filepath.Dir(s.path), "listing", err}
	}
	var found []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), filepath.Base(s.path)+".damaged-") && !strings.HasSuffix(e.Name(), journalSuffix) {
			found = append(found, filepath.Join(filepath.Dir(s.path), e.Name()))
		}
	}
	return found, nil
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

func nonEmpty(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Size() > 0
}

// removeDatabase deletes a database file and its journal, if they exist.
func removeDatabase(path string) error {
	for _, p := range []string{path, path + journalSuffix} {
		if err := os.Remove(p); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return &IOError{p, "removing", err}
		}
	}
	return nil
}

// renameDatabase durably renames a closed database. Its journal is empty by then and is
// removed first instead of renamed along: SQLite could take it for a hot journal.
func renameDatabase(from, to string) error {
	if err := os.Remove(from + journalSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &IOError{from + journalSuffix, "removing", err}
	}
	if err := os.Rename(from, to); err != nil {
		return &IOError{from, "renaming", err}
	}
	return syncDir(to)
}

func syncDir(path string) error {
	dir, err := os.Open(filepath.Dir(path))
	if err == nil {
		defer dir.Close()
		err = dir.Sync()
	}
	if err != nil {
		return &IOError{filepath.Dir(path), "syncing the folder", err}
	}
	return nil
}
