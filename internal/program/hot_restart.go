package program

import (
	"fmt"
	"log"
	"os"
	"sync/atomic"
	"time"

	"asterwell/choice"
	"asterwell/internal/hotrestart"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// hotRestart coordinates this process with others of the same gateway, which share the platform's socket: an older process
// hands its state and its clients over to a younger one. Only the gateway's goroutine calls it, except for superseded
// and accepting. A nil hotRestart is the only process.
type hotRestart struct {
	core          *routing.Core
	process       *hotrestart.Process
	listener      *transport.Listener // for clients
	canServe      func() bool
	nextCheck     time.Time
	stateDeadline time.Time // until then the older process's state is awaited
	otherCount    int
	stateSettled  bool // the older process's state has been imported, or none will come
	announced     bool // as serving
	terminating   bool
	handedOver    map[string]bool // IDs of the processes that have got the state
	reported      map[string]bool // errors that have been logged

	acceptsClients, newerServes atomic.Bool
}

const (
	checkInterval      = 100 * time.Millisecond // for other processes
	stateCheckInterval = 20 * time.Millisecond  // while the older process's state is awaited
	stateTimeout       = 400 * time.Millisecond
	supersededIdle     = 3 * time.Second // after SIGTERM, until idle connections are closed; SIGKILL comes after 3.7 s or later
)

// newHotRestart announces the process, and leaves new clients to an older one for now.
func newHotRestart(g *Gateway, ln *transport.Listener, canServe func() bool) (*hotRestart, error) {
	now := g.world.Now()
	t, err := hotrestart.Join(os.TempDir(), g.cfg.Name, fmt.Sprintf("%016x", g.world.Random()), now.UnixNano())
	if err != nil {
		return nil, err
	}
	p := &hotRestart{core: g.core, process: t, listener: ln, canServe: canServe, stateDeadline: now.Add(stateTimeout),
		handedOver: map[string]bool{}, reported: map[string]bool{}}
	others, _ := t.Others()
	p.stateSettled = len(others) == 0
	p.acceptsClients.Store(p.stateSettled)
	ln.Pause(!p.stateSettled)
	p.nextCheck = now // not here: the core does not run yet, and an older process may have handed its state over already
	return p, nil
}

// superseded reports whether a newer process serves, and takes all new clients.
func (p *hotRestart) superseded() bool { return p != nil && p.newerServes.Load() }

// accepting reports whether this process has begun to accept clients.
func (p *hotRestart) accepting() bool { return p == nil || p.acceptsClients.Load() }

// next returns when check is due; zero: never.
func (p *hotRestart) next() time.Time {
	if p == nil {
		return time.Time{}
	}
	return p.nextCheck
}

// check looks for other processes, and hands over to a newer one or takes over from an older one.
func (p *hotRestart) check(now time.Time) {
	if p == nil {
		return
	}
	others, invalid := p.process.Others()
	for _, err := range invalid {
		p.report(err)
	}
	if len(others) != p.otherCount {
		p.otherCount = len(others)
		p.core.SetProcesses(1 + p.otherCount)
		log.Printf("event=twin others=%d", p.otherCount)
	}
	older, newerServes := false, false
	for _, c := range others {
		if !p.process.IsNewer(c) {
			older = true
			continue
		}
		newerServes = newerServes || c.Serves
		if p.acceptsClients.Load() && !p.handedOver[c.ID] {
			p.handedOver[c.ID] = true
			if err := p.process.HandOver(c, p.core.ExportState()); err != nil {
				log.Printf("event=twin what=%q error=%q", "handed nothing on", err)
			}
		}
	}
	if !p.acceptsClients.Load() {
		p.takeOver(now, older)
	} else if !p.announced && p.canServe() {
		p.announce()
	}
	if newerServes != p.newerServes.Load() && !(p.terminating && !newerServes) {
		log.Printf("event=twin gives=%v", newerServes)
		p.newerServes.Store(newerServes)
		p.listener.Pause(newerServes)
	}
	if p.nextCheck = now.Add(checkInterval); !p.acceptsClients.Load() {
		p.nextCheck = now.Add(stateCheckInterval)
	}
}

// takeOver imports the older process's state, and begins to accept clients with or without it.
func (p *hotRestart) takeOver(now time.Time, older bool) {
	if !p.stateSettled {
		var s choice.SavedState
		got, err := p.process.ReadHandover(&s)
		if got && err == nil {
			err = p.core.ImportState(s)
		}
		if err != nil {
			p.report(err)
		} else if got {
			log.Printf("event=twin took customers=%d servers=%d limit=%.2f", len(s.Customers), len(s.Servers), s.Limit)
		}
		p.stateSettled = got || !older
	}
	if (p.stateSettled || !now.Before(p.stateDeadline)) && p.canServe() {
		p.announce()
		p.acceptsClients.Store(true)
		p.listener.Pause(false)
	}
}

// announce tells other processes that this one serves.
func (p *hotRestart) announce() {
	if err := p.process.Announce(true); err != nil {
		p.report(err)
	}
	p.announced = true
}

// report logs an error of another process's files, once.
func (p *hotRestart) report(err error) {
	if !p.reported[err.Error()] {
		p.reported[err.Error()] = true
		log.Printf("event=twin what=%q error=%q", "not believed", err)
	}
}

// terminate notes that the process ends, and returns how long idle connections stay open.
func (p *hotRestart) terminate(now time.Time) time.Duration {
	if p == nil {
		return idleAfterTerm
	}
	p.check(now)
	if p.terminating = true; p.superseded() {
		return supersededIdle
	}
	return idleAfterTerm
}

// stopAccepting leaves new clients to other processes.
func (p *hotRestart) stopAccepting() {
	if p != nil {
		p.listener.Pause(true)
	}
}

// leave removes the process's files.
func (p *hotRestart) leave() {
	if p != nil {
		p.process.Leave()
	}
}
