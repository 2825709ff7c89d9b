package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, server, tenant string
	began, ended       time.Time
	dropped            bool // its connection closed before the end
}

// server is a stand-in for an application server, as the pages describe one.
type server struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	workOf                  func(id string) time.Duration // nil: work
	rec                     *record
	runs                    *runs
	pause                   time.Duration        // between the first half of an answer and the rest
	loseAnswer              func(id string) bool // the request is run, and its answer is lost by a reset; nil: none
	listener                net.Listener
	busy                    atomic.Int32
	sequence                atomic.Int64
	quiescing               atomic.Bool
	silent                  atomic.Bool // sends no beats any more
	stopped                 chan struct{}
}

// runs collects the runs of all servers.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (l *runs) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

func (l *runs) list() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.all {
		out = append(out, *r)
	}
	return out
}

// serve opens the server and starts its beats.
func (s *server) serve(f *fleet) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.addr, s.stopped = ln, ln.Addr().String(), make(chan struct{})
	go (&http.Server{Handler: http.HandlerFunc(s.handle)}).Serve(ln)
	go s.beat(f)
	return nil
}

func (s *server) handle(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/probe" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if target := q.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(s.busy.Add(1)) > s.slots {
		s.busy.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.busy.Add(-1)
	r := &run{id: id, server: s.id, tenant: q.Header.Get("X-Tenant-Name"), began: time.Now()}
	s.runs.add(r)
	s.rec.line("server %s begins to run %s %s %s", s.id, id, q.Method, q.URL.Path)
	end := func(dropped bool, what string) {
		s.runs.mu.Lock()
		r.ended, r.dropped = time.Now(), dropped
		s.runs.mu.Unlock()
		s.rec.line("server %s %s %s", s.id, what, id)
	}
	work := s.work
	if s.workOf != nil {
		work = s.workOf(id)
	}
	select {
	case <-q.Context().Done():
		end(true, "drops, as its connection was closed,")
		return
	case <-time.After(work):
	}
	if s.loseAnswer != nil && s.loseAnswer(id) {
		end(false, "has run, and loses the answer of")
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	}
	w.Header().Set("X-Server-Seal", s.id+"."+id)
	text := fmt.Sprintf("answer of %s to %s\n", s.id, id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if s.pause > 0 {
		fmt.Fprint(w, text[:8])
		text = text[8:]
		w.(http.Flusher).Flush()
		s.rec.line("server %s has sent a part of its answer to %s", s.id, id)
		select {
		case <-q.Context().Done():
			end(true, "drops, as its connection was closed,")
			return
		case <-time.After(s.pause):
		}
	}
	end(false, "has run")
	fmt.Fprint(w, text)
}

// beat reports the server as the pages say: to the address that the last answer named, else to the next gateway.
func (s *server) beat(f *fleet) {
	target := ""
	for i := int(s.sequence.Load()) + len(s.id); ; i++ {
		if !s.silent.Load() {
			at := target
			if at == "" {
				at = f.gateways[i%len(f.gateways)].control()
			}
			ok, next := s.report(at)
			if target = next; !ok {
				target = ""
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (s *server) report(at string) (ok bool, next string) {
	phase := "serving"
	if s.quiescing.Load() {
		phase = "quiescing"
	}
	body := fmt.Sprintf(`{"Endpoint":%q,"SelfInfo":{"Backend":%q,"Epoch":"v1","Zone":%q,"Capacity":%d},"HealthState":{"Phase":%q,"Sequence":%d,"WarmupLeftMs":0}}`,
		s.addr, s.service, s.zone, s.slots, phase, s.sequence.Add(1))
	status, text, err := call("PUT", at, "/api/members/"+s.id, body)
	if err != nil || status/100 != 2 {
		return false, ""
	}
	var answer struct{ HeartbeatTarget string }
	json.Unmarshal([]byte(text), &answer)
	return true, answer.HeartbeatTarget
}
