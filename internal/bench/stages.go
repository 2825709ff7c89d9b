package bench

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/daemon"
	"asterwell/internal/protocol"
	"asterwell/internal/sysconfig"
)

// staged is what the measured gateway writes at its end.
type staged struct {
	Requests map[string][protocol.StageCount]int64
	Spans    []stagedSpan
}

// stagedSpan is its runtime at a moment.
type stagedSpan struct {
	At                 int64
	Cycles             uint64
	PauseP99, DelayP99 float64 // since the start, of all its goroutines, in s
	Ends               []int64 // of the last collections
}

// Staged is a loom whose requests' stages are taken down. It writes them to a file when its input ends.
func Staged(settings, file string, in io.Reader) error {
	set, err := sysconfig.ReadSettings(settings)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	all := staged{Requests: map[string][protocol.StageCount]int64{}}
	p, err := daemon.NewTimed(settings, set, func(id string, t *protocol.StageTimes) {
		mu.Lock()
		defer mu.Unlock()
		all.Requests[id] = t.At()
	})
	if err != nil {
		return err
	}
	go p.Serve()
	for lines := bufio.NewScanner(in); lines.Scan(); { // a line: look at the runtime
		all.Spans = append(all.Spans, runtimeNow())
	}
	mu.Lock()
	defer mu.Unlock()
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o644)
}

func runtimeNow() stagedSpan {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var gc debug.GCStats
	debug.ReadGCStats(&gc)
	ends := make([]int64, len(gc.PauseEnd))
	for i, t := range gc.PauseEnd {
		ends[i] = t.UnixNano()
	}
	s := []metrics.Sample{{Name: "/sched/latencies:seconds"}, {Name: "/sched/pauses/total/gc:seconds"}}
	metrics.Read(s)
	return stagedSpan{At: time.Now().UnixNano(), Ends: ends, Cycles: uint64(m.NumGC), DelayP99: bucket(s[0].Value.Float64Histogram(), 0.99), PauseP99: bucket(s[1].Value.Float64Histogram(), 0.99)}
}

func bucket(h *metrics.Float64Histogram, q float64) float64 {
	sum, n := uint64(0), uint64(0)
	for _, c := range h.Counts {
		sum += c
	}
	for i, c := range h.Counts {
		if n += c; float64(n) >= q*float64(sum) {
			return h.Buckets[i]
		}
	}
	return 0
}

// StagesOptions of the measurement of where a request's time goes.
type StagesOptions struct {
	Scale   ScaleOptions
	Rates   []float64
	Span    time.Duration
	Profile string
}

// journey is a request as its client and its server saw it, in ns of the machine's clock.
type journey struct {
	due, sent, got int64
	status         int
	in             int64 // at the server
	direct         int64 // the same request straight to the server, from its due time; 0: none
}

