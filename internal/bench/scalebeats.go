package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// scaleBeat is the pace of servers' beats, as at the sites.
const scaleBeat = 1500 * time.Millisecond

// Servers start within scaleJoin, and so many a second at the most.
const (
	scaleJoin  = 4 * time.Second
	scaleJoins = 80 // of 490 hollow gateways that share a machine, each hears of each
)

// scaleServers are the servers of the run: each has an address of its own, where it answers
// requests, and beats to where it is told to.
type scaleServers struct {
	f      *scaleFleet
	server *fasthttp.Server
	client *fasthttp.Client
	zones  []string

	mu  sync.Mutex
	all []*scaleServer // that serve
	n   int

	stop          chan struct{}
	done          sync.WaitGroup
	beats, failed atomic.Int64
	bytes         atomic.Int64 // of beats and their answers, heads among them
}

type scaleServer struct {
	id, addr, service, zone, at string
	seq                         uint64
	mu                          sync.Mutex
	gone                        bool
}

func newScaleServers(f *scaleFleet) (*scaleServers, error) {
	s := &scaleServers{f: f, stop: make(chan struct{}), client: &fasthttp.Client{MaxConnsPerHost: 8, ReadTimeout: 1200 * time.Millisecond,
		WriteTimeout: time.Second, MaxConnWaitTimeout: time.Second, MaxIdleConnDuration: 10 * time.Second}}
	for _, n := range f.nodes {
		s.zones = append(s.zones, n.zone) // zones by how many gateways they have
	}
	s.server = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if f.served != nil {
			f.served(ctx)
		}
		ctx.Response.Header.SetBytesV("X-Attempt-Id", ctx.Request.Header.Peek("X-Attempt-Id"))
		ctx.Response.Header.SetBytesV("X-Instance-Id", ctx.Request.Header.Peek("X-Target-Instance"))
		ctx.SetBodyString("ran")
	}}
	spread := max(scaleJoin, time.Duration(f.o.Servers)*time.Second/scaleJoins)
	for range f.o.Servers {
		if err := s.add(time.Duration(rand.Float64() * float64(spread))); err != nil {
			s.end()
			return nil, err
		}
	}
	return s, nil
}

// add starts a server, which beats for the first time after a wait.
func (s *scaleServers) add(wait time.Duration) error {
	s.mu.Lock()
	i := s.n
	s.n++
	v := &scaleServer{id: fmt.Sprintf("srv-%06d", i), service: fmt.Sprintf("s-%d", i%s.f.o.Services), zone: s.zones[i%len(s.zones)]}
	ln, err := net.Listen("tcp", fmt.Sprintf("127.8.%d.%d:%d", i/250, i%250+1, s.f.port))
	if err != nil {
		s.mu.Unlock()
		return err
	}
	v.addr = ln.Addr().String()
	go s.server.Serve(ln)
	s.all = append(s.all, v)
	s.mu.Unlock()
	s.done.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(wait):
			}
			v.mu.Lock()
			if v.gone {
				v.mu.Unlock()
				return
			}
			began := time.Now()
			ok := s.call(v, http.MethodPut, "serving")
			v.mu.Unlock()
			if wait = scaleBeat - time.Since(began); !ok {
				wait = 200 * time.Millisecond
			}
			wait = max(wait, 0)
		}
	})
	return nil
}

// call makes one of a server's calls, wherever it was told to or else at any gateway of its zone, of any region's last.
func (s *scaleServers) call(v *scaleServer, method, phase string) bool {
	if v.at == "" {
		all := s.f.nodes
		for range 20 {
			n := all[rand.IntN(len(all))]
			if n.zone == v.zone && n.proc.up.Load() {
				v.at = n.control(s.f.port)
				break
			}
		}
		for v.at == "" {
			if n := all[rand.IntN(len(all))]; n.proc.up.Load() {
				v.at = n.control(s.f.port)
			}
		}
	}
	v.seq++
	body, _ := json.Marshal(map[string]any{"Endpoint": v.addr,
		"SelfInfo":    map[string]any{"Backend": v.service, "Epoch": "v1", "Zone": v.zone, "Capacity": 50},
		"HealthState": map[string]any{"Phase": phase, "Sequence": v.seq, "WarmupLeftMs": 0}})
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + v.at + "/api/members/" + v.id)
	if method == http.MethodPut {
		q.SetBody(body)
	}
	s.beats.Add(1)
	if err := s.client.DoTimeout(q, a, 1200*time.Millisecond); err != nil || a.StatusCode() != http.StatusOK {
		s.failed.Add(1)
		v.at = ""
		return false
	}
	s.bytes.Add(int64(len(q.Header.Header()) + len(q.Body()) + len(a.Header.Header()) + len(a.Body())))
	var said struct{ HeartbeatTarget string }
	if json.Unmarshal(a.Body(), &said) == nil && said.HeartbeatTarget != "" {
		v.at = said.HeartbeatTarget
	}
	return true
}

// replace lets the oldest server go, as a release does, and starts another. It returns how long
// its quiescing took to be acknowledged.
func (s *scaleServers) replace() time.Duration {
	s.mu.Lock()
	v := s.all[0]
	s.all = s.all[1:]
	s.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gone = true
	began := time.Now()
	for try := 0; try < 10 && !s.call(v, http.MethodPut, "quiescing"); try++ {
	}
	took := time.Since(began)
	for try := 0; try < 10 && !s.call(v, http.MethodDelete, ""); try++ {
	}
	if err := s.add(0); err != nil {
		s.failed.Add(1)
	}
	return took
}

func (s *scaleServers) end() {
	close(s.stop)
	s.done.Wait()
	s.server.Shutdown()
}
