package logring

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/apex/log"
)

// TestRing: the last lines are kept whether they were written or not, and an error brings
// out those that were not, once.
func TestRing(t *testing.T) {
	var out bytes.Buffer
	r := New(&out, "n", 4, log.InfoLevel)
	say := &log.Logger{Handler: r, Level: log.DebugLevel}
	bare := func(text string) string { return regexp.MustCompile(` +[0-9.]+ n `).ReplaceAllString(text, "") }
	say.Debug("a")
	say.Info("b")
	say.Debug("c")
	if got := bare(strings.Join(r.Lines(), ",")); got != "debug a,info b,debug c" {
		t.Errorf("kept: %s", got)
	}
	say.Error("d")
	say.Error("e")
	if got := bare(strings.Join(r.Lines(), ",")); got != "info b,debug c,error d,error e" {
		t.Errorf("kept: %s", got)
	}
	if got := bare(out.String()); got != "info b\n  |debug a\n  |debug c\nerror d\nerror e\n" {
		t.Errorf("written: %q", got)
	}
}
