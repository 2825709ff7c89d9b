package lab

import (
	"testing"
	"time"

	"asterwell/internal/yarn"
)

func TestOneText(t *testing.T) {
	call := func(number uint32, text string, from, to int, end string) yarn.Call {
		return yarn.Call{Number: number, Text: text, From: time.Duration(from), To: time.Duration(to), End: end}
	}
	for name, c := range map[string]struct {
		calls []yarn.Call
		key   string
	}{
		"a race":                  {[]yarn.Call{call(5, "a", 1, 9, yarn.Acked), call(5, "b", 2, 8, yarn.Differed), call(5, "a", 10, 11, yarn.Saw)}, ""},
		"both confirmed":          {[]yarn.Call{call(5, "a", 1, 9, yarn.Acked), call(5, "b", 2, 8, yarn.Acked)}, twoTexts},
		"refused again":           {[]yarn.Call{call(5, "a", 1, 9, yarn.Acked), call(5, "a", 12, 18, yarn.Differed)}, refusedNow},
		"refused before any came": {[]yarn.Call{call(5, "a", 1, 2, yarn.Differed), call(5, "b", 3, 4, yarn.Acked)}, twoTexts},
		"another one read":        {[]yarn.Call{call(5, "a", 1, 2, yarn.Acked), call(5, "b", 3, 4, yarn.Saw)}, twoTexts},
		"unclear, and taken":      {[]yarn.Call{call(5, "a", 1, 2, yarn.Unclear), call(5, "b", 30, 40, yarn.Differed), call(5, "a", 50, 51, yarn.Saw)}, ""},
		"unclear, and not taken":  {[]yarn.Call{call(5, "a", 1, 2, yarn.Unclear), call(5, "b", 3, 4, yarn.Acked)}, ""},
		"of two numbers":          {[]yarn.Call{call(5, "a", 1, 2, yarn.Acked), call(6, "b", 1, 2, yarn.Acked)}, ""},
	} {
		if key, why := oneText(c.calls); key != c.key {
			t.Errorf("%s: %q %s, not %q", name, key, why, c.key)
		}
	}
}

func TestControlOrders(t *testing.T) {
	t.Parallel()
	p, err := controlOrders(4, 1)
	if err != nil || len(p.Lines) > 0 || p.Found != p.Mutants {
		t.Errorf("%+v %v", p, err)
	}
}
