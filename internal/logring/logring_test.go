package logring

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/apex/log"
)

// TestRing: the last lines are kept whether they were written or not, and an error writes out those that
// were not, once.
func TestRing(t *testing.T) {
	var out bytes.Buffer
	r := New(&out, "n", 4, log.InfoLevel)
	logger := &log.Logger{Handler: r, Level: log.DebugLevel}
	stripTimes := func(text string) string { return regexp.MustCompile(` +[0-9.]+ n `).ReplaceAllString(text, "") }
	logger.Debug("a")
	logger.Info("b")
	logger.Debug("c")
	if got := stripTimes(strings.Join(r.Lines(), ",")); got != "debug a,info b,debug c" {
		t.Errorf("kept: %s", got)
	}
	logger.Error("d")
	logger.Error("e")
	if got := stripTimes(strings.Join(r.Lines(), ",")); got != "info b,debug c,error d,error e" {
		t.Errorf("kept: %s", got)
	}
	if got := stripTimes(out.String()); got != "info b\n  |debug a\n  |debug c\nerror d\nerror e\n" {
		t.Errorf("written: %q", got)
	}
}
