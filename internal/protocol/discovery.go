package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/backoff"
	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// List is the list of servers in discovery's form.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is a server of the list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// Check reports the first entry that can't be used.
func (l *List) Check() error {
	for i, e := range l.Servers {
		if e.ID == "" {
			return fmt.Errorf("servers[%d].id is missing", i)
		}
		if _, ok := states[e.State]; !ok {
			return fmt.Errorf("servers[%d].state: unknown state %q", i, e.State)
		}
		if e.Addr == "" && e.State != "removed" {
			return fmt.Errorf("servers[%d].addr is missing", i)
		}
	}
	return nil
}

var states = map[string]choice.State{"up": choice.Up, "draining": choice.Draining, "removed": choice.Down}

// DiscoveryOptions are the times of the watch.
type DiscoveryOptions struct {
	Addr    string
	Hold    time.Duration // how long a watch may wait for news
	Grace   time.Duration // how long its answer may take beyond that
	Connect time.Duration
	Pace    backoff.Options // of the calls
	World   hostenv.Host    // nil: the real one
	Heard   func()          // after each call that went well; nil: nobody asks
}

// Discovery is the actor that owns the list: it watches for changes and tells
// the core at once.
type Discovery struct {
	opt     DiscoveryOptions
	news    func(routing.DiscoveryUpdate)
	box     *mailbox.Box[any]
	on      bool
	whole   bool // the next call asks for the whole list
	heard   bool // a call has gone well since the start
	version int64
	ids     map[string]uint32 // the module's numbers for the servers on the list
	lastID  uint32
	ask     *ask            // under way
	conn    *transport.Conn // of the last one, if it may carry another
	pace    *backoff.Backoff
	after   time.Time // no call before
}

// ask is one call. It runs beside the actor, which can break it off.
type ask struct {
	path string
	mu   sync.Mutex
	conn *transport.Conn
	off  bool
}

type (
	watch bool
	move  string
	told  struct {
		ask  *ask
		list List
		err  error
	}
)

// NewDiscovery returns an actor that tells its news through news. The watch
// goes on from what is known. It begins at once, or once asked for.
func NewDiscovery(opt DiscoveryOptions, known List, onDemand bool, news func(routing.DiscoveryUpdate)) *Discovery {
	opt.World = hostenv.OrReal(opt.World)
	d := &Discovery{opt: opt, news: news, box: mailbox.NewBox[any](opt.World), on: !onDemand,
		whole: len(known.Servers) == 0, ids: map[string]uint32{}, pace: backoff.New(opt.Pace)}
	d.after = opt.World.Now().Add(d.pace.InitialDelay(d.odds()))
	n := d.take(known, true)
	n.Saved = true
	news(n)
	return d
}

// Watch starts or stops the watch.
func (d *Discovery) Watch(on bool) { d.box.Put(watch(on)) }

// Move goes on at another address. What the old one still has to say counts no
// more: the call that waits there is broken off, and the new one is asked for
// the whole list at once.
func (d *Discovery) Move(addr string) { d.box.Put(move(addr)) }

// firstHold is that of the first watch: whether there is news is told at once.
const firstHold = 50 * time.Millisecond

// statusError is an answer other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// Stop ends Run.
func (d *Discovery) Stop() { d.box.Put(nil) }

// Run watches until it is stopped.
func (d *Discovery) Run() {
	defer func() { d.breakOff() }()
	for {
		wait := time.Duration(-1)
		if d.on && d.ask == nil {
			if wait = max(0, d.after.Sub(d.opt.World.Now())); wait == 0 {
				d.call()
				wait = -1
			}
		}
		for _, m := range d.box.Take(wait) {
			switch m := m.(type) {
			case nil:
				return
			case watch:
				d.on = bool(m)
			case move:
				d.move(string(m))
			case told:
				d.told(m)
			}
		}
	}
}

func (d *Discovery) move(addr string) {
	if addr == d.opt.Addr {
		return
	}
	d.breakOff()
	d.opt.Addr, d.whole, d.after = addr, true, time.Time{}
	d.pace.Reset()
}

