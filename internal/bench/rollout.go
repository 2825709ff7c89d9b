package bench

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"asterwell/internal/policy"
	"asterwell/internal/rollout/world"
)

// RolloutOptions of the measurement of configurations that all nodes take up together.
type RolloutOptions struct {
	Seed     uint64
	Seeds    int   // with drawn faults
	Drawn    []int // sizes of the fleets that these befall, one after the other; none: 11
	Nodes    []int // sizes of the fleet
	Versions int   // at each size
	States   int   // of the small model, at most
	Side     int   // plays side by side
	Progress func(text string)
}

// MeasureRollout plays rollouts among simulated processes.
func MeasureRollout(o RolloutOptions) (*Report, error) {
	r := &Report{Name: "rollout", Seed: o.Seed, Figure: map[string]any{}}
	t := &rollouts{r: r, o: o, figure: r.Figure, rule: map[string]int{}}
	r.Row("run", "nodes", "rollouts", "live p50 s", "live p99 s", "all p50 s", "all p99 s", "refused", "in turn", "held ms", "bytes/node",
		"rest bytes/node/s")
	t.sizes()
	t.seeds()
	t.model()
	for k, v := range map[string]int{"rollouts": t.puts, "live": t.live, "withdrawn": t.withdrawn, "overtaken": t.over,
		"mixed_decisions": t.rule["MIXED"], "dead_served": t.rule["DEAD"], "split_outcomes": t.rule["SPLIT"],
		"unheld_confirms": t.rule["HELD"], "too_few": t.rule["FEW"], "stuck": t.rule["STUCK"]} {
		r.Figure[k] = v
	}
	r.Figure["linearizable"] = !t.illegal
	return r, nil
}

type rollouts struct {
	r                           *Report
	o                           RolloutOptions
	figure                      map[string]any
	rule                        map[string]int
	puts, live, withdrawn, over int
	illegal                     bool
}

func (t *rollouts) say(form string, args ...any) {
	if t.o.Progress != nil {
		t.o.Progress(fmt.Sprintf(form, args...))
	}
}

func (t *rollouts) broke(where string, all []world.Violation) {
	for _, b := range all {
		t.rule[b.Rule]++
		t.r.Rule(false, "%s: %v", where, b)
	}
}

// sizes measures fleets, all there and with every third node killed; the largest first, as
// they take the longest.
func (t *rollouts) sizes() {
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, t.o.Side))
	sums := make([][2]world.Summary, len(t.o.Nodes))
	for i, n := range slices.Backward(t.o.Nodes) {
		for j, down := range []int{0, 3} {
			slots <- struct{}{}
			t.say("%d nodes, %d of three down", n, j)
			wg.Go(func() {
				sums[i][j] = world.Measure(world.Options{Seed: t.o.Seed, Nodes: n, RequestInterval: time.Duration(max(6, n/2)) * time.Millisecond},
					t.o.Versions, down)
				<-slots
			})
		}
	}
	wg.Wait()
	for i, n := range t.o.Nodes {
		t.size(n, 0, sums[i][0])
		t.size(n, 3, sums[i][1])
	}
}

// size tells of one.
func (t *rollouts) size(n, down int, s world.Summary) {
	name, key := "all there", fmt.Sprintf("_%d", n)
	if down > 0 {
		name, key = "a third down", key+"_third_down"
	}
	where := fmt.Sprintf("%d nodes, %s", n, name)
	t.broke(where, s.Violations)
	t.judge(where, s.Puts, s.Decisions)
	t.puts += t.o.Versions
	t.live += len(s.Live)
	held := math.Round(s.LongestHold.Seconds()*1e4) / 10
	t.r.Row(name, n, t.o.Versions, quant(s.Live, 0.5), quant(s.Live, 0.99), quant(s.ServedByAll, 0.5), quant(s.ServedByAll, 0.99), s.Refused, s.RefusedInTurn,
		held, s.Bytes, s.IdleBytes)
	t.figure["live_s_p50"+key], t.figure["live_s_p99"+key] = quant(s.Live, 0.5), quant(s.Live, 0.99)
	t.figure["all_s_p50"+key], t.figure["all_s_p99"+key] = quant(s.ServedByAll, 0.5), quant(s.ServedByAll, 0.99)
	t.figure["refused"+key], t.figure["refused_in_turn"+key], t.figure["held_ms_max"+key] = s.Refused, s.RefusedInTurn, held
	if down == 0 {
		t.figure["bytes_per_node"+key], t.figure["rest_bytes_per_node_s"+key] = math.Round(s.Bytes), math.Round(s.IdleBytes)
	}
}

