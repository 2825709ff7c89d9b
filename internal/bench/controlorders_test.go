package bench

import (
	"testing"
	"time"

	"asterwell/internal/systemsim"
)

func TestOneText(t *testing.T) {
	call := func(number uint32, text string, from, to int, end string) systemsim.Call {
		return systemsim.Call{Number: number, Text: text, From: time.Duration(from), To: time.Duration(to), End: end}
	}
	for name, c := range map[string]struct {
		calls []systemsim.Call
		key   string
	}{
		"a race":                  {[]systemsim.Call{call(5, "a", 1, 9, systemsim.Acked), call(5, "b", 2, 8, systemsim.Differed), call(5, "a", 10, 11, systemsim.Saw)}, ""},
		"both confirmed":          {[]systemsim.Call{call(5, "a", 1, 9, systemsim.Acked), call(5, "b", 2, 8, systemsim.Acked)}, twoTexts},
		"refused again":           {[]systemsim.Call{call(5, "a", 1, 9, systemsim.Acked), call(5, "a", 12, 18, systemsim.Differed)}, refusedNow},
		"refused before any came": {[]systemsim.Call{call(5, "a", 1, 2, systemsim.Differed), call(5, "b", 3, 4, systemsim.Acked)}, twoTexts},
		"another one read":        {[]systemsim.Call{call(5, "a", 1, 2, systemsim.Acked), call(5, "b", 3, 4, systemsim.Saw)}, twoTexts},
		"unclear, and taken":      {[]systemsim.Call{call(5, "a", 1, 2, systemsim.Unclear), call(5, "b", 30, 40, systemsim.Differed), call(5, "a", 50, 51, systemsim.Saw)}, ""},
		"unclear, and not taken":  {[]systemsim.Call{call(5, "a", 1, 2, systemsim.Unclear), call(5, "b", 3, 4, systemsim.Acked)}, ""},
		"of two numbers":          {[]systemsim.Call{call(5, "a", 1, 2, systemsim.Acked), call(6, "b", 1, 2, systemsim.Acked)}, ""},
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
