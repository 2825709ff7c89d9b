package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// routes is a document of a large site with one route of it changed.
func routes(version, changed int) Doc {
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

// fleet has a core of three with that document, 8 followers, and counts what pushes bring.
func fleet(t *testing.T) (w *world, bytes *int, wholes *int) {
	w = calm(t, 3, 8, 1)
	bytes, wholes = new(int), new(int)
	w.seen = func(_ string, msg any) {
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
	w.change(t, routes(11, 0))
	return w, bytes, wholes
}

func (w *world) change(t *testing.T, d Doc) {
	t.Helper()
	o := w.call(w.nodes[len(w.nodes)-1], false, d)
	w.run(1500 * ms)
	if o.done == nil || o.done.Result != ResultAccepted {
		t.Fatalf("version %d: %+v", d.Version, o.done)
	}
	w.alike(t)
}

func (w *world) alike(t *testing.T) {
	t.Helper()
	for _, n := range w.nodes {
		if h := n.m.Committed(); n.up && (h == nil || h.Version != w.acked || string(h.Body) != w.bodies[w.acked]) {
			t.Fatalf("%s has not version %d", n.cfg.Self, w.acked)
		}
	}
	if w.broken != nil {
		t.Fatal(w.broken)
	}
}

// TestDeltas: a change of one route in 2,000 brings each process that route and little more.
func TestDeltas(t *testing.T) {
	t.Parallel()
	w, sent, wholes := fleet(t)
	*sent, *wholes = 0, 0
	for v := range 10 {
		w.change(t, routes(v+12, 100*v))
	}
	if each := *sent / 10 / (len(w.nodes) - 1); each > 400 || *wholes > 0 {
		t.Errorf("%d bytes a change and process, %d whole documents", each, *wholes)
	}
}

// TestDeltasAway: who was away for a few changes gets those, who lost all, or missed more than is kept, gets the whole.
func TestDeltasAway(t *testing.T) {
	t.Parallel()
	w, sent, wholes := fleet(t)
	away, empty := w.nodes[8], w.nodes[9]
	w.part(away, 12*time.Second, func(*node) bool { return true }, true)
	for v := range 5 {
		w.change2(t, routes(v+12, 100*v))
	}
	*sent, *wholes = 0, 0
	w.cut = map[[2]string]bool{}
	w.run(2 * time.Second)
	w.alike(t)
	if *sent > 4000 || *wholes > 0 {
		t.Errorf("five changes: %d bytes, %d whole documents", *sent, *wholes)
	}
	w.kill(empty, false)
	w.run(time.Second)
	w.start(empty)
	w.run(2 * time.Second)
	w.alike(t)
	if whole := len(routes(11, 0).Body); *wholes == 0 || *sent > whole*3/4 {
		t.Errorf("after a start: %d whole documents, %d bytes of %d", *wholes, *sent, whole)
	}
}

// change2 is change where some process is away.
func (w *world) change2(t *testing.T, d Doc) {
	t.Helper()
	o := w.call(w.primary(), false, d)
	w.run(time.Second)
	if o.done == nil || o.done.Result != ResultAccepted {
		t.Fatalf("version %d: %+v", d.Version, o.done)
	}
}

// TestDeltaSpoilt: one that is damaged, or made of another text, changes nothing; the whole is asked for. One of a
// version that is not here changes nothing either; what is lacking is asked for, as short as it goes.
func TestDeltaSpoilt(t *testing.T) {
	t.Parallel()
	w, _, _ := fleet(t)
	n := w.nodes[5]
	p := w.primary()
	w.change2(t, routes(12, 7))
	held := n.m.Committed()
	good := p.m.recentDeltas[len(p.m.recentDeltas)-1]
	for i, spoil := range []func(d *Delta){
		func(d *Delta) { d.Change.Ops = d.Change.Ops[:len(d.Change.Ops)-1] },
		func(d *Delta) { d.Change.BaseSum++ },
		func(d *Delta) { d.Change.ResultSum++ },
		func(d *Delta) { d.From++ },
	} {
		d := good
		d.From, d.Doc.Version = 12, 13
		spoil(&d)
		out := n.m.Receive(w.now, p.cfg.Self, Push{Deltas: []Delta{d}})
		if h := n.m.Committed(); h.Version != held.Version || string(h.Body) != string(held.Body) || out.Apply != nil {
			t.Errorf("%d: it was taken", i)
		}
		asked := false
		for _, s := range out.Send {
			pull, ok := s.Msg.(Pull)
			asked = asked || ok && pull.AcceptsDeltas == (i == 3) && pull.Version == held.Version && s.To == p.cfg.Self
		}
		if !asked {
			t.Errorf("%d: the document is not asked for: %+v", i, out.Send)
		}
	}
}

// TestOldPull: a program that knows no differences asks without a word of them, and gets a document.
func TestOldPull(t *testing.T) {
	t.Parallel()
	w, _, _ := fleet(t)
	w.change(t, routes(12, 7))
	out := w.nodes[4].m.Receive(w.now, "n05", Pull{Version: 11})
	if p, ok := out.Send[0].Msg.(Push); !ok || p.Doc.Version != 12 || len(p.Deltas) > 0 {
		t.Errorf("%+v", out.Send)
	}
}

// TestFewKept: what is kept for those that were away is bounded.
func TestFewKept(t *testing.T) {
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
	if size > maxDeltaBytes || len(m.recentDeltas) != maxDeltas || m.recentDeltas[len(m.recentDeltas)-1].Doc.Version != 1500 {
		t.Errorf("%d bytes in %d", size, len(m.recentDeltas))
	}
	if m.appendDelta(Delta{From: 9, Doc: Doc{Version: 10}}); len(m.recentDeltas) != 1 {
		t.Error("a chain with a gap")
	}
}
