// Package list is a stand-in for discovery: it tells a list of servers, and holds
// watches until there is news. Several agents may tell one list, each of them on
// an address of its own, as on several machines.
package list

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a server of the list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

type answer struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// List is the list with its history.
type List struct {
	mu      sync.Mutex
	version int64
	entries map[string]Entry
	order   []string
	changed map[string]int64 // id: version of its last change
	news    chan struct{}    // closed at the next change
}

// New returns a list at version 1.
func New(entries ...Entry) *List {
	l := &List{entries: map[string]Entry{}, changed: map[string]int64{}, news: make(chan struct{})}
	l.Set(entries...)
	return l
}

// Set changes entries, or adds them, at the next version, which it returns. One
// that is removed is told as that to watchers.
func (l *List) Set(entries ...Entry) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, e := range entries {
		if _, ok := l.entries[e.ID]; !ok {
			l.order = append(l.order, e.ID)
		}
		l.entries[e.ID], l.changed[e.ID] = e, l.version
	}
	close(l.news)
	l.news = make(chan struct{})
	return l.version
}

// Entries are those that are not removed.
func (l *List) Entries() (all []Entry) {
	got, _ := l.since(0)
	return got.Servers
}

// Entry is what the list says of a server; its zero: nothing.
func (l *List) Entry(id string) Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[id]
}

// since is what has changed; from 0 on the whole list.
func (l *List) since(from int64) (answer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := answer{Version: l.version, Full: from == 0, Servers: []Entry{}}
	for _, id := range l.order {
		if e := l.entries[id]; from > 0 && l.changed[id] > from || from == 0 && e.State != "removed" {
			a.Servers = append(a.Servers, e)
		}
	}
	return a, l.news
}

// Agent tells a list at one address.
type Agent struct {
	Addr string

	list *List
	http *http.Server
	mu   sync.Mutex
	told map[int64]time.Time // by version: when its answer was first written
	dead bool

	Tell func(entries []Entry, version int64) // before an answer is written; nil: nobody asks
}

// NewAgent returns an agent that answers where its Targets is called.
func NewAgent(l *List) *Agent { return &Agent{list: l, told: map[int64]time.Time{}} }

// Listen starts an agent.
func Listen(addr string, l *List) (*Agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := NewAgent(l)
	a.Addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.Targets)
	a.http = &http.Server{Handler: mux}
	go a.http.Serve(ln)
	return a, nil
}

// Close ends the agent.
func (a *Agent) Close() { a.http.Close() }

// Silence makes the agent hold all answers back, as while discovery is down.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dead = on
}

// Silent reports whether it does.
func (a *Agent) Silent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dead
}

// Told is when the agent wrote an answer that had this version, or a later one.
func (a *Agent) Told(version int64) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for v, t := range a.told {
		if v >= version && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Targets answers a call.
func (a *Agent) Targets(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.NewTimer(time.Duration(min(max(hold, 0), 60000)) * time.Millisecond)
	defer end.Stop()
	for waiting := from > 0; ; {
		got, news := a.list.since(from)
		if (len(got.Servers) > 0 || !waiting) && !a.Silent() {
			text, err := json.Marshal(got)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			a.mu.Lock() // before it is written: nobody hears it sooner
			if _, ok := a.told[got.Version]; !ok {
				a.told[got.Version] = time.Now()
			}
			a.mu.Unlock()
			if a.Tell != nil {
				a.Tell(got.Servers, got.Version)
			}
			w.Write(text)
			return
		}
		again := time.NewTimer(20 * time.Millisecond) // whether discovery is back
		if !a.Silent() {
			again.Stop()
		}
		select {
		case <-r.Context().Done():
			return
		case <-news:
		case <-again.C:
		case <-end.C:
			waiting = false
		}
		again.Stop()
	}
}
