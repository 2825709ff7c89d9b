package testbed

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// schedule waits for each fault's time. Those of events wait in happened.
func (f *Field) schedule(began time.Duration) {
	for i := range f.plan.Faults {
		fault := &f.plan.Faults[i]
		if fault.When != nil {
			f.mu.Lock()
			f.waiting = append(f.waiting, fault)
			f.mu.Unlock()
			continue
		}
		f.after(began+seconds(fault.AtS)-f.net.Now(), func() { f.begin(fault, i) })
	}
}

// after runs do later, unless the load has ended by then.
func (f *Field) after(wait time.Duration, do func()) {
	f.faults.Add(1)
	go func() {
		defer f.faults.Done()
		for end := time.Now().Add(wait); time.Now().Before(end) && !f.stop.Load(); {
			time.Sleep(min(time.Until(end), 20*time.Millisecond))
		}
		if !f.stop.Load() {
			do()
		}
	}()
}

// happened begins the faults that waited for an event. f.mu is held.
func (f *Field) happened(is func(w *When) bool) {
	for i, fault := range f.waiting {
		if fault != nil && is(fault.When) {
			f.waiting[i] = nil
			f.after(seconds(fault.AfterS), func() { f.begin(fault, i) })
		}
	}
}

// answered counts answers, for faults that wait for them. f.mu is held.
func (f *Field) answered(gateway int) {
	f.answers[gateway]++
	if len(f.waiting) > 0 {
		f.happened(func(w *When) bool {
			all, err := f.plan.pick(nil, "gateways", w.Answers)
			return w.Answers != "" && err == nil && all[0] == gateway && f.answers[gateway] >= max(1, w.Count)
		})
	}
}

// begin carries a fault out, and its end. One that does not bite makes the run void.
func (f *Field) begin(fault *Fault, index int) {
	f.mark("fault " + fault.Kind)
	f.history.add(Record{Kind: "fault", What: fault.Kind, Detail: fmt.Sprintf("%+v", *fault)})
	f.say("fault %s", fault.Kind)
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(index)))
	failed := func(err error) {
		if err != nil {
			f.mu.Lock()
			f.void = append(f.void, fmt.Sprintf("fault %s did not bite: %v", fault.Kind, err))
			f.mu.Unlock()
		}
	}
	switch kinds[fault.Kind] {
	case "cluster":
		failed(f.onCluster(fault))
	case "gateways":
		who, err := f.leads(fault.Who)
		failed(err)
		if err != nil {
			return
		}
		all, err := f.plan.all(rng, "gateways", who, "who")
		failed(err)
		f.each(fault, len(all), func(i int) { failed(f.onGateway(fault, f.gateways[all[i]])) })
	case "servers":
		all, err := f.plan.all(rng, "servers", fault.Who, "who")
		failed(err)
		f.each(fault, len(all), func(i int) { failed(f.onServer(fault, f.servers[all[i]])) })
	case "links":
		words, err := f.leads(fault.From)
		failed(err)
		to, e := f.leads(fault.To)
		failed(e)
		if err != nil || e != nil {
			return
		}
		near, err := f.plan.all(rng, "gateways", words, "from")
		failed(err)
		far, err := f.plan.far(rng, to, "to")
		failed(err)
		f.onLinks(fault, near, far, failed)
	default:
		failed(f.onOne(fault))
	}
}

// each does something to all, at once or one after the other.
func (f *Field) each(fault *Fault, count int, do func(i int)) {
	for i := range count {
		f.after(seconds(fault.OverS)*time.Duration(i)/time.Duration(count), func() { do(i) })
	}
}

// then undoes something at a fault's end. With no time given it lasts to the end.
func (f *Field) then(fault *Fault, undo func()) {
	if fault.ForS > 0 {
		f.after(seconds(fault.ForS), undo)
	}
}

