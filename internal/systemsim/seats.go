package systemsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// watchSeat measures how long a machine that is new, or has lost its disk, is without a seat.
func (w *world) watchSeat(p *proc) {
	from, life := w.now, p.life
	var look func()
	look = func() {
		lead := w.leader()
		switch {
		case !p.up || p.life != life || p.leaving || w.now-from > recovery:
		case lead != nil && p.k.ConsensusStatus().Role != "follower" && slices.Contains(lead.k.ConsensusStatus().Members, p.addr):
			w.stats.Restored.add(w.now - from)
		default:
			w.after(20*ms, look)
		}
	}
	look()
}

// watchHandover measures how long one that was told to end is still a writer.
func (w *world) watchHandover(p *proc, life int) {
	from := w.now
	var look func()
	look = func() {
		lead := w.leader()
		switch {
		case p.life != life || !p.up:
		case lead != nil && lead != p && !slices.Contains(lead.k.ConsensusStatus().Writers, p.addr):
			w.stats.Handovers.add(w.now - from)
		default:
			w.after(10*ms, look)
		}
	}
	look()
}

// SecondLoss is the script of a replacement, and of a disk of the primary lost so long after its begin.
func SecondLoss(who, how, at string) string {
	return strings.NewReplacer("WHO", who, "HOW", how, "AT", at).Replace(`start 7 zones 3 core 3
servers pay 4
tenant t1 60 60 40
run 1s
put 3
run 8s
replace WHO HOW
run AT
onack wipe leader for 2s
put 4
run 12s
put 5
expect acked 5 within 4s
`)
}

// GoneAgain is the script of a successor that is gone for good right before the one whose seat it is to
// have leaves, and of the primary's disk lost after that: the two that are left must be able to go on.
const GoneAgain = `start 7 zones 3 core 3
servers pay 4
tenant t1 60 60 40
run 1s
put 3
run 8s
replace core3 planned first 500ms
run 450ms
kill core3'
run 8s
expect ended core3 within 1s
onack wipe leader for 1s
put 4
run 12s
put 5
expect acked 5 within 4s
expect leader
`

// syncFor is how long a machine counts as lost after it is back: the sites' SyncS.
const syncFor = 4 * time.Second

// DrawSeats writes the script of a day on which machines of the core are lost or replaced, or leave,
// and a disk is lost right after an acknowledgement 0 ms after the count allows the next loss.
func DrawSeats(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 0x5ea7))
	d := &drawer{rng: rng, core: []int{3, 3, 6, 8}[rng.IntN(4)], edges: 3}
	var names []string
	for i := range d.core {
		names = append(names, fmt.Sprintf("core%d", i+1))
	}
	d.say("start %d zones 3 core %d", d.core+d.edges, d.core)
	d.say("servers pay 4")
	d.say("tenant t1 60 60 40")
	d.say("run 1s")
	d.put()
	d.wait(8, 9)
	for range 4 {
		i := rng.IntN(len(names))
		names[i] = d.seat(names[i])
		d.say("onack wipe leader for 1s")
		d.put()
		d.say("run %v", time.Second+syncFor)
		d.put()
		d.say("expect acked %d within 4s", d.version)
		d.say("expect leader")
	}
	return strings.Join(d.lines, "\n") + "\n"
}

// seat brings one loss about, and lets pass what it counts. It gives the name of whoever is there then.
func (d *drawer) seat(name string) string {
	soon := time.Duration(d.rng.IntN(400)) * ms
	heir := name + "'"
	switch d.rng.IntN(9) {
	case 0:
		d.say("wipe %s for 1s", name)
		d.say("run %v", time.Second+syncFor)
	case 1:
		d.say("kill %s for 1s", name)
		d.say("run %v", time.Second+syncFor)
	case 2: // lost for good; its successor is there at once
		d.say("replace %s", name)
		d.say("run %v", syncFor)
		return heir
	case 3, 4: // the successor has had its time before the old one is told to end
		d.say("replace %s planned first %v", name, syncFor)
		d.say("run %v", syncFor+soon)
		d.say("expect ended %s within 7s", name)
		return heir
	case 5: // its successor comes after it
		d.say("replace %s planned", name)
		d.say("expect ended %s within 7s", name)
		d.say("run %v", syncFor)
		return heir
	case 6: // the successor loses its disk while it is taken in
		d.say("replace %s planned first 1s", name)
		d.say("run %v", time.Second+soon)
		d.say("wipe %s for 500ms", heir)
		d.say("run 600ms")
		d.say("expect ended %s within 7s", name)
		d.say("run %v", syncFor)
		return heir
	case 7: // it is killed while it leaves
		d.say("term %s for 1s", name)
		d.say("run %v", soon)
		d.say("kill %s for 1s", name)
		d.say("run %v", time.Second+syncFor)
	default: // restarted
		d.say("term %s for 500ms", name)
		d.say("expect ended %s within 7s", name)
		d.say("run %v", 500*ms+syncFor)
	}
	return name
}
