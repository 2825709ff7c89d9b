package bench

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
)

func versionIn(body []byte) uint32 {
	var v struct{ Version uint32 }
	json.Unmarshal(body, &v)
	return v.Version
}

// measured runs a phase and sums up by role what it cost those that lived through it.
func (x *scaleRun) measured(name string, figure map[string]any, run func(map[string]any)) {
	before, beats, bytes, began := x.read(), x.servers.beats.Load(), x.servers.bytes.Load(), time.Now()
	lives := x.lives()
	run(figure)
	after, span := x.read(), time.Since(began).Seconds()
	anew, memory := x.lives(), x.used()
	x.memory = max(x.memory, memory)
	figure["machine_memory_mb"] = round3(memory)
	figure["span_s"] = round3(span)
	n := float64(len(x.live()))
	figure["calls_s"] = round3(float64(x.servers.beats.Load()-beats) / span / n) // of servers, at each gateway
	figure["calls_bytes_s"] = round3(float64(x.servers.bytes.Load()-bytes) / span / n)
	holder := slices.Min(lo.FilterMap(x.nodes, func(n *scaleNode, _ int) (string, bool) { return n.mesh(x.port), n.core }))
	sums, kinds := map[string]map[string]float64{}, map[string]map[string]float64{}
	for _, g := range x.live() {
		a, ok1 := before[g.name]
		b, ok2 := after[g.name]
		if !ok1 || !ok2 {
			continue
		}
		if lives[g.proc] != anew[g.proc] {
			if name != restarted { // it was away
				continue
			}
			a = reading{}
		}
		roles := []string{"hollow"}
		switch {
		case g.core:
			roles = []string{cmp.Or(b.Role, "core")}
			if g.mesh(x.port) == holder {
				roles = append(roles, "holder")
			}
		case g.real:
			roles = []string{"gateway"}
		}
		d := map[string]float64{"cpu_share": (b.cpu - a.cpu) / span, "rss_mb": b.rss, "n": 1}
		for k, is := range b.Kinds {
			was := a.Kinds[k]
			out, in, sent, got := float64(is.BytesOut-was.BytesOut), float64(is.BytesIn-was.BytesIn), float64(is.Sent-was.Sent), float64(is.Got-was.Got)
			d["bytes_out_s"] += out / span
			d["bytes_in_s"] += in / span
			d["messages_s"] += (sent + got) / span
			for _, role := range roles {
				if kinds[role] == nil {
					kinds[role] = map[string]float64{}
				}
				kinds[role][k] += (out + in) / span
			}
		}
		d["bytes_s"] = d["bytes_out_s"] + d["bytes_in_s"]
		for _, role := range roles {
			if sums[role] == nil {
				sums[role] = map[string]float64{}
			}
			for k, v := range d {
				sums[role][k] += v
				if k == "bytes_s" || k == "cpu_share" {
					sums[role][k+"_most"] = max(sums[role][k+"_most"], v)
				}
			}
		}
	}
	for _, role := range slices.Sorted(maps.Keys(sums)) {
		s := sums[role]
		n := s["n"]
		for k := range s {
			if k != "n" && !strings.HasSuffix(k, "_most") {
				s[k] /= n
			}
			s[k] = float64(int(s[k]*1e5+0.5)) / 1e5
		}
		top := slices.SortedFunc(maps.Keys(kinds[role]), func(a, b string) int { return cmp.Compare(kinds[role][b], kinds[role][a]) })
		of := map[string]any{}
		for k, v := range s {
			of[k] = v
		}
		of["kinds"] = lo.SliceToMap(top[:min(6, len(top))], func(k string) (string, float64) { return k, round3(kinds[role][k] / n) })
		figure[role] = of
		x.r.Row(name, role, n, s["bytes_out_s"], s["bytes_in_s"], s["messages_s"], s["cpu_share"], s["rss_mb"], "", strings.Join(top[:min(3, len(top))], " "))
	}
	if name == "rest" {
		x.rest = sums
	}
	notes := ""
	for _, k := range slices.Sorted(maps.Keys(figure)) {
		if v, ok := figure[k].(float64); ok {
			notes += fmt.Sprintf("%s %.4g  ", k, v)
		}
	}
	x.r.Row(name, "", "", "", "", "", "", "", figure["converge_s_p99"], notes)
}

func (x *scaleRun) atRest(map[string]any) { time.Sleep(x.o.Phase) }

