package dns

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func targets(names string) (list []Target) {
	for _, c := range names {
		list = append(list, Target{Host: string(c) + ".", Port: 1})
	}
	return list
}

func names(list []Target) (s string) {
	for _, t := range list {
		s += t.Host[:1]
	}
	return s
}

// Each step is an answer: when, whose, and what it lists; then what counts, and
// whether a second one is wanted.
func TestGuard(t *testing.T) {
	type step struct {
		at           int
		server, list string
		want         string
		sure         bool
	}
	for name, steps := range map[string][]step{
		"little is gone":               {{0, "x", "abcdef", "abcdef", true}, {1, "x", "abcde", "abcde", true}},
		"much, and confirmed":          {{0, "x", "abcdef", "abcdef", true}, {1, "x", "abc", "abcdef", false}, {2, "y", "abc", "abc", true}},
		"much, and refuted":            {{0, "x", "abcdef", "abcdef", true}, {1, "x", "abc", "abcdef", false}, {2, "y", "abcdef", "abcdef", true}, {3, "x", "abc", "abcdef", false}},
		"the same server says it on":   {{0, "x", "abcdef", "abcdef", true}, {1, "x", "abc", "abcdef", false}, {5, "x", "abc", "abcdef", false}, {11, "x", "abc", "abc", true}},
		"what comes meanwhile counts":  {{0, "x", "abcdef", "abcdef", true}, {1, "x", "abcg", "abcdefg", false}, {2, "y", "abcg", "abcg", true}},
		"the second one lacks others":  {{0, "x", "abcdef", "abcdef", true}, {1, "x", "abc", "abcdef", false}, {2, "y", "def", "abcdef", false}, {3, "x", "def", "def", true}},
		"the second one lacks more":    {{0, "x", "abcdefgh", "abcdefgh", true}, {1, "x", "abcde", "abcdefgh", false}, {2, "y", "abcd", "abcd", true}},
		"all is gone":                  {{0, "x", "a", "a", true}, {1, "x", "", "a", false}, {2, "y", "", "", true}},
		"all is new":                   {{0, "x", "ab", "ab", true}, {1, "x", "cd", "abcd", false}, {2, "y", "cd", "cd", true}},
		"much that is new hides it":    {{0, "x", "a", "a", true}, {1, "x", "bcdefg", "abcdefg", false}, {2, "x", "bcdefg", "abcdefg", false}, {11, "x", "bcdefg", "bcdefg", true}},
		"one comes back meanwhile":     {{0, "x", "abcdef", "abcdef", true}, {1, "x", "abc", "abcdef", false}, {5, "x", "abcd", "abcdef", false}, {12, "x", "ab", "abcd", false}},
		"back, and then gone for good": {{0, "x", "abcd", "abcd", true}, {1, "x", "ab", "abcd", false}, {5, "x", "abcd", "abcd", true}, {12, "x", "ab", "abcd", false}},
	} {
		g := Guard{Share: 0.3, Least: 2, Hold: 10 * time.Second}
		var last []Target
		for i, s := range steps {
			v := g.Judge(time.Unix(int64(s.at), 0), s.server, last, targets(s.list))
			if got := names(v.List); got != s.want || v.Sure != s.sure {
				t.Errorf("%s, step %d: %s %v, want %s %v", name, i, got, v.Sure, s.want, s.sure)
			}
			last = v.List
		}
	}
}

// Whatever answers come, nothing is dropped in one step that only one answer
// lacks, unless it is little; and all that the answer has counts.
func TestGuardDropsNothingOnOneWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Guard{Share: 0.3, Least: 2, Hold: 10 * time.Second}
		now := time.Unix(0, 0)
		var last []Target
		lacked := map[key]int{} // answers in a row
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "wait")) * time.Second)
			mask := rapid.Uint16().Draw(t, "answer")
			var answer []Target
			for i := range 16 {
				if mask>>i&1 == 1 {
					answer = append(answer, Target{Host: fmt.Sprintf("%c.", 'a'+i), Port: 1})
				}
			}
			v := g.Judge(now, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server"), last, answer)
			for _, o := range last {
				if !slices.ContainsFunc(answer, is(o)) {
					lacked[key{o.Host, 1}]++
				}
			}
			sudden, confirmed := 0, 0
			for _, o := range last {
				switch {
				case slices.ContainsFunc(v.List, is(o)):
				case lacked[key{o.Host, 1}] < 2:
					sudden++
				default:
					confirmed++
				}
			}
			of := len(last) - confirmed
			if sudden > 0 && (sudden == of || sudden > 1 && float64(sudden) > 0.3*float64(of)) {
				t.Fatalf("%d dropped on one word: %s of %s, answer %s", sudden, names(v.List), names(last), names(answer))
			}
			for _, o := range answer {
				if delete(lacked, key{o.Host, 1}); !slices.ContainsFunc(v.List, is(o)) {
					t.Fatalf("%v of the answer does not count", o)
				}
			}
			last = v.List
		}
	})
}

func TestLife(t *testing.T) {
	l := Life{Min: time.Second, Max: time.Minute, NegMax: 10 * time.Second, Retry: time.Second}
	got := []time.Duration{l.Bound(0, false), l.Bound(30*time.Second, false), l.Bound(time.Hour, false), l.Bound(time.Hour, true)}
	if d := cmp.Diff([]time.Duration{time.Second, 30 * time.Second, time.Minute, 10 * time.Second}, got); d != "" {
		t.Error(d)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		if r := l.Refresh(time.Minute, rng); r < 48*time.Second || r > 54*time.Second {
			t.Fatal("refresh after", r)
		}
		if a := l.Again(100, rng); a < 12*time.Second || a > 20*time.Second {
			t.Fatal("again after", a)
		}
	}
}

func TestServersTakeTurns(t *testing.T) {
	now := time.Unix(0, 0)
	s := Servers{Back: time.Second, Most: 4 * time.Second}
	s.Set([]string{"a", "b", "c"})
	pick := func(avoid ...string) string { a, _ := s.Pick(now, avoid...); return a }
	if got := pick() + pick() + pick() + pick(); got != "abca" {
		t.Error("in turn:", got)
	}
	s.Failed(now, "b")
	if got := pick() + pick() + pick("c"); got != "cac" && got != "caa" {
		t.Error("b has failed:", got)
	}
	s.Failed(now, "a")
	if got := pick("c") + pick("c"); got != "cc" {
		t.Error("only c is well:", got)
	}
	now = now.Add(500 * time.Millisecond)
	s.Failed(now, "c")
	if got := pick(); got != "a" && got != "b" {
		t.Error("all have failed, c last:", got)
	}
	now = now.Add(time.Hour)
	for i, want := range []time.Duration{2, 4, 4, 4} { // seconds that a stays away
		s.Failed(now, "a")
		if n := s.find("a"); n.until != now.Add(want*time.Second) {
			t.Error("failure", i, n.until.Sub(now))
		}
		now = now.Add(want * time.Second)
	}
	if s.Answered("a"); s.find("a").fails != 0 {
		t.Error("a is well")
	}
	s.Bare("b")
	s.Set([]string{"b", "d"})
	if a, bare := s.Pick(now); a != "b" || !bare {
		t.Error("b is known still:", a, bare)
	}
}

func is(o Target) func(Target) bool { return func(t Target) bool { return t.Host == o.Host } }
