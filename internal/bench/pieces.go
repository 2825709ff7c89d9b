package bench

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pieces bounds how much of the points of a measurement is played at once, whichever point it is of, and
// counts it. There is one for the process, as points don't know of each other.
var pieces struct {
	room   atomic.Pointer[chan struct{}] // nil: as much as each point likes
	played atomic.Int64
}

// piece plays one thing when there is room for it.
func piece(do func()) {
	if room := pieces.room.Load(); room != nil {
		*room <- struct{}{}
		defer func() { <-*room }()
	}
	do()
	pieces.played.Add(1)
}

// tellEvery is how often a measurement says how far it is.
const tellEvery = 15 * time.Second

// progress says which points are under way, and how much was played.
type progress struct {
	mu    sync.Mutex
	begun time.Time
	under []string
	say   func(string)
}

func (p *progress) begin(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.under = append(p.under, name)
}

func (p *progress) end(c ControlPoint, name string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.under = slices.DeleteFunc(p.under, func(n string) bool { return n == name })
	p.say(fmt.Sprintf("%s: %d days in %v, %s, %d of %d mutants", name, c.Days, took.Round(time.Second), counted(c.Broken), c.Found, c.Mutants))
}

// watch tells it from time to time, until it is stopped.
func (p *progress) watch() (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t := time.NewTicker(tellEvery)
		defer t.Stop()
		for {
			select {
			case <-end:
				return
			case <-t.C:
				p.mu.Lock()
				p.say(fmt.Sprintf("after %v: %d pieces played, under way: %s", time.Since(p.begun).Round(time.Second), pieces.played.Load(),
					strings.Join(p.under, ", ")))
				p.mu.Unlock()
			}
		}
	}()
	return func() { close(end); <-ended }
}
