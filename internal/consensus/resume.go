package consensus

// judgeResume asks that of a state, and counts.
func (x *explorer) checkLiveness(s *modelState, at uint32) {
	x.result.LivenessChecked++
	if x.canProgress(s) {
		return
	}
	if !x.bounds.CountStalls {
		x.fail("the core does not go on when all is well again and who was let go has ended")
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
	forcedLeaveTicks = 17 // that one has which is ended soon: 850 ms
)

// resumes says whether the core takes puts again once nothing goes wrong any more, and whoever
// leaves has ended for good as soon as it was let go. The state is not changed, nor what was found.
func (x *explorer) canProgress(s *modelState) bool {
	found := x.result
	defer func() { x.result = found }()
	n := s.clone()
	for i, id := range n.nodes { // without jitter two candidates could meet again and again
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
	last, acked := 0, uint32(0) // when somebody ended; the version asked for since
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
	here := 0 // too few are not asked for, if the others are on their way out and hold nothing
	for at, id := range n.nodes {
		if m := x.nodes[id].machine; gone&(1<<at) == 0 && (m.isMember() || m.leaving == 0) {
			here++
		}
	}
	return here <= x.bounds.ToleratedLosses
}
