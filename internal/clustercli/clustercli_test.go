package clustercli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Invalid input and an unreachable cluster give messages that name the place, and exit
// codes that scripts can tell apart.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cluster := file("cluster.json", `{"enabled": true, "cluster": "c", "name": "a", "listen": "127.0.0.1:1", "voters": [{"name": "a", "address": "127.0.0.1:1"}]}`)
	good := file("good.json", `{"services": [{"name": "read", "aimMs": 1, "effect": "retryable"}], "contracts": [{"name": "basic", "quotaRate": 1, "peakUnits": 1}]}`)
	bad := file("bad.json", "{\n\"services\": 5}")
	off := file("off.json", `{"enabled": false}`)
	for _, c := range []struct {
		file string
		args string
		code int
		says string
	}{
		{cluster, "policy propose " + bad, Wrong, "bad.json: line 2: services"},
		{cluster, "policy propose " + good + " --timeout 100ms", Unknown, "no leader was reached"},
		{cluster, "policy status --timeout 100ms", Nobody, "no leader was reached"},
		{cluster, "policy show x", Wrong, `not a version: "x"`},
		{cluster, "policy fate x", Wrong, `not a change's id: "x"`},
		{cluster, "policy nonsense --x", Wrong, "unknown flag"},
		{cluster, "cluster form --timeout 100ms", Wrong, "folder is missing"},
		{off, "policy status", Wrong, "not enabled"},
		{bad, "policy status", Wrong, "bad.json: "},
	} {
		t.Setenv("ASTERWELL_CLUSTER", c.file)
		var out, errOut strings.Builder
		if code := Run(strings.Fields(c.args), &out, &errOut); code != c.code || !strings.Contains(errOut.String(), c.says) {
			t.Errorf("%s: exit code %d, want %d: %s", c.args, code, c.code, errOut.String())
		}
	}
}