// breakOff ends the call under way and its connection.
func (d *Discovery) breakOff() {
	if d.ask != nil {
		d.ask.mu.Lock()
		d.ask.off = true
		if d.ask.conn != nil {
			d.ask.conn.Close()
		}
		d.ask.mu.Unlock()
	}
	if d.conn != nil {
		d.conn.Close()
	}
	d.ask, d.conn = nil, nil
}

func (d *Discovery) call() {
	a := &ask{path: "/api/targets", conn: d.conn}
	if !d.whole {
		hold := d.opt.Hold
		if !d.heard {
			hold = min(hold, firstHold)
		}
		a.path += "?from=" + strconv.FormatInt(d.version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	d.ask, d.conn = a, nil
	opt := d.opt
	opt.World.Go(func() {
		list, err := a.get(opt)
		d.box.Put(told{a, list, err})
	})
}

// told takes the end of a call.
func (d *Discovery) told(m told) {
	if m.ask != d.ask {
		return // broken off
	}
	d.ask, d.conn = nil, m.ask.conn
	if m.err != nil {
		log.Printf("event=discovery addr=%s path=%s error=%q", d.opt.Addr, m.ask.path, m.err)
		if d.conn != nil {
			d.conn.Close()
			d.conn = nil
		}
		var status statusError
		busy := errors.As(m.err, &status) && status == fasthttp.StatusServiceUnavailable
		d.after = d.opt.World.Now().Add(d.pace.NextDelay(busy, d.odds()))
		d.news(routing.DiscoveryUpdate{Broken: true})
		return
	}
	first := !d.heard
	d.pace.Reset()
	d.whole, d.heard = false, true
	if d.opt.Heard != nil {
		d.opt.Heard()
	}
	if m.list.Full || len(m.list.Servers) > 0 || first { // that nothing is new is news at a start
		d.news(d.take(m.list, m.list.Full))
	}
	d.version = m.list.Version
}

// odds draws a number from 0 to 1.
func (d *Discovery) odds() float64 { return float64(d.opt.World.Random()>>11) / (1 << 53) }

// open makes sure of a connection that breakOff can close.
func (a *ask) open(opt DiscoveryOptions) error {
	if a.conn != nil {
		return nil
	}
	conn, err := transport.Dial(opt.World, opt.Addr, opt.Connect)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn = conn; a.off {
		conn.Close()
	}
	return nil
}

func (a *ask) get(opt DiscoveryOptions) (List, error) {
	if err := a.open(opt); err != nil {
		return List{}, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := a.conn.Write([]byte("GET "+a.path+" HTTP/1.1\r\nHost: "+opt.Addr+"\r\n\r\n"), opt.Connect); err != nil {
		return List{}, err
	}
	a.conn.SetReadDeadline(opt.World.Now().Add(opt.Hold + opt.Grace))
	extra, err := a.conn.Read(resp)
	if err != nil {
		return List{}, err
	}
	if extra || resp.ConnectionClose() {
		a.mu.Lock()
		a.conn.Close()
		a.conn = nil
		a.mu.Unlock()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return List{}, statusError(resp.StatusCode())
	}
	var list List
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return List{}, err
	}
	return list, list.Check()
}

// take turns a list into news. Its times are on the core's clock, which is the
// Unix time: one clock is read by all machines.
func (d *Discovery) take(list List, whole bool) routing.DiscoveryUpdate {
	d.version = list.Version
	n := routing.DiscoveryUpdate{Whole: whole}
	ids := d.ids
	if whole {
		ids = map[string]uint32{}
	}
	for _, e := range list.Servers {
		id, ok := d.ids[e.ID]
		if !ok {
			d.lastID++
			id = d.lastID
		}
		// What has left is forgotten: on a long day servers never stop coming.
		if left := e.State == "removed"; !left {
			ids[e.ID] = id
		} else {
			delete(ids, e.ID)
		}
		n.Members = append(n.Members, routing.Member{Addr: e.Addr, Name: e.ID, Member: choice.Member{ID: id, Key: xxhash.Sum64String(e.ID), Zone: e.Zone,
			Kind: e.Kind, Cell: e.Cell, State: states[e.State], Weight: e.Weight,
			Started: time.Duration(e.StartedMs) * time.Millisecond}})
	}
	d.ids = ids
	return n
}
