package testbed

import (
	"cmp"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"asterwell/internal/cluster"
	"asterwell/internal/policy"
)

// Cluster is what a run showed of its policies.
type Cluster struct {
	Changes      int       `json:"changes"`
	Committed    int       `json:"committed"`
	Withdrawn    int       `json:"withdrawn"`
	Refused      int       `json:"refused"`
	Marks        int       `json:"marks"`
	Split        int       `json:"split_outcomes"`
	Mixed        int       `json:"mixed_decisions"`
	Stale        int       `json:"stale_served"`
	Linearizable string    `json:"linearizable"`
	HeldMsMax    float64   `json:"held_ms_max"`
	HeldMs99     float64   `json:"held_ms_p99"`
	Seconds      []float64 `json:"-"` // from proposal to outcome, of the committed
	P50, P99     float64   `json:"-"`
	Waiting      int       `json:"waiting"`       // gateways without a lease in the end
	RecoverS     float64   `json:"recover_s_max"` // from the end of a fault under which nothing was decided to the first decision
	BytesMemberS float64   `json:"bytes_per_member_s"`
	LeaderCPU    float64   `json:"leader_cpu"`   // share of a core that the leader takes at rest
	FollowerCPU  float64   `json:"follower_cpu"` // and a gateway without a vote, on average
	FollowerMB   float64   `json:"follower_mb"`  // resident
}

// finish waits for the outcome of all changes, and checks the register.
func (m *marking) finish() *Cluster {
	<-m.begun
	m.wg.Wait()
	f := m.f
	r := &m.rest
	// What was not heard of is asked for: one outcome each, the same at whoever leads.
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		open := 0
		for _, c := range m.all {
			if reply, err := m.client.Ask(cluster.Ask{Do: "fate", ID: c.id}, time.Second); err == nil && reply.Change != nil {
				m.note(c, *reply.Change)
				if reply.Change.Fate == policy.UnderWay {
					open++
				}
			} else if err != nil && strings.Contains(err.Error(), "unknown change") {
				if c.fate == policy.UnderWay { // it never came in
					c.fate = policy.Refused
				}
			} else {
				open++
			}
		}
		status, err := m.client.Ask(cluster.Ask{Do: "status"}, time.Second)
		if r.Waiting = len(f.gateways); err == nil {
			up := map[string]bool{}
			for _, s := range status.Members {
				if s.Leased && s.Version == status.Version {
					up[s.Name] = true
				}
			}
			for _, g := range f.gateways {
				if !g.Running() || up[g.Name] {
					r.Waiting--
				}
			}
		}
		if open == 0 && r.Waiting == 0 {
			break
		}
		if time.Now().After(end) {
			f.breaks("policy", "15 s after all faults %d changes are under way, %d gateways have no lease", open, r.Waiting)
			break
		}
	}
	m.check(r)
	return r
}

// measureRest takes what members cost while nothing changes.
func (m *marking) measureRest() {
	long := seconds(m.f.plan.Cluster.RestS)
	if long == 0 {
		return
	}
	time.Sleep(long / 4)
	before, err := m.client.Ask(cluster.Ask{Do: "status"}, 3*time.Second)
	if err != nil {
		return
	}
	cpu := func() (leader, others float64) {
		n := 0
		for _, g := range m.f.gateways {
			c := g.CPU().Seconds()
			if g.Name == before.Leader.Name {
				leader = c
			} else if g.index >= m.f.plan.folders() {
				others += c
				n++
			}
		}
		return leader, others / float64(max(1, n))
	}
	at := time.Now()
	l0, o0 := cpu()
	time.Sleep(long * 3 / 4)
	after, err := m.client.Ask(cluster.Ask{Do: "status"}, 3*time.Second)
	l1, o1 := cpu()
	took := time.Since(at).Seconds()
	if err != nil || after.Leader.Name != before.Leader.Name {
		return
	}
	m.rest.LeaderCPU, m.rest.FollowerCPU = (l1-l0)/took, (o1-o0)/took
	bytes := after.Counts["bytes_in"] + after.Counts["bytes_out"] - before.Counts["bytes_in"] - before.Counts["bytes_out"]
	m.rest.BytesMemberS = float64(bytes) / took / float64(max(1, len(after.Members)))
	n := 0
	for _, g := range m.f.gateways[m.f.plan.folders():] {
		m.rest.FollowerMB += g.MemoryMB()
		n++
	}
	m.rest.FollowerMB /= float64(max(1, n))
}