// MeasureStages sends requests through one real gateway, which notes when each comes to each stage.
func MeasureStages(o StagesOptions) (*Report, error) {
	s := &o.Scale
	s.Gateways, s.Real, s.Core, s.Regions, s.Within = 4, 4, 3, 1, time.Minute
	s.Rate = slices.Max(o.Rates) // tenants' quotas are for that
	f, err := newScaleFleet(*s)
	if err != nil {
		return nil, err
	}
	defer f.end()
	gate := f.nodes[3]
	file := filepath.Join(f.dir, "stages.json")
	gate.proc.staged = []string{"staged", gate.settings, file}
	if o.Profile != "" {
		gate.proc.staged = append(gate.proc.staged, "--profile", o.Profile)
	}
	x := &scaleRun{scaleFleet: f, r: &Report{Name: "stages", Seed: s.Seed, Figure: map[string]any{}}, phases: map[string]any{}}
	var mu sync.Mutex
	seen := map[string]*journey{}
	f.served = func(ctx *fasthttp.RequestCtx) {
		now, id := time.Now().UnixNano(), ctx.Request.Header.Peek("X-Attempt-Id")
		mu.Lock()
		defer mu.Unlock()
		if j := seen[string(id)]; j != nil && j.in == 0 {
			j.in = now
		}
	}
	if err := x.up(); err != nil {
		return nil, fmt.Errorf("%w; the processes say:\n%s", err, f.said())
	}
	defer x.servers.end()
	var cpu []float64
	for k, rate := range o.Rates {
		s.Progress(fmt.Sprintf("%.0f requests a second", rate))
		fmt.Fprintln(gate.proc.in, "look")
		was, _ := used(gate.proc.cmd.Process.Pid)
		x.stagesAt(k, rate, o.Span, gate, &mu, seen)
		is, _ := used(gate.proc.cmd.Process.Pid)
		cpu = append(cpu, is-was)
		fmt.Fprintln(gate.proc.in, "look")
	}
	gate.proc.in.Close()
	gate.proc.cmd.Wait()
	gate.proc.cmd = nil
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("the gateway wrote nothing: %w; it says:\n%s", err, f.said())
	}
	var all staged
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	x.r.Row("rate", "stage", "n", "p50 ms", "p99 ms", "p99.9 ms")
	figures := map[string]any{}
	for k, rate := range o.Rates {
		f := x.stagesSum(k, rate, all, seen)
		f["cpu_ms_request"] = round3(1e3 * cpu[k] / (rate * o.Span.Seconds()))
		f["cpu_share"] = round3(cpu[k] / o.Span.Seconds())
		f["gc_cycles"] = all.Spans[2*k+1].Cycles - all.Spans[2*k].Cycles
		f["sched_delay_ms_p99"], f["gc_pause_ms_p99"] = round3(1e3*all.Spans[2*k+1].DelayP99), round3(1e3*all.Spans[2*k+1].PauseP99)
		f["stalls"] = stalls(fmt.Sprintf("%d-", k), seen, all.Spans[2*k].At, all.Spans[2*k+1].Ends)
		figures[fmt.Sprintf("%.0f", rate)] = f
		x.r.Row(rate, "gateway", "", fmt.Sprintf("%v ms of processor a request, %v GCs, goroutines wait %v ms (p99)", f["cpu_ms_request"], f["gc_cycles"], f["sched_delay_ms_p99"]))
	}
	x.r.Figure["by_rate"], x.r.Figure["routes"], x.r.Figure["tenants"], x.r.Figure["servers"] = figures, s.Routes, s.Tenants, s.Servers
	x.r.Figure["services"], x.r.Figure["span_s"], x.r.Figure["cores"] = s.Services, o.Span.Seconds(), 1
	if load, err := os.ReadFile("/proc/loadavg"); err == nil {
		x.r.Figure["machine_load"] = strings.Fields(string(load))[0]
	}
	return x.r, nil
}

// stall is a tenth of a second in which requests took long.
type stall struct {
	AtS     float64 `json:"at_s"`            // of the rate's run
	Slow    int     `json:"slow"`            // requests of more than 20 ms
	GCAfter float64 `json:"gc_ends_after_s"` // its beginning; -1: none did
}

func stalls(prefix string, seen map[string]*journey, start int64, ends []int64) (all []stall) {
	slow := map[int64]int{}
	for id, j := range seen {
		if strings.HasPrefix(id, prefix) && j.got-j.due > 20e6 {
			slow[(j.due-start)/1e8]++
		}
	}
	for at, n := range slow {
		s := stall{AtS: float64(at) / 10, Slow: n, GCAfter: -1}
		for _, end := range ends { // of the first that ends after the tenth's beginning
			if gap := float64(end-start)/1e9 - s.AtS; gap >= 0 && (s.GCAfter < 0 || gap < s.GCAfter) {
				s.GCAfter = round3(gap)
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b stall) int { return cmp.Compare(a.AtS, b.AtS) })
	return all
}

const stagesWarm = 3 // s of each rate that are not counted: connections are made

// stagesAt sends an open loop of requests at a rate, each at its time whatever becomes of the others,
// and beside some of them the same straight to a server.
func (x *scaleRun) stagesAt(k int, rate float64, span time.Duration, gate *scaleNode, mu *sync.Mutex, seen map[string]*journey) {
	rng := rand.New(rand.NewPCG(x.o.Seed, uint64(k)))
	keys := scaleKeys(x.o)
	most := len(keys)
	client := func() *fasthttp.Client {
		return &fasthttp.Client{MaxConnsPerHost: 2000, MaxIdemponentCallAttempts: 1, ReadTimeout: 3 * time.Second, MaxIdleConnDuration: 10 * time.Second}
	}
	through, straight := client(), client()
	addr := fmt.Sprintf("%s:%d", gate.ip, x.port)
	of := map[string][]string{}
	for _, v := range x.servers.all {
		of[v.service] = append(of[v.service], v.addr)
	}
	ask := func(c *fasthttp.Client, to, id, key string, route int) (int64, int64, int) {
		q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(q)
		defer fasthttp.ReleaseResponse(a)
		q.SetRequestURI(fmt.Sprintf("http://%s/%d/x", to, route))
		q.Header.SetHost(fmt.Sprintf("host-%d.example", route%max(1, x.o.Routes/80)))
		q.UseHostHeader = true
		q.Header.Set("Authorization", "Bearer "+key)
		q.Header.Set("X-Attempt-Id", id)
		q.Header.Set("X-Deadline-Ms", "1500")
		sent, status := time.Now().UnixNano(), 0
		if c.DoTimeout(q, a, 2*time.Second) == nil {
			status = a.StatusCode()
		}
		return sent, time.Now().UnixNano(), status
	}
	var wg sync.WaitGroup
	began := time.Now()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(began) > span {
			break
		}
		time.Sleep(time.Until(due))
		id := fmt.Sprintf("%d-%d", k, n)
		// Tenants as their quotas are: the first has the most.
		tenant := min(most-1, int(float64(most)*rng.Float64()*rng.Float64()*rng.Float64()))
		route := rng.IntN(x.o.Routes)
		j := &journey{due: due.UnixNano()}
		if due.Sub(began) > stagesWarm*time.Second {
			mu.Lock()
			seen[id] = j
			mu.Unlock()
		}
		wg.Go(func() {
			sent, got, status := ask(through, addr, id, keys[tenant], route)
			mu.Lock()
			j.sent, j.got, j.status = sent, got, status
			mu.Unlock()
		})
		if n%4 == 0 {
			to := of[fmt.Sprintf("s-%d", route%x.o.Services)][0]
			wg.Go(func() {
				_, got, _ := ask(straight, to, "direct-"+id, keys[tenant], route)
				mu.Lock()
				j.direct = got - j.due
				mu.Unlock()
			})
		}
	}
	wg.Wait()
}

