// Package choice makes the decisions of a gateway that meters many customers'
// use of one shared service: admit or refuse, which backend, when to try
// again, and what to tell the shared counter.
//
// This file is the whole interface: settings, events and actions. All
// decisions are in choice.go, meter.go and servers.go. A host creates one Balancer per gateway with
// New, calls a method for each event, and carries out what the Balancer asks
// of its Actions. A Balancer is not safe for concurrent use; it never blocks
// and reads no clock.
package choice

import (
	"fmt"
	"time"
)

// NameLife is the longest that the shared counter keeps a name.
const CounterNameTTL = time.Minute

// Effect tells whether a request may run more than once.
type Effect int

// The effects of a class.
const (
	Retryable    Effect = iota // harmless to repeat
	Keyed                      // repeats are dropped inside the class's Group, for KeyTTL
	NonRetryable               // must never run twice
)

// Group is the set of backends that drops repeats of a keyed request.
type Group int

// The groups of a keyed class.
const (
	AllBackends Group = iota
	SameZone
	SameCell
)

// Class describes one kind of request.
type Class struct {
	Name             string
	Target, Deadline time.Duration
	LateValue        float64 // share of the worth for an answer after the aim
	Value            float64
	Effect           Effect
	Group            Group
	KeyTTL           time.Duration
	Stream           bool
	MaxAttempts      int // servers that one request may be sent to; 0: the settings' MaxTries
}

// Plan is what a customer has bought. Quotas hold over all gateways together.
type Plan struct {
	Name                                    string
	Rate, Burst                             float64 // units a second and at once; Rate 0: no such quota
	MaxOut                                  int     // attempts out at once; 0: no such quota
	CeilingRate, CeilingBurst, CeilingSlack float64 // CeilingRate 0: no ceiling
	ValueFactor                             float64
	ExcessWorth, OverrunCost                float64 // shares of the worth earned and paid beyond the quota
}

// Settings are all that a Balancer is told at its start.
type Settings struct {
	Gateways int // gateways in all
	Index    int // which of them this one is, from 0
	Zone     string
	Classes  []Class
	Plans    []Plan

	Tick              time.Duration // shortest time between two batches of events
	MaxAttempts       int
	TurnWeight        float64 // how much the turns of servers count against expected delay; 0: as much as for many gateways
	ServerConcurrency float64 // requests that a server works on at once; 0: not known
	HeadroomSigmas    float64 // standard deviations of chance that the limit on attempts allows for
	RetryRatio        float64 // of a repeat that each request adds to the budget; 0: a tenth
	RetryBudget       float64 // repeats in the budget; 0: ten
	RefusesWhenBusy   bool    // servers refuse connections while they are busy: such an attempt reached nobody
	Hedging           bool    // two attempts of one request may be out at once
	Cancels           bool
	Probes            bool
	RetryAfter        bool          // clients are told when to come back
	MaxRetryAfter     time.Duration // the longest that they heed; 0: not known
	ConnectTimeout    time.Duration
	Subscribe         bool // roster changes come only after Watch
	MaxNewsAge        time.Duration
	Weighted          bool // roster weights mean something

	Counter        bool
	CounterTimeout time.Duration
	MaxUnits       float64
	PostPaid       bool // the true units come with the answer

	AnswerSlack   time.Duration
	DrainGrace    time.Duration
	ColdCapacity  float64
	WarmupTime    time.Duration
	OverloadRatio float64
	OverloadTime  time.Duration
	CrossZone     float64 // price of an attempt that crosses zones
	CounterPrice  float64 // price of one counter call a request
	ProbePrice    float64 // price of one probe a request
	WastePrice    float64
	LateFailPrice float64
}

// Request is a client's try, which is owed one final answer.
type Request struct {
	ID           uint32
	Class        string
	Plan         string
	Customer     string
	Deadline     time.Duration // clock time at which the client stops waiting
	Units        float64
	Gateways     int // gateways that may get this customer's requests
	FirstGateway int
	IsRetry      bool // a client's repeat, where clients mark it
}

// State is what the roster says of a backend.
type State int

// The states of a backend.
const (
	Up State = iota
	Draining
	Down
)

// Member is a roster entry.
type Member struct {
	ID      uint32
	Key     uint64 // the same at every gateway, whatever number it has there; 0: its ID is
	Zone    string
	Kind    string
	Cell    int
	State   State
	Weight  float64
	Started time.Duration // clock time of its last start; 0: long ago
}