// traffic draws requests at hollow gateways, and sends them to real ones that are not of the core, of
// the same tenants in the same proportion.
func (x *scaleRun) traffic(figure map[string]any) {
	x.read()
	spent, short := x.spent, x.short
	x.tell(fmt.Sprintf("rate %d", int(x.o.Rate)))
	var mu sync.Mutex
	var took, direct []time.Duration
	ends, end := map[int]int{}, time.Now().Add(x.o.Phase)
	var wg sync.WaitGroup
	const callers = 8
	keys, straight, tenants := scaleKeys(x.o), x.servers.all[0].addr, newDrawing(x.o.Tenants)
	ask := func(c *fasthttp.Client, addr string, k, i, tenant int) (time.Duration, int) {
		q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(q)
		defer fasthttp.ReleaseResponse(a)
		route := (k*7919 + i*104729) % x.o.Routes
		q.SetRequestURI(fmt.Sprintf("http://%s/%d/x", addr, route))
		q.Header.SetHost(fmt.Sprintf("host-%d.example", route%max(1, x.o.Routes/80)))
		q.UseHostHeader = true
		q.Header.Set("Authorization", "Bearer "+keys[tenant])
		q.Header.Set("X-Attempt-Id", fmt.Sprintf("%s-%d-%d", addr, k, i))
		q.Header.Set("X-Deadline-Ms", "1500")
		began := time.Now()
		err := c.DoTimeout(q, a, 2*time.Second)
		if err != nil {
			return time.Since(began), 0
		}
		return time.Since(began), a.StatusCode()
	}
	for at, n := range x.nodes {
		if !n.real || n.core {
			continue
		}
		for k := range callers {
			wg.Go(func() {
				c, rng := &fasthttp.Client{}, rand.New(rand.NewPCG(x.o.Seed, uint64(at*callers+k)))
				gap := time.Duration(callers / x.o.Rate * float64(time.Second))
				for i, next := 0, time.Now().Add(gap*time.Duration(k)/callers); next.Before(end); i, next = i+1, next.Add(gap) {
					time.Sleep(time.Until(next))
					tenant := tenants.next(rng)
					d, status := ask(c, fmt.Sprintf("%s:%d", n.ip, x.port), k, i, tenant)
					alone, _ := ask(c, straight, k, i, tenant)
					mu.Lock()
					ends[status]++
					if status == http.StatusOK && time.Until(end) < x.o.Phase*2/3 { // connections are made by then
						took, direct = append(took, d), append(direct, alone)
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Until(end))
	x.tell("rate 0")
	x.read()
	spent, short = x.spent-spent, x.short-short
	figure["hollow_spent"], figure["hollow_short"] = float64(spent), float64(short) // units of quotas, each twice what is drawn
	for status, n := range ends {
		figure[fmt.Sprintf("requests_%d", status)] = float64(n)
	}
	figure["request_ms_p50"], figure["request_ms_p99"] = 1e3*quantile4(took, 0.5), 1e3*quantile4(took, 0.99)
	figure["direct_ms_p50"], figure["direct_ms_p99"] = 1e3*quantile4(direct, 0.5), 1e3*quantile4(direct, 0.99)
}

func quantile4(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[min(len(all)-1, int(q*float64(len(all))))].Microseconds()) / 1e6
}

// release replaces servers one after the other.
func (x *scaleRun) release(figure map[string]any) {
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	end := time.Now().Add(x.o.Phase)
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(float64(time.Second) / x.o.Releases)) {
		time.Sleep(time.Until(next))
		wg.Go(func() {
			d := x.servers.replace()
			mu.Lock()
			took = append(took, d)
			mu.Unlock()
		})
	}
	wg.Wait()
	figure["replaced"] = float64(len(took))
	figure["quiesce_s_p50"], figure["quiesce_s_max"] = quantile(took, 0.5), quantile(took, 1)
	began := time.Now()
	ok := x.settled(time.Now().Add(scaleTurn), true)
	figure["known_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(ok, "release: servers are not known everywhere %v after it: %s", scaleTurn, x.lacks(true))
}

// storm puts configurations, each at least 2 s after the one before and once all hold that.
func (x *scaleRun) storm(figure map[string]any) {
	var took, last []time.Duration
	n := 0
	for end := time.Now().Add(x.o.Phase + 2*time.Second); time.Now().Before(end) && n < 5; n++ {
		next := time.Now().Add(2 * time.Second)
		acked, ok := x.put(time.Now().Add(10 * time.Second))
		x.r.Rule(ok, "storm: configuration %d is not acknowledged within 10 s", x.version)
		if !ok {
			return
		}
		live := x.live()
		all := x.turns(acked, live)
		x.r.Rule(len(all) == len(live) && slices.Max(all) <= scaleTurn, "storm: configuration %d is held by %d of %d after %v", x.version, len(all), len(live), scaleTurn)
		if len(all) > 0 {
			last = append(last, slices.Max(all))
		}
		took = append(took, all...)
		time.Sleep(time.Until(next))
	}
	figure["puts"], figure["converge_s_p50"], figure["converge_s_p99"], figure["converge_s_max"] = float64(n), quantile(took, 0.5), quantile(took, 0.99), quantile(last, 1)
}

// lose ends processes, and starts them again after a while.
func (x *scaleRun) lose(figure map[string]any, gone []*scaleProc) {
	if len(gone) == 0 {
		return
	}
	began := time.Now()
	for _, p := range gone {
		p.up.Store(false)
		p.cmd.Process.Kill()
	}
	for _, p := range gone {
		p.kill()
	}
	n := lo.SumBy(gone, func(p *scaleProc) int { return len(p.nodes) })
	figure["lost"] = float64(n)
	ok := x.settled(time.Now().Add(scaleTurn), false)
	figure["seen_gone_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(ok, "%d gateways lost: not seen by all after %v: %s", n, scaleTurn, x.lacks(false))
	acked, ok := x.put(time.Now().Add(10 * time.Second))
	x.r.Rule(ok, "%d gateways lost: a configuration is not acknowledged within 10 s", n)
	if ok {
		live := x.live()
		all := x.turns(acked, live)
		x.r.Rule(len(all) == len(live) && slices.Max(all) <= scaleTurn, "%d gateways lost: configuration %d is held by %d of %d", n, x.version, len(all), len(live))
		figure["converge_s_p99"] = quantile(all, 0.99)
	}
	ok = x.settled(time.Now().Add(scaleTurn), true)
	figure["servers_again_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(ok, "%d gateways lost: servers are not known everywhere after %v: %s", n, scaleTurn, x.lacks(true))
	x.back(figure, gone...)
}

// rack loses one process of hollow gateways; zone all of the last zone's.
func (x *scaleRun) rack(figure map[string]any) { x.lose(figure, x.procs[len(x.procs)-1:]) }

func (x *scaleRun) zone(figure map[string]any) {
	zone := x.nodes[len(x.nodes)-1].zone
	x.lose(figure, lo.Filter(x.procs, func(p *scaleProc, _ int) bool { return !p.real() && p.nodes[0].zone == zone }))
}

// region cuts the last region off, puts a configuration meanwhile, and joins it again.
func (x *scaleRun) region(figure map[string]any) {
	last := x.o.Regions - 1
	here := lo.Filter(x.live(), func(n *scaleNode, _ int) bool { return n.region != last })
	figure["cut_off"] = float64(len(x.live()) - len(here))
	x.tell(fmt.Sprintf("cut %d", last))
	began, seen := time.Now(), false
	for !seen && time.Since(began) < scaleTurn {
		time.Sleep(200 * time.Millisecond)
		all := x.read()
		seen = lo.EveryBy(here, func(n *scaleNode) bool { return all[n.name].Up == len(here) })
	}
	figure["seen_cut_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(seen, "region cut off: not seen by all others after %v", scaleTurn)
	acked, ok := x.put(time.Now().Add(10 * time.Second))
	x.r.Rule(ok, "region cut off: a configuration is not acknowledged within 10 s")
	if ok {
		all := x.turns(acked, here)
		x.r.Rule(len(all) == len(here), "region cut off: configuration %d is held by %d of %d on the core's side", x.version, len(all), len(here))
		figure["converge_s_p99"] = quantile(all, 0.99)
	}
	time.Sleep(max(0, x.o.Phase-time.Since(began)))
	all := x.read()
	ready := lo.CountBy(x.live(), func(n *scaleNode) bool { return n.region == last && all[n.name].Ready })
	figure["ready_while_cut"] = float64(ready)
	x.tell("join")
	began = time.Now()
	ok = x.settled(time.Now().Add(2*scaleTurn), true)
	figure["back_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(ok, "region joined: not all know all after %v: %s", 2*scaleTurn, x.lacks(true))
}
