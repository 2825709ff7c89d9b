package bench

import "testing"

// TestControlState plays a few days of the point, and finds all mutants.
func TestControlState(t *testing.T) {
	t.Parallel()
	p, err := controlState(6, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range stateKeys {
		if n, judged := p.Broken[k]; n > 0 || !judged {
			t.Errorf("%s: %d, judged %v: %v", k, n, judged, p.Lines)
		}
	}
	if p.Mutants == 0 || p.Found != p.Mutants || p.Worst["caught_up_s_max"] == 0 {
		t.Errorf("%+v", p)
	}
}