// Roster is news of the fleet.
type RosterUpdate struct {
	Members []Member
	Whole   bool // the list replaces the old one
	Saved   bool // the list this gateway had before it stopped, maybe old
	Broken  bool // a Fetch or Watch failed; the old list stands
}

// Status is how an attempt, a probe or a counter call ended.
type Status int

// The statuses. Full, ConnectFailed and Moot prove that nothing ran; a probe that ends as Moot proves nothing at all.
const (
	OK Status = iota
	Error
	Overloaded
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotExecuted
)

// Load is a backend's report. Fields it does not give are absent.
type Load struct {
	InFlight, Queue, Util          float64
	HasInFlight, HasQueue, HasUtil bool
}

// Outcome ends an attempt.
type Outcome struct {
	ID          uint32
	Attempt     int
	Backend     uint32
	Status      Status
	Elapsed     time.Duration
	Final       bool    // the request is over
	ActualUnits float64 // true units; 0: as guessed
	Load        *Load
}

// Probed ends a probe.
type ProbeResult struct {
	Backend uint32
	Status  Status
	Elapsed time.Duration
	Load    *Load
}

// Counted ends a counter call.
type CounterResult struct {
	Name    string
	Status  Status
	Total   float64
	Elapsed time.Duration
}

// Reason is why a request was refused.
type Reason int

// The reasons of refusals.
const (
	DeadlinePassed Reason = iota // its client's time was up when it came
	NoServer                     // none may be sent anything now
	OverQuota                    // its customer's quota
	Shed                         // servers: it would have come late, or made others late
	TargetPassed                 // its aim has gone by, and the servers have others to serve
	OverCeiling                  // this gateway's share of its customer's ceiling
	AttemptsUsed                 // attempts failed without having run, and no further one was allowed
	reasonCount
)

// Books are totals of a Balancer since its start, and figures that it goes by.
type Totals struct {
	Refused  [reasonCount]int // by Reason
	InFlight float64          // mean attempts out, of late
	Limit    float64          // how many may be out before requests are refused
	SendRate float64          // attempts a second, of late
}

// Actions is what a host carries out for a Balancer.
type Actions interface {
	Send(id, backend uint32, limit time.Duration) // limit 0: as long as the client waits
	Refuse(id uint32, retryAfter time.Duration)
	Fail(id uint32)
	Cancel(id uint32, try int)
	Probe(backend uint32)
	AddToCounter(name string, add float64, life time.Duration)
	SetTimer(after time.Duration, token string)
	Watch(on bool)
	Log(text string)
}

// Validate reports the first setting that makes no sense.
func (s *Settings) Validate() error {
	if s.Gateways < 1 {
		return fmt.Errorf("Gateways must be at least 1, got %d", s.Gateways)
	}
	if s.Tick < 0 {
		return fmt.Errorf("Tick must not be negative, got %v", s.Tick)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("Classes must not be empty")
	}
	if s.Index < 0 {
		return fmt.Errorf("Index must not be negative, got %d", s.Index)
	}
	if !(s.ProbePrice >= 0) {
		return fmt.Errorf("ProbePrice must not be negative, got %v", s.ProbePrice)
	}
	for i, c := range s.Classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("Classes[%d].Name must not be empty", i)
		case c.Target <= 0:
			return fmt.Errorf("Classes[%d].Target must be above 0, got %v", i, c.Target)
		case c.Effect < Retryable || c.Effect > NonRetryable:
			return fmt.Errorf("Classes[%d].Effect is unknown: %d", i, c.Effect)
		case c.Group < AllBackends || c.Group > SameCell:
			return fmt.Errorf("Classes[%d].Group is unknown: %d", i, c.Group)
		}
	}
	for i, p := range s.Plans {
		switch {
		case !(p.Rate >= 0):
			return fmt.Errorf("Plans[%d].Rate must not be negative, got %v", i, p.Rate)
		case p.Rate > 0 && !(p.Burst >= 1):
			return fmt.Errorf("Plans[%d].Burst must be at least 1, got %v", i, p.Burst)
		case p.MaxOut < 0:
			return fmt.Errorf("Plans[%d].MaxOut must not be negative, got %d", i, p.MaxOut)
		case !(p.CeilingRate >= 0):
			return fmt.Errorf("Plans[%d].CeilingRate must not be negative, got %v", i, p.CeilingRate)
		case p.CeilingRate > 0 && !(p.CeilingBurst >= 1):
			return fmt.Errorf("Plans[%d].CeilingBurst must be at least 1, got %v", i, p.CeilingBurst)
		}
	}
	return nil
}
