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

// countingHost is the real host, and counts wakeups of goroutines that wait for a bell.
type countingHost struct {
	hostenv.Host
	wakes *atomic.Int64
}

type countingBell struct {
	hostenv.Notifier
	wakes *atomic.Int64
}

func (c countingHost) NewNotifier() hostenv.Notifier {
	return countingBell{c.Host.NewNotifier(), c.wakes}
}

func (b countingBell) Wait(d time.Duration) bool {
	defer b.wakes.Add(1)
	return b.Notifier.Wait(d)
}

// TestIdleLaneWakeups: without requests the lanes of 180 services together wake at most 40 times a second,
// both after the start and after a change of servers.
func TestIdleLaneWakeups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wakes atomic.Int64
		start := time.Now()
		p := New(Options{Env: countingHost{hostenv.Real, &wakes}, Now: func() time.Duration { return time.Hour + time.Since(start) }, MaxServerConns: 100, Seed: 1})
		p.Adopt(largeTable(t, 1))
		var servers []Server
		for i := range 5200 {
			servers = append(servers, Server{ID: fmt.Sprint("srv-", i), Addr: fmt.Sprint("a-", i), Service: fmt.Sprint("s-", i%180), Capacity: 50, State: choice.Up})
		}
		p.SetServers(servers)
		time.Sleep(3 * time.Second)
		for _, phase := range []string{"after the start", "after a change of servers"} {
			before := wakes.Load()
			time.Sleep(10 * time.Second)
			rate := float64(wakes.Load()-before) / 10
			t.Logf("%s: %.1f wakes a second", phase, rate)
			if rate > 40 { // each lane wakes once in 8 s
				t.Errorf("%s: %.1f wakes a second of 180 lanes", phase, rate)
			}
			servers[0].Capacity++
			p.SetServers(servers)
			time.Sleep(2 * time.Second)
		}
		p.SetServers(nil) // closes the connections to the servers
		time.Sleep(time.Second)
		p.Stop()
		synctest.Wait()
	})
}
