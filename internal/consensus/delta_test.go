package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// docWithRoutes returns the document of a large site with one route changed.
func docWithRoutes(version, changed int) Doc {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Epoch":"%08x","Policy":[`, version)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		limit := 600
		if i == changed {
			limit += version
		}
		fmt.Fprintf(&b, `{"Name":"r-%x","PathPrefix":"/%x/","DeadlineMs":%d},`, r.Uint64(), r.Uint64(), limit)
	}
	return Doc{Version: uint32(version), Body: b.Bytes()}
}

// newFleet returns a cluster of three members and 8 followers with that document, and counters for
// the bytes and the whole documents of pushes.
func newFleet(t *testing.T) (w *simulation, bytes *int, wholes *int) {
	w = newSteadyCluster(t, 3, 8, 1)
	bytes, wholes = new(int), new(int)
	w.onSend = func(_ string, msg any) {
		if p, ok := msg.(Push); ok {
			*bytes += len(p.Doc.Body)
			if p.Doc.Version != 0 {
				*wholes++
			}
			for _, d := range p.Deltas {
				*bytes += d.size()
				if d.From == 0 {
					*wholes++
				}
			}
		}
	}
	w.putAndCheck(t, docWithRoutes(11, 0))
	return w, bytes, wholes
}

func (w *simulation) putAndCheck(t *testing.T, d Doc) {
	t.Helper()
	o := w.call(w.nodes[len(w.nodes)-1], false, d)
	w.run(1500 * ms)
	if o.answer == nil || o.answer.Result != ResultAccepted {
		t.Fatalf("version %d: %+v", d.Version, o.answer)
	}
	w.checkAllEqual(t)
}

func (w *simulation) checkAllEqual(t *testing.T) {
	t.Helper()
	for _, n := range w.nodes {
		if h := n.machine.Committed(); n.up && (h == nil || h.Version != w.highestAcked ||
			string(h.Body) != w.appliedBodies[w.highestAcked]) {
			t.Fatalf("%s does not have version %d", n.config.Self, w.highestAcked)
		}
	}
	if w.failure != nil {
		t.Fatal(w.failure)
	}
}

// TestDeltas checks that a change of one route in 2,000 sends little more than that route to each
// process.
func TestDeltas(t *testing.T) {
	t.Parallel()
	w, sent, wholes := newFleet(t)
	*sent, *wholes = 0, 0
	for v := range 10 {
		w.putAndCheck(t, docWithRoutes(v+12, 100*v))
	}
	if each := *sent / 10 / (len(w.nodes) - 1); each > 400 || *wholes > 0 {
		t.Errorf("%d bytes per change and process, %d whole documents", each, *wholes)
	}
}

// TestDeltasAfterAbsence checks that a process that missed a few changes gets those, and one that
// lost everything gets the whole document.
func TestDeltasAfterAbsence(t *testing.T) {
	t.Parallel()
	w, sent, wholes := newFleet(t)
	away, empty := w.nodes[8], w.nodes[9]
	w.partition(away, 12*time.Second, func(*simNode) bool { return true }, true)
	for v := range 5 {
		w.putAtPrimary(t, docWithRoutes(v+12, 100*v))
	}
	*sent, *wholes = 0, 0
	w.cutLinks = map[[2]string]bool{}
	w.run(2 * time.Second)
	w.checkAllEqual(t)
	if *sent > 4000 || *wholes > 0 {
		t.Errorf("five changes: %d bytes, %d whole documents", *sent, *wholes)
	}
	w.kill(empty, false)
	w.run(time.Second)
	w.start(empty)
	w.run(2 * time.Second)
	w.checkAllEqual(t)
	if whole := len(docWithRoutes(11, 0).Body); *wholes == 0 || *sent > whole*3/4 {
		t.Errorf("after a start: %d whole documents, %d bytes of %d", *wholes, *sent, whole)
	}
}

// putAtPrimary is putAndCheck while some process is cut off.
func (w *simulation) putAtPrimary(t *testing.T, d Doc) {
	t.Helper()
	o := w.call(w.primary(), false, d)
	w.run(time.Second)
	if o.answer == nil || o.answer.Result != ResultAccepted {
		t.Fatalf("version %d: %+v", d.Version, o.answer)
	}
}

// TestDamagedDelta checks that a damaged delta, or one made from another body, changes nothing, and
// that the whole document is requested. A delta to a version that is not here changes nothing
// either, and the missing deltas are requested.
func TestDamagedDelta(t *testing.T) {
	t.Parallel()
	w, _, _ := newFleet(t)
	n := w.nodes[5]
	p := w.primary()
	w.putAtPrimary(t, docWithRoutes(12, 7))
	held := n.machine.Committed()
	good := p.machine.recentDeltas[len(p.machine.recentDeltas)-1]
	for i, spoil := range []func(d *Delta){
		func(d *Delta) { d.Change.Ops = d.Change.Ops[:len(d.Change.Ops)-1] },
		func(d *Delta) { d.Change.BaseSum++ },
		func(d *Delta) { d.Change.ResultSum++ },
		func(d *Delta) { d.From++ },
	} {
		d := good
		d.From, d.Doc.Version = 12, 13
		spoil(&d)
		out := n.machine.Receive(w.now, p.config.Self, Push{Deltas: []Delta{d}})
		if h := n.machine.Committed(); h.Version != held.Version || string(h.Body) != string(held.Body) ||
			out.Apply != nil {
			t.Errorf("%d: the delta was accepted", i)
		}
		asked := false
		for _, s := range out.Send {
			pull, ok := s.Msg.(Pull)
			asked = asked || ok && pull.AcceptsDeltas == (i == 3) && pull.Version == held.Version &&
				s.To == p.config.Self
		}
		if !asked {
			t.Errorf("%d: the document is not requested: %+v", i, out.Send)
		}
	}
}

// TestPullFromOlderRelease checks that a release without deltas, whose Pull doesn't accept them,
// gets a whole document.
func TestPullFromOlderRelease(t *testing.T) {
	t.Parallel()
	w, _, _ := newFleet(t)
	w.putAndCheck(t, docWithRoutes(12, 7))
	out := w.nodes[4].machine.Receive(w.now, "n05", Pull{Version: 11})
	if p, ok := out.Send[0].Msg.(Push); !ok || p.Doc.Version != 12 || len(p.Deltas) > 0 {
		t.Errorf("%+v", out.Send)
	}
}

// TestDeltaLimits checks that the number and the size of stored deltas are limited.
func TestDeltaLimits(t *testing.T) {
	t.Parallel()
	m := New(Config{Self: "a"}, nil, 0)
	for v := range uint32(1500) {
		d := Delta{From: v, Doc: Doc{Version: v + 1}}
		d.Change.Ops = make([]byte, 100)
		m.appendDelta(d)
	}
	size := 0
	for _, d := range m.recentDeltas {
		size += d.size()
	}
	if size > maxDeltaBytes || len(m.recentDeltas) != maxDeltas ||
		m.recentDeltas[len(m.recentDeltas)-1].Doc.Version != 1500 {
		t.Errorf("%d bytes in %d deltas", size, len(m.recentDeltas))
	}
	if m.appendDelta(Delta{From: 9, Doc: Doc{Version: 10}}); len(m.recentDeltas) != 1 {
		t.Error("a chain of deltas has a gap")
	}
}
