package bench

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"asterwell/internal/adminclient"
)

// ledger has what clients sent, what ran at the servers, and what processes said of
// versions. Its times are from one clock, that of this process.
type ledger struct {
	mu     sync.Mutex
	began  time.Time
	runs   map[string][]run // by the id of a try
	marks  []run            // all, as they came
	calls  []tried
	rules  map[uint32]rules
	puts   map[uint32]time.Duration
	first  map[uint32]time.Duration // effect by a version
	newest uint32                   // that had an effect
	lives  []sighting               // as processes say
	fates  map[uint32]string        // withdrawn or live, as processes say
	split  int
	kept   uint32                       // the highest that a process said it has
	turns  map[string]adminclient.Turns // of each life of a process
	down   map[string][]stretch
}

// run is one effect at a server: the tenant's name tells the version exactly, as each
// version names its tenants anew.
type run struct {
	id, service, path, tenant string
	version                   uint32
	at                        time.Duration
}

// tried is one try of a client.
type tried struct {
	kind, name, id, node string
	from, to             time.Duration
	status               int // 0: none
	sent                 bool
}

// promised: it has not run and never will.
func (t tried) promised() bool {
	switch t.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return t.status == 0 && !t.sent
}

type sighting struct {
	version uint32
	at      time.Duration
}

type stretch struct{ from, to time.Duration } // to 0: still

func newLedger() *ledger {
	return &ledger{began: time.Now(), runs: map[string][]run{}, rules: map[uint32]rules{}, puts: map[uint32]time.Duration{},
		first: map[uint32]time.Duration{}, fates: map[uint32]string{}, turns: map[string]adminclient.Turns{},
		down: map[string][]stretch{}}
}

func (l *ledger) now() time.Duration { return time.Since(l.began) }

// note takes an effect at a server.
func (l *ledger) note(service string) func(r *http.Request) {
	return func(r *http.Request) {
		tenant, epoch, _ := strings.Cut(r.Header.Get("X-Tenant-Name"), "@")
		v, _ := strconv.ParseUint(epoch, 16, 32)
		l.mu.Lock()
		defer l.mu.Unlock()
		u := run{r.Header.Get("X-Attempt-Id"), service, r.URL.Path, tenant, uint32(v), l.now()}
		l.runs[u.id], l.marks = append(l.runs[u.id], u), append(l.marks, u)
		if _, ok := l.first[u.version]; !ok && u.path != pathRead {
			l.first[u.version], l.newest = u.at, max(l.newest, u.version)
		}
	}
}

// goes reports whether effects are by that version or a higher one, or it is withdrawn.
func (l *ledger) goes(v uint32) (live, withdrawn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest >= v, l.fates[v] == "withdrawn"
}

// heard takes what a process says of itself.
func (l *ledger) heard(at time.Duration, node string, live, newest uint32, fate string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.lives); n == 0 || l.lives[n-1].version < live {
		l.lives = append(l.lives, sighting{live, at})
	}
	l.kept = max(l.kept, newest)
	for v, f := range map[uint32]string{live: "live", newest: fate} {
		switch was := l.fates[v]; {
		case f == "prepared" || v == 0:
		case was != "" && was != f:
			l.split++
		default:
			l.fates[v] = f
		}
	}
}

// out notes that a process is down, or back.
func (l *ledger) out(node string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.down[node]
	switch open := len(all) > 0 && all[len(all)-1].to == 0; {
	case down && !open:
		l.down[node] = append(all, stretch{from: l.now()})
	case !down && open:
		all[len(all)-1].to = l.now()
	}
}

// held sums up what the processes' gates have done so far.
func (l *ledger) held() (most float64, inTurn, unleased int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.turns {
		most, inTurn, unleased = max(most, s.HeldMostMs), inTurn+s.InTurn, unleased+s.Unleased
	}
	return most, inTurn, unleased
}

// excused: the process was down, or had just come back, while a try was under way.
func (l *ledger) excused(t tried) bool {
	return slices.ContainsFunc(l.down[t.node], func(s stretch) bool {
		return s.from <= t.to && (s.to == 0 || t.from <= s.to+100*time.Millisecond)
	})
}

