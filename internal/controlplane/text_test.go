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

// core is three processes that keep a configuration, with their reading beside them.
type core struct {
	now     fsm.Time
	knots   []*controlplane.Machine
	names   []string
	texts   []func() // to be read
	most    int      // under way at one process
	waiting map[int]int
	said    []consensus.Answer
	adopted map[int][]uint32
	queue   []func()

	objects uint64 // allocated by the largest step
	longest time.Duration
	slowest string
	counts  bool
}

func spent() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

func (c *core) step(i int, what any, do func() controlplane.Output) {
	var before, after runtime.MemStats
	if c.counts {
		runtime.ReadMemStats(&before)
	}
	began := spent()
	out := do()
	took := spent() - began
	if c.counts {
		runtime.ReadMemStats(&after)
		c.objects = max(c.objects, after.Mallocs-before.Mallocs)
		if took > c.longest {
			c.longest, c.slowest = took, fmt.Sprintf("%T", what)
			if s, ok := what.(string); ok {
				c.slowest = s
			}
		}
	}
	if out.Write != nil {
		c.queue = append(c.queue, func() {
			c.step(i, "written", func() controlplane.Output { return c.knots[i].Written(c.now, out.Write.Seq) })
		})
	}
	if t := out.Parse; t != nil {
		c.waiting[i]++
		c.most = max(c.most, c.waiting[i])
		c.texts = append(c.texts, func() {
			r := t.Parse()
			c.waiting[i]--
			c.step(i, "read", func() controlplane.Output { return c.knots[i].ConfigParsed(c.now, r) })
		})
	}
	if out.Adopt != nil {
		c.adopted[i] = append(c.adopted[i], out.Doc.Version)
	}
	for _, r := range out.Replies {
		if a, ok := r.Value.(consensus.Answer); ok {
			c.said = append(c.said, a)
		}
	}
	for _, s := range out.Send {
		for j, name := range c.names {
			if name == s.To {
				c.queue = append(c.queue, func() {
					c.step(j, s.Msg, func() controlplane.Output { return c.knots[j].Receive(c.now, c.names[i], s.Msg) })
				})
			}
		}
	}
}

// run lets time pass; texts are read only where it is said.
func (c *core) run(d time.Duration, reads bool) {
	for end := c.now + d; c.now < end; c.now += 50 * time.Millisecond {
		for i, k := range c.knots {
			c.step(i, "tick", func() controlplane.Output { return k.Tick(c.now) })
		}
		for len(c.queue) > 0 {
			next := c.queue[0]
			c.queue = c.queue[1:]
			next()
		}
		for reads && len(c.texts) > 0 {
			next := c.texts[0]
			c.texts = c.texts[1:]
			next()
		}
	}
}

func newCore() *core {
	c := &core{now: time.Hour, names: []string{"a", "b", "c"}, waiting: map[int]int{}, adopted: map[int][]uint32{}}
	for i, name := range c.names {
		c.knots = append(c.knots, controlplane.New(controlplane.Config{Self: name, Name: name, Zone: name, ControlAddr: name, Member: true, Genesis: true, ToleratedLosses: 1,
			HeartbeatInterval: time.Second, Seeds: c.names, Incarnation: uint64(i + 1), Seed: uint64(i + 1)}, quotas.NewMeter(name, 1, 1), nil, c.now))
	}
	c.run(5*time.Second, true)
	return c
}

func (c *core) put(t *testing.T, body []byte, version uint32) {
	t.Helper()
	c.said = nil
	text := bytes.Replace(body, []byte(`"Epoch":"00000001"`), fmt.Appendf(nil, `"Epoch":"%08x"`, version), 1)
	at := bytes.Index(text, []byte(`"RatePerS":20`)) + 11
	copy(text[at:], fmt.Append(nil, 20+version))
	c.step(2, "put", func() controlplane.Output {
		return c.knots[2].PutConfig(c.now, uint64(version), consensus.Doc{Version: version, Body: text})
	})
	c.run(300*time.Millisecond, false)
	if len(c.said) != 1 || c.said[0].Verdict != consensus.Kept {
		t.Fatalf("version %d: %+v", version, c.said)
	}
}

// TestBeside: while a configuration of 2.27 MB changes, no step of the loop reads one, all are acknowledged though none has been
// read yet, one at most is under way at each process, and what is put in force then is in order and the newest.
func TestBeside(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	c, body := newCore(), bytes.Replace(bytes.Replace(systemsim.BodyOf(4800, 12000), []byte(`,"Rollout":null`), nil, 1), []byte(`"Pools":null`), []byte(`"Pools":[{"Name":"pay"}]`), 1)
	c.put(t, body, 1)
	c.run(time.Second, true)
	c.counts = true
	for version := uint32(2); version < 6; version++ {
		c.put(t, body, version)
	}
	if c.most != 1 || len(c.adopted[0]) != 1 {
		t.Errorf("%d texts at one worker, %v in force", c.most, c.adopted)
	}
	c.run(time.Second, true)
	for i := range c.knots {
		if fmt.Sprint(c.adopted[i]) != "[1 2 5]" {
			t.Errorf("%s put in force %v", c.names[i], c.adopted[i])
		}
	}
	t.Logf("%d bytes: the longest step (%s) took %v of a processor, the largest allocated %d objects", len(body), c.slowest, c.longest, c.objects)
	if c.objects > 5000 { // to read this text allocates over 100,000
		t.Errorf("a step allocated %d objects", c.objects)
	}
}
