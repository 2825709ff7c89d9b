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
	result := x.result
	defer func() { x.result = result }()
	n := s.clone()
	for i, id := range n.nodes { // without jitter two candidates could collide again and again
		c := x.nodes[id].clone()
		c.random.mixed = true
		n.nodes[i] = x.nodeID(c)
	}
	var stopped, wiped uint16
	for at, id := range n.nodes {
		if x.bounds.ForcedLeave && x.nodes[id].lostDiskID != 0 {
			wiped |= 1 << at
		}
	}
	lastExit, acked := 0, uint32(0) // the tick at which a process last stopped; the version put since then
	for i := range recoveryTicks {
		leavePending := false
		for at, id := range n.nodes {
			if m := x.nodes[id].machine; stopped&(1<<at) == 0 && m.leaving != 0 {
				if m.MayExit() || x.bounds.ForcedLeave && i == forcedLeaveTicks {
					stopped, lastExit, acked = stopped|1<<at, i, 0
				} else {
					leavePending = true
				}
			}
		}
		if !leavePending {
			wiped = 0
		}
		if i%putIntervalTicks == putIntervalTicks/2 && (!leavePending || i > recoveryTicks/2) && i > lastExit {
			arg := x.bounds.Puts + i/putIntervalTicks
			acked = x.scenario.puts[arg].Version
			for at := range n.nodes {
				if stopped&(1<<at) == 0 {
					x.step(n, transition{node: uint8(at), input: input{kind: put, arg: uint32(arg)}, link: noLink})
				}
			}
		}
		x.settleExcept(n, tick, stopped|wiped)
		if _, ok := x.checkStates[n.checkState].ackedIn[acked]; ok && acked > 0 {
			return true
		}
	}
	present := 0 // with too few left no progress is required, if the others are leaving and are no members
	for at, id := range n.nodes {
		if m := x.nodes[id].machine; stopped&(1<<at) == 0 && (m.isMember() || m.leaving == 0) {
			present++
		}
	}
	return present <= x.bounds.ToleratedLosses
}
