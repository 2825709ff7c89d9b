package bench

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// Try is one client try and how it ended.
type Try struct {
	ID      string
	Submit  bool
	At      time.Time // when it was due
	Took    time.Duration
	Status  int // 0: no whole answer
	By      string
	Gateway int
}

// Load sends tries at a steady rate on average, each at its time whatever becomes
// of the others (an open loop; what is late in being sent counts as slow).
type Load struct {
	Gateways []*Gateway
	Rate     float64 // a second and gateway
	Submits  float64 // share
	Seed     uint64

	mu    sync.Mutex
	tries []Try
	stop  chan struct{}
	wg    sync.WaitGroup
}

const answerWithin = 2 * time.Second

// Start begins.
func (l *Load) Start() {
	l.stop = make(chan struct{})
	for i, g := range l.Gateways {
		// The gateway closes after 2 s. Nothing is sent twice: what fails has failed.
		client := &fasthttp.HostClient{Addr: g.Addr, MaxConns: 4096, MaxIdleConnDuration: time.Second,
			MaxIdemponentCallAttempts: 1, ReadTimeout: answerWithin + time.Second,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.run(i, client, rand.New(rand.NewPCG(l.Seed, uint64(i))))
		}()
	}
}

func (l *Load) run(gateway int, client *fasthttp.HostClient, rng *rand.Rand) {
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-l.stop:
			return
		case <-time.After(time.Until(due)):
		}
		t := Try{ID: fmt.Sprintf("%x-%d-%d", l.Seed, gateway, n), Submit: rng.Float64() < l.Submits, At: due, Gateway: gateway}
		customer := rng.IntN(200) + 1
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.try(client, &t, customer)
			l.mu.Lock()
			l.tries = append(l.tries, t)
			l.mu.Unlock()
		}()
	}
}

func (l *Load) try(client *fasthttp.HostClient, t *Try, customer int) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://service.internal/api")
	class := "status-read"
	if t.Submit {
		class = "submit-nom"
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(`{"point":"entry-4","kwh":1200}`)
	}
	req.Header.Set("X-Request-ID", t.ID)
	req.Header.Set("X-Priority-Class", class)
	req.Header.Set("X-Tier", "basic")
	req.Header.Set("Cookie", fmt.Sprintf("client=%016x", customer))
	req.Header.Set("X-Timeout", fmt.Sprintf("%.3f", answerWithin.Seconds()))
	req.Header.Set("X-Call-Terms", fmt.Sprintf("units=1,spread=%d,first=0", len(l.Gateways)))
	if err := client.Do(req, resp); err == nil {
		t.Status = resp.StatusCode()
		if _, rest, ok := strings.Cut(string(resp.Body()), `"by":"`); ok {
			t.By, _, _ = strings.Cut(rest, `"`)
		}
	}
	t.Took = time.Since(t.At)
}

// Stop ends the load once all is answered, and returns all tries.
func (l *Load) Stop() []Try {
	close(l.stop)
	l.wg.Wait()
	return l.tries
}

// Sum is what became of some tries.
type Sum struct {
	Sent, Served, Refused, Failed, Unanswered int
	Latency                                   *hdrhistogram.Histogram // of those served, in µs
}

// Count sums the tries that were due in a span of time.
func Count(tries []Try, from, to time.Time) Sum {
	s := Sum{Latency: hdrhistogram.New(1, 60e6, 3)}
	for _, t := range tries {
		if t.At.Before(from) || !t.At.Before(to) {
			continue
		}
		s.Sent++
		switch {
		case t.Status == 200:
			s.Served++
			s.Latency.RecordValue(max(1, t.Took.Microseconds()))
		case t.Status == 429 || t.Status == 503:
			s.Refused++
		case t.Status == 0:
			s.Unanswered++
		default:
			s.Failed++
		}
	}
	return s
}

// Share is the part that was served.
func (s Sum) Share() float64 {
	if s.Sent == 0 {
		return 0
	}
	return float64(s.Served) / float64(s.Sent)
}
