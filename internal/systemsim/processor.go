package systemsim

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/registry"
)

// processor is what a machine's processor gives a process: a share of a core, as a quota of each
// period; what the process does besides takes part of it. Frames and connections cost of the
// rest, at both ends. A world without one has processors that take no time.
type processor struct {
	share, besides float64
	period         time.Duration
	frame, connect time.Duration // of processor time, at each end
	idle           time.Duration // a connection without frames ends after it
}

// quota is how a process stands in its period.
type quota struct {
	busy  time.Duration // until then what came before is worked on
	from  time.Duration // when its period began
	spent time.Duration // in it
	last  map[*proc]time.Duration
}

// worked is when such work that comes now is done, from now on.
func (c *processor) worked(p *proc, cost time.Duration) time.Duration {
	q, now := &p.quota, p.w.now
	at := max(now, q.busy)
	most := time.Duration((c.share - c.besides) * float64(c.period))
	for {
		if n := (at - q.from) / c.period; n > 0 {
			q.from, q.spent = q.from+n*c.period, 0
		}
		part := min(cost, most-q.spent)
		q.spent, at, cost = q.spent+part, at+part, cost-part
		if cost <= 0 {
			q.busy = at
			return at - now
		}
		at = q.from + c.period
	}
}

// carries is what a frame costs each end of its link.
func (c *processor) carries(p, to *proc) time.Duration {
	if p.quota.last == nil {
		p.quota.last = map[*proc]time.Duration{}
	}
	last, there := p.quota.last[to]
	p.quota.last[to] = p.w.now
	if !there || p.w.now-last > c.idle {
		return c.frame + c.connect
	}
	return c.frame
}

// Leaving is how servers' leaves went in a fleet.
type Leaving struct {
	Took                Times
	News, Acks, Most    float64 // frames for each leave, in all; the most that one process sent and took
	BytesOut, BytesMost float64 // for each leave, in all; of the process that sent most
	Stats               Stats
}

// Leave plays a fleet in which servers leave one by one, so seldom that connections have ended
// between them, on processors with so much besides.
func Leave(nodes, leaves int, besides float64, seed uint64) Leaving {
	w := newWorld(seed*8+1, Sound, nil)
	w.still = true
	w.must("start " + strconv.Itoa(nodes) + " zones 10 core 8")
	for _, p := range w.procs {
		p.load = &load{outTill: map[*proc]time.Duration{}, inTill: map[*proc]time.Duration{}}
	}
	for i := range nodes {
		w.after(time.Duration(i)*20*ms, func() { w.serve("svc"+strconv.Itoa(i%min(8, nodes/4)+1), "") })
	}
	w.run(time.Second)
	w.must("put 1")
	w.run(12*time.Second + time.Duration(nodes)*20*ms)
	w.lore = map[*proc]*[4]int{}
	w.processor = &processor{share: 0.32, besides: besides, period: 100 * ms, frame: 16 * time.Microsecond, connect: 97 * time.Microsecond, idle: 15 * time.Second}
	for _, p := range w.procs {
		p.quota.from = w.now - w.upTo(w.processor.period)
	}
	w.run(2 * time.Second)
	out := Leaving{}
	for i := range leaves {
		w.lore = map[*proc]*[4]int{}
		w.servers[leaves+i].leave()
		w.run(16*time.Second + w.upTo(100*ms))
		most, size := 0, 0
		for _, n := range w.lore {
			out.News, out.Acks = out.News+float64(n[0]), out.Acks+float64(n[1])
			most, size = max(most, n[0]+n[1]+n[2]), max(size, n[3])
			out.BytesOut += float64(n[3])
		}
		out.Most, out.BytesMost = out.Most+float64(most), out.BytesMost+float64(size)
	}
	n := float64(leaves)
	out.News, out.Acks, out.Most, out.BytesOut, out.BytesMost = out.News/n, out.Acks/n, out.Most/n, out.BytesOut/n, out.BytesMost/n
	out.Took, out.Stats = w.stats.Leaves, w.stats
	return out
}

// spread counts what news of servers costs, and says how long the links of both ends take for it.
func (w *world) spread(p, to *proc, msg any) time.Duration {
	kind := 0
	switch msg.(type) {
	case registry.Update:
	case registry.Ack:
		kind = 1
	default:
		return 0
	}
	count := func(p *proc) *[4]int {
		if w.lore[p] == nil {
			w.lore[p] = &[4]int{}
		}
		return w.lore[p]
	}
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	size := len(data) + framing
	count(p)[kind]++
	count(p)[3] += size
	count(to)[2]++
	rate := func(p *proc) float64 {
		if p.core {
			return coreLink
		}
		return edgeLink
	}
	at := through(p.load.outTill, to, w.now, size, rate(p))
	return through(to.load.inTill, p, at, size, rate(to)) - w.now
}
