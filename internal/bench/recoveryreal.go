package bench

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"asterwell/internal/adminclient"
	"asterwell/internal/systemsim"
)

// The course of a real loss. The machine may be busy, so that phases are looked at often,
// and the times say when they were seen.
const (
	realLead  = 2 * time.Second // load before it
	realAway  = time.Second     // until what is to come back is started
	realWatch = recoveryBound + 3*time.Second
	realCalm  = 4 * time.Second // all phases have held for so long: the run ends
	realLook  = 20 * time.Millisecond
	realSpan  = 250 * time.Millisecond // of traffic
)

// realRecovery does losses to processes on loopback, each to a system of its own.
func realRecovery(o RecoveryOptions, r *Report) error {
	for _, loss := range systemsim.Losses {
		all := recoveries{where: "real", loss: string(loss), nodes: o.RealNodes}
		for i := range o.RealRuns {
			o.Progress(fmt.Sprintf("%d real processes: %s, run %d", o.RealNodes, loss, i+1))
			ends, err := realLoss(o, loss, r)
			if err != nil {
				return err
			}
			all.add(ends)
		}
		all.tell(r)
	}
	return nil
}

func realLoss(o RecoveryOptions, loss systemsim.Loss, r *Report) ([]time.Duration, error) {
	f, err := newFaultFleet(o.Binary, o.RealNodes, "")
	if err != nil {
		return nil, err
	}
	defer f.end()
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
	defer stop()
	if err := f.up(ctx); err != nil {
		return nil, fmt.Errorf("%w; the processes say:\n%s", err, f.said())
	}
	x := &realRun{faultFleet: f, about: f.nodes}
	if x.epoch, err = x.primary(ctx); err != nil {
		return nil, err
	}
	var load sync.WaitGroup
	load.Go(func() { x.sent = f.pace(realLead+realAway+realWatch, faultGap, "others", 2, "key-other") })
	time.Sleep(realLead)
	if err := x.lose(loss); err != nil {
		return nil, err
	}
	ends := x.watch(ctx)
	load.Wait()
	a, err := f.client().Get(ctx)
	r.Rule(err == nil && bytes.Equal(a.Body, faultConfiguration(1, "key-struck", "key-other")), "real, %s: the acknowledged configuration is not read back: %v", loss, err)
	twice := f.servers.twice(faultOthers)
	r.Rule(twice == 0, "real, %s: %d effectful requests ran twice", loss, twice)
	return append(ends, x.served()), nil
}

// realRun is one loss.
type realRun struct {
	*faultFleet
	lead  *faultNode
	epoch uint64
	about []*faultNode // that have to come back
	zero  time.Time    // times count from then: the first process is started
	sent  []sentOne
}

// primary finds it.
func (x *realRun) primary(ctx context.Context) (uint64, error) {
	s, _, err := x.client().Status(ctx)
	if err != nil {
		return 0, err
	}
	if x.lead = x.byMesh(s.Pact.Primary); x.lead == nil {
		return 0, fmt.Errorf("no process is the primary: %+v", s.Pact)
	}
	return s.Pact.Epoch, nil
}

func (x *realRun) lose(loss systemsim.Loss) error {
	var back []*faultNode
	switch loss {
	case systemsim.AllKilled, systemsim.PowerLost:
		back = x.nodes
	case systemsim.DiskWiped:
		i := slices.IndexFunc(x.nodes, func(n *faultNode) bool { return n.core && n != x.lead })
		back = x.nodes[i : i+1]
		x.about = back
	case systemsim.PrimaryLost:
		x.about = slices.DeleteFunc(slices.Clone(x.nodes), func(n *faultNode) bool { return n == x.lead })
		x.lead.kill()
		x.zero = time.Now()
		return nil
	}
	if loss == systemsim.PowerLost { // the servers' machines have none either
		x.stop()
		x.stop = nil
		for _, s := range x.http {
			s.CloseClientConnections()
			s.Close()
		}
	}
	for _, n := range back {
		n.cmd.Process.Kill()
	}
	for _, n := range back {
		n.cmd.Wait()
	}
	if loss == systemsim.DiskWiped {
		if err := os.RemoveAll(filepath.Join(x.dir, back[0].name)); err != nil {
			return err
		}
	}
	time.Sleep(realAway)
	x.zero = time.Now()
	for _, n := range back {
		if err := x.start(n); err != nil {
			return err
		}
		if loss == systemsim.PowerLost { // machines do not come up together
			time.Sleep(2 * realAway / time.Duration(len(back)))
		}
	}
	if loss == systemsim.PowerLost {
		x.toys("toy", realToys, x.servers.note)
	}
	return nil
}

