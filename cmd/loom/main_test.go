package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"asterwell/internal/pact"
	"asterwell/internal/vault"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"loom": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"keep": keep, "hold": hold, "spoil": spoil}})
}

// keep saves a configuration in a state: keep DIR VERSION. Saved twice, it has both
// generations.
func keep(ts *testscript.TestScript, _ bool, args []string) {
	v, err := vault.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	defer v.Close()
	body, err := cbor.Marshal(pact.Disk{Life: 1, Kept: pact.Doc{Version: uint32(args[1][0] - '0'), Body: []byte("x")}})
	ts.Check(err)
	ts.Check(v.Save(record, body))
	ts.Check(v.Save(record, body))
}

// hold has a state open until the script ends, as a process would.
func hold(ts *testscript.TestScript, _ bool, args []string) {
	v, err := vault.Open(ts.MkAbs(args[0]))
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
