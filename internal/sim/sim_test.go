package sim

import (
	"io"
	"log"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// A few seeds, with the race detector; .ci/run plays 200 without it.
func TestSeeds(t *testing.T) {
	sum := Seeds(1, 12, 4, 0, nil, false, nil)
	for _, r := range sum.Failing {
		t.Errorf("seed %d: %s after %v: %s", r.Seed, r.Broken, r.At, r.Detail)
	}
	if sum.Requests < 12*500 {
		t.Errorf("%d requests in all", sum.Requests)
	}
}

// A seed plays the same each time, whatever the machine does.
func TestReplaysAreIdentical(t *testing.T) {
	for seed := uint64(3); seed < 6; seed++ {
		want := Run(Draw(seed, nil), nil, 0)
		for _, procs := range []int{1, 4} {
			before := runtime.GOMAXPROCS(procs)
			got := Run(Draw(seed, nil), nil, 0)
			runtime.GOMAXPROCS(before)
			if got.Hash != want.Hash || got.Steps != want.Steps {
				t.Errorf("seed %d: %016x after %d steps, and then %016x after %d", seed, want.Hash, want.Steps, got.Hash, got.Steps)
			}
		}
	}
}

// Schedules that have been written down: each keeps all rules, and meets what it is for.
func TestSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/schedules/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no schedules", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p, err := ReadPlan(text)
			if err != nil {
				t.Fatal(file, err)
			}
			r := Run(p, nil, 0)
			if r.Broken != "" {
				t.Errorf("%s: %s after %v: %s", file, r.Broken, r.At, r.Detail)
			}
			for _, f := range p.Faults {
				if r.Seen["fault "+f.Kind] == 0 {
					t.Errorf("%s: %s never came", file, f.Kind)
				}
			}
		})
	}
}

