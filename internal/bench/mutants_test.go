package bench

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Every mutant can still be put into the source: what it replaces is there just once.
func TestMutantsFit(t *testing.T) {
	files, err := filepath.Glob("../sim/testdata/mutants/*.txt")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d mutants, %v", len(files), err)
	}
	rules := map[string]bool{}
	for _, f := range files {
		m, err := ReadMutant(f)
		if err != nil {
			t.Error(err)
			continue
		}
		rules[m.Rule] = true
		if _, err := m.overlay("../..", t.TempDir()); err != nil {
			t.Error(err)
		}
	}
	for _, rule := range []string{"twice", "drain", "cold", "ceiling", "attempts", "answers", "bytes", "lost", "books", "liveness", "end"} {
		if !rules[rule] {
			t.Errorf("no mutant breaks the rule %q", rule)
		}
	}
}

// Those of the cluster's world, and of the whole system's.
func TestOtherMutantsFit(t *testing.T) {
	for dir, least := range map[string]int{"../cluster/world": 6, "../systemsim": 1} {
		files, err := filepath.Glob(filepath.Join(dir, "testdata/mutants/*.txt"))
		if err != nil || len(files) < least {
			t.Fatalf("%s: %d mutants, %v", dir, len(files), err)
		}
		for _, f := range files {
			m, err := ReadMutant(f)
			if err == nil {
				_, err = m.overlay("../..", t.TempDir())
			}
			if err != nil {
				t.Error(err)
			}
		}
	}
}

func TestBadMutants(t *testing.T) {
	file := filepath.Join(t.TempDir(), "m.txt")
	for want, text := range map[string]string{
		"line 1":           "oops\n",
		"no rule":          "# what\n",
		"line 2":           "# rule: x\n-before a file\n",
		"replaced 0 times": "# rule: x\nfile choice/choice.go\n-not there\n+x\n",
		"no such file":     "# rule: x\nfile choice/nothing.go\n-a\n+b\n",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		m, err := ReadMutant(file)
		if err == nil {
			_, err = m.overlay("../..", t.TempDir())
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}

// The last line is the figures, whatever broke.
func TestReport(t *testing.T) {
	r := &Report{Name: "x", Seed: 3, Figure: map[string]any{"a": 1}}
	r.Row("what", 1.23456, 7)
	r.Rule(false, "%d too many", 2)
	r.Rule(true, "fine")
	var b strings.Builder
	file := filepath.Join(t.TempDir(), "f.json")
	if err := r.Print(&b, file); err != nil {
		t.Fatal(err)
	}
	want := "what  1.235  7  \nbroken: 2 too many\n" + `{"a":1,"measure":"x","rules_broken":1,"seed":3}` + "\n"
	if b.String() != want {
		t.Errorf("%q, want %q", b.String(), want)
	}
	if text, err := os.ReadFile(file); err != nil || !strings.HasSuffix(want, string(text)) {
		t.Error(string(text), err)
	}
}

func TestCount(t *testing.T) {
	g := &Gateway{}
	g.log.Write([]byte("n event=a x=1 y=2\nn event=b x=5\nn event=a x=3.5\n"))
	if x, y, z := g.Logged("a", "x"), g.Logged("a", "y"), g.Logged("c", "x"); x != 3.5 || y != 2 || z != 0 {
		t.Error(x, y, z)
	}
}
