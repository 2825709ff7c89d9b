package consensus

import (
	"fmt"
)

func (x *explorer) fail(form string, args ...any) {
	if x.result.Violation == "" {
		x.result.Violation = fmt.Sprintf(form, args...)
	}
}

// checkFacts checks that each version has one body, and that no read returns a version lower than
// one acknowledged before.
func (x *explorer) checkFacts(s *modelState, in input, facts []fact) {
	old := x.checkStates[s.checkState]
	v := checkState{cloneMap(old.inForce), cloneMap(old.ackedIn), cloneMap(old.readFloors), old.highestAcked,
		cloneMap(old.ackedBodies), cloneMap(old.conflicts)}
	if in.kind == read {
		v.readFloors[readCallID(in.arg)] = v.highestAcked
	}
	for _, f := range facts {
		switch f.kind {
		case factAccepted:
			if b, ok := v.ackedIn[f.version]; !ok || b.higherThan(f.ballot) {
				v.ackedIn[f.version] = f.ballot
			}
			v.highestAcked = max(v.highestAcked, f.version)
			x.checkAccepted(v, f)
		case factConflict:
			v.conflicts[requestKey(f.version, f.body)] = true
			if t, ok := v.ackedBodies[f.version]; ok && t == f.body {
				x.fail("version %d: body %q was acknowledged, and is now refused as a conflict", f.version, t)
			}
			if b, ok := v.inForce[f.version]; ok && b == f.body {
				x.fail("version %d: body %q is in force, and is refused as a conflict", f.version, b)
			}
		case factRead, factApplied:
			if b, ok := v.inForce[f.version]; ok && b != f.body {
				x.fail("version %d has two bodies in force, %q and %q", f.version, b, f.body)
			}
			v.inForce[f.version] = f.body
			if t, ok := v.ackedBodies[f.version]; ok && t != f.body {
				x.fail("version %d: body %q is in force, but %q was acknowledged", f.version, f.body, t)
			}
			if f.kind == factApplied {
				continue
			}
			if floor := v.readFloors[f.id]; f.version < floor {
				x.fail("a read returned version %d, after version %d was acknowledged", f.version, floor)
			}
			delete(v.readFloors, f.id)
			x.readsAnswered++
		case factReadNone:
			x.fail("a read returned no document")
		}
	}
	newest := uint32(0)
	for n := range v.inForce {
		newest = max(newest, n)
	}
	if v.highestAcked > newest { // accepting a version below the committed one changes nothing
		x.fail("version %d was acknowledged, but neither it nor a higher version is in force at any node",
			v.highestAcked)
	}
	x.result.Acked = max(x.result.Acked, len(v.ackedIn)-1)
	s.checkState = x.checkStateID(v)
	for i := range s.nodes {
		x.checkNode(s, i)
	}
}

// checkAccepted checks that only one body of a version is acknowledged, and that it is the one in
// force if there is one.
func (x *explorer) checkAccepted(v checkState, f fact) {
	if t, ok := v.ackedBodies[f.version]; ok && t != f.body {
		x.fail("version %d: two bodies were acknowledged, %q and %q", f.version, t, f.body)
	}
	if b, ok := v.inForce[f.version]; ok && b != f.body {
		x.fail("version %d: body %q is in force, and %q is acknowledged", f.version, b, f.body)
	}
	if v.conflicts[requestKey(f.version, f.body)] {
		x.fail("version %d: body %q is acknowledged, but was refused as a conflict", f.version, f.body)
	}
	v.ackedBodies[f.version] = f.body
}

func requestKey(version uint32, body string) string { return fmt.Sprint(version, " ", body) }

// checkNode checks that a primary has all that earlier epochs acknowledged.
func (x *explorer) checkNode(s *modelState, i int) {
	c := x.nodes[s.nodes[i]]
	if c.violation != "" {
		x.fail("%s", c.violation)
	}
	l := c.machine.primary
	if l == nil {
		return
	}
	x.result.Epochs = max(x.result.Epochs, int(l.record.Ballot.N-min(x.firstBallot.N, l.record.Ballot.N)))
	for version, by := range x.checkStates[s.checkState].ackedIn {
		if l.record.Ballot.higherThan(by) && c.machine.state.Committed.Version < version {
			x.fail("version %d was acknowledged in epoch %d, but %s is the primary of epoch %d with version %d",
				version, by.N, x.addrs[i], l.record.Ballot.N, c.machine.state.Committed.Version)
		}
	}
}
