package storage

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/mattn/go-sqlite3"
)

// Damaged tells that a record, or with no Name a whole file, can't be believed.
type Damaged struct{ Path, Name, What string }

func (e *Damaged) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("%s: damaged: %s", e.Path, e.What)
	}
	return fmt.Sprintf("%s: record %q: damaged: %s", e.Path, e.Name, e.What)
}

// SteppedBack comes with the one good generation of a record whose other one is lost.
// Which of them was newer can't be told any more, so the data may be the last but one.
type SteppedBack struct{ Path, Name, What string }

func (e *SteppedBack) Error() string {
	return fmt.Sprintf("%s: record %q: stepped back: %s", e.Path, e.Name, e.What)
}

// Absent tells that a record was never saved. It is fs.ErrNotExist too.
type Absent struct{ Path, Name string }

func (e *Absent) Error() string { return fmt.Sprintf("%s: no record %q", e.Path, e.Name) }

func (e *Absent) Is(err error) bool { return err == fs.ErrNotExist }

// Format tells that a file is of a later version of the program. It is left as it is.
type Format struct {
	Path       string
	Have, Want int
}

func (e *Format) Error() string {
	return fmt.Sprintf("%s: format %d, this program knows up to %d", e.Path, e.Have, e.Want)
}

// Failed tells that the disk refused: nothing is known to be damaged.
type Failed struct {
	Path, Doing string
	Err         error
}

func (e *Failed) Error() string { return fmt.Sprintf("%s: %s: %v", e.Path, e.Doing, e.Err) }

func (e *Failed) Unwrap() error { return e.Err }

// refused tells a disk in trouble from a damaged file. Only the disk's own refusals
// count as such: what else SQLite says of a file we wrote, damage made it say.
func refused(err error) bool {
	var se sqlite3.Error
	if !errors.As(err, &se) {
		return false
	}
	if se.ExtendedCode == sqlite3.ErrIoErrShortRead {
		return false // the file ends before what it should hold
	}
	switch se.Code {
	case sqlite3.ErrCorrupt, sqlite3.ErrNotADB, sqlite3.ErrError, sqlite3.ErrMismatch, sqlite3.ErrFormat:
		return false
	}
	return true
}
