package bench

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Callers of a soak beside its even load: those that send a slow request behind a fast one, and those that leave in the
// middle of a body.
const (
	slowPath     = "slow"
	slowWork     = 4 * time.Second // of a server; over before the last sixth of GraceS if SIGTERM comes meanwhile
	slowDeadline = 8 * time.Second
	slowGap      = 50 * time.Millisecond

	leaverBody = 24000 // bytes announced
	leaverSent = 12000
	leaverGap  = 100 * time.Millisecond
	leaverID   = "left-" // what the IDs of their requests begin with
)

// callSlowly sends, at each process, a fast request and a slow one in one piece, again and again, and returns what became
// of them.
func (s *soak) callSlowly(d time.Duration, seed uint64) (all []sentOne) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, n := range s.nodes {
		l := &line{addr: n.ingress(), patience: slowDeadline + lineTime}
		wg.Go(func() {
			defer l.hangUp()
			for i := 0; time.Now().Before(end); i++ {
				words := []word{{"key-other", "renominate", fmt.Sprintf("fast-%d-%s-%d", seed, n.name, i)},
					{"key-other", slowPath, fmt.Sprintf("slow-%d-%s-%d", seed, n.name, i)}}
				at := time.Now()
				got := l.say(words...)
				mu.Lock()
				for w, g := range got {
					if g.status == 0 {
						g.took = time.Since(at)
					}
					all = append(all, sentOne{words[w].id, n.name, words[w].key, at, g.took, g.status, words[w].deadline()})
				}
				mu.Unlock()
				time.Sleep(slowGap)
			}
		})
	}
	wg.Wait()
	return all
}

// leaveEarly sends, at each process, requests of which only a part of the body comes.
func (s *soak) leaveEarly(d time.Duration, seed uint64) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, n := range s.nodes {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				leaveOnce(n.ingress(), fmt.Sprintf("%s%d-%s-%d", leaverID, seed, n.name, i))
				time.Sleep(leaverGap)
			}
		})
	}
	wg.Wait()
}

func leaveOnce(addr, id string) {
	conn, err := net.DialTimeout("tcp", addr, lineTime)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lineTime))
	fmt.Fprintf(conn, "POST /renominate HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer key-other\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n", id, deadlineMs, leaverBody)
	io.WriteString(conn, strings.Repeat("x", leaverSent))
}
