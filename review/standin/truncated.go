package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Scenario truncated-body: clients of an effectful route send a body at a slow pace and leave at half of their aim, as
// in give_up, with half of the body sent. No server may run a request with a body other than its client's.
const (
	nominationBytes = 24000 // the longest nomination-submit of nomiflux-gw
	nominationPiece = 1500
	nominationPace  = 50 * time.Millisecond // 400 ms for half of it, 800 ms for all
	nominationAim   = 800 * time.Millisecond
	nominationWork  = 290 * time.Millisecond
	nominationLimit = 3 * time.Second
	nominationTurns = 20
)

// bodies are the lengths of the bodies that servers ran requests with, by the requests' ids.
type bodies struct {
	mu  sync.Mutex
	ran map[string]int
}

func (b *bodies) run(s *server, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		s.rec.add("server %s: the body of %s broke off after %d bytes; it is not run", s.id, id, len(body))
		panic(http.ErrAbortHandler) // closes the connection
	}
	b.mu.Lock()
	b.ran[id] = len(body)
	b.mu.Unlock()
	s.rec.add("server %s: runs %s, Content-Length %d, body of %d bytes", s.id, id, q.ContentLength, len(body))
	time.Sleep(nominationWork)
	s.succeed(w, q)
}

func truncatedBody(f *fleet, rec *record, trouble bool) (int, error) {
	b := &bodies{ran: map[string]int{}}
	err := f.open(rec, route{"r-nomi", "effectful", "/nomi/", "nomi", int(nominationAim.Milliseconds()), int(nominationLimit.Milliseconds()), 2}, b.run)
	if err != nil {
		return 0, err
	}
	g := f.gateways[1] // one without a disk
	for i := range nominationTurns {
		var all sync.WaitGroup
		for _, name := range []string{"first", "second"} { // requests that are sent whole, as on any day
			all.Go(func() { nominate(rec, g, fmt.Sprintf("%s-%d", name, i), nominationBytes, 0) })
		}
		all.Wait()
		sent := nominationBytes
		if trouble {
			sent /= 2
		}
		nominate(rec, g, fmt.Sprintf("slow-%d", i), sent, nominationPace)
	}
	time.Sleep(time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	code := ruleHeld
	for id, n := range b.ran {
		if n != nominationBytes {
			rec.add("UNASKED: %s ran with a body of %d bytes; its client announced %d and left before it had sent them", id, n, nominationBytes)
			code = ruleBroken
		}
	}
	if len(b.ran) < 2*nominationTurns {
		return 0, fmt.Errorf("only %d requests ran", len(b.ran))
	}
	return code, nil
}

// nominate sends so many bytes of a body. With less than all of it the client leaves, else it waits for the answer.
func nominate(rec *record, g *gateway, id string, sent int, pace time.Duration) {
	c, err := dial(rec, "client "+id, g)
	if err != nil {
		rec.add("client %s: %v", id, err)
		return
	}
	defer c.conn.Close()
	io.WriteString(c.conn, head(http.MethodPost, "/nomi/day-ahead", id, nominationLimit, nominationBytes))
	piece := nominationPiece
	if pace == 0 {
		piece = nominationBytes
	}
	if err := c.sendBody(make([]byte, sent), piece, pace); err != nil {
		rec.add("%s: %v", c.name, err)
		return
	}
	if rec.add("%s: sent %d of %d bytes", c.name, sent, nominationBytes); sent < nominationBytes {
		rec.add("%s: leaves", c.name)
		return
	}
	c.receive(id, nominationLimit)
}