// stagesSum sums the stages of one rate up.
func (x *scaleRun) stagesSum(k int, rate float64, all staged, seen map[string]*journey) map[string]any {
	names := []string{"client sends, gateway reads head", "route and key", "quota", "wait for a pick", "write to server", "to server", "server and answer read",
		"back to the client's connection", "answer made", "client reads", "in the gateway", "whole", "straight"}
	spans := make([][]int64, len(names))
	ends := map[int]int{}
	prefix := fmt.Sprintf("%d-", k)
	for id, j := range seen {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		ends[j.status]++
		if j.direct > 0 {
			spans[12] = append(spans[12], j.direct)
		}
		at, ok := all.Requests[id]
		if j.status != http.StatusOK || !ok || at[protocol.ResponseRead] == 0 || j.in == 0 {
			continue
		}
		points := []int64{j.sent, at[protocol.HeaderRead], at[protocol.Routed], at[protocol.QuotaChecked], at[protocol.ServerSelected], at[protocol.RequestSent], j.in,
			at[protocol.ResponseRead], at[protocol.ResponseDelivered], at[protocol.ResponseWriting], j.got}
		for i := range len(points) - 1 {
			spans[i] = append(spans[i], points[i+1]-points[i])
		}
		spans[10] = append(spans[10], at[protocol.RequestSent]-at[protocol.HeaderRead]+at[protocol.ResponseWriting]-at[protocol.ResponseRead])
		spans[11] = append(spans[11], j.got-j.due)
	}
	figure, stages := map[string]any{}, map[string]any{}
	quantiles := func(list []int64) (q [3]float64) {
		slices.Sort(list)
		for i, part := range []float64{0.5, 0.99, 0.999} {
			if len(list) > 0 {
				q[i] = round3(float64(list[min(len(list)-1, int(part*float64(len(list))))]) / 1e6)
			}
		}
		return q
	}
	var whole, straight [3]float64
	for i, name := range names {
		q := quantiles(spans[i])
		stages[name] = map[string]any{"n": len(spans[i]), "p50_ms": q[0], "p99_ms": q[1], "p999_ms": q[2]}
		x.r.Row(rate, name, len(spans[i]), q[0], q[1], q[2])
		if i == 11 {
			whole = q
		} else if i == 12 {
			straight = q
		}
	}
	figure["stages"] = stages
	figure["added_ms"] = map[string]any{"p50": round3(whole[0] - straight[0]), "p99": round3(whole[1] - straight[1]), "p999": round3(whole[2] - straight[2])}
	x.r.Row(rate, "added: whole less straight", "", whole[0]-straight[0], whole[1]-straight[1], whole[2]-straight[2])
	for status, n := range ends {
		figure[fmt.Sprintf("requests_%d", status)] = n
	}
	return figure
}
