package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Clients of a soak that leave while a repeatable request of theirs is served, some of them with more behind it.
const (
	abandonedPath     = "abandoned"
	abandonedID       = "abandoned-"           // what the IDs of their requests begin with
	abandonedWork     = 3 * time.Second        // of a server, unless its connection ends
	abandonedGap      = 600 * time.Millisecond // between two of a process
	abandonedNoticed  = 500 * time.Millisecond // in which a gateway has to notice
	abandonedFew      = 5                      // requests may come to a server later
	abandonedAtWork   = 0.25                   // of them servers may be at work for longer
	abandonedDeadline = 5000                   // in milliseconds
	abandonedStay     = 400 * time.Millisecond // at most, before a client leaves
)

// abandoned is a request whose client has left.
type abandoned struct {
	id, node string
	sent     time.Time
	left     time.Time
}

// abandonAlways sends, at each process, requests whose clients leave, and returns them.
func (s *soak) abandonAlways(d time.Duration, seed uint64) (all []abandoned) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for k, n := range s.nodes {
		rng := rand.New(rand.NewPCG(seed, 0xaba0+uint64(k)))
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				a := abandoned{id: fmt.Sprintf("%s%d-%s-%d", abandonedID, seed, n.name, i), node: n.name}
				if a.abandon(n.ingress(), rng) {
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
				}
				time.Sleep(abandonedGap)
			}
		})
	}
	wg.Wait()
	return all
}

// abandon sends the request, draws what comes behind it, and leaves in a drawn way. It returns false if it could not send.
func (a *abandoned) abandon(addr string, rng *rand.Rand) bool {
	request := func(id string) string {
		return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer key-other\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", abandonedPath, id, abandonedDeadline)
	}
	behind := ""
	for i := range rng.IntN(4) {
		behind += request(fmt.Sprint(a.id, "-behind-", i))
	}
	if rng.IntN(3) == 0 {
		behind += request("half")[:20]
	}
	stay, how := time.Duration(rng.Int64N(int64(abandonedStay))), rng.IntN(3)
	conn, err := net.DialTimeout("tcp", addr, lineTime)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lineTime))
	a.sent = time.Now()
	if _, err := io.WriteString(conn, request(a.id)); err != nil {
		return false
	}
	time.Sleep(stay / 2)
	io.WriteString(conn, behind)
	time.Sleep(stay / 2)
	a.left = time.Now()
	switch socket := conn.(*net.TCPConn); how {
	case 0:
		socket.SetLinger(0)
	case 1:
		socket.CloseWrite()
		time.Sleep(stay)
	}
	return true
}

// workAbandoned plays a server at work on such a request, and notes until when it was.
func (s *soak) workAbandoned(r *http.Request) {
	select {
	case <-time.After(abandonedWork):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workedUntil[r.Header.Get("X-Attempt-Id")] = time.Now()
}

// checkAbandoned checks that servers learn that clients have left.
func (r *soakRun) checkAbandoned(note func(rule, format string, args ...any)) {
	ran, atWork, late := 0, 0, 0
	for _, a := range r.abandoned {
		noticed := a.left.Add(abandonedNoticed)
		arrivals := r.arrivals[a.id]
		if len(arrivals) == 0 || r.troubled(sentOne{at: a.sent, took: noticed.Sub(a.sent)}) {
			continue
		}
		ran++
		if r.workedUntil[a.id].After(noticed) {
			atWork++
		}
		for _, at := range arrivals {
			if at.After(noticed) {
				late++
			}
		}
	}
	if late > abandonedFew {
		note("GONE", "%d requests came to a server over %v after their clients had left", late, abandonedNoticed)
	}
	if ran > 2*abandonedFew && float64(atWork) > abandonedAtWork*float64(ran) {
		note("GONE", "servers were at work on %d of %d requests for over %v after their clients had left", atWork, ran, abandonedNoticed)
	}
}
