package drainpermit

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Bounds limits a small model. It covers every order in which the messages of a few processes may
// arrive, be lost and be duplicated, with operators' calls and restarts in between.
type Bounds struct {
	Procs                            int
	Starts, Stops, Restarts, Repeats int // Repeats: requests that are repeated or end without an answer
	Doubled                          int // messages that are delivered twice
	States                           int // limit; 0: none
	Bug                              Bug
}

// Exploration is the result of exploring a model.
type Exploration struct {
	States    int
	Complete  bool
	Violation string
	Trace     []string
}

type sentMessage struct {
	from, to int
	message  Message
}

type modelState struct {
	machines                                  []*Machine
	incarnations                              []int
	inFlight                                  []sentMessage
	starts, stops, restarts, repeats, doubled int
	previous                                  *modelState
	stepFormat                                string // describes the step that led here
	stepArgs                                  []any
}

// key identifies a state by everything that matters of it.
func (s *modelState) key() string {
	var b []byte
	for i, m := range s.machines {
		b = append(b, byte(s.incarnations[i]), boolByte(m.draining), byte(len(m.waitingCalls)), byte(m.requestID%1000), byte(min(m.attempts, 1)))
		for j := range s.machines {
			b = append(b, boolByte(m.denials[string(rune('a'+j))]))
		}
	}
	slices.SortFunc(s.inFlight, func(a, b sentMessage) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to), cmp.Compare(a.message.Kind, b.message.Kind), cmp.Compare(a.message.ID, b.message.ID))
	})
	for _, m := range s.inFlight {
		b = append(binary.AppendUvarint(b, m.message.ID), byte(m.from), byte(m.to), byte(m.message.Kind))
	}
	return string(append(b, byte(s.starts), byte(s.stops), byte(s.restarts), byte(s.repeats), byte(s.doubled)))
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (s *modelState) copy(stepFormat string, stepArgs ...any) *modelState {
	c := *s
	c.machines, c.incarnations, c.inFlight, c.previous, c.stepFormat, c.stepArgs = nil, slices.Clone(s.incarnations), slices.Clone(s.inFlight), s, stepFormat, stepArgs
	for _, m := range s.machines {
		c.machines = append(c.machines, m.Clone())
	}
	return &c
}

// Explore visits the states of a model breadth-first, and stops where all processes drain.
func Explore(b Bounds) Exploration {
	name := func(i int) string { return string(rune('a' + i)) }
	startMachine := func(i, life int) *Machine {
		m := New(name(i), uint64(i+1)*1_000_000+uint64(life)*1000, b.Bug)
		var peers []Peer
		for j := range b.Procs {
			if j != i {
				peers = append(peers, Peer{name(j), true})
			}
		}
		m.SetPeers(peers, false)
		m.SetReady(true, false)
		return m
	}
	first := &modelState{incarnations: make([]int, b.Procs)}
	for i := range b.Procs {
		first.machines = append(first.machines, startMachine(i, 0))
	}
	seen, queue := map[string]bool{first.key(): true}, []*modelState{first}
	out := Exploration{Complete: true}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		out.States++
		if b.States > 0 && out.States >= b.States {
			out.Complete = false
			return out
		}
		addState := func(c *modelState, i int, o Out) {
			for _, m := range o.Send {
				c.inFlight = append(c.inFlight, sentMessage{i, int(m.To[0] - 'a'), m.Msg.(Message)})
			}
			if !slices.ContainsFunc(c.machines, func(m *Machine) bool { return !m.draining }) {
				out.Violation = "all drain"
				for at := c; at.previous != nil; at = at.previous {
					out.Trace = append([]string{fmt.Sprintf(at.stepFormat, at.stepArgs...)}, out.Trace...)
				}
			}
			if k := c.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, c)
			}
		}
		for i := range b.Procs {
			if s.starts < b.Starts {
				c := s.copy("%c is asked to drain", 'a'+i)
				c.starts++
				addState(c, i, c.machines[i].Call(0, 1, Start, time.Second))
			}
			if s.stops < b.Stops {
				c := s.copy("%c is asked to stop draining", 'a'+i)
				c.stops++
				addState(c, i, c.machines[i].Call(0, 1, Stop, 0))
			}
			if s.restarts < b.Restarts {
				c := s.copy("%c restarts", 'a'+i)
				c.restarts++
				c.incarnations[i]++
				c.machines[i] = startMachine(i, c.incarnations[i])
				addState(c, i, Out{})
			}
			if s.repeats < b.Repeats && len(s.machines[i].waitingCalls) > 0 {
				for _, at := range []fsm.Time{retryInterval, time.Second} {
					c := s.copy("%c after %v", 'a'+i, at)
					c.repeats++
					c.machines[i].lastSent = 0
					addState(c, i, c.machines[i].Tick(at))
				}
			}
		}
		for k, m := range s.inFlight {
			for _, keep := range []bool{false, true} {
				if keep && s.doubled == b.Doubled {
					continue
				}
				c := s.copy("%c receives %v from %c", 'a'+m.to, m.message, 'a'+m.from)
				if keep {
					c.doubled++
				} else {
					c.inFlight = slices.Delete(c.inFlight, k, k+1)
				}
				addState(c, m.to, c.machines[m.to].Receive(0, name(m.from), m.message))
			}
		}
		if out.Violation != "" {
			return out
		}
	}
	return out
}