// quant is a quantile in seconds; -1: there is none.
func quant(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return -1
	}
	all = slices.Sorted(slices.Values(all))
	return math.Round(all[min(len(all)-1, int(q*float64(len(all))))].Seconds()*1e3) / 1e3
}

// seeds play drawn faults.
func (t *rollouts) seeds() {
	t.say("%d seeds", t.o.Seeds)
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := uint64(0)
	var kills, freezes, cuts, decided int
	for range max(1, t.o.Side) {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := t.o.Seed + next
				next++
				done := next > uint64(t.o.Seeds)
				mu.Unlock()
				if done {
					return
				}
				p := world.Simulate(world.Options{Seed: seed, Nodes: t.o.size(seed)})
				mu.Lock()
				where := fmt.Sprintf("seed %d", seed)
				t.broke(where, p.Violations)
				t.judge(where, p.PutAt, p.Decisions)
				t.puts, t.live, t.withdrawn, t.over = t.puts+p.Puts, t.live+p.Live, t.withdrawn+p.Withdrawn, t.over+p.Overtaken
				kills, freezes, cuts, decided = kills+p.Kills, freezes+p.Freezes, cuts+p.Cuts, decided+p.Decided
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.r.Row("drawn faults", strings.Trim(fmt.Sprint(t.o.Drawn), "[]"), t.puts, fmt.Sprintf("%d seeds, %d kills, %d freezes, %d cuts, %d decided", t.o.Seeds, kills, freezes, cuts, decided))
	t.figure["seeds"], t.figure["kills"], t.figure["freezes"], t.figure["cuts"], t.figure["decided"] = t.o.Seeds, kills, freezes, cuts, decided
}

// size of the fleet of a seed's day.
func (o RolloutOptions) size(seed uint64) int {
	if len(o.Drawn) == 0 {
		return 11
	}
	return o.Drawn[seed%uint64(len(o.Drawn))]
}

// version is an operation on the register that the histories are held against: a change
// writes it, a decided request reads it.
type version struct {
	write bool
	v     uint32
}

var versions = porcupine.Model{
	Init: func() any { return uint32(0) },
	Step: func(state, in, _ any) (bool, any) {
		if i := in.(version); i.write {
			return i.v > state.(uint32), i.v
		}
		return in.(version).v == state.(uint32), state
	},
}

// read is a request that went by a version, at some moment between two.
type read struct {
	version  uint32
	from, to time.Duration
}

// judge holds a history against the register with a program that is not ours: of each
// version a write from its call to the first request that went by it, and reads.
func (t *rollouts) judge(where string, puts map[uint32]time.Duration, marks []world.Decision) {
	first := map[uint32]time.Duration{}
	var reads []read
	for i, m := range marks {
		if _, ok := first[m.Version]; !ok {
			first[m.Version] = m.At
		} else if i%20 != 0 && marks[i-1].Version == m.Version && (i+1 == len(marks) || marks[i+1].Version == m.Version) {
			continue // far from any turn: one of many is enough
		}
		reads = append(reads, read{m.Version, m.At, m.At + 1})
	}
	if !linear(puts, first, reads, time.Minute) {
		t.illegal = true
		t.r.Rule(false, "%s: porcupine on the register: not linearizable, or not decided within a minute", where)
	}
}

func linear(puts, first map[uint32]time.Duration, reads []read, within time.Duration) bool {
	var ops []porcupine.Operation
	for v, at := range first {
		ops = append(ops, porcupine.Operation{Input: version{true, v}, Call: int64(puts[v]), Return: int64(at)})
	}
	for _, r := range reads {
		ops = append(ops, porcupine.Operation{Input: version{false, r.version}, Call: int64(r.from), Return: int64(r.to)})
	}
	return porcupine.CheckOperationsTimeout(versions, ops, within) == porcupine.Ok
}

// model visits the states of leases and turn, whose code this is.
func (t *rollouts) model() {
	t.say("the small model")
	states, complete := 0, 0
	for _, b := range []policy.Bounds{
		{Members: 2, Changes: 1, Most: 1}, {Members: 2, Changes: 1, Lost: 1}, {Members: 3, Changes: 1},
		{Members: 3, Changes: 2, Lost: 1, Doubled: 1, Deaths: 1, Most: 1, States: t.o.States},
		{Members: 1, Changes: 1, Reads: true, Stalls: 1}, {Members: 1, Changes: 2, Reads: true, Stalls: 1, States: t.o.States},
	} {
		n, all, broken := policy.Explore(b)
		if states += n; all {
			complete += n
		}
		t.r.Rule(broken == "", "small model %+v: %s", b, broken)
	}
	t.figure["states_checked"], t.figure["states_of_complete_models"] = states, complete
}
