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

// ServerList is the list of servers in the format of the discovery service.
type ServerList struct {
	Version int64         `json:"version"`
	Full    bool          `json:"full"`
	Servers []ServerEntry `json:"servers"`
}

// ServerEntry is a server of the list.
type ServerEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// Validate returns an error for the first invalid entry.
func (l *ServerList) Validate() error {
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

// DiscoveryOptions configures a Discovery.
type DiscoveryOptions struct {
	Addr           string
	LongPoll       time.Duration // how long the server may hold a request until there is a change
	ResponseGrace  time.Duration // how long the response may take beyond LongPoll
	ConnectTimeout time.Duration
	Backoff        backoff.Options // between requests
	Host           hostenv.Host    // nil: hostenv.Real
	OnSuccess      func()          // called after each successful request; may be nil
}

// Discovery is the actor that owns the server list: it watches for changes and reports
// them to the core immediately.
type Discovery struct {
	opt          DiscoveryOptions
	onUpdate     func(routing.DiscoveryUpdate)
	inbox        *mailbox.Box[any]
	watching     bool
	needFullList bool // the next request asks for the full list
	succeeded    bool // a request has succeeded since the start
	version      int64
	ids          map[string]uint32 // numeric IDs of the listed servers in package choice
	lastID       uint32
	current      *listRequest    // in progress; nil: none
	conn         *transport.Conn // kept from the last request, if reusable
	backoff      *backoff.Backoff
	notBefore    time.Time // earliest time of the next request
}

// listRequest is one request for the list. It runs on its own goroutine; the actor can abort it.
type listRequest struct {
	path    string
	mu      sync.Mutex
	conn    *transport.Conn
	aborted bool
}

type (
	watchEnabled bool
	newAddr      string
	listResult   struct {
		request *listRequest
		list    ServerList
		err     error
	}
)

// NewDiscovery returns an actor that reports changes through onUpdate. The watch continues
// from the known list. It starts immediately, or on demand with Watch.
func NewDiscovery(opt DiscoveryOptions, known ServerList, onDemand bool, onUpdate func(routing.DiscoveryUpdate)) *Discovery {
	opt.Host = hostenv.OrReal(opt.Host)
	d := &Discovery{opt: opt, onUpdate: onUpdate, inbox: mailbox.NewBox[any](opt.Host), watching: !onDemand,
		needFullList: len(known.Servers) == 0, ids: map[string]uint32{}, backoff: backoff.New(opt.Backoff)}
	d.notBefore = opt.Host.Now().Add(d.backoff.InitialDelay(d.random()))
	n := d.toUpdate(known, true)
	n.Saved = true
	onUpdate(n)
	return d
}

// Watch starts or stops the watch.
func (d *Discovery) Watch(on bool) { d.inbox.Put(watchEnabled(on)) }

// SetAddr switches to another address. It aborts the request to the old address, ignores
// its response, and requests the full list from the new one immediately.
func (d *Discovery) SetAddr(addr string) { d.inbox.Put(newAddr(addr)) }

// firstLongPoll is the hold time of the first request, so that a start soon learns
// whether its list is current.
const firstLongPoll = 50 * time.Millisecond

// statusError is a response status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// Stop ends Run.
func (d *Discovery) Stop() { d.inbox.Put(nil) }

// Run watches until it is stopped.
func (d *Discovery) Run() {
	defer func() { d.abort() }()
	for {
		wait := time.Duration(-1)
		if d.watching && d.current == nil {
			if wait = max(0, d.notBefore.Sub(d.opt.Host.Now())); wait == 0 {
				d.startRequest()
				wait = -1
			}
		}
		for _, m := range d.inbox.Take(wait) {
			switch m := m.(type) {
			case nil:
				return
			case watchEnabled:
				d.watching = bool(m)
			case newAddr:
				d.setAddr(string(m))
			case listResult:
				d.handleResult(m)
			}
		}
	}
}

func (d *Discovery) setAddr(addr string) {
	if addr == d.opt.Addr {
		return
	}
	d.abort()
	d.opt.Addr, d.needFullList, d.notBefore = addr, true, time.Time{}
	d.backoff.Reset()
}

// abort cancels the current request and closes the connection.
func (d *Discovery) abort() {
	if d.current != nil {
		d.current.mu.Lock()
		d.current.aborted = true
		if d.current.conn != nil {
			d.current.conn.Close()
		}
		d.current.mu.Unlock()
	}
	if d.conn != nil {
		d.conn.Close()
	}
	d.current, d.conn = nil, nil
}

func (d *Discovery) startRequest() {
	a := &listRequest{path: "/api/targets", conn: d.conn}
	if !d.needFullList {
		hold := d.opt.LongPoll
		if !d.succeeded {
			hold = min(hold, firstLongPoll)
		}
		a.path += "?from=" + strconv.FormatInt(d.version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	d.current, d.conn = a, nil
	opt := d.opt
	opt.Host.Go(func() {
		list, err := a.get(opt)
		d.inbox.Put(listResult{a, list, err})
	})
}

// handleResult processes the outcome of a request.
func (d *Discovery) handleResult(m listResult) {
	if m.request != d.current {
		return // aborted
	}
	d.current, d.conn = nil, m.request.conn
	if m.err != nil {
		log.Printf("event=discovery addr=%s path=%s error=%q", d.opt.Addr, m.request.path, m.err)
		if d.conn != nil {
			d.conn.Close()
			d.conn = nil
		}
		var status statusError
		busy := errors.As(m.err, &status) && status == fasthttp.StatusServiceUnavailable
		d.notBefore = d.opt.Host.Now().Add(d.backoff.NextDelay(busy, d.random()))
		d.onUpdate(routing.DiscoveryUpdate{Broken: true})
		return
	}
	first := !d.succeeded
	d.backoff.Reset()
	d.needFullList, d.succeeded = false, true
	if d.opt.OnSuccess != nil {
		d.opt.OnSuccess()
	}
	if m.list.Full || len(m.list.Servers) > 0 || first { // at the start, also report that nothing has changed
		d.onUpdate(d.toUpdate(m.list, m.list.Full))
	}
	d.version = m.list.Version
}

// random returns a random number in [0, 1).
func (d *Discovery) random() float64 { return float64(d.opt.Host.Random()>>11) / (1 << 53) }

// connect establishes a connection that abort can close, unless there is one.
func (a *listRequest) connect(opt DiscoveryOptions) error {
	if a.conn != nil {
		return nil
	}
	conn, err := transport.Dial(opt.Host, opt.Addr, opt.ConnectTimeout)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn = conn; a.aborted {
		conn.Close()
	}
	return nil
}

func (a *listRequest) get(opt DiscoveryOptions) (ServerList, error) {
	if err := a.connect(opt); err != nil {
		return ServerList{}, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := a.conn.Write([]byte("GET "+a.path+" HTTP/1.1\r\nHost: "+opt.Addr+"\r\n\r\n"), opt.ConnectTimeout); err != nil {
		return ServerList{}, err
	}
	a.conn.SetReadDeadline(opt.Host.Now().Add(opt.LongPoll + opt.ResponseGrace))
	extra, err := a.conn.Read(resp)
	if err != nil {
		return ServerList{}, err
	}
	if extra || resp.ConnectionClose() {
		a.mu.Lock()
		a.conn.Close()
		a.conn = nil
		a.mu.Unlock()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return ServerList{}, statusError(resp.StatusCode())
	}
	var list ServerList
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return ServerList{}, err
	}
	return list, list.Validate()
}

// toUpdate converts a list to an update for the core. Its times are Unix times, which
// the core's clock uses too, since all machines share that clock.
func (d *Discovery) toUpdate(list ServerList, whole bool) routing.DiscoveryUpdate {
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
		// Forget removed servers, so that the map doesn't grow as servers are replaced.
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
