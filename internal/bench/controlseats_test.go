package bench

import "testing"

func TestControlSeats(t *testing.T) {
	t.Parallel()
	c, err := controlSeats(8, 1)
	if err != nil || c.Broken[noQuorum]+c.Broken[ackedLost] > 0 || c.Found != c.Mutants || c.Worst[handoverS] == 0 || c.Worst[restoredS] == 0 {
		t.Errorf("%v: %+v", err, c)
	}
}
