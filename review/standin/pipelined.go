package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Scenario pipelined-shutdown: clients send two requests of a pure route at once on one connection. The first has been
// answered by its server and the second is at work when the platform stops the gateway with SIGTERM. The server
// ends the second within the first half of GraceS. Both answers are owed. The route has one try, so that no second server
// is still at work later.
const (
	firstWork        = 200 * time.Millisecond
	secondWork       = 4 * time.Second // capacity-read of nomiflux-gw takes up to 6.6 s
	readAim          = 2500 * time.Millisecond
	readLimit        = 10 * time.Second
	termAfter        = 1400 * time.Millisecond // the second ends 2.8 s after it
	halfGrace        = 3 * time.Second
	pipelinedClients = 4
)

// runs of one request at servers.
type serverRuns struct {
	begun, ended int
	last         time.Time // when the last of them had its answer
}

// servedRuns are those of all requests, by their ids.
type servedRuns struct {
	mu sync.Mutex
	of map[string]*serverRuns
}

func (a *servedRuns) run(s *server, w http.ResponseWriter, q *http.Request) {
	id, work := q.Header.Get("X-Attempt-Id"), firstWork
	if q.URL.Path == "/kapa/long" {
		work = secondWork
	}
	a.mu.Lock()
	r := a.of[id]
	if r == nil {
		r = &serverRuns{}
		a.of[id] = r
	}
	r.begun++
	a.mu.Unlock()
	s.rec.add("server %s: runs %s", s.id, id)
	time.Sleep(work)
	a.mu.Lock()
	r.ended, r.last = r.ended+1, time.Now()
	a.mu.Unlock()
	s.rec.add("server %s: answers %s", s.id, id)
	s.succeed(w, q)
}

// owed tells whether the rule counts the request: it was passed on, and no server was at work on it in the second half of
// GraceS.
func (r *serverRuns) owed(term time.Time) bool {
	return r != nil && r.begun > 0 && r.begun == r.ended && r.last.Sub(term) < halfGrace
}

func pipelinedShutdown(f *fleet, rec *record, trouble bool) (int, error) {
	a := &servedRuns{of: map[string]*serverRuns{}}
	err := f.open(rec, route{"r-kapa", "pure", "/kapa/", "kapa", int(readAim.Milliseconds()), int(readLimit.Milliseconds()), 1}, a.run)
	if err != nil {
		return 0, err
	}
	g := f.gateways[1] // one without a disk
	var all sync.WaitGroup
	results := make([][]result, pipelinedClients)
	for i := range results {
		all.Go(func() {
			results[i] = readTwice(rec, g, fmt.Sprintf("client %d", i), fmt.Sprintf("short-%d", i), fmt.Sprintf("long-%d", i))
		})
	}
	time.Sleep(termAfter)
	term := time.Now()
	if trouble {
		rec.add("platform: SIGTERM to %s", g.Name)
		if err := g.signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	all.Wait()
	time.Sleep(2 * time.Second) // servers end their work
	a.mu.Lock()
	defer a.mu.Unlock()
	code := ruleHeld
	for _, list := range results {
		for _, r := range list {
			if ran := a.of[r.id]; r.status == 0 && ran.owed(term) {
				rec.add("LOST: %s was passed on to a server, whose answer was there %.2f s after the SIGTERM; its connection ended without an answer",
					r.id, ran.last.Sub(term).Seconds())
				code = ruleBroken
			}
		}
	}
	return code, nil
}

// readTwice sends two requests in one piece and reads their answers in order.
func readTwice(rec *record, g *gateway, name, short, long string) []result {
	c, err := dial(rec, name, g)
	if err != nil {
		rec.add("%s: %v", name, err)
		return nil
	}
	defer c.conn.Close()
	io.WriteString(c.conn, head(http.MethodGet, "/kapa/short", short, readLimit, 0)+head(http.MethodGet, "/kapa/long", long, readLimit, 0))
	rec.add("%s: sent %s and %s", name, short, long)
	return []result{c.receive(short, readLimit), c.receive(long, readLimit)}
}
