package systemsim

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/quotas"
	"asterwell/internal/sysconfig"
)

// order is a configuration on its way.
type order struct {
	version uint32
	body    []byte
	limits  map[string]quotas.Limit
	sent    time.Duration
	acked   bool
	texts   map[string]bool // others that were sent under the number
	force   string          // the one that was seen in force, if there are others
	at      time.Duration   // acknowledged
	binds   time.Duration   // when its lower limits do; 0: not yet known
	rival   *order          // another text that was sent under its number
	over    bool            // its operator was told that another text has the number
}

// reads tells whether a text may be in force under the order's number: the one that was acknowledged,
// or either while none is.
func (o *order) reads(body []byte) bool {
	return bytes.Equal(o.body, body) || !o.acked && o.rival != nil && bytes.Equal(o.rival.body, body)
}

const keepalive = 15000

// far is how long an operator's call is on its way.
const far = 500 * time.Microsecond

// write makes the configuration of a version.
func (w *world) write(version uint32) *order {
	o := &order{version: version, sent: w.now, limits: map[string]quotas.Limit{}}
	c := sysconfig.Configuration{Epoch: fmt.Sprintf("%08x", version),
		BoundsReq: sysconfig.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderReadMs: 3000, KeepaliveMs: keepalive}}
	for _, t := range w.tenants {
		o.limits[t.name] = t.limit
		c.Principals = append(c.Principals, sysconfig.Principal{Name: t.name, Credentials: []string{"key-" + t.name},
			RatePerS: t.limit.Rate, BurstSize: t.limit.Burst})
	}
	host := sysconfig.Socket{Authority: "host.example"}
	for _, s := range w.services() {
		r := sysconfig.Rule{Name: "r-" + s, RouteClass: "pure", TargetMs: 300}
		r.Predicate.PathPrefix, r.Effect = "/"+s+"/", sysconfig.Effect{Backend: s, DeadlineMs: 800, Tries: 2}
		host.Policy = append(host.Policy, r)
		c.Pools = append(c.Pools, sysconfig.Pool{Name: s, ProbePath: "/probe", MaxConns: 100, Protocol: "h1"})
	}
	w.padded(&host, w.services())
	c.Sockets = []sysconfig.Socket{host}
	o.body, _ = json.Marshal(c)
	w.orders[version] = o
	return o
}

func (w *world) services() []string {
	return w.servicesOf(func(*server) bool { return true })
}

func (w *world) servicesOf(fit func(*server) bool) []string {
	var all []string
	for _, s := range w.servers {
		if fit(s) && !slices.Contains(all, s.service) {
			all = append(all, s.service)
		}
	}
	return all
}

// send offers an order to one process after another until it is acknowledged.
func (w *world) send(o *order, first *proc, pause time.Duration) {
	p := first
	if p == nil {
		all := w.callers
		if all == nil {
			all = w.listed()
		}
		p = all[w.rng.IntN(len(all))]
	}
	w.call(p, far, func(id uint64) controlplane.Output {
		c, err := sysconfig.Parse(o.body)
		if err != nil {
			w.note("%s refuses version %d: %v", p.name, o.version, err)
			return controlplane.Output{}
		}
		return p.k.PutConfig(p.clock(), id, consensus.Doc{Version: c.Version(), Body: o.body})
	}, func(v any) {
		if a, ok := v.(consensus.Answer); ok && a.Result == consensus.ResultAccepted {
			w.kept(o, p)
			return
		} else if ok && a.Result == consensus.ResultConflict && o.rival != nil && !o.acked {
			w.note("%s has another text as version %d", p.name, o.version)
			o.over = true
			return
		} else if ok && a.Result != consensus.ResultBusy {
			w.breaks("REFUSED", "%s refuses version %d, which is in order: %v", p.name, o.version, a.Result)
		}
		w.after(pause, func() { w.send(o, nil, min(pause*3/2, time.Second)) })
	})
}

// kept: an operator has an acknowledgement.
func (w *world) kept(o *order, by *proc) {
	w.note("version %d acknowledged by %s", o.version, by.name)
	if r := o.rival; r != nil {
		if r.acked {
			w.breaks("TEXTS", "version %d is acknowledged by %s, and another text under its number was before", o.version, by.name)
		}
		o.force = cmp.Or(o.force, r.force)
		w.orders[o.version] = o
	}
	if !o.acked {
		o.acked, o.at = true, w.now
		w.stats.Acks.add(w.now - o.sent)
		w.gauge.acked(o)
		if o.texts == nil {
			w.called(Call{o.version, markOf(o.body), o.sent, w.now, Acked})
		}
	}
	w.acked = max(w.acked, o.version)
	if hook := w.hook; hook != "" {
		w.hook, w.acker = "", by
		w.after(w.upTo(2*ms), func() { w.must(hook) })
	}
}

// bad sends what is no configuration.
func (w *world) bad(version uint32) {
	o := w.write(version)
	delete(w.orders, version)
	if _, err := sysconfig.Parse(o.body[:len(o.body)-5]); err == nil {
		w.breaks("CONFIG", "what is cut short counts as valid")
	}
	if _, err := sysconfig.Parse(bytes.Replace(o.body, []byte(`"DeadlineMs":800`), []byte(`"DeadlineMs":0`), 1)); err == nil {
		w.breaks("CONFIG", "a route without time counts as valid")
	}
}

// read asks one process for the newest configuration, and judges it.
func (w *world) read(p *proc) {
	floor := w.acked
	w.call(p, far, func(id uint64) controlplane.Output { return p.k.GetConfig(p.clock(), id) }, func(v any) {
		a, ok := v.(consensus.Answer)
		switch {
		case !ok || a.Result == consensus.ResultBusy || a.Result == consensus.ResultAccepted:
		case a.Result == consensus.ResultNone:
			if floor > 0 {
				w.breaks("LOST", "%s reads nothing, version %d was acknowledged", p.name, floor)
			}
		case a.Doc.Version < floor:
			w.breaks("LOST", "%s reads version %d, %d was acknowledged", p.name, a.Doc.Version, floor)
		default:
			w.seen(p, "reads", a.Doc)
			w.stats.Reads++
			w.lastRead = max(w.lastRead, a.Doc.Version)
		}
	})
}

// adopted: a configuration is in force at a process.
func (w *world) adopted(p *proc, t *sysconfig.Table, doc *consensus.Doc) {
	w.note("%s has version %d in force", p.name, doc.Version)
	if doc.Version <= p.version {
		w.breaks("CONFIG", "%s goes back from version %d to %d", p.name, p.version, doc.Version)
	}
	w.seen(p, "has in force", doc)
	p.table, p.version = t, doc.Version
	w.heed()
	w.gauge.adopted(p)
}

// seen judges a text that came out of the system: one that was sent under its number, and no two.
func (w *world) seen(p *proc, how string, doc *consensus.Doc) {
	o := w.orders[doc.Version]
	if o == nil || !o.reads(doc.Body) && !o.texts[string(doc.Body)] {
		w.breaks("CONFIG", "%s %s version %d, and it is not what was sent", p.name, how, doc.Version)
		return
	}
	if o.force != "" && o.force != string(doc.Body) {
		w.breaks("TEXTS", "%s %s version %d with another text than was seen before", p.name, how, doc.Version)
	}
	o.force = string(doc.Body)
}