// verdict is what the ledger shows, once all has ended.
type verdict struct {
	mixed, stale, dead, doubled, lost, refusedRan, unanswered int
	sent, served, refused, unclear, reads                     int
	what                                                      []string // each breach
}

func (v *verdict) breach(n *int, form string, args ...any) {
	if *n++; *n <= 5 {
		v.what = append(v.what, fmt.Sprintf(form, args...))
	}
}

func (l *ledger) judge() (v verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID, per := map[string]tried{}, map[string]int{}
	for _, c := range l.calls {
		byID[c.id] = c
		v.sent++
		ran := len(l.runs[c.id])
		if c.kind != "read" { // what changes nothing may run again
			per[c.name] += ran
		}
		switch {
		case c.status == http.StatusOK:
			v.served++
			if ran == 0 {
				v.breach(&v.lost, "%s was answered 200 and did not run", c.id)
			}
		case c.promised():
			v.refused++
			if ran > 0 {
				v.breach(&v.refusedRan, "%s was answered %d by %s and ran", c.id, c.status, c.node)
			}
		case c.status == http.StatusUnauthorized:
			if !l.keyless(c) {
				v.breach(&v.mixed, "%s was answered 401 by %s when all rules had its key", c.id, c.node)
			}
		case c.status == 0 && !l.excused(c):
			v.breach(&v.unanswered, "%s: no answer of %s after %v, at %v", c.id, c.node, c.to-c.from, c.from)
		default:
			v.unclear++
		}
	}
	for name, ran := range per {
		if ran > 1 {
			v.breach(&v.doubled, "%s ran %d times, with its repeats", name, ran)
		}
	}
	// The newest version that had an effect by each moment.
	var tops []sighting
	for _, u := range l.marks {
		if u.path != pathRead && (len(tops) == 0 || u.version > tops[len(tops)-1].version) {
			tops = append(tops, sighting{u.version, u.at})
		}
	}
	for _, u := range l.marks {
		c, ok := byID[u.id]
		if u.path == pathRead {
			v.reads++
		}
		if !ok || u.path == pathRead && !l.rules[u.version].reads {
			continue
		}
		if why := l.rules[u.version].forbids(u); why != "" {
			v.breach(&v.mixed, "%s went by %08x: %s", u.id, u.version, why)
		}
		if top := before(tops, c.from); u.version < top {
			v.breach(&v.mixed, "%s of %v went by %08x at %s, and %08x had an effect before", u.id, c.from, u.version, c.node, top)
		}
		if top := before(l.lives, c.from); u.version < top {
			v.breach(&v.stale, "%s went by %08x at %s, and %08x was told to be live", u.id, u.version, c.node, top)
		}
		if l.fates[u.version] == "withdrawn" {
			v.breach(&v.dead, "%s went by %08x, which is withdrawn", u.id, u.version)
		}
	}
	return v
}

// before is the highest version that was seen before a moment.
func before(all []sighting, at time.Duration) uint32 {
	i, _ := slices.BinarySearchFunc(all, at, func(s sighting, at time.Duration) int { return int(s.at - at) })
	if i == 0 {
		return 0
	}
	return all[i-1].version
}

// keyless: some version may have been live during a try that has not its key.
func (l *ledger) keyless(c tried) bool {
	for v, r := range l.rules {
		if r.key || l.puts[v] > c.to {
			continue
		}
		over := slices.ContainsFunc(l.marks, func(u run) bool { return u.version > v && u.path != pathRead && u.at < c.from })
		if !over {
			return true
		}
	}
	return false
}

// history is the ledger's as operations on the register of versions: a write from the
// operator's call to the first effect, and of each request a read from when it was sent to
// its effect. Far from any turn one of many reads is enough.
func (l *ledger) history() (puts, firsts map[uint32]time.Duration, reads []read) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := map[string]time.Duration{}
	for _, c := range l.calls {
		from[c.id] = c.from
	}
	for i, u := range l.marks {
		if u.path == pathRead && !l.rules[u.version].reads {
			continue
		}
		near := i%20 == 0
		for _, at := range l.first {
			near = near || u.at > at-200*time.Millisecond && from[u.id] < at+50*time.Millisecond
		}
		if at, ok := from[u.id]; ok && near {
			reads = append(reads, read{u.version, at, u.at})
		}
	}
	return l.puts, l.first, reads
}
