package main

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/consensus"
	"asterwell/internal/registry"
	"asterwell/internal/storage"
)

const (
	file   = "vault.db"
	record = "pact" // as package daemon names them
	list   = "lore"
)

// Unfit tells why a state can't be copied or replaced.
type Unfit struct{ Dir, Why string }

func (e *Unfit) Error() string { return e.Dir + ": " + e.Why }

// snapshot copies a state whose every record reads well: a copy of a doubtful one
// would hide the doubt from the process that starts on it.
func snapshot(args []string, out io.Writer) error {
	dir, to, err := places(args)
	if err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, file)); err != nil {
		return &Unfit{dir, "no state: " + file + " is missing"}
	}
	found, err := storage.Inspect(dir) // opening a damaged one would begin to mend it
	if err != nil {
		return err
	}
	if err := doubts(found); err != nil {
		return err
	}
	v, err := storage.Open(dir)
	if v != nil {
		defer v.Close()
	}
	if err != nil {
		return err
	}
	sum, err := read(v)
	if err != nil {
		return err
	}
	if err := v.Snapshot(to); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %s\n", to, sum)
	return nil
}

// doubts are all that is not whole in a state.
func doubts(f *storage.Inspection) error {
	var all []error
	if f.Reason != "" {
		all = append(all, &storage.DamagedError{Path: f.Path, Reason: f.Reason})
	}
	for _, r := range f.Records {
		if r.Err != nil {
			all = append(all, r.Err)
		}
	}
	return errors.Join(all...)
}

// status tells what a start would find in a state, and changes nothing.
func status(args []string, out io.Writer) error {
	if len(args) != 1 {
		return fmt.Errorf("needs DIR, not %d arguments", len(args))
	}
	dir, err := place(args[0])
	if err != nil {
		return err
	}
	f, err := storage.Inspect(dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d bytes\n", f.Path, f.Bytes)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RECORD\tSTATE\tHOLDS")
	seat := "empty, as a newcomer"
	var strange error
	for _, r := range f.Records {
		is, holds := "whole", "-"
		switch r.Err.(type) {
		case nil:
		case *storage.RolledBackError:
			is = "stepped back"
		default:
			is = "lost"
		}
		if r.Data != nil {
			if holds, err = holding(r.Name, r.Data); err != nil {
				is, holds, strange = "unreadable", "-", errors.Join(strange, err)
			}
		}
		switch {
		case r.Name != record:
		case is == "whole":
			seat = "on what it holds"
		case is == "unreadable":
			seat = "not at all"
		default:
			seat = "anew, as a newcomer: it may have forgotten what it promised"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.Name, is, holds)
	}
	w.Flush()
	for _, aside := range f.DamagedFiles {
		fmt.Fprintf(out, "moved aside, damaged: %s\n", aside)
	}
	if f.Reason != "" {
		seat = "anew, as a newcomer: it may have forgotten what it promised"
	}
	fmt.Fprintf(out, "a process starts %s\n", seat)
	return errors.Join(doubts(f), strange)
}

// holding sums up a record.
func holding(name string, data []byte) (string, error) {
	switch name {
	case record:
		d, err := consensus.DecodeState(data)
		if err != nil {
			return "", fmt.Errorf("record %q: %w", name, err)
		}
		return fmt.Sprintf("configuration %08x, epoch %d", d.Committed.Version, d.Record.Ballot.N), nil
	case list:
		var rows []registry.Row
		if err := cbor.Unmarshal(data, &rows); err != nil {
			return "", fmt.Errorf("record %q: %w", name, err)
		}
		return fmt.Sprintf("%d servers", len(rows)), nil
	}
	return fmt.Sprintf("%d bytes", len(data)), nil
}

// restore replaces a state. A single machine must not go back: it would break promises
// that it has given since. So it gets a new life, and nothing but the configuration: it
// joins as if its disk were empty. A whole core keeps its lives, and forgets what its
// machines remember of each other, since their copies are of different moments.
func restore(args []string, whole bool, out io.Writer) error {
	dir, from, err := places(args)
	if err != nil {
		return err
	}
	if _, err := os.Stat(from); err != nil {
		return err
	}
	v, err := storage.Open(dir)
	if v == nil {
		return err
	}
	err = v.Restore(from, func(records map[string][]byte) error { return back(records, whole) })
	if err = errors.Join(err, v.Close()); err != nil {
		return err
	}
	if v, err = storage.Open(dir); v != nil {
		defer v.Close()
	}
	if err != nil {
		return err
	}
	sum, err := read(v)
	if err == nil {
		fmt.Fprintf(out, "%s: %s\n", dir, sum)
		if !whole {
			fmt.Fprintln(out, "alone: a process joins anew, as a newcomer")
		}
	}
	return err
}

// back makes of a copy's records what a machine may start on.
func back(records map[string][]byte, whole bool) error {
	data, ok := records[record]
	if !ok {
		return nil
	}
	d, err := consensus.DecodeState(data)
	if err != nil {
		return fmt.Errorf("record %q: %w", record, err)
	}
	if whole {
		d.KnownTokens = nil
	} else {
		var life [8]byte
		if _, err := rand.Read(life[:]); err != nil {
			return err
		}
		d = &consensus.DurableState{DiskID: binary.BigEndian.Uint64(life[:]) | 1, Committed: d.Committed}
		clear(records)
	}
	data, err = d.Encode()
	records[record] = data
	return err
}

// read reads every record, and sums up what is in them.
func read(v *storage.Store) (string, error) {
	sum, names := "no state of agreement", v.Names()
	for _, name := range names {
		data, err := v.Load(name)
		if err != nil {
			return "", err
		}
		if name != record {
			continue
		}
		if sum, err = holding(name, data); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d records, read back: %s", len(names), sum), nil
}

// places takes DIR and FILE.
func places(args []string) (dir, path string, err error) {
	if len(args) != 2 {
		return "", "", fmt.Errorf("needs DIR and FILE, not %d arguments", len(args))
	}
	dir, err = place(args[0])
	return dir, args[1], err
}

// place finds a folder, and refuses one that a process has open.
func place(dir string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", err
	}
	if real, err := filepath.EvalSymlinks(dir); err == nil {
		dir = real
	}
	open, _ := filepath.Glob("/proc/[0-9]*/fd/*")
	for _, fd := range open {
		if to, err := os.Readlink(fd); err == nil && to == filepath.Join(dir, file) {
			return "", &Unfit{dir, "in use by process " + filepath.Base(filepath.Dir(filepath.Dir(fd))) + ": stop it first"}
		}
	}
	return dir, nil
}
