package bench

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"asterwell/internal/cluster/world"
	"asterwell/internal/policy"
	"asterwell/internal/testbed"
)

// ClusterSum is what seeds of the cluster's virtual world came to.
type ClusterSum struct {
	Seeds     int             `json:"seeds"`
	Seconds   float64         `json:"seconds"`
	Committed int             `json:"committed"`
	Withdrawn int             `json:"withdrawn"`
	Refused   int             `json:"refused"`
	Decided   int             `json:"decided"`
	Kills     int             `json:"kills"`
	Stops     int             `json:"stops"`
	Cuts      int             `json:"cuts"`
	Disks     int             `json:"disk_faults"`
	Lost      int             `json:"lost_disks"`
	Elected   int             `json:"elections"`
	Broken    []BrokenCluster `json:"broken"`
}

// BrokenCluster is a seed that broke a promise.
type BrokenCluster struct {
	Seed uint64 `json:"seed"`
	Rule string `json:"rule"`
	What string `json:"what"`
}

// PlayCluster plays seeds, several side by side; with first it ends once one breaks a
// promise.
func PlayCluster(from uint64, count int, first bool, side int) (sum ClusterSum) {
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := from
	for range side {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				done := seed >= from+uint64(count) || first && len(sum.Broken) > 0
				next++
				mu.Unlock()
				if done {
					return
				}
				r := world.Simulate(world.Options{Seed: seed})
				mu.Lock()
				sum.Seeds++
				sum.Committed += r.Committed
				sum.Withdrawn += r.Withdrawn
				sum.Refused += r.Refused
				sum.Decided += r.Decided
				sum.Kills += r.Kills
				sum.Stops += r.Stops
				sum.Cuts += r.Cuts
				sum.Disks += r.Disks
				sum.Lost += r.Lost
				sum.Elected += r.Elected
				for _, b := range r.Broken {
					sum.Broken = append(sum.Broken, BrokenCluster{seed, b.Rule, b.String()})
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.SortStableFunc(sum.Broken, func(a, b BrokenCluster) int { return int(int64(a.Seed) - int64(b.Seed)) })
	sum.Seconds = time.Since(began).Seconds()
	return sum
}

// PolicyOptions of the measurement of changes of policy.
type PolicyOptions struct {
	Binary   string
	Gateways int
	Seed     uint64
	Seeds    int // of the virtual world
	States   int // of the small model, at most
	Progress func(text string)
}

// policyRuns are what real processes play.
func policyRuns(o PolicyOptions) (names []string, runs map[string]*testbed.Schedule) {
	list := func(words ...string) []string { return words }
	big := func(faults ...testbed.Fault) *testbed.Schedule {
		return &testbed.Schedule{Seed: o.Seed, Gateways: o.Gateways, Servers: 40, Rate: 1.3 * float64(o.Gateways), Seconds: 24,
			Cluster: &testbed.ClusterPlan{Voters: 5, EveryS: 0.6, Marks: 200}, Faults: faults}
	}
	runs = map[string]*testbed.Schedule{
		"all there": big(),
		"30% down":  big(testbed.Fault{AtS: 2, Kind: "kill", Who: list("followers:0.3"), Back: "never"}, testbed.Fault{AtS: 2, Kind: "kill", Who: list("g-4"), Back: "never"}),
		"30% come and go": big(testbed.Fault{AtS: 2, Kind: "kill", Who: list("followers:0.3"), ForS: 2, OverS: 2}, testbed.Fault{AtS: 9, Kind: "stop", Who: list("followers:0.3"), ForS: 3},
			testbed.Fault{AtS: 15, Kind: "kill", Who: list("gateways:0.3"), Back: "empty", ForS: 1}),
		"faults at nine": {Seed: o.Seed, Gateways: 9, Servers: 6, Rate: 80, Seconds: 46, Cluster: &testbed.ClusterPlan{Voters: 5, Spare: 2, EveryS: 0.6, BadEvery: 7, Marks: 200}, Faults: []testbed.Fault{
			{AtS: 2, Kind: "kill", Who: list("leader"), ForS: 0.5},
			{AtS: 4, Kind: "stop", Who: list("leader"), ForS: 2.5},
			{AtS: 8, Kind: "cut", From: list("leader"), To: list("voters"), Way: "from", ForS: 2},
			{AtS: 11, Kind: "cut", From: list("voters"), To: list("leader"), ForS: 2},
			{AtS: 14, Kind: "kill", Who: list("gateways:0.3"), Back: "folder", ForS: 1},
			{AtS: 17, Kind: "cut", From: list("g-0", "g-1"), To: list("g-2", "g-3", "g-4"), ForS: 2},
			{AtS: 17, Kind: "cut", From: list("g-2", "g-3", "g-4"), To: list("g-0", "g-1"), ForS: 2},
			{AtS: 20, Kind: "propose-killed", Ms: 5}, {AtS: 20.5, Kind: "propose-killed", Ms: 15}, {AtS: 21, Kind: "propose-killed", Ms: 40},
			{AtS: 22, Kind: "stop", Who: list("followers"), ForS: 2.5},
			{AtS: 26, Kind: "delay", From: list("gateways"), To: list("voters"), Ms: 60, ForS: 3},
			{AtS: 30, Kind: "stall", From: list("gateways"), To: list("g-1"), Rate: 2000, ForS: 3},
			{AtS: 34, Kind: "kill", Who: list("gateways"), ForS: 0.5},
			{AtS: 39, Kind: "cut", From: list("gateways"), To: list("voters"), ForS: 3},
		}},
		"voters replaced": {Seed: o.Seed, Gateways: 9, Servers: 6, Rate: 80, Seconds: 24, Cluster: &testbed.ClusterPlan{Voters: 3, Spare: 3, EveryS: 0.6, Marks: 200}, Faults: []testbed.Fault{
			{AtS: 2, Kind: "replace-voter", Who: list("g-0"), To: list("g-3")},
			{AtS: 5, Kind: "replace-voter", Who: list("g-1"), To: list("g-4")},
			{AtS: 8, Kind: "replace-voter", Who: list("g-2"), To: list("g-5")},
			{AtS: 11, Kind: "kill", Who: list("g-0", "g-1", "g-2"), Back: "empty", ForS: 1},
			{AtS: 14, Kind: "kill", Who: list("g-4"), Back: "empty", ForS: 0.5}, // a machine lost with its disk
			{AtS: 17, Kind: "replace-voter", Who: list("g-4"), To: list("g-4")},
			{AtS: 19, Kind: "kill", Who: list("leader"), ForS: 0.5},
		}},
		"no majority": {Seed: o.Seed, Gateways: 5, Servers: 4, Rate: 40, Seconds: 18, Cluster: &testbed.ClusterPlan{Voters: 3, EveryS: 0.5, Marks: 100}, Faults: []testbed.Fault{
			{AtS: 3, Kind: "kill", Who: list("g-0", "g-1"), ForS: 4},
			{AtS: 11, Kind: "stop", Who: list("g-1", "g-2"), ForS: 3},
		}},
	}
	runs["all there"].Cluster.RestS = 6
	runs["old copy and a full disk"] = &testbed.Schedule{Seed: o.Seed, Gateways: 7, Servers: 4, Rate: 40, Seconds: 18, Cluster: &testbed.ClusterPlan{Voters: 5, EveryS: 0.3, Marks: 100}, Faults: []testbed.Fault{
		{AtS: 2, Kind: "kill", Who: list("g-1"), Back: "older", ForS: 1},
		{AtS: 5, Kind: "disk-full", Who: list("g-2")},
		{AtS: 13, Kind: "kill", Who: list("leader"), ForS: 0.5},
	}}
	return []string{"all there", "30% down", "30% come and go", "faults at nine", "voters replaced", "old copy and a full disk", "no majority"}, runs
}

// MeasurePolicy plays changes of policy with real processes, the virtual world and
// the small model.
func MeasurePolicy(o PolicyOptions) (*Report, error) {
	r := &Report{Name: "policy", Seed: o.Seed, Figure: map[string]any{}}
	say := func(format string, args ...any) {
		if o.Progress != nil {
			o.Progress(fmt.Sprintf(format, args...))
		}
	}
	r.Row("run", "changes", "committed", "withdrawn", "refused", "marks", "register", "held ms", "p50 s", "p99 s", "back s", "tries", "broken", "late ms")
	names, runs := policyRuns(o)
	sum := testbed.Cluster{Linearizable: "Ok"}
	void := 0
	var unanswered, twice int
	for _, name := range names {
		s := runs[name]
		if err := s.Check(); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		say("%s", name)
		f, err := testbed.New(s, testbed.Options{Binary: o.Binary})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		p, err := f.Run()
		if e := f.Close(); err == nil {
			err = e
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		c := p.Cluster
		r.Row(name, c.Changes, c.Committed, c.Withdrawn, c.Refused, c.Marks, c.Linearizable, c.HeldMsMax, c.P50, c.P99, c.RecoverS, p.Tries, len(p.Broken), p.LateMost.Milliseconds())
		for _, b := range p.Broken {
			r.Rule(false, "%s: after %v: %s: %s", name, b.At.Round(time.Millisecond), b.Rule, b.Detail)
			if b.Rule == "twice" {
				twice++
			}
			if b.Rule == "lost" {
				unanswered++
			}
		}
		for _, v := range p.Void {
			void++
			say("%s is void: %s", name, v)
		}
		sum.Changes += c.Changes
		sum.Committed += c.Committed
		sum.Withdrawn += c.Withdrawn
		sum.Refused += c.Refused
		sum.Marks += c.Marks
		sum.Split += c.Split
		sum.Mixed += c.Mixed
		sum.Stale += c.Stale
		sum.RecoverS = max(sum.RecoverS, c.RecoverS)
		if c.Linearizable != "Ok" {
			sum.Linearizable = c.Linearizable
			r.Rule(false, "%s: porcupine on the register: %s", name, c.Linearizable)
		}
		switch name {
		case "all there":
			sum.HeldMsMax, sum.BytesMemberS, sum.LeaderCPU, sum.FollowerCPU, sum.FollowerMB = c.HeldMsMax, c.BytesMemberS, c.LeaderCPU, c.FollowerCPU, c.FollowerMB
			r.Figure["change_s_p50"], r.Figure["change_s_p99"] = c.P50, c.P99
		case "30% down":
			r.Figure["change_s_p50_30_down"], r.Figure["change_s_p99_30_down"] = c.P50, c.P99
		}
	}
	say("the same gateways in no cluster")
	alone := &testbed.Schedule{Seed: o.Seed, Gateways: max(10, o.Gateways/10), Servers: 10, Rate: 1.3 * float64(max(10, o.Gateways/10)), Seconds: 6}
	mb, err := restingMB(alone, o.Binary)
	if err != nil {
		return nil, err
	}
	say("%d seeds", o.Seeds)
	seeds := PlayCluster(o.Seed, o.Seeds, false, 4)
	for _, b := range seeds.Broken {
		r.Rule(false, "seed %d: %s", b.Seed, b.What)
	}
	say("the small model")
	states, complete := 0, 0
	for _, b := range []policy.Bounds{
		{Members: 2, Changes: 1, Most: 1}, {Members: 2, Changes: 1, Lost: 1}, {Members: 2, Changes: 1, Doubled: 1}, {Members: 3, Changes: 1},
		{Members: 2, Changes: 2, Deaths: 1, States: o.States},
		{Members: 3, Changes: 2, Lost: 1, Doubled: 1, Deaths: 1, Most: 1, States: o.States},
		{Members: 1, Changes: 1, Reads: true, Stalls: 1}, {Members: 1, Changes: 2, Reads: true, Stalls: 1, States: o.States},
	} {
		n, all, broken := policy.Explore(b)
		states += n
		if r.Row("small model", fmt.Sprintf("%+v", b), n, map[bool]string{true: "all of them", false: "the first"}[all]); all {
			complete += n
		}
		say("%+v: %d states, all of them: %v %s", b, n, all, broken)
		r.Rule(broken == "", "small model %+v: %s", b, broken)
	}
	for key, v := range map[string]any{"gateways": o.Gateways, "changes": sum.Changes, "committed": sum.Committed, "withdrawn": sum.Withdrawn,
		"refused": sum.Refused, "marks": sum.Marks, "split_outcomes": sum.Split, "mixed_decisions": sum.Mixed, "stale_served": sum.Stale, "linearizable": sum.Linearizable == "Ok",
		"unanswered": unanswered, "double_runs": twice, "held_ms_max": sum.HeldMsMax, "recover_s_max": sum.RecoverS,
		"voter_cpu_share": sum.LeaderCPU - sum.FollowerCPU, "bytes_per_member_s": sum.BytesMemberS, "rss_mb_added": sum.FollowerMB - mb,
		"states_checked": states, "states_of_complete_models": complete, "seeds": seeds.Seeds, "seeds_s": seeds.Seconds, "void_runs": void} {
		r.Figure[key] = v
	}
	return r, nil
}

// restingMB is the mean resident memory of gateways after a run.
func restingMB(s *testbed.Schedule, binary string) (float64, error) {
	if err := s.Check(); err != nil {
		return 0, err
	}
	f, err := testbed.New(s, testbed.Options{Binary: binary})
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	mb := f.MemoryMB()
	if _, err := f.Run(); err != nil {
		return 0, err
	}
	return mb, f.Close()
}
