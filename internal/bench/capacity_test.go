package bench

import (
	"errors"
	"math"
	"os"
	"strings"
	"testing"
)

const docs = "../../docs/"

// The page has no figure but those that the kept results have: made anew, it is as it stands.
func TestCapacityPage(t *testing.T) {
	k, err := ReadKept(docs + "results/scale.json")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(docs + "results/capacity.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	made, err := k.Page(string(text))
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(docs + "CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	is, want := strings.Split(string(page), "\n"), strings.Split(made, "\n")
	for i := range min(len(is), len(want)) {
		if is[i] != want[i] {
			t.Errorf("CAPACITY.md:%d says\n%s\nthe results have\n%s", i+1, is[i], want[i])
		}
	}
	if len(is) != len(want) {
		t.Errorf("CAPACITY.md has %d lines, made from the results %d", len(is), len(want))
	}
	slopes := k.Slopes
	k.fit()
	for name, s := range k.Slopes {
		if kept := slopes[name]; math.Abs(kept.By-s.By) > 1e-9*math.Abs(s.By) || math.Abs(kept.At0-s.At0) > 1e-9*math.Abs(s.At0)+1e-12 {
			t.Errorf("slope %s is kept as %g + %g x, its runs give %g + %g x", name, kept.At0, kept.By, s.At0, s.By)
		}
	}
}

// A figure that no run has is no figure.
func TestCapacityMissing(t *testing.T) {
	k := &Kept{Runs: map[string]map[string]any{"a": {"gateways": 11.0, "by_phase": map[string]any{"rest": map[string]any{"span_s": 4.0}}}}}
	for text, want := range map[string]string{
		`{{n (fig "a" "gateways")}}`:                  "11",
		`{{n (fig "a" "gateways*1000/rest.span_s")}}`: "2,750",
		`{{pct (fig "a" "rest.span_s/1000")}}`:        "0.4%",
		`{{fig "b" "gateways"}}`:                      "",
		`{{fig "a" "rest.bytes_s"}}`:                  "",
		`{{(slope "none").By}}`:                       "",
	} {
		got, err := k.Page(text)
		var m *Missing
		if want == "" && !errors.As(err, &m) || want != "" && (err != nil || got != want) {
			t.Errorf("%s: %q, %v", text, got, err)
		}
	}
}

func TestLine(t *testing.T) {
	s := Slope{Points: [][2]float64{{1, 3}, {2, 5}, {3, 7}}}
	if s.line(); math.Abs(s.By-2) > 1e-12 || math.Abs(s.At0-1) > 1e-12 || s.Spread > 1e-12 {
		t.Errorf("%+v", s)
	}
	s = Slope{Points: [][2]float64{{0, 0}, {1, 10}, {2, 0}}}
	if s.line(); math.Abs(s.Spread-2.0/3) > 1e-9 {
		t.Errorf("spread %g", s.Spread)
	}
}
