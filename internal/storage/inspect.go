package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Inspection is what a start would find in a folder.
type Inspection struct {
	Path         string
	Bytes        int64
	Reason       string // is damaged in the file as a whole; empty: nothing
	Records      []Record
	DamagedFiles []string // damaged files that were moved aside before
}

// Record is one of them, as Load would return it.
type Record struct {
	Name string
	Data []byte
	Err  error // *RolledBackError with data, *DamagedError without
}

// Intact tells whether nothing is in doubt.
func (f *Inspection) Intact() bool {
	for _, r := range f.Records {
		if r.Err != nil {
			return false
		}
	}
	return f.Reason == ""
}

// Inspect does what Open would do, on a copy elsewhere: the folder stays as it is. Nobody
// may have it open.
func Inspect(dir string) (*Inspection, error) {
	path := filepath.Join(dir, file)
	info, err := os.Stat(path)
	if err != nil {
		return nil, &IOError{path, "looking", err}
	}
	to, err := os.MkdirTemp("", "vault-look-")
	if err != nil {
		return nil, &IOError{path, "looking", err}
	}
	defer os.RemoveAll(to)
	for _, suffix := range []string{"", journal} {
		if err := copyAs(path+suffix, filepath.Join(to, file+suffix)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, &IOError{path + suffix, "looking", err}
		}
	}
	f := &Inspection{Path: path, Bytes: info.Size()}
	if f.DamagedFiles, err = (&Store{path: path}).DamagedFiles(); err != nil {
		return nil, err
	}
	v, err := Open(to)
	var newer *FormatError
	var damaged *DamagedError
	switch {
	case errors.As(err, &newer):
		newer.Path = path
	case errors.As(err, &damaged):
		f.Reason = damaged.Reason
	}
	if v == nil {
		return nil, err
	}
	defer v.Close()
	for _, name := range v.Names() {
		r := Record{Name: name}
		r.Data, r.Err = v.Load(name)
		switch e := r.Err.(type) {
		case *DamagedError:
			e.Path = path
		case *RolledBackError:
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