func (f *Field) onGateway(fault *Fault, g *gateway) error {
	f.history.add(Record{Kind: "process", Who: g.Name, What: fault.Kind})
	kind := fault.Kind
	if f.opt.Policy != "" && (kind == "kill" || kind == "term" || kind == "stop" || kind == "starve") {
		g.down.Store(true)
		g.downed.Store(int64(f.net.Now()))
		f.after(max(seconds(fault.ForS), 300*time.Millisecond), func() {
			g.down.Store(false)
			f.mark("start " + g.Name)
		})
		return nil
	}
	switch kind {
	case "kill", "term":
		return f.restart(fault, g)
	case "stop":
		g.down.Store(true)
		g.downed.Store(int64(f.net.Now()))
		g.stopped.Store(true)
		if err := g.Stop(); err != nil {
			return err
		}
		f.then(fault, func() {
			// What it is told while it stands still, it hears now.
			f.mu.Lock()
			for _, s := range f.servers {
				f.judge.ServerState(g.index, s.ID, true, 0)
			}
			f.mu.Unlock()
			g.stopped.Store(false)
			f.tellAll(g)
			if err := g.Continue(); err != nil {
				f.breaks("crash", "%s: %v", g.Name, err)
			}
			f.mark("continue " + g.Name)
			g.down.Store(false)
			g.downed.Store(int64(f.net.Now()))
		})
	case "list-silent":
		g.agent.Silence(true)
		f.then(fault, func() {
			g.agent.Silence(false)
			f.tellAll(g)
		})
	case "list-late":
		f.mu.Lock()
		g.late = time.Duration(fault.Ms) * time.Millisecond
		f.mu.Unlock()
		f.then(fault, func() {
			f.mu.Lock()
			g.late = 0
			f.mu.Unlock()
		})
	case "disk-full":
		return g.diskFull(fault)
	case "starve": // descriptors and memory at their limits
		return g.starve(fault)
	}
	return nil
}

// restart ends a gateway, and starts it anew with its folder, an empty one or an
// older copy of it.
func (f *Field) restart(fault *Fault, g *gateway) error {
	if fault.Back == "older" {
		if err := g.Save(); err != nil {
			return err
		}
	}
	if fault.Kind == "term" {
		g.termAt.Store(int64(f.net.Now()))
		if err := g.Signal(15); err != nil {
			return err
		}
		// It serves for 0.7 s and until all is answered.
		if g.Gone(time.Duration(40*f.plan.WorkMs)*time.Millisecond+5*time.Second) != nil {
			f.breaks("end", "%s has not ended after SIGTERM", g.Name)
			g.Kill()
		}
		g.down.Store(true)
		g.downed.Store(int64(f.net.Now()))
	} else {
		g.down.Store(true)
		g.downed.Store(int64(f.net.Now()))
		if err := g.Kill(); err != nil {
			return err
		}
	}
	f.net.Link(g.index, farClients).drop() // what clients keep is of the life before
	f.history.add(Record{Kind: "process", Who: g.Name, What: "ended"})
	if fault.Back == "never" {
		return nil
	}
	// Machines don't start in one instant, and this one could not start hundreds of processes so.
	pause := max(seconds(fault.ForS), time.Millisecond)
	pause += pause * time.Duration(g.index*7%16) / 16
	f.after(pause, func() {
		var err error
		switch fault.Back {
		case "empty":
			err = g.Wipe()
		case "older":
			err = g.Restore()
		}
		if err == nil {
			err = g.launch()
		}
		if err != nil {
			f.breaks("start", "%s: %v", g.Name, err)
		}
		f.mark("start " + g.Name)
	})
	return nil
}

