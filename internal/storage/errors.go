package storage

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/mattn/go-sqlite3"
)

// DamagedError tells that a record, or with no Name a whole file, can't be believed.
type DamagedError struct{ Path, Name, Reason string }

func (e *DamagedError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("%s: damaged: %s", e.Path, e.Reason)
	}
	return fmt.Sprintf("%s: record %q: damaged: %s", e.Path, e.Name, e.Reason)
}

// RolledBackError comes with the one good generation of a record whose other one is lost.
// Which of them was newer can't be told any more, so the data may be the last but one.
type RolledBackError struct{ Path, Name, Reason string }

func (e *RolledBackError) Error() string {
	return fmt.Sprintf("%s: record %q: stepped back: %s", e.Path, e.Name, e.Reason)
}

// NotFoundError tells that a record was never saved. It is fs.ErrNotExist too.
type NotFoundError struct{ Path, Name string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s: no record %q", e.Path, e.Name) }

func (e *NotFoundError) Is(err error) bool { return err == fs.ErrNotExist }

// FormatError tells that a file is of a later version of the program. It is left as it is.
type FormatError struct {
	Path       string
	Have, Want int
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("%s: format %d, this program knows up to %d", e.Path, e.Have, e.Want)
}

// IOError tells that the disk refused: nothing is known to be damaged.
type IOError struct {
	Path, Op string
	Err      error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Path, e.Op, e.Err) }

func (e *IOError) Unwrap() error { return e.Err }

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
