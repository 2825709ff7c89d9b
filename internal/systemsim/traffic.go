package systemsim

import (
	"time"

	"asterwell/internal/quotas"
)

// tenant is a client with a quota.
type tenant struct {
	name    string
	limit   quotas.Limit
	offer   float64 // requests a second
	hot     float64 // times that, for a while
	runs    []run
	cools   time.Duration // when it last was
	worst   float64       // within a span, since the bound was first passed
	offered int           // since
	refused int
	since   time.Duration
}

// window counts what came of requests within half a second.
type window struct {
	since        time.Duration
	owed, served int
}

// offers goes on for the day.
func (w *world) offers(t *tenant) {
	if w.acked > 0 && !w.still {
		w.request(t)
	}
	gap := w.rng.ExpFloat64() / (t.offer * t.hot)
	w.after(time.Duration(gap*float64(time.Second)), func() { w.offers(t) })
}

// request is a client's: the platform brings it to a process that calls itself ready.
func (w *world) request(t *tenant) {
	if w.offered == nil {
		w.offered = w.servicesOf(func(s *server) bool { return s.up && !s.leaving })
	}
	services := w.offered
	if len(services) == 0 {
		return
	}
	w.stats.Requests++
	p := w.front()
	w.window.owed++
	if p == nil || p.frozen() || p.table == nil {
		return
	}
	route := p.table.Route("host.example", "/"+services[w.rng.IntN(len(services))]+"/x")
	who := p.table.Tenant("key-" + t.name)
	if route == nil || who == nil {
		return
	}
	t.offered++
	ok, basis := p.pass(who.Name)
	if !ok {
		t.refused++
		w.stats.Refused++
		w.window.owed--
		return
	}
	service := route.Pick(w.rng.Uint64())
	for range 3 {
		s := w.pick(p, service)
		if s == nil || !s.up || s.mute > w.now || w.chance(s.grey) {
			continue
		}
		w.after(ms, func() { w.arrives(t, p, s, basis) })
		w.window.served++
		w.stats.Served++
		return
	}
}

func (w *world) front() *proc {
	ready, up := w.ready[:0], 0
	for _, p := range w.procs {
		if p.up && !p.dark() {
			up++
			if p.k.Ready() || p.leaving && w.rng.IntN(2) == 0 {
				ready = append(ready, p)
			}
		}
	}
	if len(ready) == 0 && up > 0 {
		for _, p := range w.procs {
			if p.up && !p.dark() {
				ready = append(ready, p)
			}
		}
	}
	if w.ready = ready; len(ready) == 0 {
		return nil
	}
	return ready[w.rng.IntN(len(ready))]
}

// pick chooses one of the servers that a process may send to.
func (w *world) pick(p *proc, service string) *server {
	all := p.of[service]
	if len(all) == 0 {
		return nil
	}
	return all[w.rng.IntN(len(all))]
}

// arrives judges a request at its server.
func (w *world) arrives(t *tenant, p *proc, s *server, basis quotas.Basis) {
	if s.touched && w.now > s.ackedAt+drainTime && w.inTouch(p) {
		w.breaks("DRAIN", "%s sends to %s %v after it may leave", p.name, s.id, w.now-s.ackedAt)
	}
	t.runs = append(t.runs, run{w.now, p, basis})
	for t.runs[0].at <= w.now-quotaSpan {
		t.runs = t.runs[1:]
	}
	l := w.limit(t)
	most := (l.Rate*quotaSpan.Seconds()+l.Burst)*1.1 + 20
	if n := float64(len(t.runs)); n > max(most, t.worst) {
		if t.worst == 0 {
			w.after(2*time.Second, func() {
				w.breaks("QUOTA", "%s has %.0f requests within %v, at most %.0f may be", t.name, t.worst, quotaSpan, most)
			})
		}
		if t.worst == 0 || n >= t.worst+8 {
			w.explainQuota(t)
		}
		t.worst = n
	}
	w.stats.Fill = max(w.stats.Fill, float64(len(t.runs))/most)
}

// limit is the highest that may bind a tenant now.
func (w *world) limit(t *tenant) quotas.Limit {
	floor := uint32(0)
	for v, o := range w.orders {
		if o.binds > 0 && w.now >= o.binds+quotaSpan {
			floor = max(floor, v)
		}
	}
	var l quotas.Limit
	for v, o := range w.orders {
		if v >= floor {
			l.Rate, l.Burst = max(l.Rate, o.limits[t.name].Rate), max(l.Burst, o.limits[t.name].Burst)
		}
	}
	return l
}
