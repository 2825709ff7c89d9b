package program

import (
	"os"
	"testing"
	"time"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/hotrestart"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// drawn is the real world, but for its chance.
type drawn struct{ hostenv.Host }

func (drawn) Random() uint64 { return 7 }

// TestHandedAlready: the older process has seen the younger one, and handed its state on, before that one's first look. It
// starts all the same, and has the state once its core runs.
func TestHandedAlready(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	older, err := hotrestart.Join(os.TempDir(), "n0", "aa", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer older.Leave()
	if err := older.HandOver(hotrestart.ProcessInfo{ID: "0000000000000007"}, choice.SavedState{}); err != nil {
		t.Fatal(err)
	}
	set := choice.Settings{Gateways: 1, MaxAttempts: 2, MaxUnits: 1, Tick: time.Millisecond,
		Classes: []choice.Class{{Name: "a", Target: time.Second, Deadline: time.Second, Value: 1}},
		Plans:   []choice.Plan{{Name: "basic", Rate: 10, Burst: 10, ValueFactor: 1, OverrunCost: 1}}}
	start := time.Now()
	core, err := routing.New(set, 1, func() time.Duration { return time.Hour + time.Since(start) },
		routing.Dependencies{Fleet: protocol.NewFleet(transport.PeerOptions{IdleTimeout: transport.NewIdleTimeout(time.Minute), ConnLimit: transport.NewConnLimit(9)}, false)})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := transport.Listen(hostenv.Real, "127.0.0.1:0", 9)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	g := &Gateway{world: drawn{hostenv.Real}, cfg: &Config{Name: "n0"}, core: core}
	made := make(chan *hotRestart, 1)
	go func() {
		p, err := newHotRestart(g, ln, func() bool { return true })
		if err != nil {
			t.Error(err)
		}
		made <- p
	}()
	select {
	case p := <-made:
		go core.Run()
		defer core.Stop()
		if p.next().IsZero() || p.accepting() {
			t.Errorf("next look %v, open %v", p.next(), p.accepting())
		}
		if p.check(time.Now()); !p.stateSettled || !p.accepting() {
			t.Errorf("taken %v, open %v after the first look", p.stateSettled, p.accepting())
		}
		p.leave()
	case <-time.After(5 * time.Second):
		t.Fatal("the process waits for its core before it runs")
	}
}
