package systemsim

import (
	"fmt"
	"time"

	"asterwell/internal/controlplane"
	"asterwell/internal/registry"
)

// server is one life of a server.
type server struct {
	w                       *world
	id, addr, service, zone string
	seq                     uint64
	target                  *proc
	up, leaving             bool
	began, leaves           time.Duration
	acked, touched          bool // its leaving; by a machine in touch
	ackedAt, ended          time.Duration
	mute                    time.Duration // until then nothing gets to it or from it
	grey                    float64       // part of its requests that fail, though it says that it is well
}

// serve starts a server, at a new address or one that another has left.
func (w *world) serve(service, addr string) *server {
	n := len(w.servers)
	if addr == "" {
		addr = fmt.Sprintf("10.9.%d.%d:8080", n/200, n%200+1)
	}
	zones := w.zones()
	s := &server{w: w, id: fmt.Sprintf("s%d", n+1), addr: addr, service: service, zone: zones[n%len(zones)],
		up: true, began: w.now}
	w.servers, w.byID[s.id], w.offered = append(w.servers, s), s, nil
	w.note("%s serves %s at %s", s.id, service, addr)
	w.after(w.upTo(50*ms), s.beats)
	return s
}

func (w *world) zones() []string {
	var z []string
	seen := map[string]bool{}
	for _, p := range w.procs {
		if !seen[p.zone] {
			seen[p.zone], z = true, append(z, p.zone)
		}
	}
	return z
}

// beats goes on until the server ends.
func (s *server) beats() {
	if !s.up {
		return
	}
	if !s.leaving || s.acked {
		s.report(4, func(*proc) {})
	}
	s.w.after(heartbeat*9/10+s.w.upTo(heartbeat/5), s.beats)
}

// report sends the server's word to one process after another until one takes it.
func (s *server) report(tries int, done func(by *proc)) {
	b := registry.Heartbeat{ID: s.id, Addr: s.addr, Service: s.service, Zone: s.zone, Epoch: "v1", Capacity: 4, Quiescing: s.leaving}
	s.seq++
	b.Seq = s.seq
	s.ask(tries, func(p *proc, id uint64) controlplane.Output { return p.k.ServerHeartbeat(p.clock(), id, b) }, done)
}

func (s *server) ask(tries int, do func(p *proc, id uint64) controlplane.Output, done func(by *proc)) {
	w := s.w
	if !s.up || tries == 0 {
		return
	}
	if s.mute > w.now {
		w.after(patience, func() { s.ask(tries-1, do, done) })
		return
	}
	p := s.target
	if p == nil {
		all := w.listed()
		p = all[w.rng.IntN(len(all))]
	}
	w.call(p, 200*time.Microsecond+w.upTo(time.Millisecond), func(id uint64) controlplane.Output { return do(p, id) }, func(v any) {
		a, ok := v.(registry.Answer)
		if !ok || !a.OK {
			s.target = nil
			pause := 20 * ms
			if tries > 4 {
				pause = 200 * ms
			}
			w.after(pause, func() { s.ask(tries-1, do, done) })
			return
		}
		if t := w.byAddr[trim(a.Target)]; t != nil {
			s.target = t
		}
		done(p)
	})
}

// trim makes a mesh address of a control address.
func trim(control string) string {
	if control == "" {
		return ""
	}
	return control[:len(control)-1]
}

// leave is a planned end.
func (s *server) leave() {
	if !s.up || s.leaving {
		return
	}
	w := s.w
	s.leaving, s.leaves, w.offered = true, w.now, nil
	w.note("%s leaves", s.id)
	s.report(200, func(by *proc) {
		if s.acked {
			return
		}
		w.checkPromise(s, by)
		s.acked, s.ackedAt, s.touched = true, w.now, w.inTouch(by)
		w.note("%s may leave, says %s", s.id, by.name)
		w.gauge.leaves(s)
		w.stats.Leaves.add(w.now - s.leaves)
		w.after(drainTime+300*ms, func() {
			s.ask(5, func(p *proc, id uint64) controlplane.Output { return p.k.RemoveServer(p.clock(), id, s.id) }, func(*proc) { s.end() })
			w.after(2*time.Second, s.end)
		})
	})
	w.after(9*time.Second, s.end)
}

func (s *server) end() {
	if s.up {
		s.up, s.ended, s.w.offered = false, s.w.now, nil
		s.w.note("%s ends", s.id)
	}
}
