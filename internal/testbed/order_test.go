package testbed

import (
	"strings"
	"testing"
	"time"

	"asterwell/internal/policy"
)

// Three versions, and answers that say, or don't, that one of them is missing or was in
// force too long.
func TestMisfit(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	changes := []*proposal{
		{k: 1, version: 1, fate: policy.Committed, from: ms(10), to: ms(30)},
		{k: 2, version: 2, fate: policy.Committed, from: ms(40), to: ms(60)},
		{k: 3, fate: policy.Withdrawn, from: ms(70), to: ms(80)},
		{k: 4, version: 3, fate: policy.Committed, from: ms(90)},
	}
	for name, x := range map[string]struct {
		marks []mark
		want  string
	}{
		"in order":         {[]mark{{1, ms(31), ms(33), true, 0}, {2, ms(33), ms(34), false, 0}, {2, ms(61), ms(70), true, 1}, {4, ms(95), ms(99), false, 1}}, ""},
		"beside its turn":  {[]mark{{1, ms(41), ms(59), true, 0}, {2, ms(42), ms(58), true, 0}, {1, ms(45), ms(58), false, 1}}, ""},
		"too long":         {[]mark{{1, ms(61), ms(62), true, 3}}, "version 2, of change 2: not before 61ms (g-3 from 61ms to 62ms, of 1: true), yet by 60ms (its outcome)"},
		"old after new":    {[]mark{{2, ms(44), ms(45), true, 0}, {1, ms(46), ms(47), true, 1}}, "version 2, of change 2: not before 46ms"},
		"nobody's between": {[]mark{{1, ms(31), ms(32), false, 2}}, "yet by 32ms (g-2 from 31ms to 32ms, of 1: false)"},
		"gone at the end":  {[]mark{{4, ms(95), ms(96), true, 0}, {4, ms(97), ms(98), false, 2}}, "version 3, the last, of change 4: there by 96ms"},
	} {
		got := misfit(changes, func(c *proposal) bool { return c.fate == policy.Committed }, x.marks)
		if got == "" != (x.want == "") || !strings.Contains(got, x.want) {
			t.Errorf("%s: %q, want %q", name, got, x.want)
		}
	}
}
