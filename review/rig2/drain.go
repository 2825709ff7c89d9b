package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["drain"] = drain }

// drain: a server starts, and the one that it replaces says with DELETE that it is gone. That is acknowledged; the server serves on for
// some seconds, as the pages say. All processes are killed and come back. Once they are in touch again they send it no requests.
func drain(p *play) ([]string, error) {
	const (
		serveOn    = 9 * time.Second // behind the acknowledgement
		drainBound = 2 * time.Second
		contact    = 3 * time.Second
	)
	if err := p.serve("kapa", 5, 6, 20*time.Millisecond, nil); err != nil {
		return nil, err
	}
	if err := p.up(goneConfig); err != nil {
		return nil, err
	}
	var over atomic.Bool
	var wait sync.WaitGroup
	var mu sync.Mutex
	type asked struct {
		gateway int
		sent    time.Time
	}
	sent := map[string]asked{}
	for i := range 6 {
		wait.Go(func() {
			for !over.Load() {
				id := newID()
				mu.Lock()
				sent[id] = asked{i % 3, time.Now()}
				mu.Unlock()
				status, _, _ := ask(p.gateways[i%3].ingress(), request{method: "GET", host: "kapa.example", path: "/kapa/1", deadline: 2 * time.Second}, id)
				if status == 0 {
					time.Sleep(30 * time.Millisecond)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	leaver := p.servers[0]
	successor := &server{id: "i-kapa-new", service: "kapa", zone: leaver.zone, slots: 6, work: leaver.work, rec: p.rec, runs: &p.runs}
	if err := successor.serve(p.fleet); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	leaver.silent.Store(true)
	var acknowledged time.Time
	for n := 0; acknowledged.IsZero(); n++ {
		g := p.gateways[n%3]
		status, _, err := call("DELETE", g.control(), "/api/members/"+leaver.id, "")
		if err == nil && status == http.StatusOK {
			acknowledged = time.Now()
			p.rec.line("%s: the end of %s is acknowledged", g.name, leaver.id)
		} else if n > 20 {
			return nil, fmt.Errorf("no acknowledgement: %d %v", status, err)
		}
	}
	started := acknowledged
	if p.trouble {
		time.Sleep(300 * time.Millisecond)
		for _, g := range p.gateways {
			p.signal(g, syscall.SIGKILL)
		}
		for _, g := range p.gateways {
			<-g.ended
		}
		time.Sleep(200 * time.Millisecond)
		for _, g := range p.gateways {
			if err := p.start(g); err != nil {
				return nil, err
			}
		}
		started = time.Now()
	}
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	leaver.listener.Close()
	p.rec.line("%s ends", leaver.id)
	over.Store(true)
	wait.Wait()
	later := func(a, b time.Time) time.Time {
		if a.After(b) {
			return a
		}
		return b
	}
	from := later(acknowledged.Add(drainBound), started.Add(contact))
	late, last, others := 0, time.Duration(0), 0
	for _, r := range p.runs.list() {
		switch q := sent[r.id]; {
		case r.server != leaver.id:
			others++
		case r.began.After(acknowledged):
			last = max(last, r.began.Sub(acknowledged))
			// Sent, taken and sent on by machines that had been in touch for all that time.
			if r.began.After(from) && q.sent.After(from) {
				late++
				p.rec.line("DRAIN: %s, sent to %s, reached %s %.2f s after the acknowledgement", r.id, p.gateways[q.gateway].name, r.server, r.began.Sub(acknowledged).Seconds())
			}
		}
	}
	p.rec.say("%d requests ran elsewhere; the last one reached the server %.2f s after its acknowledgement; %d came later than DrainMs behind that, by machines in touch", others, last.Seconds(), late)
	if others == 0 {
		return nil, fmt.Errorf("nothing was served")
	}
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests reached a server whose end had been acknowledged", late)}, nil
	}
	return nil, nil
}
