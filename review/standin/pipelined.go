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
// ends the second within the first half of GraceS. Both answers are owed.
const (
	firstWork        = 200 * time.Millisecond
	secondWork       = 4 * time.Second // capacity-read of nomiflux-gw takes up to 6.6 s
	readAim          = 2500 * time.Millisecond
	readLimit        = 10 * time.Second
	termAfter        = 1400 * time.Millisecond // the second ends 2.8 s after it
	halfGrace        = 3 * time.Second
	pipelinedClients = 4
)

// answers are the times at which servers had answered, by the requests' ids.
type answers struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (a *answers) run(s *server, w http.ResponseWriter, q *http.Request) {
	id, work := q.Header.Get("X-Attempt-Id"), firstWork
	if q.URL.Path == "/kapa/long" {
		work = secondWork
	}
	s.rec.add("server %s: runs %s", s.id, id)
	time.Sleep(work)
	a.mu.Lock()
	if _, again := a.at[id]; !again {
		a.at[id] = time.Now()
	}
	a.mu.Unlock()
	s.rec.add("server %s: answers %s", s.id, id)
	s.succeed(w, q)
}

func pipelinedShutdown(f *fleet, rec *record, trouble bool) (int, error) {
	a := &answers{at: map[string]time.Time{}}
	err := f.open(rec, route{"r-kapa", "pure", "/kapa/", "kapa", int(readAim.Milliseconds()), int(readLimit.Milliseconds())}, a.run)
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
	time.Sleep(time.Second) // servers end their work
	a.mu.Lock()
	defer a.mu.Unlock()
	code := ruleHeld
	for _, list := range results {
		for _, r := range list {
			if at, ran := a.at[r.id]; r.status == 0 && ran && at.Sub(term) < halfGrace {
				rec.add("LOST: %s was passed on to a server, whose answer was there %.2f s after the SIGTERM; its connection ended without an answer",
					r.id, at.Sub(term).Seconds())
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
