package field

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"asterwell/internal/standin/list"
)

// listState is how news of servers spreads.
type listState struct {
	atOnce atomic.Bool // it reaches all gateways within 10 ms
}

const (
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
	g.had, g.version = g.list.Entries(), version
	g.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.net.Now()
	for _, e := range entries {
		f.judge.Tells(g.index, e.ID, e.State == "up", now)
		f.history.add(Record{Kind: "told", Who: g.Name, To: e.ID, What: e.State})
		if key := e.ID + " " + e.State; !f.told[key] {
			f.told[key] = true
			f.happened(func(w *When) bool { return w.Told == e.ID && (w.State == "" || w.State == e.State) })
		}
	}
	f.known()
}

// tellAll notes what counts as told to a gateway that runs: all that its agent has,
// whether it asks or not, unless nothing can come through.
func (f *Field) tellAll(g *gateway) {
	if g.stopped.Load() || f.net.Link(g.index, farList).cut() || g.agent.Silent() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if state := g.list.State(s.ID); state != "up" {
			f.judge.Tells(g.index, s.ID, false, f.net.Now())
		}
	}
}

// known notes which starts all gateways that run have been told of. f.mu is held.
func (f *Field) known() {
	for _, s := range f.servers {
		s.mu.Lock()
		wanted := s.started > 0 && s.knownAt == 0
		at := f.net.epoch.Add(s.started).UnixMilli()
		s.mu.Unlock()
		if !wanted {
			continue
		}
		all := true
		for _, g := range f.gateways {
			g.mu.Lock()
			has := g.down.Load()
			for _, e := range g.had {
				has = has || e.ID == s.ID && e.StartedMs == at
			}
			g.mu.Unlock()
			if all = all && has; !all {
				break
			}
		}
		if all {
			s.mu.Lock()
			s.knownAt = f.net.Now()
			s.mu.Unlock()
		}
	}
}

// announce spreads news of a server to all gateways' agents.
func (f *Field) announce(s *server, state string) {
	f.mark(s.ID + " " + state)
	for _, g := range f.gateways {
		spread := listSpread
		if f.list.atOnce.Load() {
			spread = listAtOnce
		}
		f.mu.Lock()
		wait := g.late + time.Duration(f.rng.Int64N(int64(spread)))
		f.mu.Unlock()
		e := g.entry(s, state)
		time.AfterFunc(wait, func() {
			if f.stop.Load() {
				return
			}
			for _, old := range g.list.Entries() { // no older word overtakes
				if old.ID == e.ID && old.StartedMs > e.StartedMs {
					return
				}
			}
			g.list.Set(e)
			f.tellAll(g)
		})
	}
}

// mark notes an event that many may react to at once.
func (f *Field) mark(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, Event{f.net.Now(), what})
}