func TestBadSchedulesNameTheKey(t *testing.T) {
	const good = `{"seed":1,"gateways":3,"nodes":9,"shippers":4,"rate":10,"load_ns":1000000000`
	if _, err := ReadPlan([]byte(good + "}")); err != nil {
		t.Fatal(err)
	}
	for want, text := range map[string]string{
		"not a schedule":                good,
		"gateways must be":              `{"gateways":0}`,
		"nodes must be":                 `{"gateways":1,"nodes":100}`,
		"shippers must be":              `{"gateways":1,"nodes":1}`,
		"rate must be":                  `{"gateways":1,"nodes":1,"shippers":1,"rate":-1}`,
		"load_ns must be":               `{"gateways":1,"nodes":1,"shippers":1,"rate":1}`,
		`faults[0].kind: unknown fault`: good + `,"faults":[{"kind":"odd"}]}`,
		"faults[0]: at_ns":              good + `,"faults":[{"kind":"drain","at_ns":-1}]}`,
	} {
		if _, err := ReadPlan([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}

// Each seed draws some of the kinds of faults, and all of them are drawn.
func TestDraw(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(500) {
		for _, f := range Draw(seed, nil).Faults {
			seen[f.Kind] = true
		}
	}
	if len(seen) != len(Kinds) {
		t.Errorf("%d of %d kinds", len(seen), len(Kinds))
	}
	for _, f := range Draw(7, []string{"drain"}).Faults {
		if f.Kind != "drain" {
			t.Error("only drains were wanted:", f)
		}
	}
}

// pair is two machines, and what runs on them to the end.
func pair(t *testing.T, here, there func(h *Host)) *Net {
	t.Helper()
	s := NewSched(1)
	n := NewNet(s, 1, time.Millisecond, 2*time.Millisecond, false)
	for name, f := range map[string]func(h *Host){"10.0.0.1": here, "10.0.0.2": there} {
		p := s.NewProc(name)
		h := n.Host(p, name, 1)
		delay := time.Duration(0)
		if name == "10.0.0.1" {
			delay = time.Millisecond // the other one listens first
		}
		s.after(delay, func() { p.Go(func() { f(h) }) })
	}
	if !s.Run(time.Minute) {
		t.Fatal(s.fault)
	}
	return n
}

const addr = "10.0.0.2:80"

func TestNetwork(t *testing.T) {
	var did []string
	note := func(s string) { did = append(did, s) }
	read := func(c io.Reader) {
		buf := make([]byte, 100)
		k, err := c.Read(buf)
		switch {
		case err != nil:
			note(err.Error())
		default:
			note(string(buf[:k]))
		}
	}
	for name, c := range map[string]struct {
		here, there func(h *Host)
		want        string
	}{
		"refused": {func(h *Host) {
			_, err := h.Dial("10.0.0.2:81", time.Second)
			note(err.Error())
		}, func(*Host) {}, "dial tcp: connection refused"},
		"cut": {func(h *Host) {
			h.net.Cut("10.0.0.1", "10.0.0.2", true)
			from := h.s.now
			_, err := h.Dial(addr, time.Second)
			note(err.Error())
			note((h.s.now - from).String())
		}, func(h *Host) { h.Listen(addr) }, "dial tcp: i/o timeout|1s"},
		"there and back": {func(h *Host) {
			c, _ := h.Dial(addr, time.Second)
			c.Write([]byte("hello"))
			read(c)
			read(c)
		}, func(h *Host) {
			ln, _ := h.Listen(addr)
			c, _ := ln.Accept()
			read(c)
			c.Write([]byte("world"))
			c.Close()
		}, "hello|world|EOF"},
		"a close with something unread resets": {func(h *Host) {
			c, _ := h.Dial(addr, time.Second)
			c.Write([]byte("hello"))
			read(c)
		}, func(h *Host) {
			ln, _ := h.Listen(addr)
			c, _ := ln.Accept()
			h.Sleep(time.Second)
			c.Close()
		}, "read tcp: connection reset by peer"},
		"half closed": {func(h *Host) {
			c, _ := h.Dial(addr, time.Second)
			c.(*conn).CloseWrite()
			read(c)
		}, func(h *Host) {
			ln, _ := h.Listen(addr)
			c, _ := ln.Accept()
			read(c)
			c.Write([]byte("still here"))
		}, "EOF|still here"},
		"a process dies": {func(h *Host) {
			c, _ := h.Dial(addr, time.Second)
			read(c)
			_, err := h.Dial(addr, time.Second)
			note(err.Error())
		}, func(h *Host) {
			ln, _ := h.Listen(addr)
			h.s.after(100*time.Millisecond, h.Kill)
			ln.Accept()
			h.Sleep(time.Hour)
			note("never")
		}, "read tcp: connection reset by peer|dial tcp: connection refused"},
		"the window fills": {func(h *Host) {
			c, _ := h.Dial(addr, time.Second)
			c.SetWriteDeadline(h.Now().Add(time.Second))
			k, err := c.Write(make([]byte, window+1))
			if note(err.Error()); k != window {
				note("wrote another number")
			}
		}, func(h *Host) {
			ln, _ := h.Listen(addr)
			ln.Accept()
		}, "write tcp: i/o timeout"},
		"a silent way holds all up": {func(h *Host) {
			c, _ := h.Dial(addr, time.Second)
			h.net.Cut("10.0.0.1", "10.0.0.2", true)
			h.s.after(time.Second, func() { h.net.Cut("10.0.0.1", "10.0.0.2", false) })
			c.Write([]byte("a"))
			c.Write([]byte("b"))
		}, func(h *Host) {
			ln, _ := h.Listen(addr)
			c, _ := ln.Accept()
			h.Sleep(2 * time.Second)
			read(c)
		}, "ab"},
		"a paused process": {func(h *Host) {
			h.Pause(time.Second)
			h.Sleep(time.Millisecond)
			note(h.s.now.Round(time.Second).String())
		}, func(*Host) {}, "1s"},
	} {
		did = nil
		pair(t, c.here, c.there)
		if got := strings.Join(did, "|"); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
