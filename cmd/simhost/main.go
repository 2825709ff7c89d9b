// Command simhost connects many Balancers to the simulator. It reads batches of
// events from standard input, one JSON object per line, and writes one reply per
// batch to standard output. All decisions are the Balancers'.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"asterwell/choice"
	"asterwell/internal/settings"
)

func main() {
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run reads batches from r until the input ends and writes a reply to each to w.
func run(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<16)
	h := &host{gateways: map[string]*gateway{}, rosters: map[int][]choice.Member{}}
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if len(bytes.TrimSpace(text)) > 0 {
			if err := h.batch(text, out); err != nil {
				return fmt.Errorf("line %d: %w", line, err)
			}
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// host holds the gateways of this process and the state of the current batch.
type host struct {
	gateways map[string]*gateway
	rosters  map[int][]choice.Member
	now      time.Duration
	out      []action
}

// gateway is one simulated instance. It turns the actions of its Balancer into messages.
type gateway struct {
	name string
	host *host
	b    *choice.Balancer
}

// batch is one line of input: the events that arrive at one moment of virtual time.
type batch struct {
	TsMs     *float64 `json:"tsMs"`
	Arrivals []event  `json:"arrivals"`
}

// event is any incoming message. Each type uses only some of the fields.
type event struct {
	Type         string             `json:"event_type"`
	I            string             `json:"i"`
	InitSeed     json.Number        `json:"initSeed"`
	Env          json.RawMessage    `json:"env"`
	RosterID     int                `json:"rosterId"`
	Members      []directoryEntry   `json:"members"`
	How          string             `json:"how"`
	RID          uint32             `json:"rid"`
	Service      string             `json:"service"`
	Tier         string             `json:"tier"`
	APIKey       string             `json:"apiKey"`
	NotAfterMs   float64            `json:"notAfterMs"`
	QuotaUnits   float64            `json:"quotaUnits"`
	Width        int                `json:"width"`
	FirstGateway int                `json:"firstDoor"`
	Again        bool               `json:"againByClient"`
	Try          int                `json:"try"`
	Backend      uint32             `json:"backend"`
	Status       int                `json:"status"`
	SpentMs      float64            `json:"spentMs"`
	Final        bool               `json:"final"`
	Actual       float64            `json:"actual"`
	Telemetry    map[string]float64 `json:"telemetry"`
	Tag          string             `json:"tag"`
	Counter      string             `json:"counter"`
	Sum          float64            `json:"sum"`
}

// directoryEntry is a backend in a DIRECTORY event.
type directoryEntry struct {
	Backend      uint32  `json:"backend"`
	DC           string  `json:"dc"`
	GenerationHw string  `json:"generationHw"`
	Cohort       int     `json:"cohort"`
	State        string  `json:"state"`
	Weight       float64 `json:"heft"`
	CameUpMs     float64 `json:"cameUpMs"`
}

// action is any outgoing message. Fields that its type does not use are left out.
type action struct {
	Type      string   `json:"event_type"`
	I         string   `json:"i"`
	RID       *uint32  `json:"rid,omitempty"`
	Backend   *uint32  `json:"backend,omitempty"`
	LimitMs   float64  `json:"limitMs,omitempty"`
	BackoffMs float64  `json:"backoffMs,omitempty"`
	Try       *int     `json:"try,omitempty"`
	Counter   string   `json:"counter,omitempty"`
	Step      *float64 `json:"step,omitempty"`
	ExpireMs  float64  `json:"expireInMs,omitempty"`
	SleepMs   *float64 `json:"sleepForMs,omitempty"`
	Tag       string   `json:"tag,omitempty"`
	On        *bool    `json:"on,omitempty"`
	Reason    string   `json:"reasonText,omitempty"`
}

// batch delivers the events of one line and writes the actions that follow from them.
func (h *host) batch(text []byte, w io.Writer) error {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return fmt.Errorf("not a batch: %w", err)
	}
	if b.TsMs == nil {
		return fmt.Errorf("not a batch: tsMs is missing")
	}
	h.now, h.out = settings.FromMillis(*b.TsMs), []action{}
	for i := range b.Arrivals {
		if err := h.event(&b.Arrivals[i]); err != nil {
			return fmt.Errorf("arrivals[%d]: %w", i, err)
		}
	}
	reply, err := json.Marshal(struct {
		Outbox []action `json:"outbox"`
	}{h.out})
	if err != nil {
		return err
	}
	_, err = w.Write(append(reply, '\n'))
	return err
}

// event handles an event of the whole host, or passes it to its gateway.
func (h *host) event(e *event) error {
	if e.Type == "" {
		return fmt.Errorf("event_type is missing")
	}
	if e.Type == "DIRECTORY" {
		members := make([]choice.Member, len(e.Members))
		for i, m := range e.Members {
			s, ok := map[string]choice.State{"U": choice.Up, "L": choice.Draining, "D": choice.Down}[m.State]
			if !ok {
				return fmt.Errorf("DIRECTORY: members[%d]: unknown state %q", i, m.State)
			}
			members[i] = choice.Member{ID: m.Backend, Zone: m.DC, Kind: m.GenerationHw, Cell: m.Cohort,
				State: s, Weight: m.Weight, Started: settings.FromMillis(m.CameUpMs)}
		}
		h.rosters[e.RosterID] = members
		return nil
	}
	if e.I == "" {
		return fmt.Errorf("%s: i is missing", e.Type)
	}
	if e.Type == "ATTACH" {
		return h.attach(e)
	}
	g := h.gateways[e.I]
	if g == nil {
		return fmt.Errorf("%s: %s was never attached", e.Type, e.I)
	}
	return g.event(e)
}

// attach creates a gateway with the settings in env.
func (h *host) attach(e *event) error {
	if e.Env == nil {
		return fmt.Errorf("ATTACH: env is missing")
	}
	seed, err := parseSeed(string(e.InitSeed))
	if err != nil {
		return fmt.Errorf("ATTACH: initSeed: %w", err)
	}
	set, err := settings.Decode(e.Env)
	if err != nil {
		return fmt.Errorf("ATTACH: env: %w", err)
	}
	g := &gateway{name: e.I, host: h}
	h.gateways[e.I] = g
	defer g.recoverPanic()
	if g.b, err = choice.New(set.Settings, seed, g); err != nil {
		return fmt.Errorf("ATTACH: env: %w", err)
	}
	return nil
}

// recoverPanic reports a panic of the Balancer as BAIL_OUT. It must be deferred directly.
func (g *gateway) recoverPanic() {
	if p := recover(); p != nil {
		fmt.Fprintf(os.Stderr, "simhost: %s: panic: %v\n%s", g.name, p, debug.Stack())
		g.emit(action{Type: "BAIL_OUT", Reason: fmt.Sprint("panic: ", p)})
	}
}

// event translates an event into a call of the Balancer.
func (g *gateway) event(e *event) error {
	defer g.recoverPanic()
	now := g.host.now
	switch e.Type {
	case "SHUTDOWN":
		delete(g.host.gateways, e.I)
	case "DISCOVERY":
		update := choice.RosterUpdate{Broken: e.How == "broken"}
		switch e.How {
		case "broken":
			g.b.HandleRoster(now, update)
			return nil
		case "whole":
			update.Whole = true
		case "stale_copy":
			update.Whole, update.Saved = true, true
		case "patch":
		default:
			return fmt.Errorf("DISCOVERY: unknown how %q", e.How)
		}
		members, ok := g.host.rosters[e.RosterID]
		if !ok {
			return fmt.Errorf("DISCOVERY: no DIRECTORY numbered %d", e.RosterID)
		}
		update.Members = members
		g.b.HandleRoster(now, update)
	case "WORK_ITEM":
		g.b.HandleRequest(now, choice.Request{ID: e.RID, Class: e.Service, Plan: e.Tier, Customer: e.APIKey,
			Deadline: settings.FromMillis(e.NotAfterMs), Units: e.QuotaUnits, Gateways: e.Width, FirstGateway: e.FirstGateway, IsRetry: e.Again})
	case "ACCEPTED":
		g.b.HandleStreamStart(now, e.RID, e.Try)
	case "RESULT":
		if e.Status < 0 || e.Status > int(choice.NotExecuted) {
			return fmt.Errorf("RESULT: unknown status %d", e.Status)
		}
		g.b.HandleOutcome(now, choice.Outcome{ID: e.RID, Attempt: e.Try, Backend: e.Backend, Status: choice.Status(e.Status),
			Elapsed: settings.FromMillis(e.SpentMs), Final: e.Final, ActualUnits: e.Actual, Load: settings.Load(e.Telemetry)})
	case "LEFT":
		g.b.HandleClientGone(now, e.RID)
	case "REMINDER":
		g.b.HandleTimer(now, e.Tag)
	case "PONG":
		g.b.HandleProbe(now, choice.ProbeResult{Backend: e.Backend, Status: choice.Status(e.Status),
			Elapsed: settings.FromMillis(e.SpentMs), Load: settings.Load(e.Telemetry)})
	case "LEDGER_REPLY":
		g.b.HandleCounter(now, choice.CounterResult{Name: e.Counter, Status: choice.Status(e.Status), Total: e.Sum,
			Elapsed: settings.FromMillis(e.SpentMs)})
	case "NOTE_FROM": // the Balancer does not use messages from peers
	default:
		return fmt.Errorf("unknown event_type %q", e.Type)
	}
	return nil
}

// emit adds an action to the reply to the current batch.
func (g *gateway) emit(a action) {
	a.I = g.name
	g.host.out = append(g.host.out, a)
}

func (g *gateway) Send(id, backend uint32, limit time.Duration) {
	g.emit(action{Type: "ASSIGN", RID: &id, Backend: &backend, LimitMs: milliseconds(limit)})
}

func (g *gateway) Refuse(id uint32, retryAfter time.Duration) {
	g.emit(action{Type: "REJECT", RID: &id, BackoffMs: milliseconds(retryAfter)})
}

func (g *gateway) Fail(id uint32) { g.emit(action{Type: "REPORT_FAILURE", RID: &id}) }

func (g *gateway) Cancel(id uint32, try int) {
	g.emit(action{Type: "STOP_ATTEMPT", RID: &id, Try: &try})
}

func (g *gateway) Probe(backend uint32) { g.emit(action{Type: "CHECK", Backend: &backend}) }

func (g *gateway) AddToCounter(name string, add float64, life time.Duration) {
	g.emit(action{Type: "ENTER", Counter: name, Step: &add, ExpireMs: milliseconds(life)})
}

func (g *gateway) SetTimer(after time.Duration, token string) {
	t := milliseconds(after)
	g.emit(action{Type: "SET_ALARM", SleepMs: &t, Tag: token})
}

func (g *gateway) Watch(on bool) { g.emit(action{Type: "OBSERVE", On: &on}) }

func (g *gateway) Log(text string) {
	g.emit(action{Type: "REMARK", Reason: strings.ToValidUTF8(text, "?")})
}

// parseSeed accepts unsigned and negative seeds of 64 bits.
func parseSeed(text string) (uint64, error) {
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return n, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return uint64(n), err
}

// milliseconds converts to the unit of the wire, with microsecond precision.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
