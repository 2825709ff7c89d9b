package bench

import "testing"

// Few days of the point; the measurement plays more.
func TestControlRollout(t *testing.T) {
	t.Parallel()
	p, err := controlRollout(6, 1)
	if err != nil || p.Mutants == 0 || p.Found != p.Mutants {
		t.Errorf("%d of %d mutants found, %v", p.Found, p.Mutants, err)
	}
	for key, n := range p.Broken {
		if n != 0 {
			t.Errorf("%s: %d", key, n)
		}
	}
	for _, line := range p.Lines {
		t.Error(line)
	}
	t.Logf("%+v", p)
}
