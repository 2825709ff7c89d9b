package program

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	mdns "github.com/miekg/dns"

	"asterwell/internal/dns"
	"asterwell/internal/serverset"
)

// SRV is the operator's file for servers named by DNS SRV records. ASTERWELL_SRV
// names it; without that it is deploy/srv.json, if there is one. Times are in
// milliseconds. deploy/srv.schema.json is its schema, docs/srv.md its page.
type SRV struct {
	Enabled     bool     `json:"enabled"`
	Names       []string `json:"names"`
	NameServers []string `json:"name_servers"`
	ResolvConf  string   `json:"resolv_conf"`
	Families    []string `json:"families"`

	TimeoutMs   float64 `json:"timeout_ms"`
	Attempts    int     `json:"attempts"`
	QueriesPerS float64 `json:"queries_per_s"`
	QueriesOut  int     `json:"queries_out"`
	BackMs      float64 `json:"server_back_ms"`
	MostBackMs  float64 `json:"server_back_most_ms"`

	MinTTLMs         float64 `json:"min_ttl_ms"`
	MaxTTLMs         float64 `json:"max_ttl_ms"`
	NegativeMaxTTLMs float64 `json:"negative_max_ttl_ms"`
	StaleMs          float64 `json:"stale_ms"`
	RetryMs          float64 `json:"retry_ms"`

	ShrinkShare  float64 `json:"shrink_share"`
	ShrinkLeast  int     `json:"shrink_least"`
	ShrinkHoldMs float64 `json:"shrink_hold_ms"`

	List            bool    `json:"list"`
	ListPriority    uint16  `json:"list_priority"`
	SRVOnly         string  `json:"srv_only"`
	WithdrawnListed string  `json:"withdrawn_listed"`
	RemovedHoldMs   float64 `json:"removed_hold_ms"`
	DrainMs         float64 `json:"drain_ms"`
	KeepMs          float64 `json:"keep_ms"`

	JoinBelow   float64 `json:"join_below"`
	LeaveAbove  float64 `json:"leave_above"`
	LeaveHoldMs float64 `json:"leave_hold_ms"`
	DeadAfter   int     `json:"dead_after"`

	DefaultZone string    `json:"default_zone"`
	Zones       []SRVZone `json:"zones"`
}

// SRVZone gives targets whose names end so a zone.
type SRVZone struct {
	Suffix string `json:"suffix"`
	Zone   string `json:"zone"`
}

const srvFile = "deploy/srv.json"

// What withdrawn_listed may say.
const (
	withdrawnDrain = "drain"
	withdrawnKeep  = "keep"
)

// What srv_only may say.
const (
	srvOnlyUse    = "use"
	srvOnlySilent = "list_silent"
)

var families = map[string]uint16{"ipv4": mdns.TypeA, "ipv6": mdns.TypeAAAA}

