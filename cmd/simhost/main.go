// Command simhost puts many Balancers on the simulator's wire: batches of
// events on standard input, one reply each on standard output. It decides
// nothing.
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

// run answers every batch on r until the input ends.
func run(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<16)
	h := &host{doors: map[string]*door{}, rosters: map[int][]choice.Member{}}
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

// host holds the instances of one process.
type host struct {
	doors   map[string]*door
	rosters map[int][]choice.Member
	now     time.Duration
	out     []action
}

// door is one instance. It carries out the actions of its Balancer.
type door struct {
	name string
	host *host
	b    *choice.Balancer
}

type batch struct {
	TsMs     *float64 `json:"tsMs"`
	Arrivals []event  `json:"arrivals"`
}

type event struct {
	Type       string             `json:"event_type"`
	I          string             `json:"i"`
	InitSeed   json.Number        `json:"initSeed"`
	Env        json.RawMessage    `json:"env"`
	RosterID   int                `json:"rosterId"`
	Members    []entry            `json:"members"`
	How        string             `json:"how"`
	RID        uint32             `json:"rid"`
	Service    string             `json:"service"`
	Tier       string             `json:"tier"`
	APIKey     string             `json:"apiKey"`
	NotAfterMs float64            `json:"notAfterMs"`
	QuotaUnits float64            `json:"quotaUnits"`
	Width      int                `json:"width"`
	FirstDoor  int                `json:"firstDoor"`
	Again      bool               `json:"againByClient"`
	Try        int                `json:"try"`
	Backend    uint32             `json:"backend"`
	Status     int                `json:"status"`
	SpentMs    float64            `json:"spentMs"`
	Final      bool               `json:"final"`
	Actual     float64            `json:"actual"`
	Telemetry  map[string]float64 `json:"telemetry"`
	Tag        string             `json:"tag"`
	Counter    string             `json:"counter"`
	Sum        float64            `json:"sum"`
}

type entry struct {
	Backend      uint32  `json:"backend"`
	DC           string  `json:"dc"`
	GenerationHw string  `json:"generationHw"`
	Cohort       int     `json:"cohort"`
	State        string  `json:"state"`
	Heft         float64 `json:"heft"`
	CameUpMs     float64 `json:"cameUpMs"`
}

// action is any message out; absent fields are not written.
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

func (h *host) event(e *event) error {
	if e.Type == "" {
		return fmt.Errorf("event_type is missing")
	}
	if e.Type == "DIRECTORY" {
		ms := make([]choice.Member, len(e.Members))
		for i, m := range e.Members {
			s, ok := map[string]choice.State{"U": choice.Up, "L": choice.Draining, "D": choice.Down}[m.State]
			if !ok {
				return fmt.Errorf("DIRECTORY: members[%d]: unknown state %q", i, m.State)
			}
			ms[i] = choice.Member{ID: m.Backend, Zone: m.DC, Kind: m.GenerationHw, Cell: m.Cohort,
				State: s, Weight: m.Heft, Started: settings.FromMillis(m.CameUpMs)}
		}
		h.rosters[e.RosterID] = ms
		return nil
	}
	if e.I == "" {
		return fmt.Errorf("%s: i is missing", e.Type)
	}
	if e.Type == "ATTACH" {
		return h.attach(e)
	}
	d := h.doors[e.I]
	if d == nil {
		return fmt.Errorf("%s: %s was never attached", e.Type, e.I)
	}
	return d.event(e)
}

func (h *host) attach(e *event) error {
	if e.Env == nil {
		return fmt.Errorf("ATTACH: env is missing")
	}
	seed, err := seedOf(string(e.InitSeed))
	if err != nil {
		return fmt.Errorf("ATTACH: initSeed: %w", err)
	}
	set, err := settings.Decode(e.Env)
	if err != nil {
		return fmt.Errorf("ATTACH: env: %w", err)
	}
	d := &door{name: e.I, host: h}
	h.doors[e.I] = d
	defer d.rescue()
	if d.b, err = choice.New(set.Settings, seed, d); err != nil {
		return fmt.Errorf("ATTACH: env: %w", err)
	}
	return nil
}

// rescue turns a panic of the module into BAIL_OUT.
func (d *door) rescue() {
	if p := recover(); p != nil {
		fmt.Fprintf(os.Stderr, "simhost: %s: panic: %v\n%s", d.name, p, debug.Stack())
		d.put(action{Type: "BAIL_OUT", Reason: fmt.Sprint("panic: ", p)})
	}
}

