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
	testscript.Main(m, map[string]func(){"loom": main, "full": full})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"keep": keep, "hold": hold, "spoil": spoil,
			"flip": flip, "poke": poke, "seatless": seatless}})
}

// full is loom on a disk that takes no more: files can't grow beyond their first page.
func full() {
	signal.Ignore(syscall.SIGXFSZ)
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: 4096}); err != nil {
		panic(err)
	}
	main()
}

// flip turns one bit of the first place in a file where a text stands: flip FILE TEXT.
func flip(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	text, err := os.ReadFile(path)
	ts.Check(err)
	i := bytes.Index(text, []byte(args[1]))
	if i < 0 {
		ts.Fatalf("%s is not in %s", args[1], args[0])
	}
	text[i] ^= 4
	ts.Check(os.WriteFile(path, text, 0o644))
}

// poke writes bytes at a place of a file, and may end it there: poke FILE OFFSET BYTES|end.
func poke(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	at, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	if args[2] == "end" {
		ts.Check(os.Truncate(path, at))
		return
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	ts.Check(err)
	defer f.Close()
	bytes, err := hex.DecodeString(args[2])
	ts.Check(err)
	_, err = f.WriteAt(bytes, at)
	ts.Check(err)
}

// keep saves a configuration in a state: keep DIR VERSION. Saved twice, it has both
// generations.
func keep(ts *testscript.TestScript, _ bool, args []string) {
	syscall.ForkLock.RLock() // else what another script starts holds the state's lock until it is another program
	defer syscall.ForkLock.RUnlock()
	v, err := storage.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	defer v.Close()
	seat := consensus.Member{Addr: "here", DiskID: 1}
	body, err := cbor.Marshal(consensus.DurableState{DiskID: 1, Format: consensus.StateFormat, Record: consensus.EpochRecord{ClusterID: 1, Members: []consensus.Member{seat}}, Saves: 7,
		KnownTokens: []consensus.KnownToken{{Addr: "there", DiskID: 2, Saves: 9, RunID: 3}}, Committed: consensus.Doc{Version: uint32(args[1][0] - '0'), Body: []byte("configuration of " + args[1])}})
	ts.Check(err)
	if args[1] == "later" { // a later program's
		body, err = cbor.Marshal(map[int]any{1: 1, 6: "of another kind", 10: 2})
		ts.Check(err)
	}
	if args[1] == "none" { // of this program's
		body = []byte("configuration of nobody")
	}
	ts.Check(v.Save(record, body))
	ts.Check(v.Save(record, body))
}

// seatless says that a state has nothing but a new life and a configuration; or else its life and seat, and no marks.
func seatless(ts *testscript.TestScript, neg bool, args []string) {
	syscall.ForkLock.RLock() // see keep
	defer syscall.ForkLock.RUnlock()
	v, err := storage.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	defer v.Close()
	data, err := v.Load(record)
	ts.Check(err)
	var d consensus.DurableState
	ts.Check(cbor.Unmarshal(data, &d))
	if new := reflect.DeepEqual(d, consensus.DurableState{DiskID: d.DiskID, Committed: d.Committed}) && d.DiskID > 1; new == neg ||
		neg && (d.DiskID != 1 || len(d.Record.Members) != 1 || len(d.KnownTokens) > 0) {
		ts.Fatalf("%+v", d)
	}
}

// hold has a state open until the script ends, as a process would.
func hold(ts *testscript.TestScript, _ bool, args []string) {
	v, err := storage.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	ts.Defer(func() { v.Close() })
}

// spoil damages all that a record says in a file.
func spoil(ts *testscript.TestScript, _ bool, args []string) {
	path := filepath.Join(ts.MkAbs(args[0]))
	text, err := os.ReadFile(path)
	ts.Check(err)
	ts.Check(os.WriteFile(path, []byte(strings.ReplaceAll(string(text), record, "pakt")), 0o644))
}
