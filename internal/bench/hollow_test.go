package bench

import (
	"testing"
	"time"
)

// Frames between regions are late, in their order, once; and lost where one is cut off.
func TestHollowLink(t *testing.T) {
	h := &hollow{spec: HollowSpec{DelayMs: 20, Regions: map[string]int{"a": 0, "b": 0, "far": 1, "real": 1}, Real: []string{"real"}}}
	h.cut.Store(-1)
	link := h.link("a")
	at := make(chan string, 8)
	send := func(peer string, out bool, what string) { link(peer, out, func() { at <- what }) }
	took := func(want string) time.Duration {
		t.Helper()
		began := time.Now()
		if got := <-at; got != want {
			t.Errorf("%s came, want %s", got, want)
		}
		return time.Since(began)
	}
	send("b", true, "near")
	send("far", false, "delayed where it left")
	if len(at) != 2 {
		t.Errorf("%d came at once", len(at))
	}
	took("near")
	took("delayed where it left")
	send("far", true, "first")
	send("real", false, "second")
	if d := took("first"); d < 10*time.Millisecond {
		t.Errorf("came after %v", d)
	}
	took("second")
	for _, region := range []int64{0, 1} {
		h.cut.Store(region)
		send("far", true, "lost")
		send("real", false, "lost")
		send("b", true, "kept")
		took("kept")
	}
	h.cut.Store(-1)
	send("far", true, "after")
	took("after")
}

// A configuration of the size is valid, and versions differ in a route.
func TestScaleText(t *testing.T) {
	o := ScaleOptions{Gateways: 11, Services: 10, Routes: 30, Tenants: 85, Rate: 20, Seed: 1}
	figure, err := configFigures(o)
	if err != nil {
		t.Fatal(err)
	}
	if figure["change_bytes"] < 50 || figure["change_bytes"] > 1000 || figure["packed_bytes"] >= figure["bytes"] {
		t.Error(figure)
	}
}