func (d *door) event(e *event) error {
	defer d.rescue()
	now := d.host.now
	switch e.Type {
	case "SHUTDOWN":
		delete(d.host.doors, e.I)
	case "DISCOVERY":
		r := choice.RosterUpdate{Broken: e.How == "broken"}
		switch e.How {
		case "broken":
			d.b.HandleRoster(now, r)
			return nil
		case "whole":
			r.Whole = true
		case "stale_copy":
			r.Whole, r.Saved = true, true
		case "patch":
		default:
			return fmt.Errorf("DISCOVERY: unknown how %q", e.How)
		}
		ms, ok := d.host.rosters[e.RosterID]
		if !ok {
			return fmt.Errorf("DISCOVERY: no DIRECTORY numbered %d", e.RosterID)
		}
		r.Members = ms
		d.b.HandleRoster(now, r)
	case "WORK_ITEM":
		d.b.HandleRequest(now, choice.Request{ID: e.RID, Class: e.Service, Plan: e.Tier, Customer: e.APIKey,
			Deadline: settings.FromMillis(e.NotAfterMs), Units: e.QuotaUnits, Gateways: e.Width, FirstGateway: e.FirstDoor, IsRetry: e.Again})
	case "ACCEPTED":
		d.b.HandleStreamStart(now, e.RID, e.Try)
	case "RESULT":
		if e.Status < 0 || e.Status > int(choice.NotExecuted) {
			return fmt.Errorf("RESULT: unknown status %d", e.Status)
		}
		d.b.HandleOutcome(now, choice.Outcome{ID: e.RID, Attempt: e.Try, Backend: e.Backend, Status: choice.Status(e.Status),
			Elapsed: settings.FromMillis(e.SpentMs), Final: e.Final, ActualUnits: e.Actual, Load: settings.Load(e.Telemetry)})
	case "LEFT":
		d.b.HandleClientGone(now, e.RID)
	case "REMINDER":
		d.b.HandleTimer(now, e.Tag)
	case "PONG":
		d.b.HandleProbe(now, choice.ProbeResult{Backend: e.Backend, Status: choice.Status(e.Status),
			Elapsed: settings.FromMillis(e.SpentMs), Load: settings.Load(e.Telemetry)})
	case "LEDGER_REPLY":
		d.b.HandleCounter(now, choice.CounterResult{Name: e.Counter, Status: choice.Status(e.Status), Total: e.Sum,
			Elapsed: settings.FromMillis(e.SpentMs)})
	case "NOTE_FROM": // the module has no use for peers
	default:
		return fmt.Errorf("unknown event_type %q", e.Type)
	}
	return nil
}

func (d *door) put(a action) {
	a.I = d.name
	d.host.out = append(d.host.out, a)
}

func (d *door) Send(id, backend uint32, limit time.Duration) {
	d.put(action{Type: "ASSIGN", RID: &id, Backend: &backend, LimitMs: ms(limit)})
}

func (d *door) Refuse(id uint32, retryAfter time.Duration) {
	d.put(action{Type: "REJECT", RID: &id, BackoffMs: ms(retryAfter)})
}

func (d *door) Fail(id uint32) { d.put(action{Type: "REPORT_FAILURE", RID: &id}) }

func (d *door) Cancel(id uint32, try int) {
	d.put(action{Type: "STOP_ATTEMPT", RID: &id, Try: &try})
}

func (d *door) Probe(backend uint32) { d.put(action{Type: "CHECK", Backend: &backend}) }

func (d *door) AddToCounter(name string, add float64, life time.Duration) {
	d.put(action{Type: "ENTER", Counter: name, Step: &add, ExpireMs: ms(life)})
}

func (d *door) SetTimer(after time.Duration, token string) {
	t := ms(after)
	d.put(action{Type: "SET_ALARM", SleepMs: &t, Tag: token})
}

func (d *door) Watch(on bool) { d.put(action{Type: "OBSERVE", On: &on}) }

func (d *door) Log(text string) {
	d.put(action{Type: "REMARK", Reason: strings.ToValidUTF8(text, "?")})
}

func seedOf(text string) (uint64, error) {
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return n, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return uint64(n), err
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
