package cluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"asterwell/internal/policy"
	"asterwell/internal/settings"
)

// Config is the operator's file for a cluster of gateways that may communicate.
// ASTERWELL_CLUSTER names the file; the default is deploy/cluster.json, if it exists.
// Times are in milliseconds. Its schema is deploy/cluster.schema.json, its
// documentation docs/policy.md.
type Config struct {
	Enabled bool   `json:"enabled"`
	Cluster string `json:"cluster"` // the cluster's name: frames of other clusters are rejected
	Name    string `json:"name"`    // this member's name; default: the gateway's
	Zone    string `json:"zone"`
	Listen  string `json:"listen"`  // address of the port for other members
	Address string `json:"address"` // address at which others reach it; default: listen
	Folder  string `json:"folder"`  // for the log; needed only by voters and members that may become voters

	Voters    []Named           `json:"voters"`    // initial voters; later changes are learned from the cluster
	Addresses map[string]string `json:"addresses"` // overrides of members' addresses, by name

	LeaseMs       float64 `json:"lease_ms"`
	DriftShare    float64 `json:"drift_share"`
	RenewMs       float64 `json:"renew_ms"`
	CheckWithinMs float64 `json:"check_within_ms"`
	HoldWithinMs  float64 `json:"hold_within_ms"`
	WaitMs        float64 `json:"wait_ms"` // how long a request waits for a change to be put in force

	WithoutMajority string `json:"without_majority"`
	Connections     int    `json:"connections"`
}

// Named is a member's name and address in the file.
type Named struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Values of without_majority.
const (
	Refuse = "refuse" // a gateway without a lease refuses requests at once
	Serve  = "serve"  // it keeps using its last version
)

// ParseConfig parses and validates an operator's file. An error names the key, or the
// line of a syntax error.
func ParseConfig(text []byte) (*Config, error) {
	d := policy.DefaultTerms
	c := &Config{LeaseMs: ms(d.Lease), DriftShare: d.Drift, RenewMs: ms(d.Renew), CheckWithinMs: ms(d.CheckWithin),
		HoldWithinMs: ms(d.HoldWithin), WaitMs: 100, WithoutMajority: Refuse, Connections: 2048}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(c); err != nil {
		return nil, settings.WithLine(text, err)
	}
	if _, err := in.Token(); err != io.EOF {
		return nil, errors.New("more behind the object")
	}
	if !c.Enabled { // a disabled cluster is not validated
		return c, nil
	}
	return c, c.check()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (c *Config) check() error {
	if c.Cluster == "" {
		return errors.New("cluster is missing")
	}
	for _, n := range []struct{ key, name string }{{"cluster", c.Cluster}, {"name", c.Name}} {
		if len(n.name) > 100 {
			return fmt.Errorf("%s is longer than 100 bytes", n.key)
		}
	}
	if err := hostPort("listen", c.Listen); err != nil {
		return err
	}
	if c.Address == "" {
		c.Address = c.Listen
	}
	if err := hostPort("address", c.Address); err != nil {
		return err
	}
	if len(c.Voters) == 0 {
		return errors.New("voters is missing")
	}
	seen := map[string]bool{}
	for i, v := range c.Voters {
		if v.Name == "" || seen[v.Name] {
			return fmt.Errorf("voters[%d].name is missing, or another's", i)
		}
		seen[v.Name] = true
		if err := hostPort(fmt.Sprintf("voters[%d].address", i), v.Address); err != nil {
			return err
		}
	}
	for name, a := range c.Addresses {
		if err := hostPort("addresses."+name, a); err != nil {
			return err
		}
	}
	for _, b := range []struct {
		key               string
		value, least, top float64
	}{
		{"lease_ms", c.LeaseMs, 300, 60e3}, {"drift_share", c.DriftShare, 0, 0.5}, {"renew_ms", c.RenewMs, 20, c.LeaseMs / 3},
		{"check_within_ms", c.CheckWithinMs, 20, 60e3}, {"hold_within_ms", c.HoldWithinMs, 5, 10e3}, {"wait_ms", c.WaitMs, 0, 10e3},
		{"connections", float64(c.Connections), 8, 1e5},
	} {
		if !(b.value >= b.least && b.value <= b.top) {
			return fmt.Errorf("%s must be %v to %v, got %v", b.key, b.least, b.top, b.value)
		}
	}
	if c.WithoutMajority != Refuse && c.WithoutMajority != Serve {
		return fmt.Errorf("without_majority must be %s or %s, got %q", Refuse, Serve, c.WithoutMajority)
	}
	return nil
}

func hostPort(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s is missing", key)
	}
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s: not host:port: %q", key, value)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%s: not a port: %q", key, port)
	}
	return nil
}

// Terms returns the timing parameters. They must be the same at all members.
func (c *Config) Terms() policy.Terms {
	return policy.Terms{Lease: milliseconds(c.LeaseMs), Drift: c.DriftShare, Renew: milliseconds(c.RenewMs), CheckWithin: milliseconds(c.CheckWithinMs), HoldWithin: milliseconds(c.HoldWithinMs)}
}

// seeds returns the members to contact first: the initial voters and all members in
// Addresses.
func (c *Config) seeds() []Named {
	all := slices.Clone(c.Voters)
	for _, name := range slices.Sorted(maps.Keys(c.Addresses)) {
		if !slices.ContainsFunc(all, func(v Named) bool { return v.Name == name }) {
			all = append(all, Named{name, c.Addresses[name]})
		}
	}
	return all
}

// Reach returns the address at which a member is reached from here.
func (c *Config) Reach(name, address string) string {
	if a := c.Addresses[name]; a != "" {
		return a
	}
	return address
}
