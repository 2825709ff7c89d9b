package program

import (
	"fmt"
	"log"
	"os"
	"sync/atomic"
	"time"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/hotrestart"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// pair is this process beside another of the same gateway, on the platform's socket. The
// gateway's goroutine alone calls it, but for gives and open. A nil pair is the only process.
type pair struct {
	world  hostenv.Host
	core   *routing.Core
	twin   *hotrestart.Process
	ln     *transport.Listener // the clients'
	able   func() bool         // requests would be served
	at     time.Time           // of the next look
	wait   time.Time           // until then for the older process's state
	others int
	taken  bool // nothing more is to come from the older one
	said   bool // that this process serves
	ended  bool // it has been told to end
	handed map[string]bool
	told   map[string]bool // what was strange

	opened, given atomic.Bool
}

const (
	lookEvery = 100 * time.Millisecond // for another process
	soonEvery = 20 * time.Millisecond  // while its state is waited for
	stateWait = 400 * time.Millisecond
	givesFor  = 3 * time.Second // after SIGTERM: then idle connections close; SIGKILL comes after 3.7 s or later
)

// newPair makes the process known, and leaves the socket's queue to an older one for now.
func newPair(g *Gateway, ln *transport.Listener, able func() bool) (*pair, error) {
	now := g.world.Now()
	t, err := hotrestart.Join(os.TempDir(), g.cfg.Name, fmt.Sprintf("%016x", g.world.Random()), now.UnixNano())
	if err != nil {
		return nil, err
	}
	p := &pair{world: g.world, core: g.core, twin: t, ln: ln, able: able, wait: now.Add(stateWait),
		handed: map[string]bool{}, told: map[string]bool{}}
	others, _ := t.Others()
	p.taken = len(others) == 0
	p.opened.Store(p.taken)
	ln.Pause(!p.taken)
	p.at = now // the first look is the gateway's: an older process may have handed its state on already, and the core, which takes it, doesn't run yet
	return p, nil
}

// gives tells whether a younger process serves, which gets all that comes anew.
func (p *pair) gives() bool { return p != nil && p.given.Load() }

// open tells whether this process has begun to take clients.
func (p *pair) open() bool { return p == nil || p.opened.Load() }

// next is when to look again; zero: never.
func (p *pair) next() time.Time {
	if p == nil {
		return time.Time{}
	}
	return p.at
}

// look sees who is there, and acts by it.
func (p *pair) look(now time.Time) {
	if p == nil {
		return
	}
	others, strange := p.twin.Others()
	for _, err := range strange {
		p.strange(err)
	}
	if len(others) != p.others {
		p.others = len(others)
		p.core.SetProcesses(1 + p.others)
		log.Printf("event=twin others=%d", p.others)
	}
	older, gives := false, false
	for _, c := range others {
		if !p.twin.IsNewer(c) {
			older = true
			continue
		}
		gives = gives || c.Serves
		if p.opened.Load() && !p.handed[c.ID] {
			p.handed[c.ID] = true
			if err := p.twin.HandOver(c, p.core.ExportState()); err != nil {
				log.Printf("event=twin what=%q error=%q", "handed nothing on", err)
			}
		}
	}
	if !p.opened.Load() {
		p.take(now, older)
	} else if !p.said && p.able() {
		p.say()
	}
	if gives != p.given.Load() && !(p.ended && !gives) {
		log.Printf("event=twin gives=%v", gives)
		p.given.Store(gives)
		p.ln.Pause(gives)
	}
	if p.at = now.Add(lookEvery); !p.opened.Load() {
		p.at = now.Add(soonEvery)
	}
}

// take begins with the older process's state, or without it, and then serves.
func (p *pair) take(now time.Time, older bool) {
	if !p.taken {
		var s choice.SavedState
		got, err := p.twin.ReadHandover(&s)
		if got && err == nil {
			err = p.core.ImportState(s)
		}
		if err != nil {
			p.strange(err)
		} else if got {
			log.Printf("event=twin took customers=%d servers=%d limit=%.2f", len(s.Customers), len(s.Servers), s.Limit)
		}
		p.taken = got || !older
	}
	if (p.taken || !now.Before(p.wait)) && p.able() {
		p.say()
		p.opened.Store(true)
		p.ln.Pause(false)
	}
}

func (p *pair) say() {
	if err := p.twin.Announce(true); err != nil {
		p.strange(err)
	}
	p.said = true
}

func (p *pair) strange(err error) {
	if !p.told[err.Error()] {
		p.told[err.Error()] = true
		log.Printf("event=twin what=%q error=%q", "not believed", err)
	}
}

// end tells that the process ends, and how long idle connections stay.
func (p *pair) end(now time.Time) time.Duration {
	if p == nil {
		return staysFor
	}
	p.look(now)
	if p.ended = true; p.gives() {
		return givesFor
	}
	return staysFor
}

// shut leaves the socket's queue to whoever comes.
func (p *pair) shut() {
	if p != nil {
		p.ln.Pause(true)
	}
}

// leave takes the process's files away.
func (p *pair) leave() {
	if p != nil {
		p.twin.Leave()
	}
}
