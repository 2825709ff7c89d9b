package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// leavingWorld is three voters with disks and a process without one. Messages of a link keep their order; any link or disk
// may take as long as it likes for its next step.
type leavingWorld struct {
	rng      *rand.Rand
	bug      Bug
	now      fsm.Time
	machines map[string]*Machine
	disks    map[string]*Stored
	writes   map[string]*LeavingWrite // in progress
	links    map[[2]string][]any
	stalled  string // a process whose disk syncs nothing; "": none
	acked    map[uint64]bool
	lives    uint64
}

var (
	leavingNames  = []string{"a", "b", "c", "d"}
	leavingVoters = leavingNames[:3]
)

func newLeavingWorld(seed uint64, bug Bug) *leavingWorld {
	w := &leavingWorld{rng: rand.New(rand.NewPCG(seed, 60)), bug: bug, now: time.Second, disks: map[string]*Stored{}, acked: map[uint64]bool{}}
	for _, name := range leavingVoters {
		w.disks[name] = &Stored{Intact: true}
	}
	w.start(leavingNames)
	return w
}

// start starts all processes, each when the schedule comes to it. No message of before is left.
func (w *leavingWorld) start(order []string) {
	w.machines, w.writes, w.links = map[string]*Machine{}, map[string]*LeavingWrite{}, map[[2]string][]any{}
	var nodes []memberlist.Node
	for i, name := range leavingNames {
		nodes = append(nodes, memberlist.Node{Addr: name, Zone: fmt.Sprint("z", i%2), Control: name + ":1", Member: w.disks[name] != nil, Incarnation: w.lives})
	}
	w.lives++
	for _, name := range order {
		m := New(name, "z", time.Minute, w.rng.Uint64(), w.now)
		m.SetBug(w.bug)
		m.SetVoters(leavingVoters)
		w.machines[name] = m
		if disk := w.disks[name]; disk != nil {
			w.carry(name, m.Restore(w.now, *disk))
		}
	}
	for _, name := range order {
		w.carry(name, w.machines[name].SetNodes(w.now, nodes))
	}
}

func (w *leavingWorld) carry(name string, out Out) {
	for _, s := range out.Send {
		link := [2]string{name, s.To}
		w.links[link] = append(w.links[link], s.Msg)
	}
	for _, a := range out.Answers {
		w.acked[a.Call] = w.acked[a.Call] || a.OK
	}
	if out.Write != nil {
		w.writes[name] = out.Write
	}
}

// step lets one thing happen, drawn from all that can.
func (w *leavingWorld) step() {
	var can []func()
	for _, from := range leavingNames {
		for _, to := range leavingNames {
			link := [2]string{from, to}
			if waiting := w.links[link]; len(waiting) > 0 {
				can = append(can, func() {
					w.links[link] = waiting[1:]
					w.carry(to, w.machines[to].Receive(w.now, from, waiting[0]))
				})
			}
		}
		if write := w.writes[from]; write != nil && from != w.stalled {
			can = append(can, func() { w.sync(from, write) })
		}
	}
	if len(can) == 0 || w.rng.IntN(10) == 0 {
		w.tick()
		return
	}
	can[w.rng.IntN(len(can))]()
}

func (w *leavingWorld) tick() {
	w.now += 20 * time.Millisecond
	for _, name := range leavingNames {
		w.carry(name, w.machines[name].Tick(w.now))
	}
}

func (w *leavingWorld) sync(name string, write *LeavingWrite) {
	delete(w.writes, name)
	w.disks[name].Leaving, w.disks[name].Intact = write.Rows, true
	w.carry(name, w.machines[name].LeavingStored(w.now, write.Seq))
}

// killAll ends all processes and starts them again. A write in progress is whole or not there. If a disk is wiped, it is one of a minority.
func (w *leavingWorld) killAll(wipe bool) {
	for _, name := range leavingVoters {
		if write := w.writes[name]; write != nil && name != w.stalled && w.rng.IntN(2) == 0 {
			w.disks[name].Leaving, w.disks[name].Intact = write.Rows, true
		}
	}
	if wipe {
		*w.disks[leavingVoters[w.rng.IntN(len(leavingVoters))]] = Stored{}
	}
	order := slices.Clone(leavingNames)
	w.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	w.start(order)
}

