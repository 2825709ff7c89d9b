package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/pact"
	"asterwell/internal/vault"
)

const (
	file   = "vault.db"
	record = "pact" // as package weave names it
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
	v, err := vault.Open(dir)
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

// restore replaces a state. A single machine must not go back: it would break promises
// that it has given since. One that lost its disk starts empty, and is taken back in.
func restore(args []string, whole bool, out io.Writer) error {
	dir, from, err := places(args)
	if err != nil {
		return err
	}
	if !whole {
		return &Unfit{dir, "a core of which one machine goes back can lose what it acknowledged; start that machine with an " +
			"empty folder instead, or stop and restore them all with --whole-core"}
	}
	if _, err := os.Stat(from); err != nil {
		return err
	}
	v, err := vault.Open(dir)
	if v == nil {
		return err
	}
	err = v.Restore(from)
	if err = errors.Join(err, v.Close()); err != nil {
		return err
	}
	if v, err = vault.Open(dir); v != nil {
		defer v.Close()
	}
	if err != nil {
		return err
	}
	sum, err := read(v)
	if err == nil {
		fmt.Fprintf(out, "%s: %s\n", dir, sum)
	}
	return err
}

// read reads every record, and sums up what is in them.
func read(v *vault.Vault) (string, error) {
	sum, names := "no state of agreement", v.Names()
	for _, name := range names {
		data, err := v.Load(name)
		if err != nil {
			return "", err
		}
		if name != record {
			continue
		}
		var d pact.Disk
		if err := cbor.Unmarshal(data, &d); err != nil {
			return "", fmt.Errorf("record %q: %w", record, err)
		}
		sum = fmt.Sprintf("configuration %08x, epoch %d", d.Kept.Version, d.Record.Ballot.N)
	}
	return fmt.Sprintf("%d records, read back: %s", len(names), sum), nil
}

// places takes DIR and FILE, and refuses a folder that a process has open.
func places(args []string) (dir, path string, err error) {
	if len(args) != 2 {
		return "", "", fmt.Errorf("needs DIR and FILE, not %d arguments", len(args))
	}
	if dir, err = filepath.Abs(args[0]); err != nil {
		return "", "", err
	}
	if real, err := filepath.EvalSymlinks(dir); err == nil {
		dir = real
	}
	open, _ := filepath.Glob("/proc/[0-9]*/fd/*")
	for _, fd := range open {
		if to, err := os.Readlink(fd); err == nil && to == filepath.Join(dir, file) {
			return "", "", &Unfit{dir, "in use by process " + filepath.Base(filepath.Dir(filepath.Dir(fd))) + ": stop it first"}
		}
	}
	return dir, args[1], nil
}
