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

// The file beside the database that SQLite keeps, and those that mending makes.
const (
	journal = "-journal"
	fresh   = ".new"
	revived = ".revived"
)

// Where the first page keeps the number of pages, and the most we believe (64 MB).
const (
	countAt  = 28
	maxPages = 64 << 20 / pageSize
)

// mend moves a damaged file aside and puts one in its place that has all that is good
// in it. A record of which one row is good keeps just that row, so that Load goes on
// telling that it stepped back.
func mend(path string, v *Store, what string) (*Store, error) {
	if len(v.gens) == 0 {
		if p := revive(path); p != nil {
			v.db.Close()
			v = p
		}
	}
	err := rescue(path+fresh, v)
	if err = errors.Join(err, v.db.Close()); err != nil {
		return nil, err
	}
	aside, err := setAside(path)
	if err != nil {
		return nil, err
	}
	if err := move(path+fresh, path); err != nil {
		return nil, err
	}
	if err := discard(path + revived); err != nil {
		return nil, err
	}
	n, again, err := open(path)
	if err == nil && again != "" {
		err = &DamagedError{path, "", "damaged again: " + again}
	}
	if err != nil {
		return nil, err
	}
	return n, &DamagedError{aside, "", what}
}

// revive opens a copy of a file that can't be read at all, with what all else hangs on
// put right: its length, if it was cut short, and the first page, which is the same in
// each file of a format but for the number of pages. It returns nil if that is no help.
func revive(path string) *Store {
	src, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer src.Close()
	info, err := src.Stat()
	if err != nil || discard(path+revived) != nil || copyFile(src, path+revived) != nil {
		return nil
	}
	var told [4]byte
	if _, err := src.ReadAt(told[:], countAt); err != nil {
		return nil
	}
	pages := (info.Size() + pageSize - 1) / pageSize
	if n := int64(binary.BigEndian.Uint32(told[:])); n > pages && n <= maxPages {
		pages = n
	}
	head, err := firstPage(path + fresh)
	if err != nil {
		return nil
	}
	binary.BigEndian.PutUint32(head[countAt:], uint32(pages))
	f, err := os.OpenFile(path+revived, os.O_RDWR, 0)
	if err != nil {
		return nil
	}
	_, err = f.WriteAt(head, 0)
	if err = errors.Join(err, f.Truncate(pages*pageSize), f.Close()); err != nil {
		return nil
	}
	v, _, err := open(path + revived)
	if err != nil {
		return nil
	}
	return v
}

// firstPage is that of a file with nothing in it, made at path for the purpose.
func firstPage(path string) ([]byte, error) {
	db, err := connect(path, "")
	if err == nil {
		err = settle(path, db)
	}
	if err = errors.Join(err, db.Close()); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil || len(text) < pageSize {
		return nil, errors.Join(err, io.ErrUnexpectedEOF)
	}
	return text[:pageSize], nil
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

// rescue writes what is good of a vault to a new file.
func rescue(path string, from *Store) error {
	if err := discard(path); err != nil {
		return err
	}
	db, err := connect(path, "")
	if err == nil {
		defer db.Close()
		err = settle(path, db)
	}
	if err != nil {
		return &IOError{path, "mending", err}
	}
	tx, err := db.Begin()
	if err != nil {
		return &IOError{path, "mending", err}
	}
	defer tx.Rollback()
	for name := range from.gens {
		p, err := readPair(from.db, name)
		if err != nil {
			return &IOError{from.path, "reading", err}
		}
		for _, r := range p {
			if r.state != good {
				continue
			}
			if err := writeRow(tx, name, r.gen, r.data); err != nil {
				return &IOError{path, "mending", err}
			}
		}
	}
	if err := writeRoster(tx, from.gens); err != nil {
		return &IOError{path, "mending", err}
	}
	if err := tx.Commit(); err != nil {
		return &IOError{path, "mending", err}
	}
	return nil
}

// tidy ends what a mending that was cut off began. While the database stands, a new
// file beside it may be half done; once it was moved aside, the new one is whole.
func tidy(path string) error {
	if err := discard(path + revived); err != nil {
		return err
	}
	if exists(path) {
		return discard(path + fresh)
	}
	if filled(path + journal) {
		// Left alone, SQLite would remove it as belonging to nothing.
		if _, err := setAside(path); err != nil {
			return err
		}
	}
	if exists(path + fresh) {
		return move(path+fresh, path)
	}
	return nil
}

// setAside renames a database and its journal, unless that is empty, to the next free
// name, and returns it.
func setAside(path string) (string, error) {
	aside := ""
	for n := 1; aside == "" || exists(aside) || exists(aside+journal); n++ {
		aside = fmt.Sprintf("%s.damaged-%d", path, n)
	}
	for _, suffix := range []string{"", journal} {
		if suffix == journal && !filled(path+journal) {
			break
		}
		if err := os.Rename(path+suffix, aside+suffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return "", &IOError{path + suffix, "moving aside", err}
		}
	}
	return aside, syncFolder(path)
}

// DamagedFiles lists the damaged files that were moved aside, also by earlier starts.
func (v *Store) DamagedFiles() ([]string, error) {
	entries, err := os.ReadDir(filepath.Dir(v.path))
	if err != nil {
		return nil, &IOError{filepath.Dir(v.path), "listing", err}
	}
	var found []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), filepath.Base(v.path)+".damaged-") && !strings.HasSuffix(e.Name(), journal) {
			found = append(found, filepath.Join(filepath.Dir(v.path), e.Name()))
		}
	}
	return found, nil
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

func filled(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Size() > 0
}

// discard removes a file of our own making, and its journal.
func discard(path string) error {
	for _, p := range []string{path, path + journal} {
		if err := os.Remove(p); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return &IOError{p, "removing", err}
		}
	}
	return nil
}

// move puts a database that is closed under another name, for good. Its journal is
// empty by then, and goes first: under the new name it would be taken for a live one.
func move(from, to string) error {
	if err := os.Remove(from + journal); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &IOError{from + journal, "removing", err}
	}
	if err := os.Rename(from, to); err != nil {
		return &IOError{from, "renaming", err}
	}
	return syncFolder(to)
}

func syncFolder(path string) error {
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
