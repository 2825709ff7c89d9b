package testbed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"asterwell/internal/standin/list"
)

// listState is how news of servers spreads.
type listState struct {
	mu      sync.Mutex
	pending []change
	atOnce  atomic.Bool // it reaches all gateways within 10 ms
}

// change is news of a server.
type change struct {
	server *server
	state  string
}

const (
	listEvery  = 250 * time.Millisecond // news gathers for so long
	listSpread = 300 * time.Millisecond
	listAtOnce = 10 * time.Millisecond
)

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// discover is the agent of whichever gateway asks.
func (f *Field) discover(w http.ResponseWriter, r *http.Request) {
	k, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok || k.Gateway < 0 || k.Gateway >= len(f.gateways) {
		http.Error(w, "no gateway's address", http.StatusNotFound)
		return
	}
	f.gateways[k.Gateway].agent.Targets(w, r)
}

// tells: an agent is about to write an answer.
func (f *Field) tells(g *gateway, entries []list.Entry, version int64) {
	for l := f.net.Link(g.index, farList); l.cut() && !f.stop.Load(); { // it is told once it can be written
		time.Sleep(2 * time.Millisecond)
	}
	g.mu.Lock()
	for _, e := range entries {
		if g.had[e.ID] = e; e.State == "removed" {
			delete(g.had, e.ID)
		}
	}
	g.version = version
	g.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.net.Now()
	for _, e := range entries {
		f.judge.ServerState(g.index, e.ID, e.State == "up", now)
		f.history.add(Record{Kind: "told", Who: g.Name, To: e.ID, What: e.State})
		if key := e.ID + " " + e.State; !f.told[key] {
			f.told[key] = true
			f.happened(func(w *When) bool {
				ok, _ := path.Match(w.Told, e.ID)
				return w.Told != "" && ok && (w.State == "" || w.State == e.State)
			})
		}
		if e.StartedMs > 0 {
			f.known(g, e)
		}
	}
}

// tellAll notes what counts as told to a gateway that runs: all that its agent has,
// whether it asks or not, unless nothing can come through.
func (f *Field) tellAll(g *gateway) {
	for _, s := range f.servers {
		f.tell(g, s)
	}
}

func (f *Field) tell(g *gateway, s *server) {
	if g.stopped.Load() || f.net.Link(g.index, farList).cut() || g.agent.Silent() || g.list.Entry(s.ID).State == "up" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.ServerState(g.index, s.ID, false, f.net.Now())
}

// known: a gateway has been told of a server's start. Once all that run have, work
// for it while it is cold is theirs to answer for. f.mu is held.
func (f *Field) known(g *gateway, e list.Entry) {
	var i int
	if _, err := fmt.Sscanf(e.ID, "s-%d", &i); err != nil {
		return
	}
	s := f.servers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started == 0 || s.knownAt > 0 || f.net.epoch.Add(s.started).UnixMilli() != e.StartedMs {
		return
	}
	s.knownBy[g.index] = true
	for _, g := range f.gateways {
		if !s.knownBy[g.index] && !g.down.Load() {
			return
		}
	}
	s.knownAt = f.net.Now()
}

// announce spreads news of a server to all gateways' agents. Discovery tells what
// has changed within a while together.
func (f *Field) announce(s *server, state string) {
	f.mark(s.ID + " " + state)
	f.list.mu.Lock()
	defer f.list.mu.Unlock()
	if f.list.pending = append(f.list.pending, change{s, state}); len(f.list.pending) == 1 {
		time.AfterFunc(listEvery, f.publish)
	}
}

// publish sends what has gathered to all agents.
func (f *Field) publish() {
	f.list.mu.Lock()
	all := f.list.pending
	f.list.pending = nil
	f.list.mu.Unlock()
	f.mark("list")
	spread := listSpread
	if f.list.atOnce.Load() {
		spread = listAtOnce
	}
	for _, g := range f.gateways {
		f.mu.Lock()
		wait := g.late + time.Duration(f.rng.Int64N(int64(spread)))
		f.mu.Unlock()
		var entries []list.Entry
		for _, c := range all {
			entries = append(entries, g.entry(c.server, c.state))
		}
		time.AfterFunc(wait, func() {
			if f.stop.Load() {
				return
			}
			entries := slices.DeleteFunc(entries, func(e list.Entry) bool { // no older word overtakes
				return g.list.Entry(e.ID).StartedMs > e.StartedMs
			})
			g.list.Set(entries...)
			for _, c := range all {
				f.tell(g, c.server)
			}
		})
	}
}

// mark notes an event that many may react to at once.
func (f *Field) mark(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, Event{f.net.Now(), what})
}
