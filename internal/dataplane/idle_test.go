package dataplane

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"asterwell/choice"
	"asterwell/internal/hostenv"
)

// counting is the real world, and counts who gets up.
type counting struct {
	hostenv.Host
	wakes *atomic.Int64
}

type countedBell struct {
	hostenv.Notifier
	wakes *atomic.Int64
}

func (c counting) NewNotifier() hostenv.Notifier { return countedBell{c.Host.NewNotifier(), c.wakes} }

func (b countedBell) Wait(d time.Duration) bool {
	defer b.wakes.Add(1)
	return b.Notifier.Wait(d)
}

// Without requests the lanes of 180 services wake at most 40 times a second together, and
// the same once a request has come and gone.
func TestIdleWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wakes atomic.Int64
		start := time.Now()
		p := New(Options{Host: counting{hostenv.Real, &wakes}, Now: func() time.Duration { return time.Hour + time.Since(start) }, MaxServerConns: 100, Seed: 1})
		p.Adopt(grown(t, 1))
		var all []Server
		for i := range 5200 {
			all = append(all, Server{ID: fmt.Sprint("srv-", i), Addr: fmt.Sprint("a-", i), Service: fmt.Sprint("s-", i%180), Capacity: 50, State: choice.Up})
		}
		p.SetServers(all)
		time.Sleep(3 * time.Second)
		for _, what := range []string{"after the start", "after a change of servers"} {
			was := wakes.Load()
			time.Sleep(10 * time.Second)
			got := float64(wakes.Load()-was) / 10
			t.Logf("%s: %.1f wakes a second", what, got)
			if got > 40 { // each gets up once in 8 s
				t.Errorf("%s: %.1f wakes a second of 180 lanes", what, got)
			}
			all[0].Capacity++
			p.SetServers(all)
			time.Sleep(2 * time.Second)
		}
		p.SetServers(nil) // the servers' connections end
		time.Sleep(time.Second)
		p.Stop()
		synctest.Wait()
	})
}
