package storage

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/mattn/go-sqlite3"
)

// DamagedError reports that a record, or the whole file if Name is empty, is corrupt.
type DamagedError struct{ Path, Name, Reason string }

func (e *DamagedError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("%s: damaged: %s", e.Path, e.Reason)
	}
	return fmt.Sprintf("%s: record %q: damaged: %s", e.Path, e.Name, e.Reason)
}

// RolledBackError is returned along with the one intact generation of a record whose
// other generation is lost. Which of the two was newer is unknown, so the data may be
// that of the last save but one.
type RolledBackError struct{ Path, Name, Reason string }

func (e *RolledBackError) Error() string {
	return fmt.Sprintf("%s: record %q: stepped back: %s", e.Path, e.Name, e.Reason)
}

// NotFoundError reports that a record was never saved. It matches fs.ErrNotExist.
type NotFoundError struct{ Path, Name string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s: no record %q", e.Path, e.Name) }

func (e *NotFoundError) Is(err error) bool { return err == fs.ErrNotExist }

// FormatError reports that a file was written by a later version of the program. The
// file is left unchanged.
type FormatError struct {
	Path       string
	Have, Want int
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("%s: format %d, this program knows up to %d", e.Path, e.Have, e.Want)
}

// IOError reports that the disk failed an operation; no data is known to be damaged.
type IOError struct {
	Path, Op string
	Err      error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Path, e.Op, e.Err) }

func (e *IOError) Unwrap() error { return e.Err }

// isIOError distinguishes a failing disk from a damaged file. Any SQLite error that
// does not come from the disk itself is attributed to damage, since we wrote the file.
func isIOError(err error) bool {
	var se sqlite3.Error
	if !errors.As(err, &se) {
		return false
	}
	if se.ExtendedCode == sqlite3.ErrIoErrShortRead {
		return false // the file is truncated
	}
	switch se.Code {
	case sqlite3.ErrCorrupt, sqlite3.ErrNotADB, sqlite3.ErrError, sqlite3.ErrMismatch, sqlite3.ErrFormat:
		return false
	}
	return true
}
