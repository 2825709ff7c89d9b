package bench

import "testing"

// The scenarios and a few drawn days break nothing, and each guard that is taken out is met.
func TestControlCut(t *testing.T) {
	t.Parallel()
	p, err := controlCut(4, 1)
	if err != nil {
		t.Fatal(err)
	}
	for key, n := range p.Broken {
		if n != 0 {
			t.Errorf("%s: %d; %v", key, n, p.Lines)
		}
	}
	if p.Found != p.Mutants || p.Mutants != 6 {
		t.Errorf("%d of %d guards met: %v", p.Found, p.Mutants, p.Lines)
	}
	if d := p.Worst[healedMost]; d <= 0 || d > 5 {
		t.Errorf("the newest version is there %.1f s after a heal", d)
	}
}
