// Package choice makes the decisions of a gateway that meters many customers'
// use of one shared service: whether to admit a request, which backend to
// send it to, when to retry, and what to report to the shared counter.
//
// This file declares the settings, events and actions. The decisions are in
// choice.go, meter.go and servers.go. A host creates one Balancer per gateway
// with New, calls a method for each event, and executes the Actions that the
// Balancer calls. A Balancer is not safe for concurrent use; it never blocks
// and reads no clock.
package choice

import (
	"fmt"
	"time"
)

// CounterTTL is the longest time that the shared counter keeps a name.
const CounterTTL = time.Minute

// Effect is the idempotency of a request: whether it may run more than once.
type Effect int

// The effects of a class.
const (
	Retryable    Effect = iota // idempotent
	Keyed                      // has an idempotency key: the class's Group drops repeats for KeyTTL
	NonRetryable               // must not run twice
)

// Group is the set of backends that deduplicates keyed requests.
type Group int

// The groups of a keyed class.
const (
	AllBackends Group = iota
	SameZone
	SameCell
)

// Class describes one kind of request.
type Class struct {
	Name        string
	Target      time.Duration `json:"Aim"` // gateways compare digests of the encoded class, so encoded names stay
	Deadline    time.Duration
	LateValue   float64 `json:"LateWorth"` // share of Value that a response after Target still has
	Value       float64
	Effect      Effect
	Group       Group
	KeyTTL      time.Duration
	Stream      bool
	MaxAttempts int `json:"Tries"` // for one request; 0: Settings.MaxAttempts
}

// Plan holds a customer's quotas and prices. Quotas hold over all gateways together.
type Plan struct {
	Name                                    string
	Rate, Burst                             float64 // units a second, and in a burst; Rate 0: no quota
	MaxOut                                  int     // attempts in flight; 0: no cap
	CeilingRate, CeilingBurst, CeilingSlack float64 // CeilingRate 0: no ceiling
	ValueFactor                             float64
	ExcessWorth, OverrunCost                float64 // shares of the value earned and paid beyond the quota
}

// Settings configure a Balancer.
type Settings struct {
	Gateways int // number of gateways
	Index    int // of this gateway, from 0
	Zone     string
	Classes  []Class
	Plans    []Plan

	Tick              time.Duration // shortest time between batches of events
	MaxAttempts       int
	TurnWeight        float64 // of the stride schedule against expected delay; 0: 1
	ServerConcurrency float64 // requests that a server processes concurrently; 0: unknown
	HeadroomSigmas    float64 // random variation, in standard deviations, that the limit on attempts allows for
	RetryRatio        float64 // retries that each request adds to the budget; 0: 0.1
	RetryBudget       float64 // most retries in the budget; 0: 10
	RefusesWhenBusy   bool    // servers refuse connections while busy: a refused one has not run
	Hedging           bool    // two attempts of one request may be in flight
	Cancels           bool
	Probes            bool
	RetryAfter        bool          // refusals carry a Retry-After
	MaxRetryAfter     time.Duration // longest that clients honor; 0: unknown
	ConnectTimeout    time.Duration
	Subscribe         bool          // roster updates come only after Watch
	MaxNewsAge        time.Duration // age at which a roster change counts as known; 0: unknown
	Weighted          bool          // roster weights are valid

	Counter        bool
	CounterTimeout time.Duration
	MaxUnits       float64
	PostPaid       bool // responses carry the actual units

	AnswerSlack   time.Duration
	DrainGrace    time.Duration
	ColdCapacity  float64       // share of its capacity that a server has right after its start
	WarmupTime    time.Duration // until a server has its full capacity
	OverloadRatio float64       // multiple of its capacity that a cold server can take; 0: no limit
	OverloadTime  time.Duration // window in which OverloadRatio applies
	CrossZone     float64       // price of an attempt in another zone
	CounterPrice  float64       // price of one counter call per request
	ProbePrice    float64       // price of one probe per request
	WastePrice    float64
	LateFailPrice float64
}

// Request is a client's request. It gets exactly one final answer.
type Request struct {
	ID           uint32
	Class        string
	Plan         string
	Customer     string
	Deadline     time.Duration // when the client stops waiting
	Units        float64
	Gateways     int // that may get this customer's requests
	FirstGateway int
	IsRetry      bool // a client's retry, where clients mark them
}

// State is a backend's state in the roster.
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
	Key     uint64 // the same at every gateway, unlike ID; 0: ID is
	Zone    string
	Kind    string
	Cell    int
	State   State
	Weight  float64
	Started time.Duration // its last start; 0: long ago
}

// RosterUpdate reports changes of the server list.
type RosterUpdate struct {
	Members []Member
	Whole   bool // replaces the whole list
	Saved   bool // the list saved by an earlier process, maybe outdated
	Broken  bool // fetching or watching failed; the old list stays valid
}

// Status is how an attempt, a probe or a counter call ended.
type Status int

// The statuses. Overloaded, ConnectFailed and NotExecuted prove that nothing ran. A probe that ends with
// NotExecuted proves nothing.
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

// Load is a backend's load report. The Has fields tell which figures it contains.
type Load struct {
	InFlight, Queue, Util          float64
	HasInFlight, HasQueue, HasUtil bool
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID          uint32
	Attempt     int
	Backend     uint32
	Status      Status
	Elapsed     time.Duration
	Final       bool    // the request is finished
	ActualUnits float64 // 0: as estimated
	Load        *Load
}

// ProbeResult is the end of a probe.
type ProbeResult struct {
	Backend uint32
	Status  Status
	Elapsed time.Duration
	Load    *Load
}

// CounterResult is the end of a counter call.
type CounterResult struct {
	Name    string
	Status  Status
	Total   float64
	Elapsed time.Duration
}

// Reason tells why a request was refused.
type Reason int

// The reasons of refusals.
const (
	DeadlinePassed Reason = iota // the deadline had passed on arrival
	NoServer                     // no server is eligible
	OverQuota                    // beyond the customer's quota
	Shed                         // load: it would have been late, or delayed others
	TargetPassed                 // load: its target had passed
	OverCeiling                  // beyond this gateway's share of the customer's ceiling
	AttemptsUsed                 // attempts failed without running, and no retry was allowed
	reasonCount
)

// Totals are counts since the start of a Balancer, and its current load figures.
type Totals struct {
	Refused  [reasonCount]int // by Reason
	InFlight float64          // moving mean of attempts in flight
	Limit    float64          // attempts in flight above which requests are refused
	SendRate float64          // attempts a second
}

// Actions are executed by the host.
type Actions interface {
	Send(id, backend uint32, limit time.Duration) // limit 0: the client's deadline
	Refuse(id uint32, retryAfter time.Duration)
	Fail(id uint32)
	Cancel(id uint32, attempt int) // attempts are numbered from 0
	Probe(backend uint32)
	AddToCounter(name string, add float64, life time.Duration)
	SetTimer(after time.Duration, token string)
	Watch(on bool)
	Log(text string)
}

// Validate returns an error for the first invalid setting.
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
