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
	databaseName = "vault.db" // as package storage names it

	// Names of the records that package daemon saves.
	consensusRecord = "pact"
	serversRecord   = "lore"
	leavingRecord   = "leaving"
)

// UnusableStateError reports why a state directory cannot be read, copied or replaced.
type UnusableStateError struct{ Dir, Reason string }

func (e *UnusableStateError) Error() string { return e.Dir + ": " + e.Reason }

// snapshot copies a state if every record of it is intact: a copy of a damaged one would
// hide the damage from a process that starts on it.
func snapshot(args []string, out io.Writer) error {
	dir, to, err := parseDirAndFile(args)
	if err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, databaseName)); err != nil {
		return &UnusableStateError{dir, "no state: " + databaseName + " is missing"}
	}
	inspection, err := storage.Inspect(dir) // Open would repair a damaged state
	if err != nil {
		return err
	}
	if err := damageOf(inspection); err != nil {
		return err
	}
	store, err := storage.Open(dir)
	if store != nil {
		defer store.Close()
	}
	if err != nil {
		return err
	}
	summary, err := verify(store)
	if err != nil {
		return err
	}
	if err := store.Snapshot(to); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %s\n", to, summary)
	return nil
}

// damageOf returns an error for each damaged part of a state, joined; nil if it is intact.
func damageOf(inspection *storage.Inspection) error {
	var damage []error
	if inspection.Reason != "" {
		damage = append(damage, &storage.DamagedError{Path: inspection.Path, Reason: inspection.Reason})
	}
	for _, r := range inspection.Records {
		if r.Err != nil {
			damage = append(damage, r.Err)
		}
	}
	return errors.Join(damage...)
}

// status prints what a process would find in a state when it starts; it changes nothing.
func status(args []string, out io.Writer) error {
	if len(args) != 1 {
		return fmt.Errorf("needs DIR, not %d arguments", len(args))
	}
	dir, err := resolveStateDir(args[0])
	if err != nil {
		return err
	}
	inspection, err := storage.Inspect(dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d bytes\n", inspection.Path, inspection.Bytes)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RECORD\tSTATE\tHOLDS")
	startMode := "empty, as a newcomer"
	var unreadable error
	for _, r := range inspection.Records {
		state, content := "whole", "-"
		switch r.Err.(type) {
		case nil:
		case *storage.RolledBackError:
			state = "stepped back"
		default:
			state = "lost"
		}
		if r.Data != nil {
			if content, err = summarize(r.Name, r.Data); err != nil {
				state, content, unreadable = "unreadable", "-", errors.Join(unreadable, err)
			}
		}
		switch {
		case r.Name != consensusRecord:
		case state == "whole":
			startMode = "on what it holds"
		case state == "unreadable":
			startMode = "not at all"
		default:
			startMode = "anew, as a newcomer: it may have forgotten what it promised"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.Name, state, content)
	}
	w.Flush()
	for _, aside := range inspection.DamagedFiles {
		fmt.Fprintf(out, "moved aside, damaged: %s\n", aside)
	}
	if inspection.Reason != "" {
		startMode = "anew, as a newcomer: it may have forgotten what it promised"
	}
	fmt.Fprintf(out, "a process starts %s\n", startMode)
	return errors.Join(damageOf(inspection), unreadable)
}

// summarize describes the content of a record.
func summarize(name string, data []byte) (string, error) {
	switch name {
	case consensusRecord:
		state, err := consensus.DecodeState(data)
		if err != nil {
			return "", fmt.Errorf("record %q: %w", name, err)
		}
		return fmt.Sprintf("configuration %08x, epoch %d", state.Committed.Version, state.Record.Ballot.N), nil
	case serversRecord, leavingRecord:
		var servers []registry.Row
		if err := cbor.Unmarshal(data, &servers); err != nil {
			return "", fmt.Errorf("record %q: %w", name, err)
		}
		return fmt.Sprintf("%d servers", len(servers)), nil
	}
	return fmt.Sprintf("%d bytes", len(data)), nil
}

// restore replaces a state with a snapshot. A single machine must not go back to an
// earlier state, since it would break promises that it has given in the meantime. So it
// gets a new disk ID and only the configuration, and joins as if its disk were empty. If
// the whole core is restored, its machines keep their disk IDs but forget the tokens that
// they know of each other, since their snapshots are of different times.
func restore(args []string, wholeCore bool, out io.Writer) error {
	dir, snapshotPath, err := parseDirAndFile(args)
	if err != nil {
		return err
	}
	if _, err := os.Stat(snapshotPath); err != nil {
		return err
	}
	store, err := storage.Open(dir)
	if store == nil {
		return err
	}
	err = store.Restore(snapshotPath, func(records map[string][]byte) error { return prepareRestored(records, wholeCore) })
	if err = errors.Join(err, store.Close()); err != nil {
		return err
	}
	if store, err = storage.Open(dir); store != nil {
		defer store.Close()
	}
	if err != nil {
		return err
	}
	summary, err := verify(store)
	if err == nil {
		fmt.Fprintf(out, "%s: %s\n", dir, summary)
		if !wholeCore {
			fmt.Fprintln(out, "alone: a process joins anew, as a newcomer")
		}
	}
	return err
}

// prepareRestored changes the records of a snapshot into those that a machine may start on.
func prepareRestored(records map[string][]byte, wholeCore bool) error {
	data, ok := records[consensusRecord]
	if !ok {
		return nil
	}
	state, err := consensus.DecodeState(data)
	if err != nil {
		return fmt.Errorf("record %q: %w", consensusRecord, err)
	}
	if wholeCore {
		state.KnownTokens = nil
	} else {
		var diskID [8]byte
		if _, err := rand.Read(diskID[:]); err != nil {
			return err
		}
		state = &consensus.DurableState{DiskID: binary.BigEndian.Uint64(diskID[:]) | 1, Committed: state.Committed}
		clear(records)
	}
	data, err = state.Encode()
	records[consensusRecord] = data
	return err
}

// verify reads every record and returns a summary.
func verify(store *storage.Store) (string, error) {
	summary, names := "no state of agreement", store.Names()
	for _, name := range names {
		data, err := store.Load(name)
		if err != nil {
			return "", err
		}
		if name != consensusRecord {
			continue
		}
		if summary, err = summarize(name, data); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d records, read back: %s", len(names), summary), nil
}

// parseDirAndFile returns the arguments DIR and FILE.
func parseDirAndFile(args []string) (dir, path string, err error) {
	if len(args) != 2 {
		return "", "", fmt.Errorf("needs DIR and FILE, not %d arguments", len(args))
	}
	dir, err = resolveStateDir(args[0])
	return dir, args[1], err
}

// resolveStateDir returns the resolved path of a state directory, or an error if a process
// has its database open.
func resolveStateDir(dir string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", err
	}
	if resolved, err := filepath.EvalSymlinks(dir); err == nil {
		dir = resolved
	}
	openFiles, _ := filepath.Glob("/proc/[0-9]*/fd/*")
	for _, fd := range openFiles {
		if target, err := os.Readlink(fd); err == nil && target == filepath.Join(dir, databaseName) {
			return "", &UnusableStateError{dir, "in use by process " + filepath.Base(filepath.Dir(filepath.Dir(fd))) + ": stop it first"}
		}
	}
	return dir, nil
}
