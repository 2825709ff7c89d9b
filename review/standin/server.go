package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	capacity  = 6
	beatEvery = 1500 * time.Millisecond
)

// handler does a server's work on a request that is its own.
type handler func(s *server, w http.ResponseWriter, q *http.Request)

// server stands in for one of a service: it reports itself to the gateways and answers requests.
type server struct {
	id, service, zone, addr string
	rec                     *record
	controls                []string
	work                    handler

	sequence int
	target   string // where the last answer said that beats shall go
}

// start listens at a free port and begins to report.
func (s *server) start(ip string) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.addr = ln.Addr().String()
	go (&http.Server{Handler: s}).Serve(ln)
	go s.report()
	return nil
}

// ServeHTTP answers health probes, turns away what is meant for another server, and works on the rest.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/probe" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	if to := q.Header.Get("X-Target-Instance"); to != "" && to != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.work(s, w, q)
}

// succeed answers with the seal and a whole body.
func (s *server) succeed(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	body := "run by " + s.id + " for " + id + "\n"
	w.Header().Set("X-Server-Seal", "3e1b.07.5a2."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
}

func (s *server) report() {
	for {
		began := time.Now()
		if s.beat() {
			time.Sleep(beatEvery - time.Since(began))
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// beat calls the gateway that the last answer named, or the next one, and tells whether it acknowledged.
func (s *server) beat() bool {
	s.sequence++
	at := s.target
	if s.target = ""; at == "" {
		at = s.controls[s.sequence%len(s.controls)]
	}
	type object = map[string]any
	body, err := json.Marshal(object{"Endpoint": s.addr,
		"SelfInfo":    object{"Backend": s.service, "Epoch": "v1", "Zone": s.zone, "Capacity": capacity},
		"HealthState": object{"Phase": "serving", "Sequence": s.sequence, "WarmupLeftMs": 0}})
	if err != nil {
		return false
	}
	call, err := http.NewRequest(http.MethodPut, "http://"+at+"/api/members/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	call.Header.Set("Content-Type", "application/json")
	answer, err := (&http.Client{Timeout: time.Second}).Do(call)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var told struct{ HeartbeatTarget string }
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&told) != nil {
		return false
	}
	s.target = told.HeartbeatTarget
	return true
}
