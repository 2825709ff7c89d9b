package consensus

// checkLiveness checks a state and counts the result.
func (x *explorer) checkLiveness(s *modelState, at uint32) {
	x.result.LivenessChecked++
	if x.canProgress(s) {
		return
	}
	if !x.bounds.CountStalls {
		x.fail("the cluster makes no progress after all faults have ended and leaving processes have exited")
		return
	}
	if x.result.Stuck++; len(x.result.Trace) == 0 {
		x.result.Trace = x.trace(at)
	}
	for _, id := range s.nodes {
		if m := x.nodes[id].machine; m.isMember() && m.state.Record.Ballot.higherThan(x.firstBallot) {
			x.result.StuckWithChange++
			if x.result.StuckWithChange == 1 {
				x.result.Trace = x.trace(at)
			}
			return
		}
	}
}

const (
	putIntervalTicks = 20 // ticks
	forcedLeaveTicks = 17 // ticks until a process with LeaveForced is stopped: 850 ms
)

// canProgress reports whether the cluster accepts puts again once no more faults occur and each
// leaving process has stopped when it was allowed to. The state and the counts remain unchanged.
func (x *explorer) canProgress(s *modelState) bool {
	found := x.result
	defer func() { x.result = found }()
	n := s.clone()
	for i, id := range n.nodes { // without jitter two candidates could collide again and again
		c := x.nodes[id].clone()
		c.random.mixed = true
		n.nodes[i] = x.nodeID(c)
	}
	var gone, away uint16
	for at, id := range n.nodes {
		if x.bounds.ForcedLeave && x.nodes[id].lostDiskID != 0 {
			away |= 1 << at
		}
	}
	last, acked := 0, uint32(0) // the tick at which a process last stopped; the version put since then
	for i := range recoveryTicks {
		waits := false
		for at, id := range n.nodes {
			if m := x.nodes[id].machine; gone&(1<<at) == 0 && m.leaving != 0 {
				if m.MayExit() || x.bounds.ForcedLeave && i == forcedLeaveTicks {
					gone, last, acked = gone|1<<at, i, 0
				} else {
					waits = true
				}
			}
		}
		if !waits {
			away = 0
		}
		if i%putIntervalTicks == putIntervalTicks/2 && (!waits || i > recoveryTicks/2) && i > last {
			arg := x.bounds.Puts + i/putIntervalTicks
			acked = x.scenario.puts[arg].Version
			for at := range n.nodes {
				if gone&(1<<at) == 0 {
					x.step(n, transition{node: uint8(at), input: input{kind: put, arg: uint32(arg)}, link: noLink})
				}
			}
		}
		x.settleExcept(n, tick, gone|away)
		if _, ok := x.judgements[n.judgement].ackedIn[acked]; ok && acked > 0 {
			return true
		}
	}
	here := 0 // with too few left no progress is required, if the others are leaving and are no members
	for at, id := range n.nodes {
		if m := x.nodes[id].machine; gone&(1<<at) == 0 && (m.isMember() || m.leaving == 0) {
			here++
		}
	}
	return here <= x.bounds.ToleratedLosses
}