// recover is the longest that it took after the end of a fault, under which no
// gateway decided anything, until one did.
func (m *marking) recover() (most float64) {
	for _, e := range m.f.events {
		if !strings.HasPrefix(e.What, "start") && !strings.HasPrefix(e.What, "end of") && !strings.HasPrefix(e.What, "continue") {
			continue
		}
		first, quiet := time.Duration(math.MaxInt64), true
		for _, a := range m.marks {
			if a.to > e.At {
				first = min(first, a.to)
			} else if a.to > e.At-400*time.Millisecond {
				quiet = false
			}
		}
		if quiet && first < math.MaxInt64 && e.At > m.marks[0].from {
			most = max(most, (first - e.At).Seconds())
		}
	}
	return most
}

// checkFor is how long a history may be held against a register: beside other work it may have a small part of a core.
const checkFor = 3 * time.Minute

// check holds what gateways answered against the register's history.
func (m *marking) check(r *Cluster) {
	f := m.f
	m.mu.Lock()
	defer m.mu.Unlock()
	version := map[int]int64{}
	byVersion, unknown := map[int64]int{}, map[int]bool{}
	for _, c := range m.all {
		r.Changes++
		switch c.fate {
		case policy.Committed:
			r.Committed++
			if was, ok := byVersion[c.version]; ok {
				r.Split++
				f.breaks("outcome", "changes %d and %d are both version %d", was, c.k, c.version)
			}
			version[c.k], byVersion[c.version] = c.version, c.k
			if c.to > 0 {
				r.Seconds = append(r.Seconds, (c.to - c.from).Seconds())
			}
		case policy.UnderWay:
			unknown[c.k] = true
		case policy.Withdrawn:
			r.Withdrawn++
		case policy.Refused:
			r.Refused++
		}
	}
	slices.Sort(r.Seconds)
	if n := len(r.Seconds); n > 0 {
		r.P50, r.P99 = r.Seconds[n/2], r.Seconds[min(n-1, n*99/100)]
	}
	if r.Marks = len(m.marks); r.Marks > 0 {
		r.RecoverS = m.recover()
	}
	// By hand: none is decided by an older version that came after an answer by a newer one.
	byEnd := slices.Clone(m.marks)
	slices.SortFunc(byEnd, func(a, b mark) int { return cmp.Compare(a.to, b.to) })
	byStart := slices.Clone(m.marks)
	slices.SortFunc(byStart, func(a, b mark) int { return cmp.Compare(a.from, b.from) })
	newest, i := int64(0), 0
	for _, a := range byStart {
		for ; i < len(byEnd) && byEnd[i].to < a.from; i++ {
			if byEnd[i].known {
				newest = max(newest, version[byEnd[i].k])
			}
		}
		if !a.known {
			continue
		}
		switch v, ok := version[a.k]; {
		case !ok && unknown[a.k]: // nobody could be asked what became of it
		case !ok:
			r.Stale++
			f.breaks("policy", "g-%d decided by policy %d, which was never in force", a.gateway, a.k)
		case v < newest:
			r.Mixed++
			f.breaks("policy", "g-%d decided by version %d at %v, though version %d had been decided by", a.gateway, v, a.from, newest)
		}
	}
	// And by a program that is not ours.
	var ops []porcupine.Operation
	for _, c := range m.all {
		if c.fate == policy.Committed || unknown[c.k] {
			to := int64(c.to)
			if c.to == 0 {
				to = math.MaxInt64
			}
			ops = append(ops, porcupine.Operation{ClientId: 0, Input: input{write: true, k: c.k}, Call: int64(c.from), Return: to})
		}
	}
	for _, a := range m.marks {
		ops = append(ops, porcupine.Operation{ClientId: 0, Input: input{k: a.k}, Output: a.known, Call: int64(a.from), Return: int64(a.to)})
	}
	r.Linearizable = string(porcupine.CheckOperationsTimeout(register, ops, checkFor))
	if r.Linearizable == string(porcupine.Illegal) {
		f.breaks("policy", "the register is not linearizable: %d operations; %s", len(ops),
			misfit(m.all, func(c *proposal) bool { return c.fate == policy.Committed }, m.marks))
	}
	held := []float64{}
	for _, g := range f.gateways {
		if g.log == nil {
			continue
		}
		text, _ := os.ReadFile(g.log.Name())
		for line := range strings.SplitSeq(string(text), "\n") {
			if _, rest, ok := strings.Cut(line, "msg=held "); ok {
				if _, ms, ok := strings.Cut(rest, "ms="); ok {
					v, _ := strconv.ParseFloat(strings.Fields(ms)[0], 64)
					held = append(held, v)
				}
			}
		}
	}
	slices.Sort(held)
	if n := len(held); n > 0 {
		r.HeldMsMax, r.HeldMs99 = held[n-1], held[min(n-1, n*99/100)]
	}
}

// register is the policy in force: changes write it, marks read whether it is theirs.
var register = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		i := in.(input)
		if i.write {
			return true, i.k
		}
		return out.(bool) == (state.(int) == i.k), state
	},
	Equal: func(a, b any) bool { return a == b },
}

type input struct {
	write bool
	k     int
}
