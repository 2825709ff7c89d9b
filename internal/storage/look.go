package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Found is what a start would find in a folder.
type Found struct {
	Path    string
	Bytes   int64
	What    string // is damaged in the file as a whole; empty: nothing
	Records []Record
	Aside   []string // damaged files that were moved aside before
}

// Record is one of them, as Load would return it.
type Record struct {
	Name string
	Data []byte
	Err  error // *SteppedBack with data, *Damaged without
}

// Whole tells whether nothing is in doubt.
func (f *Found) Whole() bool {
	for _, r := range f.Records {
		if r.Err != nil {
			return false
		}
	}
	return f.What == ""
}

// Look does what Open would do, on a copy elsewhere: the folder stays as it is. Nobody
// may have it open.
func Look(dir string) (*Found, error) {
	path := filepath.Join(dir, file)
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Failed{path, "looking", err}
	}
	to, err := os.MkdirTemp("", "vault-look-")
	if err != nil {
		return nil, &Failed{path, "looking", err}
	}
	defer os.RemoveAll(to)
	for _, suffix := range []string{"", journal} {
		if err := copyAs(path+suffix, filepath.Join(to, file+suffix)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, &Failed{path + suffix, "looking", err}
		}
	}
	f := &Found{Path: path, Bytes: info.Size()}
	if f.Aside, err = (&Vault{path: path}).Aside(); err != nil {
		return nil, err
	}
	v, err := Open(to)
	var newer *Format
	var damaged *Damaged
	switch {
	case errors.As(err, &newer):
		newer.Path = path
	case errors.As(err, &damaged):
		f.What = damaged.What
	}
	if v == nil {
		return nil, err
	}
	defer v.Close()
	for _, name := range v.Names() {
		r := Record{Name: name}
		r.Data, r.Err = v.Load(name)
		switch e := r.Err.(type) {
		case *Damaged:
			e.Path = path
		case *SteppedBack:
			e.Path = path
		}
		f.Records = append(f.Records, r)
	}
	return f, nil
}

func copyAs(from, to string) error {
	src, err := os.Open(from)
	if err != nil {
		return err
	}
	defer src.Close()
	return copyFile(src, to)
}
