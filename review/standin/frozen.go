package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Scenario frozen-upload: clients of an effectful route send long bodies at a steady pace; meanwhile the machine of
// their gateway freezes and wakes again. No client may get a success without the server's seal.
const (
	uploadBytes   = 480 << 10
	uploadPiece   = 8 << 10
	uploadPace    = 50 * time.Millisecond // 3 s for all
	uploadWork    = 200 * time.Millisecond
	uploadAim     = 2500 * time.Millisecond // aim and deadline of capacity-read of nomiflux-gw
	uploadLimit   = 10 * time.Second
	uploadClients = 8
	freezeAfter   = 1200 * time.Millisecond
	freezeFor     = 3500 * time.Millisecond // node_freeze of nomiflux-gw
)

// runs counts how often servers ran a request.
type runs struct {
	mu sync.Mutex
	of map[string]int
}

func (r *runs) run(s *server, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	n, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		s.rec.add("server %s: the body of %s broke off after %d of %d bytes; it is not run", s.id, id, n, q.ContentLength)
		panic(http.ErrAbortHandler) // closes the connection
	}
	r.mu.Lock()
	r.of[id]++
	r.mu.Unlock()
	s.rec.add("server %s: runs %s, body of %d bytes", s.id, id, n)
	time.Sleep(uploadWork)
	s.succeed(w, q)
}

func frozenUpload(f *fleet, rec *record, trouble bool) (int, error) {
	r := &runs{of: map[string]int{}}
	err := f.open(rec, route{"r-nomi", "effectful", "/nomi/", "nomi", int(uploadAim.Milliseconds()), int(uploadLimit.Milliseconds()), 2}, r.run)
	if err != nil {
		return 0, err
	}
	g := f.gateways[1] // one without a disk
	if first := upload(rec, g, "before"); first.status != http.StatusOK || first.seal == "" {
		return 0, fmt.Errorf("an upload before the freeze: %+v", first)
	}
	var all sync.WaitGroup
	results := make([]result, uploadClients)
	for i := range results {
		all.Go(func() { results[i] = upload(rec, g, fmt.Sprintf("upload-%d", i)) })
	}
	time.Sleep(freezeAfter)
	if trouble {
		rec.add("platform: %s freezes", g.Name)
		if err := g.signal(syscall.SIGSTOP); err != nil {
			return 0, err
		}
		time.Sleep(freezeFor)
		rec.add("platform: %s wakes", g.Name)
		if err := g.signal(syscall.SIGCONT); err != nil {
			return 0, err
		}
	}
	all.Wait()
	time.Sleep(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	code := ruleHeld
	for _, got := range results {
		if got.status/100 == 2 && got.seal == "" {
			rec.add("MIXED: %s got %d without a server's seal; servers ran it %d times", got.id, got.status, r.of[got.id])
			code = ruleBroken
		}
	}
	return code, nil
}

// upload sends a request with a long body on a connection of its own, and reads the answer as soon as it comes.
func upload(rec *record, g *gateway, id string) result {
	c, err := dial(rec, "client "+id, g)
	if err != nil {
		rec.add("client %s: %v", id, err)
		return result{id: id}
	}
	defer c.conn.Close()
	io.WriteString(c.conn, head(http.MethodPost, "/nomi/day-ahead", id, uploadLimit, uploadBytes))
	rec.add("%s: sends %d bytes", c.name, uploadBytes)
	go c.sendBody(make([]byte, uploadBytes), uploadPiece, uploadPace)
	return c.receive(id, uploadLimit)
}
