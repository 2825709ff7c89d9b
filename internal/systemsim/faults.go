package systemsim

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/controlplane"
	"asterwell/internal/faultrules"
)

const longestRules = 10 * time.Minute

// ruleDisk is what a machine keeps of fault rules, beside agreement's state.
type ruleDisk struct {
	synced []byte
	till   time.Duration // writes come in their order
}

func (p *proc) openRules() *faultrules.Disk {
	if p.rules.synced == nil {
		return nil
	}
	kept := &faultrules.Disk{}
	if err := cbor.Unmarshal(p.rules.synced, kept); err != nil {
		panic(err)
	}
	return kept
}

func (p *proc) keepRules(wr *faultrules.Write) {
	w, life := p.w, p.life
	data, err := cbor.Marshal(wr.Disk)
	if err != nil {
		panic(err)
	}
	p.rules.till = max(p.rules.till, w.now+p.disk.pace/2+w.upTo(p.disk.pace))
	w.after(p.rules.till-w.now, func() {
		if p.up && p.life == life {
			p.rules.synced = data
			p.input(func() controlplane.Output { return p.k.FaultRulesWritten(p.clock(), wr.Seq) })
		}
	})
}

// ruling is what operators have been told of fault rules.
type ruling struct {
	told uint64          // the newest turn that an acknowledgement told
	sent map[uint32]bool // versions
}

// rule makes a call for fault rules at a process, and goes on elsewhere until it is answered.
func (w *world) rule(op faultrules.Op, version uint32, p *proc, tries int) {
	doc := faultrules.Doc{Version: version}
	if op == faultrules.OpPut {
		doc.Body, _ = json.Marshal(faultrules.Set{Version: version, By: "op", Why: "exercise", Rules: []faultrules.Rule{{Name: "r", Tenant: "t1", Share: 1,
			Effect: faultrules.VanishBefore, EndsS: 300, Budget: 1000}}})
	}
	floor := w.ruling.told
	w.call(p, far, func(id uint64) controlplane.Output { return p.k.CallFaultRules(p.clock(), id, op, doc) }, func(v any) {
		a, _ := v.(faultrules.Answer)
		switch a.Outcome {
		case faultrules.Busy:
			if tries > 1 {
				all := w.listed()
				w.after(200*ms, func() { w.rule(op, version, all[w.rng.IntN(len(all))], tries-1) })
			}
			return
		case faultrules.Read:
			w.stats.Reads++
		case faultrules.Below:
			if !w.ruling.higher(version) {
				w.breaks("REFUSED", "%s refuses fault rules %d, and no others were sent", p.name, version)
			}
		case faultrules.Done:
			w.note("%s: fault rules %d acknowledged, turn %d", p.name, version, a.State.Turn)
			w.ruling.told = max(w.ruling.told, a.State.Turn)
		}
		if a.State.Turn < floor {
			w.breaks("STALE", "%s tells turn %d of fault rules, %d was acknowledged", p.name, a.State.Turn, floor)
		}
	})
}

// higher tells whether others were sent whose version is not below.
func (r *ruling) higher(version uint32) bool {
	for v := range r.sent {
		if v > version {
			return true
		}
	}
	return false
}

// prove asks a process for proof of contact, on which drains and refusals stand.
func (w *world) prove(p *proc) {
	since, floor := w.now, w.acked
	w.call(p, far, func(id uint64) controlplane.Output { return p.k.ProveContact(p.clock(), id) }, func(v any) {
		version, ok := proved(v)
		if !ok {
			return
		}
		w.mark()
		w.stats.Proofs++
		switch {
		case p.met < since:
			w.breaks("CONTACT", "%s has proof of contact, and no way to most of the core for %v", p.name, w.now-p.met)
		case version < floor:
			w.breaks("STALE", "%s has proof that version %d is the newest, %d was acknowledged", p.name, version, floor)
		}
	})
}
