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

// ResultHandler receives the results of attempts and probes.
type ResultHandler interface {
	AttemptEnded(server uint32, a routing.Attempt, status choice.Status, answer any, load *choice.Load)
	ProbeEnded(server uint32, a routing.Attempt, status choice.Status, load *choice.Load)
}

// Fleet executes attempts, with one actor for each server. Only the core's goroutine may
// call it.
type Fleet struct {
	opt         transport.PeerOptions
	loadReports bool
	Results     ResultHandler // set before the core runs
	Dialect     *Dialect
	servers     map[uint32]*server
}

// server is a server that is on the list, or was removed from it and still has exchanges
// in progress, which can be cancelled.
type server struct {
	addr  string
	name  string
	peer  *transport.Peer[routing.Attempt]   // receives new exchanges; nil: removed from the list
	peers []*transport.Peer[routing.Attempt] // all that may have exchanges in progress
}

// retire lets the actor finish its exchanges and end.
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

// Update applies a change of the server list.
func (f *Fleet) Update(update routing.DiscoveryUpdate) {
	listed := map[uint32]bool{}
	for _, m := range update.Members {
		s := f.servers[m.ID]
		if m.State == choice.Down {
			continue
		}
		listed[m.ID] = true
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
	for _, m := range update.Members {
		if s := f.servers[m.ID]; m.State == choice.Down && s != nil && !listed[m.ID] {
			s.retire()
		}
	}
	if update.Whole {
		for _, id := range slices.Sorted(maps.Keys(f.servers)) { // in a deterministic order
			if !listed[id] {
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

// Send starts an attempt.
func (f *Fleet) Send(id uint32, a routing.Attempt, call any, left time.Duration) {
	if s := f.servers[id]; s != nil && s.peer != nil {
		call.(*Call).StageTimes.Mark(ServerSelected)
		s.peer.Send(a, f.Dialect.encode(call.(*Call), s.name, left), call, left)
		return
	}
	f.Results.AttemptEnded(id, a, choice.ConnectFailed, nil, nil)
}

// Probe starts a health or load check of a server.
func (f *Fleet) Probe(id uint32, a routing.Attempt, left time.Duration) {
	path := "/-/healthy"
	if f.loadReports {
		path = "/-/load"
	}
	if s := f.servers[id]; s != nil && s.peer != nil {
		s.peer.Send(a, []byte("GET "+path+" HTTP/1.1\r\nHost: "+s.addr+"\r\n\r\n"), nil, left)
		return
	}
	f.Results.ProbeEnded(id, a, choice.ConnectFailed, nil)
}

// Cancel aborts an attempt or a probe.
func (f *Fleet) Cancel(id uint32, a routing.Attempt) {
	if s := f.servers[id]; s != nil {
		for _, p := range s.peers {
			p.Cancel(a)
		}
	}
}

// handleResult runs on the server's actor.
func (f *Fleet) handleResult(id uint32, r transport.Result[routing.Attempt]) {
	if r.Key.ID == 0 {
		status, load := choice.ConnectFailed, (*choice.Load)(nil)
		if r.Outcome != transport.NotSent {
			status = f.Dialect.outcome(r.Outcome, r.Answer, &Call{})
		}
		if r.Outcome == transport.Invalid {
			status = choice.NotExecuted // it proves nothing about the server's health
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

// outcome maps responses to statuses. A 503 or 504 proves that the request did not run
// only if the server says so in a header: any proxy on the path may generate one.
func (d *Dialect) outcome(end transport.Outcome, answer *fasthttp.Response, call *Call) choice.Status {
	switch end {
	case transport.NotSent:
		return choice.ConnectFailed
	case transport.ConnectionLost:
		return choice.Reset
	case transport.Invalid: // the server is reachable; it may be the response to another request, which proves nothing
		return choice.Error
	}
	status := answer.StatusCode()
	switch {
	case d.TargetHeader != "" && status == fasthttp.StatusMisdirectedRequest: // the address now belongs to another server
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

// hasHeaderValue compares the first header of that name, ignoring the case of the name.
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
	for name, v := range fields { // an unreadable field doesn't invalidate the others
		if n := -1.0; json.Unmarshal(v, &n) == nil && n >= 0 {
			r[name] = n
		}
	}
	return settings.Load(r)
}