// sends returns a process whose table is complete and by which a server may get requests; "": there is none.
func (w *leavingWorld) sends(id string) string {
	for _, name := range leavingNames {
		m := w.machines[name]
		if it := m.items[id]; m.Complete() && it != nil && it.Phase < Quiescing {
			return name
		}
	}
	return ""
}

// play has a server leave, kills all processes after some steps, and returns what broke.
func playLeaving(seed uint64, steps int, bug Bug) (broken string, acked bool) {
	w := newLeavingWorld(seed, bug)
	heartbeat := Heartbeat{ID: "x", Addr: "10.0.0.1:80", Service: "s", Zone: "z0", Seq: 5}
	settle := func(d time.Duration) {
		for end := w.now + d; w.now < end; {
			w.step()
		}
	}
	settle(1600 * time.Millisecond)
	w.carry("a", w.machines["a"].Heartbeat(w.now, 1, heartbeat))
	settle(400 * time.Millisecond)
	for _, name := range leavingVoters {
		w.disks[name].Servers = w.machines[name].Snapshot()
	}
	by := leavingNames[w.rng.IntN(len(leavingNames))]
	leave := func(call uint64) {
		if seed%2 == 0 {
			w.carry(by, w.machines[by].Deregister(w.now, call, "x"))
			return
		}
		quiescing := heartbeat
		quiescing.Seq, quiescing.Quiescing = 6, true
		w.carry(by, w.machines[by].Heartbeat(w.now, call, quiescing))
	}
	leave(2)
	if seed%4 == 1 { // the others confirm without it, after a while
		w.stalled = leavingVoters[w.rng.IntN(len(leavingVoters))]
		steps *= 10
	}
	for range steps {
		w.step()
	}
	for range 1 + w.rng.IntN(2) { // once or twice in a row
		w.killAll(seed%3 == 0 && w.stalled == "" && w.lives == 1)
		w.stalled = ""
		for range w.rng.IntN(40) {
			w.step()
		}
		late := leavingNames[w.rng.IntN(len(leavingNames))]
		heartbeat.Seq = 4
		w.carry(late, w.machines[late].Heartbeat(w.now, 3, heartbeat)) // was on its way
	}
	for end := w.now + 1500*time.Millisecond; w.now < end; w.step() {
		if name := w.sends("x"); w.acked[2] && name != "" {
			return fmt.Sprintf("seed %d, %d steps: %s sends to a server whose leaving was acknowledged", seed, steps, name), true
		}
	}
	return "", w.acked[2]
}

// TestLeavingOutlivesAllProcesses guards against a server that gets requests again after its end was acknowledged, because all
// processes were killed: all are killed after each number of steps, and one disk in three plays is wiped.
func TestLeavingOutlivesAllProcesses(t *testing.T) {
	acked := 0
	for seed := range uint64(24) {
		for steps := range 60 {
			broken, ok := playLeaving(seed, steps, 0)
			if broken != "" {
				t.Fatal(broken)
			}
			if ok {
				acked++
			}
		}
	}
	t.Logf("the leaving had been acknowledged in %d plays", acked)
	if acked < 500 {
		t.Error("too few plays show anything")
	}
}

// TestLeavingMutants: the plays find a confirmation before the disk has it, and a list that is used after any one answer.
func TestLeavingMutants(t *testing.T) {
	for name, bug := range map[string]Bug{"unstored": BugUnstoredConfirmation, "read one": BugReadOne} {
		found := ""
		for seed := range uint64(60) {
			for steps := 0; steps < 60 && found == ""; steps++ {
				found, _ = playLeaving(seed, steps, bug)
			}
		}
		t.Log(name, found)
		if found == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