// ReadSRV reads the operator's file, gives it its defaults and checks it. Without
// a file DNS is not asked.
func ReadSRV(env func(string) string) (*SRV, error) {
	path := env("ASTERWELL_SRV")
	if path == "" {
		path = srvFile
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			return &SRV{}, nil
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ASTERWELL_SRV: %w", err)
	}
	s, err := ParseSRV(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func defaultSRV() *SRV {
	return &SRV{Families: []string{"ipv4", "ipv6"}, TimeoutMs: 800, Attempts: 4, QueriesPerS: 200, QueriesOut: 32,
		BackMs: 500, MostBackMs: 30e3, MinTTLMs: 1000, MaxTTLMs: 300e3, NegativeMaxTTLMs: 60e3, StaleMs: 86400e3,
		RetryMs: 1000, ShrinkShare: 0.3, ShrinkLeast: 2, ShrinkHoldMs: 10e3, List: true,
		SRVOnly: srvOnlyUse, WithdrawnListed: withdrawnDrain, RemovedHoldMs: 60e3, DrainMs: 10e3, KeepMs: 300e3, JoinBelow: 0.7,
		LeaveAbove: 0.9, LeaveHoldMs: 10e3, DeadAfter: 3}
}

// ParseSRV reads the text of an operator's file. An error names the key.
func ParseSRV(text []byte) (*SRV, error) {
	s := defaultSRV()
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(s); err != nil {
		return nil, keyed(err)
	}
	if _, err := in.Token(); err != io.EOF {
		return nil, errors.New("more behind the object")
	}
	if !s.Enabled { // what is off is not checked
		return s, nil
	}
	return s, s.check()
}

// check reports the first key that can't be used, and brings names into one form.
func (s *SRV) check() error {
	if len(s.Names) == 0 {
		return errors.New("names is missing")
	}
	for i, n := range s.Names {
		if _, ok := mdns.IsDomainName(n); !ok || n == "" || n == "." {
			return fmt.Errorf("names[%d]: not a domain name: %q", i, n)
		}
		s.Names[i] = strings.ToLower(mdns.Fqdn(n))
		if slices.Contains(s.Names[:i], s.Names[i]) {
			return fmt.Errorf("names[%d]: %q is named twice", i, n)
		}
	}
	if len(s.NameServers) == 0 && s.ResolvConf != "" {
		c, err := mdns.ClientConfigFromFile(s.ResolvConf)
		if err != nil {
			return fmt.Errorf("resolv_conf: %w", err)
		}
		for _, host := range c.Servers {
			s.NameServers = append(s.NameServers, netJoin(host, c.Port))
		}
	}
	if len(s.NameServers) == 0 {
		return errors.New("name_servers is missing")
	}
	for i, a := range s.NameServers {
		if ap, err := netip.ParseAddrPort(a); err != nil || ap.Port() == 0 {
			return fmt.Errorf("name_servers[%d]: not ip:port: %q", i, a)
		}
	}
	if len(s.Families) == 0 {
		return errors.New("families is empty")
	}
	for i, f := range s.Families {
		if families[f] == 0 {
			return fmt.Errorf("families[%d] must be ipv4 or ipv6, got %q", i, f)
		}
		if slices.Contains(s.Families[:i], f) {
			return fmt.Errorf("families[%d]: %q is named twice", i, f)
		}
	}
	for i, z := range s.Zones {
		if z.Suffix == "" {
			return fmt.Errorf("zones[%d].suffix is missing", i)
		}
	}
	for _, b := range []struct {
		key               string
		value, least, top float64
	}{
		{"timeout_ms", s.TimeoutMs, 10, 60e3}, {"attempts", float64(s.Attempts), 1, 20},
		{"queries_per_s", s.QueriesPerS, 1, 1e5}, {"queries_out", float64(s.QueriesOut), 1, 256},
		{"server_back_ms", s.BackMs, 1, 3600e3}, {"server_back_most_ms", s.MostBackMs, s.BackMs, 3600e3},
		{"min_ttl_ms", s.MinTTLMs, 10, 86400e3}, {"max_ttl_ms", s.MaxTTLMs, s.MinTTLMs, 7 * 86400e3},
		{"negative_max_ttl_ms", s.NegativeMaxTTLMs, s.MinTTLMs, 86400e3}, {"stale_ms", s.StaleMs, 0, 7 * 86400e3},
		{"retry_ms", s.RetryMs, 10, 3600e3}, {"shrink_share", s.ShrinkShare, 0, 1},
		{"shrink_least", float64(s.ShrinkLeast), 1, 1e6}, {"shrink_hold_ms", s.ShrinkHoldMs, 0, 3600e3},
		{"removed_hold_ms", s.RemovedHoldMs, 0, 86400e3}, {"drain_ms", s.DrainMs, 0, 3600e3},
		{"keep_ms", s.KeepMs, 0, 7 * 86400e3}, {"join_below", s.JoinBelow, 0, 1},
		{"leave_above", s.LeaveAbove, s.JoinBelow, 1}, {"leave_hold_ms", s.LeaveHoldMs, 0, 3600e3},
		{"dead_after", float64(s.DeadAfter), 1, 1000},
	} {
		if !(b.value >= b.least && b.value <= b.top) {
			return fmt.Errorf("%s must be %v to %v, got %v", b.key, b.least, b.top, b.value)
		}
	}
	if s.WithdrawnListed != withdrawnDrain && s.WithdrawnListed != withdrawnKeep {
		return fmt.Errorf("withdrawn_listed must be %s or %s, got %q", withdrawnDrain, withdrawnKeep, s.WithdrawnListed)
	}
	if s.SRVOnly != srvOnlyUse && s.SRVOnly != srvOnlySilent {
		return fmt.Errorf("srv_only must be %s or %s, got %q", srvOnlyUse, srvOnlySilent, s.SRVOnly)
	}
	return nil
}

func netJoin(host, port string) string {
	if strings.Contains(host, ":") {
		return "[" + host + "]:" + port
	}
	return host + ":" + port
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// resolver are the resolver's options.
func (s *SRV) resolver(seed uint64) dns.Options {
	o := dns.Options{Servers: s.NameServers, Names: s.Names, Timeout: ms(s.TimeoutMs), Attempts: s.Attempts,
		PerSec: s.QueriesPerS, Most: s.QueriesOut, Back: ms(s.BackMs), MostBack: ms(s.MostBackMs), Seed: seed,
		Life: dns.Life{Min: ms(s.MinTTLMs), Max: ms(s.MaxTTLMs), NegMax: ms(s.NegativeMaxTTLMs), Stale: ms(s.StaleMs),
			Retry: ms(s.RetryMs)},
		Guard: dns.Guard{Share: s.ShrinkShare, Least: s.ShrinkLeast, Hold: ms(s.ShrinkHoldMs)}}
	for _, f := range s.Families {
		o.Families = append(o.Families, families[f])
	}
	return o
}

// membership are the figures of the rule.
func (s *SRV) membership() serverset.Options {
	return serverset.Options{RemovedHold: ms(s.RemovedHoldMs), DrainFor: ms(s.DrainMs), TrustFor: ms(s.KeepMs),
		ListOverridesSRV: s.WithdrawnListed == withdrawnKeep, SRVOnlyWhileListSilent: s.SRVOnly == srvOnlySilent, NoList: !s.List, TierJoinBelow: s.JoinBelow,
		TierLeaveAbove: s.LeaveAbove, TierLeaveHold: ms(s.LeaveHoldMs), DeadAfterFailures: s.DeadAfter, ListPriority: s.ListPriority}
}

// zone is the one of a target.
func (s *SRV) zone(host string) string {
	for _, z := range s.Zones {
		if strings.HasSuffix(host, strings.ToLower(mdns.Fqdn(z.Suffix))) {
			return z.Zone
		}
	}
	return s.DefaultZone
}
