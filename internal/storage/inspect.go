package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Inspection describes what Open would find in a directory.
type Inspection struct {
	Path         string
	Bytes        int64
	Reason       string // why the file as a whole is damaged; empty if it is not
	Records      []Record
	DamagedFiles []string // damaged files that earlier repairs moved aside
}

// Record is a record as Load would return it.
type Record struct {
	Name string
	Data []byte
	Err  error // *RolledBackError if Data is set, else *DamagedError
}

// Intact reports whether neither the file nor any record is damaged.
func (i *Inspection) Intact() bool {
	for _, r := range i.Records {
		if r.Err != nil {
			return false
		}
	}
	return i.Reason == ""
}

// Inspect does what Open would do, but on a temporary copy, so that the directory is
// left unchanged. No process may have it open.
func Inspect(dir string) (*Inspection, error) {
	path := filepath.Join(dir, databaseName)
	info, err := os.Stat(path)
	if err != nil {
		return nil, &IOError{path, "looking", err}
	}
	tempDir, err := os.MkdirTemp("", "vault-look-")
	if err != nil {
		return nil, &IOError{path, "looking", err}
	}
	defer os.RemoveAll(tempDir)
	for _, suffix := range []string{"", journalSuffix} {
		if err := copyAs(path+suffix, filepath.Join(tempDir, databaseName+suffix)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, &IOError{path + suffix, "looking", err}
		}
	}
	inspection := &Inspection{Path: path, Bytes: info.Size()}
	if inspection.DamagedFiles, err = (&Store{path: path}).DamagedFiles(); err != nil {
		return nil, err
	}
	s, err := Open(tempDir)
	var formatErr *FormatError
	var damagedErr *DamagedError
	switch {
	case errors.As(err, &formatErr):
		formatErr.Path = path
	case errors.As(err, &damagedErr):
		inspection.Reason = damagedErr.Reason
	}
	if s == nil {
		return nil, err
	}
	defer s.Close()
	for _, name := range s.Names() {
		r := Record{Name: name}
		r.Data, r.Err = s.Load(name)
		switch e := r.Err.(type) {
		case *DamagedError:
			e.Path = path
		case *RolledBackError:
			e.Path = path
		}
		inspection.Records = append(inspection.Records, r)
	}
	return inspection, nil
}

func copyAs(from, to string) error {
	src, err := os.Open(from)
	if err != nil {
		return err
	}
	defer src.Close()
	return copyFile(src, to)
}
