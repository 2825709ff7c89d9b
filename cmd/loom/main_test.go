package main

import (
	"bytes"
	"encoding/hex"
	"os"
	"os/signal"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sys/unix"

	"asterwell/internal/consensus"
	"asterwell/internal/storage"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"loom": main, "full": loomOnFullDisk})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"keep": saveState, "hold": holdOpen, "spoil": corruptRecord,
			"flip": flipBit, "poke": overwrite, "seatless": checkNewcomer}})
}

// loomOnFullDisk runs loom with files limited to their first page, as on a full disk.
func loomOnFullDisk() {
	signal.Ignore(syscall.SIGXFSZ)
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: 4096}); err != nil {
		panic(err)
	}
	main()
}

// flipBit inverts one bit of the first occurrence of a text in a file: flip FILE TEXT.
func flipBit(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	content, err := os.ReadFile(path)
	ts.Check(err)
	i := bytes.Index(content, []byte(args[1]))
	if i < 0 {
		ts.Fatalf("%s is not in %s", args[1], args[0])
	}
	content[i] ^= 4
	ts.Check(os.WriteFile(path, content, 0o644))
}

// overwrite writes hexadecimal bytes at an offset of a file, or truncates the file there:
// poke FILE OFFSET BYTES|end.
func overwrite(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	offset, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	if args[2] == "end" {
		ts.Check(os.Truncate(path, offset))
		return
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	ts.Check(err)
	defer f.Close()
	data, err := hex.DecodeString(args[2])
	ts.Check(err)
	_, err = f.WriteAt(data, offset)
	ts.Check(err)
}

// saveState saves a state with a configuration: keep DIR VERSION. VERSION is a digit, "later" for
// a state of a later program, or "none" for one that can't be decoded. It saves twice, so that
// both generations of the record exist.
func saveState(ts *testscript.TestScript, _ bool, args []string) {
	syscall.ForkLock.RLock() // else a program that another script starts inherits the open database until exec
	defer syscall.ForkLock.RUnlock()
	store, err := storage.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	defer store.Close()
	member := consensus.Member{Addr: "here", DiskID: 1}
	body, err := cbor.Marshal(consensus.DurableState{DiskID: 1, Format: consensus.StateFormat, Record: consensus.EpochRecord{ClusterID: 1, Members: []consensus.Member{member}}, Saves: 7,
		KnownTokens: []consensus.KnownToken{{Addr: "there", DiskID: 2, Saves: 9, RunID: 3}}, Committed: consensus.Doc{Version: uint32(args[1][0] - '0'), Body: []byte("configuration of " + args[1])}})
	ts.Check(err)
	if args[1] == "later" { // a state of a later program
		body, err = cbor.Marshal(map[int]any{1: 1, 6: "of another kind", 10: 2})
		ts.Check(err)
	}
	if args[1] == "none" { // a state that no program wrote
		body = []byte("configuration of nobody")
	}
	ts.Check(store.Save(consensusRecord, body))
	ts.Check(store.Save(consensusRecord, body))
}

// checkNewcomer checks that a state holds only a new disk ID and a configuration. Negated, it checks that
// the state keeps its disk ID and membership but no known tokens: [!] seatless DIR.
func checkNewcomer(ts *testscript.TestScript, neg bool, args []string) {
	syscall.ForkLock.RLock() // see saveState
	defer syscall.ForkLock.RUnlock()
	store, err := storage.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	defer store.Close()
	data, err := store.Load(consensusRecord)
	ts.Check(err)
	var state consensus.DurableState
	ts.Check(cbor.Unmarshal(data, &state))
	if newcomer := reflect.DeepEqual(state, consensus.DurableState{DiskID: state.DiskID, Committed: state.Committed}) && state.DiskID > 1; newcomer == neg ||
		neg && (state.DiskID != 1 || len(state.Record.Members) != 1 || len(state.KnownTokens) > 0) {
		ts.Fatalf("%+v", state)
	}
}

// holdOpen keeps a state open until the script ends, as a running process would: hold DIR.
func holdOpen(ts *testscript.TestScript, _ bool, args []string) {
	store, err := storage.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	ts.Defer(func() { store.Close() })
}

// corruptRecord changes the name of the consensus record wherever it occurs in a file: spoil FILE.
func corruptRecord(ts *testscript.TestScript, _ bool, args []string) {
	path := filepath.Join(ts.MkAbs(args[0]))
	content, err := os.ReadFile(path)
	ts.Check(err)
	ts.Check(os.WriteFile(path, []byte(strings.ReplaceAll(string(content), consensusRecord, "pakt")), 0o644))
}
