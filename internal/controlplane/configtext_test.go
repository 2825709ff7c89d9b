package controlplane_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
	"asterwell/internal/systemsim"
)

// core is three processes that store a configuration, and the worker that parses for each.
type core struct {
	now        fsm.Time
	machines   []*controlplane.Machine
	names      []string
	parses     []func() // pending
	maxParsing int      // under way at one process at the same time
	parsing    map[int]int
	answers    []consensus.Answer
	adopted    map[int][]uint32
	pending    []func()

	maxObjects  uint64 // allocated by the step with the most allocations
	maxTime     time.Duration
	slowestStep string
	measuring   bool
}

func threadTime() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

func (c *core) step(i int, what any, input func() controlplane.Output) {
	var before, after runtime.MemStats
	if c.measuring {
		runtime.ReadMemStats(&before)
	}
	began := threadTime()
	out := input()
	elapsed := threadTime() - began
	if c.measuring {
		runtime.ReadMemStats(&after)
		c.maxObjects = max(c.maxObjects, after.Mallocs-before.Mallocs)
		if elapsed > c.maxTime {
			c.maxTime, c.slowestStep = elapsed, fmt.Sprintf("%T", what)
			if s, ok := what.(string); ok {
				c.slowestStep = s
			}
		}
	}
	if out.Write != nil {
		c.pending = append(c.pending, func() {
			c.step(i, "written", func() controlplane.Output { return c.machines[i].Written(c.now, out.Write.Seq) })
		})
	}
	if t := out.Parse; t != nil {
		c.parsing[i]++
		c.maxParsing = max(c.maxParsing, c.parsing[i])
		c.parses = append(c.parses, func() {
			r := t.Parse()
			c.parsing[i]--
			c.step(i, "read", func() controlplane.Output { return c.machines[i].ConfigParsed(c.now, r) })
		})
	}
	if out.Adopt != nil {
		c.adopted[i] = append(c.adopted[i], out.Doc.Version)
	}
	for _, r := range out.Replies {
		if a, ok := r.Value.(consensus.Answer); ok {
			c.answers = append(c.answers, a)
		}
	}
	for _, s := range out.Send {
		for j, name := range c.names {
			if name == s.To {
				c.pending = append(c.pending, func() {
					c.step(j, s.Msg, func() controlplane.Output { return c.machines[j].Receive(c.now, c.names[i], s.Msg) })
				})
			}
		}
	}
}

// run advances the time; texts are parsed only if parse is set.
func (c *core) run(duration time.Duration, parse bool) {
	for end := c.now + duration; c.now < end; c.now += 50 * time.Millisecond {
		for i, machine := range c.machines {
			c.step(i, "tick", func() controlplane.Output { return machine.Tick(c.now) })
		}
		for len(c.pending) > 0 {
			next := c.pending[0]
			c.pending = c.pending[1:]
			next()
		}
		for parse && len(c.parses) > 0 {
			next := c.parses[0]
			c.parses = c.parses[1:]
			next()
		}
	}
}

func startCore() *core {
	c := &core{now: time.Hour, names: []string{"a", "b", "c"}, parsing: map[int]int{}, adopted: map[int][]uint32{}}
	for i, name := range c.names {
		c.machines = append(c.machines, controlplane.New(controlplane.Config{Self: name, Name: name, Zone: name, ControlAddr: name, Member: true, Genesis: true, ToleratedLosses: 1,
			HeartbeatInterval: time.Second, Seeds: c.names, Incarnation: uint64(i + 1), Seed: uint64(i + 1)}, quotas.NewMeter(name, 1, 1), nil, c.now))
	}
	c.run(5*time.Second, true)
	return c
}

func (c *core) put(t *testing.T, body []byte, version uint32) {
	t.Helper()
	c.answers = nil
	text := bytes.Replace(body, []byte(`"Epoch":"00000001"`), fmt.Appendf(nil, `"Epoch":"%08x"`, version), 1)
	rate := bytes.Index(text, []byte(`"RatePerS":20`)) + 11
	copy(text[rate:], fmt.Append(nil, 20+version))
	c.step(2, "put", func() controlplane.Output {
		return c.machines[2].PutConfig(c.now, uint64(version), consensus.Doc{Version: version, Body: text})
	})
	c.run(300*time.Millisecond, false)
	if len(c.answers) != 1 || c.answers[0].Result != consensus.ResultAccepted {
		t.Fatalf("version %d: %+v", version, c.answers)
	}
}

// TestParsingDoesNotBlockLoop changes a configuration of 2.27 MB several times. No step of the control
// loop parses it, all versions are acknowledged before any is parsed, at most one parse is under way at
// each process, and the versions come into force in order, up to the newest.
func TestParsingDoesNotBlockLoop(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	c, body := startCore(), bytes.Replace(bytes.Replace(systemsim.BodyOf(4800, 12000), []byte(`,"Rollout":null`), nil, 1), []byte(`"Pools":null`), []byte(`"Pools":[{"Name":"pay"}]`), 1)
	c.put(t, body, 1)
	c.run(time.Second, true)
	c.measuring = true
	for version := uint32(2); version < 6; version++ {
		c.put(t, body, version)
	}
	if c.maxParsing != 1 || len(c.adopted[0]) != 1 {
		t.Errorf("%d texts at one worker, %v in force", c.maxParsing, c.adopted)
	}
	c.run(time.Second, true)
	for i := range c.machines {
		if fmt.Sprint(c.adopted[i]) != "[1 2 5]" {
			t.Errorf("%s put in force %v", c.names[i], c.adopted[i])
		}
	}
	t.Logf("%d bytes: the longest step (%s) took %v of a processor, the largest allocated %d objects", len(body), c.slowestStep, c.maxTime, c.maxObjects)
	if c.maxObjects > 5000 { // parsing this text allocates over 100,000
		t.Errorf("a step allocated %d objects", c.maxObjects)
	}
}
