package testbed

import (
	"encoding/json"
	"fmt"
	"hash/maphash"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// server is a stand-in for a nomination server: cores, a line, a cold start, a cap
// on connections, load reports, and what goes wrong with it.
type server struct {
	f      *Field
	index  int
	ID     string
	Zone   string
	Weight float64
	cores  int

	mu       sync.Mutex
	ln       net.Listener
	up       bool
	life     int
	started  time.Duration // of this life, on the field's clock; 0: long before
	knownBy  map[int]bool  // gateways that were told of this start
	knownAt  time.Duration // all gateways that run have been told of it; 0: not yet
	busy     int
	line     []chan bool
	conns    map[*Conn]bool
	slow     float64
	fails    bool // answers errors at once
	mute     bool // takes requests and says nothing
	drained  bool
	lateBy   time.Duration // of load reports
	reports  []loadReport
	served   int
	accepted int
}

type loadReport struct {
	at   time.Duration
	text []byte
}

// What the stand-ins are like, where a schedule says nothing else.
const (
	lineForCore  = 20
	connsForCore = 200
	coldFrom     = 0.3
	coldFor      = 5 * time.Second
	longest      = 10 * time.Second // that a mute server holds a request
)

// begin starts a life: cold, if it is not the first.
func (s *server) begin(cold bool) error {
	ln, err := s.f.net.Listen(s.index)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln, s.up, s.busy, s.line, s.conns = ln, true, 0, nil, map[*Conn]bool{}
	s.knownBy = map[int]bool{}
	s.started, s.knownAt, s.drained, s.fails, s.mute = 0, 0, false, false, false
	s.life++
	if cold {
		s.started = s.f.net.Now()
	}
	go s.f.http.Serve(&counted{ln, s, s.life})
	return nil
}

// end ends a life. Unless half is set its connections are reset; else nobody is
// told, and what is sent on them later is met with a reset.
func (s *server) end(half bool) {
	s.mu.Lock()
	s.up = false
	ln, line := s.ln, s.line
	conns := slices.Collect(maps.Keys(s.conns)) // Accept may still add to them
	s.line = nil
	s.life++ // what runs has no effect any more
	s.mu.Unlock()
	ln.Close()
	for _, c := range line {
		close(c)
	}
	if half {
		return
	}
	for _, c := range conns {
		c.Reset()
	}
}

// counted is a server's listener, which holds only so many connections.
type counted struct {
	net.Listener
	s    *server
	life int
}

func (l *counted) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		k := c.(*Conn)
		k.Life = l.life
		l.s.mu.Lock()
		for old := range l.s.conns {
			select {
			case <-old.ended:
				delete(l.s.conns, old)
			default:
			}
		}
		full := len(l.s.conns) >= connsForCore*l.s.cores
		if !full {
			l.s.conns[k] = true
			l.s.accepted++
		}
		l.s.mu.Unlock()
		if !full {
			return k, nil
		}
		k.Reset()
	}
}

// warmth is the share of its capacity that it has.
func (s *server) warmth(now time.Duration) float64 {
	if age := now - s.started; s.started > 0 && age < coldFor {
		return coldFrom + (1-coldFrom)*age.Seconds()/coldFor.Seconds()
	}
	return 1
}

// outcome is how a server ended a request.
type outcome int

const (
	served outcome = iota
	full
	failed
	silent
	died
)

var seed = maphash.MakeSeed()

// work is what a try takes on a warm core: the same wherever it goes in one run.
func (f *Field) work(id string, submit bool) time.Duration {
	u := float64(maphash.String(seed, id)>>11) / (1 << 53)
	mean := f.plan.WorkMs
	if submit {
		mean *= 0.7
	}
	return time.Duration(mean * (0.5 + u) * float64(time.Millisecond))
}

// do runs a request: it waits for a core, and holds it for the work. Whatever
// policy has sent it here, this is the one model of a server.
func (s *server) do(id string, submit bool, gateway int, runs func()) outcome {
	work := s.f.work(id, submit)
	s.mu.Lock()
	life := s.life
	switch {
	case !s.up:
		s.mu.Unlock()
		return died
	case s.mute:
		s.mu.Unlock()
		time.Sleep(longest)
		return silent
	case s.fails:
		s.mu.Unlock()
		runs()
		return failed
	case s.drained || len(s.line) >= lineForCore*s.cores:
		s.mu.Unlock()
		return full
	case s.busy < s.cores:
		s.busy++
		s.mu.Unlock()
	default:
		turn := make(chan bool, 1)
		s.line = append(s.line, turn)
		s.mu.Unlock()
		if ok := <-turn; !ok {
			return died
		}
	}
	runs()
	s.mu.Lock()
	took := time.Duration(float64(work) / s.warmth(s.f.net.Now()) * s.slow)
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != life {
		return died
	}
	s.served++
	if len(s.line) > 0 {
		s.line[0] <- true
		s.line = s.line[1:]
	} else {
		s.busy--
	}
	return served
}

// queue is the work ahead of one more request, in requests for each warm core.
func (s *server) queue() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.drained || s.mute || s.fails {
		return math.Inf(1)
	}
	return float64(s.busy+len(s.line)+1) * s.slow / (float64(s.cores) * s.warmth(s.f.net.Now()))
}

// capacity is what it can do now, in warm cores.
func (s *server) capacity() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.drained || s.mute || s.fails {
		return 0
	}
	return float64(s.cores) * s.warmth(s.f.net.Now()) / s.slow
}

// report is the load report as it was some time ago.
func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.f.net.Now()
	text, _ := json.Marshal(map[string]any{"busy_reqs": s.busy, "pending": len(s.line)})
	s.reports = append(s.reports, loadReport{now, text})
	for len(s.reports) > 1 && s.reports[1].at <= now-s.lateBy {
		s.reports = s.reports[1:]
	}
	return s.reports[0].text
}

// handle answers what gateways send to any server.
func (f *Field) handle(c *fasthttp.RequestCtx) {
	k, ok := c.Conn().(*Conn)
	if !ok || k.link.far < 0 {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	begun := k.Begun()
	s := f.servers[k.link.far]
	s.mu.Lock()
	old := s.life != k.Life || !s.up
	s.mu.Unlock()
	if old { // half open: this life knows nothing of the connection
		k.Reset()
		return
	}
	path := string(c.Path())
	if path == "/-/healthy" || path == "/-/load" {
		f.probed(s, k.Gateway)
		s.mu.Lock()
		mute := s.mute
		s.mu.Unlock()
		if mute {
			time.Sleep(longest)
			k.Reset()
			return
		}
		c.Write(s.report())
		return
	}
	id, submit := string(c.Request.Header.Peek("X-Request-ID")), c.IsPost()
	f.arrived(s, k.Gateway, id, begun)
	ran := false
	switch s.do(id, submit, k.Gateway, func() { ran = true; f.runs(id, s) }) {
	case served:
		body := fmt.Appendf(nil, "{\"by\":%q,\"id\":%q}", s.ID, id)
		f.made(id, body)
		c.SetContentType("application/json")
		c.Write(body)
	case full:
		c.Response.Header.Set("X-Not-Processed", "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case failed:
		c.SetStatusCode(fasthttp.StatusInternalServerError)
	case silent, died:
		k.Reset()
	}
	if !ran {
		f.mayRun(id)
	}
}