// watch looks at the processes until all phases but the traffic's have held for a while.
func (x *realRun) watch(ctx context.Context) []time.Duration {
	holds := []func([]*adminclient.Status) bool{x.read, x.agreed, x.known, x.isReady}
	ends := make([]time.Duration, len(holds))
	for i := range ends {
		ends[i] = -1
	}
	for since := time.Now(); time.Since(x.zero) < realWatch && time.Since(since) < realCalm; time.Sleep(realLook) {
		all := x.ask(ctx)
		for i, ok := range holds {
			if !ok(all) {
				ends[i], since = -1, time.Now()
			} else if ends[i] < 0 {
				ends[i] = time.Since(x.zero)
			}
		}
	}
	return ends
}

// ask has each process's status; nil where there is none.
func (x *realRun) ask(ctx context.Context) []*adminclient.Status {
	all := make([]*adminclient.Status, len(x.about))
	var wg sync.WaitGroup
	for i, n := range x.about {
		wg.Go(func() { all[i], _, _ = adminclient.New([]string{n.control()}, 0).Status(ctx) })
	}
	wg.Wait()
	return all
}

func every(all []*adminclient.Status, ok func(s *adminclient.Status) bool) bool {
	return !slices.ContainsFunc(all, func(s *adminclient.Status) bool { return s == nil || !ok(s) })
}

// read: a process answers once it has read its state.
func (x *realRun) read(all []*adminclient.Status) bool {
	return every(all, func(*adminclient.Status) bool { return true })
}

// agreed: all have the primary of one later epoch, and a wiped machine its seat.
func (x *realRun) agreed(all []*adminclient.Status) bool {
	return every(all, func(s *adminclient.Status) bool {
		return s.Pact.Epoch > x.epoch && s.Pact.Epoch == all[0].Pact.Epoch && s.Pact.Primary != "" &&
			(len(all) > 1 || s.Pact.Role != "follower")
	})
}

func (x *realRun) known(all []*adminclient.Status) bool {
	return every(all, func(s *adminclient.Status) bool {
		n := 0
		for _, v := range s.Servers {
			if v.Phase == "serving" {
				n++
			}
		}
		return n >= realToys
	})
}

func (x *realRun) isReady(all []*adminclient.Status) bool {
	return every(all, func(s *adminclient.Status) bool { return s.Ready })
}

// served is since when a quarter of what ends in each span is served. A span in which
// nothing ends tells nothing: the callers stood still, or wait for what ends later.
func (x *realRun) served() time.Duration {
	spans := map[int][2]int{}
	for _, s := range x.sent {
		if d := s.at.Add(s.took).Sub(x.zero); d >= 0 {
			w := spans[int(d/realSpan)]
			w[0]++
			if s.status == 200 {
				w[1]++
			}
			spans[int(d/realSpan)] = w
		}
	}
	from, any := 0, false
	for i, w := range spans {
		if 4*w[1] < w[0] {
			from = max(from, i+1)
		}
	}
	for i := range spans {
		any = any || i >= from
	}
	if !any {
		return -1
	}
	return time.Duration(from+1) * realSpan
}
