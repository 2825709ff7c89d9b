package drainpermit

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Bounds of a small model: every order in which the messages of a few processes may arrive, be
// lost and be doubled, and what operators and restarts may do in between.
type Bounds struct {
	Procs                            int
	Starts, Stops, Restarts, Repeats int // Repeats: asks that are repeated or end without an answer
	Doubled                          int // messages that come twice
	States                           int // at most; 0: all
	Bug                              Bug
}

// Explored is what a model came to.
type Exploration struct {
	States    int
	Complete  bool
	Violation string
	Trace     []string
}

type sent struct {
	from, to int
	word     Message
}

type state struct {
	all                                       []*Machine
	lives                                     []int
	net                                       []sent
	starts, stops, restarts, repeats, doubled int
	last                                      *state
	form                                      string // the step that led here
	args                                      []any
}

// key is all that matters of a state.
func (s *state) key() string {
	var b []byte
	for i, m := range s.all {
		b = append(b, byte(s.lives[i]), bit(m.drains), byte(len(m.calls)), byte(m.id%1000), byte(min(m.rounds, 1)))
		for j := range s.all {
			b = append(b, bit(m.noes[string(rune('a'+j))]))
		}
	}
	slices.SortFunc(s.net, func(a, b sent) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to), cmp.Compare(a.word.Kind, b.word.Kind), cmp.Compare(a.word.ID, b.word.ID))
	})
	for _, m := range s.net {
		b = append(binary.AppendUvarint(b, m.word.ID), byte(m.from), byte(m.to), byte(m.word.Kind))
	}
	return string(append(b, byte(s.starts), byte(s.stops), byte(s.restarts), byte(s.repeats), byte(s.doubled)))
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (s *state) copy(form string, args ...any) *state {
	c := *s
	c.all, c.lives, c.net, c.last, c.form, c.args = nil, slices.Clone(s.lives), slices.Clone(s.net), s, form, args
	for _, m := range s.all {
		c.all = append(c.all, m.Clone())
	}
	return &c
}

// Explore visits a model from its begin on, and stops where all processes drain.
func Explore(b Bounds) Exploration {
	name := func(i int) string { return string(rune('a' + i)) }
	boot := func(i, life int) *Machine {
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
	first := &state{lives: make([]int, b.Procs)}
	for i := range b.Procs {
		first.all = append(first.all, boot(i, 0))
	}
	seen, queue := map[string]bool{first.key(): true}, []*state{first}
	out := Exploration{Complete: true}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		out.States++
		if b.States > 0 && out.States >= b.States {
			out.Complete = false
			return out
		}
		take := func(c *state, i int, o Out) {
			for _, m := range o.Send {
				c.net = append(c.net, sent{i, int(m.To[0] - 'a'), m.Msg.(Message)})
			}
			if !slices.ContainsFunc(c.all, func(m *Machine) bool { return !m.drains }) {
				out.Violation = "all drain"
				for at := c; at.last != nil; at = at.last {
					out.Trace = append([]string{fmt.Sprintf(at.form, at.args...)}, out.Trace...)
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
				take(c, i, c.all[i].Call(0, 1, Start, time.Second))
			}
			if s.stops < b.Stops {
				c := s.copy("%c is asked to stop that", 'a'+i)
				c.stops++
				take(c, i, c.all[i].Call(0, 1, Stop, 0))
			}
			if s.restarts < b.Restarts {
				c := s.copy("%c starts anew", 'a'+i)
				c.restarts++
				c.lives[i]++
				c.all[i] = boot(i, c.lives[i])
				take(c, i, Out{})
			}
			if s.repeats < b.Repeats && len(s.all[i].calls) > 0 {
				for _, at := range []fsm.Time{againEvery, time.Second} {
					c := s.copy("%c after %v", 'a'+i, at)
					c.repeats++
					c.all[i].sent = 0
					take(c, i, c.all[i].Tick(at))
				}
			}
		}
		for k, m := range s.net {
			for _, keep := range []bool{false, true} {
				if keep && s.doubled == b.Doubled {
					continue
				}
				c := s.copy("%c takes %v of %c", 'a'+m.to, m.word, 'a'+m.from)
				if keep {
					c.doubled++
				} else {
					c.net = slices.Delete(c.net, k, k+1)
				}
				take(c, m.to, c.all[m.to].Receive(0, name(m.from), m.word))
			}
		}
		if out.Violation != "" {
			return out
		}
	}
	return out
}
