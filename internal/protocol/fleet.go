package protocol

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/routing"
	"asterwell/internal/settings"
	"asterwell/internal/transport"
)

// Ends hears how attempts and probes end.
type ResultHandler interface {
	AttemptEnded(server uint32, a routing.Attempt, status choice.Status, answer any, load *choice.Load)
	ProbeEnded(server uint32, a routing.Attempt, status choice.Status, load *choice.Load)
}

// Fleet carries out attempts by an actor for each server. The core's goroutine
// alone calls it.
type Fleet struct {
	opt         transport.PeerOptions
	loadReports bool
	Results     ResultHandler // set before the core runs
	Dialect     *Dialect
	servers     map[uint32]*server
}

// server is one that the list names, or has named: as long as something is under
// way there, it can still be cancelled.
type server struct {
	addr  string
	name  string
	peer  *transport.Peer[routing.Attempt]   // takes what is new; nil: off the list
	peers []*transport.Peer[routing.Attempt] // all that may have something under way
}

// leave lets the actor end with what it has under way.
func (s *server) retire() {
	if s.peer != nil {
		s.peer.Stop()
		s.peer = nil
	}
}

// NewFleet returns a fleet without servers.
func NewFleet(opt transport.PeerOptions, reports bool) *Fleet {
	return &Fleet{opt: opt, loadReports: reports, Dialect: Platform, servers: map[uint32]*server{}}
}

// Update takes the list's news.
func (f *Fleet) Update(news routing.DiscoveryUpdate) {
	named := map[uint32]bool{}
	for _, m := range news.Members {
		s := f.servers[m.ID]
		if m.State == choice.Down {
			continue
		}
		named[m.ID] = true
		if s == nil {
			s = &server{}
			f.servers[m.ID] = s
		} else if s.peer != nil && s.addr == m.Addr {
			continue
		}
		s.retire()
		id := m.ID
		s.addr, s.name = m.Addr, m.Name
		s.peer = transport.NewPeer(m.Addr, f.opt, func(r transport.Result[routing.Attempt]) { f.handleResult(id, r) })
		s.peers = append(s.peers, s.peer)
	}
	for _, m := range news.Members {
		if s := f.servers[m.ID]; m.State == choice.Down && s != nil && !named[m.ID] {
			s.retire()
		}
	}
	if news.Whole {
		for _, id := range slices.Sorted(maps.Keys(f.servers)) { // in one order, not the map's
			if !named[id] {
				f.servers[id].retire()
			}
		}
	}
	for id, s := range f.servers {
		s.peers = slices.DeleteFunc(s.peers, func(p *transport.Peer[routing.Attempt]) bool { return p.Ended() })
		if s.peer == nil && len(s.peers) == 0 {
			delete(f.servers, id)
		}
	}
}

// Send begins an attempt.
func (f *Fleet) Send(id uint32, a routing.Attempt, call any, left time.Duration) {
	if s := f.servers[id]; s != nil && s.peer != nil {
		call.(*Call).StageTimes.Mark(ServerSelected)
		s.peer.Send(a, f.Dialect.encode(call.(*Call), s.name, left), call)
		return
	}
	f.Results.AttemptEnded(id, a, choice.ConnectFailed, nil, nil)
}

// Probe asks a server how it is.
func (f *Fleet) Probe(id uint32, a routing.Attempt, left time.Duration) {
	path := "/-/healthy"
	if f.loadReports {
		path = "/-/load"
	}
	if s := f.servers[id]; s != nil && s.peer != nil {
		s.peer.Send(a, []byte("GET "+path+" HTTP/1.1\r\nHost: "+s.addr+"\r\n\r\n"), nil)
		return
	}
	f.Results.ProbeEnded(id, a, choice.ConnectFailed, nil)
}

// Cancel gives an attempt or a probe up.
func (f *Fleet) Cancel(id uint32, a routing.Attempt) {
	if s := f.servers[id]; s != nil {
		for _, p := range s.peers {
			p.Cancel(a)
		}
	}
}

// ended runs on the server's actor.
func (f *Fleet) handleResult(id uint32, r transport.Result[routing.Attempt]) {
	if r.Key.ID == 0 {
		status, load := choice.ConnectFailed, (*choice.Load)(nil)
		if r.Outcome != transport.NotSent {
			status = f.Dialect.outcome(r.Outcome, r.Answer, &Call{})
		}
		if r.Outcome == transport.Invalid {
			status = choice.NotExecuted // it tells nothing
		}
		if r.Answer != nil {
			if status == choice.OK && f.loadReports {
				load = parseLoad(r.Answer.Body())
			}
			if r.Answer.StatusCode() == fasthttp.StatusServiceUnavailable {
				status = choice.Overloaded
			}
			fasthttp.ReleaseResponse(r.Answer)
		}
		f.Results.ProbeEnded(id, r.Key, status, load)
		return
	}
	call := r.Note.(*Call)
	call.StageTimes.Mark(ResponseRead)
	status := f.Dialect.outcome(r.Outcome, r.Answer, call)
	var load *choice.Load
	if r.Answer != nil && f.loadReports {
		load = parseLoad(r.Answer.Header.Peek(headerLoad))
	}
	if status != choice.OK && r.Answer != nil {
		fasthttp.ReleaseResponse(r.Answer)
		r.Answer = nil
	}
	f.Results.AttemptEnded(id, r.Key, status, r.Answer, load)
}

// outcome is the protocol's table. A 503 or 504 proves that nothing ran only
// where the server says so: any proxy on the way may word one.
func (d *Dialect) outcome(end transport.Outcome, answer *fasthttp.Response, call *Call) choice.Status {
	switch end {
	case transport.NotSent:
		return choice.ConnectFailed
	case transport.ConnectionLost:
		return choice.Reset
	case transport.Invalid: // whoever sent that is there; it may be the answer to another request, which proves nothing
		return choice.Error
	}
	status := answer.StatusCode()
	switch {
	case d.TargetHeader != "" && status == fasthttp.StatusMisdirectedRequest: // another server has the address now
		return choice.ConnectFailed
	case d.NotExecutedAnyStatus && d.hasHeaderValue(answer, d.NotExecutedHeader, "1"):
		return choice.Overloaded
	case status == fasthttp.StatusOK:
		return choice.OK
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout:
		if d.hasHeaderValue(answer, d.NotExecutedHeader, "1") {
			return choice.Overloaded
		}
	case call.Transparent && status >= 200 && status < 500:
		return choice.OK
	}
	if call.Final {
		return choice.OK
	}
	return choice.Error
}

// says looks for a header however its name is spelt.
func (d *Dialect) hasHeaderValue(answer *fasthttp.Response, name, value string) bool {
	for key, v := range answer.Header.All() {
		if equalHeader(key, name) {
			return string(v) == value
		}
	}
	return false
}

func parseLoad(text []byte) *choice.Load {
	if len(text) == 0 {
		return nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return nil
	}
	r := map[string]float64{}
	for name, v := range fields { // one that can't be read says nothing of the others
		if n := -1.0; json.Unmarshal(v, &n) == nil && n >= 0 {
			r[name] = n
		}
	}
	return settings.Load(r)
}