func (f *Field) onServer(fault *Fault, s *server) error {
	set := func(do func(on bool)) {
		s.mu.Lock()
		do(true)
		s.mu.Unlock()
		f.then(fault, func() {
			s.mu.Lock()
			do(false)
			s.mu.Unlock()
		})
	}
	switch fault.Kind {
	case "slow":
		times := max(fault.Much, 1)
		set(func(on bool) {
			if on {
				s.slow *= times
			} else {
				s.slow /= times
			}
		})
	case "fail":
		set(func(on bool) { s.fails = on })
	case "mute":
		set(func(on bool) { s.mute = on })
	case "reports-late":
		set(func(on bool) {
			s.lateBy = 0
			if on {
				s.lateBy = time.Duration(fault.Ms) * time.Millisecond
			}
		})
	case "drain", "replace":
		f.announce(s, "draining")
		pause := max(seconds(fault.ForS), time.Second)
		f.after(pause, func() {
			s.mu.Lock()
			s.drained = true
			s.mu.Unlock()
		})
		f.after(pause+time.Second, func() { f.again(s, false, 200*time.Millisecond) })
	case "die", "half-open":
		return f.again(s, fault.Kind == "half-open", seconds(fault.ForS))
	}
	return nil
}

// again ends a server's life, and starts one that is cold.
func (f *Field) again(s *server, half bool, pause time.Duration) error {
	s.end(half)
	f.mu.Lock()
	f.judge.ServerWarm(s.ID)
	f.mu.Unlock()
	f.after(pause, func() {
		if err := s.begin(true); err != nil {
			f.mu.Lock()
			f.void = append(f.void, err.Error())
			f.mu.Unlock()
			return
		}
		f.announce(s, "up")
	})
	return nil
}

func (f *Field) onLinks(fault *Fault, near, far []int, failed func(error)) {
	var w Way
	reset := false
	switch fault.Kind {
	case "cut":
		w.Cut = true
	case "reset":
		reset = true
	case "delay":
		w.Delay = time.Duration(fault.Ms) * time.Millisecond
		w.Jitter = w.Delay / 2
	case "stall":
		w.Rate = max(fault.Rate, 1)
	}
	to, from := w, w
	if fault.Way == "to" {
		from = Way{}
	} else if fault.Way == "from" {
		to = Way{}
	}
	for _, g := range near {
		for _, x := range far {
			failed(f.net.Link(g, x).Set(to, from, reset))
		}
	}
	if w.Cut { // of those that are cut, some are looked at
		for i := range min(3, len(near)*len(far)) {
			failed(f.net.Link(near[i%len(near)], far[i%len(far)]).bites())
		}
	}
	f.then(fault, func() {
		for _, g := range near {
			for _, x := range far {
				failed(f.net.Link(g, x).Set(Way{}, Way{}, false))
				if x == farList {
					f.tellAll(f.gateways[g])
				}
			}
		}
		f.mark("end of " + fault.Kind)
	})
}

func (f *Field) onOne(fault *Fault) error {
	switch fault.Kind {
	case "list-at-once":
		f.list.atOnce.Store(true)
		f.then(fault, func() { f.list.atOnce.Store(false) })
	case "counter-silent":
		f.counter.Silence(true)
		f.then(fault, func() { f.counter.Silence(false) })
	case "counter-empty":
		f.counter.Forget()
	case "counter-gone":
		for _, g := range f.gateways {
			if err := f.net.Link(g.index, farCounter).Set(Way{}, Way{}, true); err != nil {
				return err
			}
		}
		f.then(fault, func() {
			for _, g := range f.gateways {
				f.net.Link(g.index, farCounter).Set(Way{}, Way{}, false)
			}
		})
	}
	return nil
}

// bites checks that nothing comes up on a link that is cut.
func (l *Link) bites() error {
	if l.far == farClients {
		return nil // the field itself dials there
	}
	c, err := dialAt(l.net.At(l.gateway, l.far), 60*time.Millisecond)
	if err == nil {
		c.Close()
		return fmt.Errorf("a connection came up from g-%d to %d", l.gateway, l.far)
	}
	return nil
}

// leaks reports whether what was begun then should not have come through by now:
// its way is cut, and was before.
func (l *Link) leaks(begun time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[fromGateway].Cut && l.cutAt > 0 && begun > l.cutAt+slack
}
