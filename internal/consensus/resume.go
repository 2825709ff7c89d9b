package consensus

// judgeResume asks that of a state, and counts.
func (x *explorer) judgeResume(s *state, at uint32) {
	x.found.LivenessChecked++
	if x.resumes(s) {
		return
	}
	if !x.b.CountStalls {
		x.fail("the core does not go on when all is well again and who was let go has ended")
		return
	}
	if x.found.Stuck++; len(x.found.Trace) == 0 {
		x.found.Trace = x.trace(at)
	}
	for _, id := range s.cells {
		if m := x.cells[id].m; m.seated() && m.d.Record.Ballot.above(x.first0) {
			x.found.StuckWithChange++
			if x.found.StuckWithChange == 1 {
				x.found.Trace = x.trace(at)
			}
			return
		}
	}
}

const (
	putEvery   = 20 // ticks
	graceTicks = 17 // that one has which is ended soon: 850 ms
)

// resumes says whether the core takes puts again once nothing goes wrong any more, and whoever
// leaves has ended for good as soon as it was let go. The state is not changed, nor what was found.
func (x *explorer) resumes(s *state) bool {
	found := x.found
	defer func() { x.found = found }()
	n := s.clone()
	for i, id := range n.cells { // without jitter two candidates could meet again and again
		c := x.cells[id].clone()
		c.lot.mixed = true
		n.cells[i] = x.cell(c)
	}
	var gone, away uint16
	for at, id := range n.cells {
		if x.b.ForcedLeave && x.cells[id].lost != 0 {
			away |= 1 << at
		}
	}
	last, acked := 0, uint32(0) // when somebody ended; the version asked for since
	for i := range mendTicks {
		waits := false
		for at, id := range n.cells {
			if m := x.cells[id].m; gone&(1<<at) == 0 && m.notice != 0 {
				if m.MayExit() || x.b.ForcedLeave && i == graceTicks {
					gone, last, acked = gone|1<<at, i, 0
				} else {
					waits = true
				}
			}
		}
		if !waits {
			away = 0
		}
		if i%putEvery == putEvery/2 && (!waits || i > mendTicks/2) && i > last {
			arg := x.b.Puts + i/putEvery
			acked = x.course.puts[arg].Version
			for at := range n.cells {
				if gone&(1<<at) == 0 {
					x.step(n, move{at: uint8(at), in: input{kind: put, arg: uint32(arg)}, link: none})
				}
			}
		}
		x.settleBut(n, steady, gone|away)
		if _, ok := x.judges[n.judge].acked[acked]; ok && acked > 0 {
			return true
		}
	}
	here := 0 // too few are not asked for, if the others are on their way out and hold nothing
	for at, id := range n.cells {
		if m := x.cells[id].m; gone&(1<<at) == 0 && (m.seated() || m.notice == 0) {
			here++
		}
	}
	return here <= x.b.ToleratedLosses
}
