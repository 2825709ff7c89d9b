package sysconfig

import (
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Settings is what a process is told at its start, and again when the file changes.
type Settings struct {
	NodeName, Role, MachineClass string
	Serves                       []string
	IpAddr, Zone, Region         string
	Zones                        map[string]string // zone → region
	Bind                         Bind
	PortRange                    [2]int // from the first to the second, both free
	Bootstrap                    []string
	Genesis, QuorumMember        bool
	BoundsReq                    Share
	StateDir                     string // empty where the machine has no disk
	HeartbeatMs                  int
	Guarantees                   []string
	FaultBudget                  FaultBudget
	Bounds                       Bounds
	FaultRules                   FaultRules
}

// Bind has the addresses of what the role serves; the others are empty.
type Bind struct{ Ingress, Readiness, ControlPlane string }

// Share is the process's part of its machine. What is 0 was not told.
type Share struct {
	CpuFraction   float64
	CpuCount      float64
	MemMb         int
	FdLimit       int
	BandwidthMbps float64
	StorageMb     int
}

// FaultBudget is what may be lost at one time while every rule holds.
type FaultBudget struct{ MachineLosses, Zones, Regions int }

// FaultRules lets operators strike single tenants (docs/faults.md), by rules that end within
// so many seconds; 0: not at all.
type FaultRules struct{ LongestS float64 }

// Has tells whether a part of the rules is in force.
func (s *Settings) Has(guarantee string) bool { return slices.Contains(s.Guarantees, guarantee) }

// ServesTo tells whether callers of a kind (edge, controller) come to this process.
func (s *Settings) ServesTo(kind string) bool { return slices.Contains(s.Serves, kind) }

// ReadSettings reads the file at path. Its error joins one *Fault for each key that
// is missing or wrong, so that a file is put right in one go. Keys that no rule can
// do without are asked for; the rest is left at a value that does no harm.
func ReadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		why := err
		if pe := (*fs.PathError)(nil); errors.As(err, &pe) {
			why = pe.Err
		}
		return nil, &Fault{File: path, Why: why.Error()}
	}
	return ParseSettings(path, text)
}

// ParseSettings reads the text of a settings file; path is only named in faults.
func ParseSettings(path string, text []byte) (*Settings, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, &Fault{File: path, Why: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, &Fault{File: path, Why: "not a mapping of keys"}
	}
	r := &reader{path: path, root: doc.Content[0]}
	s := r.settings()
	if len(r.faults) > 0 {
		return nil, errors.Join(r.faults...)
	}
	return s, nil
}

type reader struct {
	path   string
	root   *yaml.Node
	faults []error
}

func (r *reader) settings() *Settings {
	s := &Settings{HeartbeatMs: 1500, Bounds: usual()}
	r.must("NodeName", &s.NodeName)
	r.may("Role", &s.Role)
	r.may("MachineClass", &s.MachineClass)
	r.may("Serves", &s.Serves)
	r.must("IpAddr", &s.IpAddr)
	r.must("Zone", &s.Zone)
	r.may("Region", &s.Region)
	r.may("Zones", &s.Zones)
	r.may("Bind.Ingress", &s.Bind.Ingress)
	r.may("Bind.Readiness", &s.Bind.Readiness)
	r.may("Bind.ControlPlane", &s.Bind.ControlPlane)
	r.may("Bootstrap", &s.Bootstrap)
	r.may("Genesis", &s.Genesis)
	r.may("QuorumMember", &s.QuorumMember)
	r.may("BoundsReq.CpuFraction", &s.BoundsReq.CpuFraction)
	r.may("BoundsReq.CpuCount", &s.BoundsReq.CpuCount)
	r.may("BoundsReq.MemMb", &s.BoundsReq.MemMb)
	r.may("BoundsReq.FdLimit", &s.BoundsReq.FdLimit)
	r.may("BoundsReq.BandwidthMbps", &s.BoundsReq.BandwidthMbps)
	r.may("BoundsReq.StorageMb", &s.BoundsReq.StorageMb)
	r.may("StateDir", &s.StateDir)
	r.may("HeartbeatMs", &s.HeartbeatMs)
	r.may("Guarantees", &s.Guarantees)
	r.may("FaultBudget.MachineLosses", &s.FaultBudget.MachineLosses)
	r.may("FaultBudget.Zones", &s.FaultBudget.Zones)
	r.may("FaultBudget.Regions", &s.FaultBudget.Regions)
	r.may("FaultRules.LongestS", &s.FaultRules.LongestS)
	r.portRange(&s.PortRange)
	r.bounds(&s.Bounds)
	r.relations(s)
	return s
}

// relations checks what one key alone doesn't show.
func (r *reader) relations(s *Settings) {
	if s.Region == "" {
		s.Region = s.Zones[s.Zone]
	}
	if s.Zones == nil {
		s.Zones = map[string]string{s.Zone: s.Region}
	}
	if a, err := netip.ParseAddr(s.IpAddr); s.IpAddr != "" && (err != nil || !a.Is4()) {
		r.fault("IpAddr", "not an IPv4 address: "+s.IpAddr)
	}
	for _, b := range []struct{ key, addr, kind string }{
		{"Bind.Ingress", s.Bind.Ingress, "edge"},
		{"Bind.Readiness", s.Bind.Readiness, "edge"},
		{"Bind.ControlPlane", s.Bind.ControlPlane, "controller"},
	} {
		if b.addr == "" && s.ServesTo(b.kind) {
			r.fault(b.key, "missing, and the role serves "+b.kind)
		}
		r.address(b.key, b.addr)
	}
	for i, addr := range s.Bootstrap {
		r.address("Bootstrap["+strconv.Itoa(i)+"]", addr)
	}
	if s.HeartbeatMs <= 0 {
		r.fault("HeartbeatMs", "must be above 0")
	}
	if l := s.FaultRules.LongestS; !(l >= 0 && l <= 86400) {
		r.fault("FaultRules.LongestS", "not from 0 to 86400")
	}
	if s.BoundsReq.CpuFraction < 0 || s.BoundsReq.MemMb < 0 || s.BoundsReq.FdLimit < 0 {
		r.fault("BoundsReq", "has a figure below 0")
	}
}

func (r *reader) address(key, addr string) {
	if _, err := netip.ParseAddrPort(addr); addr != "" && err != nil {
		r.fault(key, "not an address with a port: "+addr)
	}
}

func (r *reader) portRange(to *[2]int) {
	var ports []int
	if !r.must("PortRange", &ports) {
		return
	}
	if len(ports) != 2 || ports[0] < 1 || ports[1] < ports[0] || ports[1] > 65535 {
		r.fault("PortRange", "needs two ports, the first not above the second")
		return
	}
	*to = [2]int{ports[0], ports[1]}
}

// must reads a key that has to be there and not empty; it tells whether it was read.
func (r *reader) must(key string, to any) bool {
	n, _ := r.find(key)
	if n == nil || n.Kind == yaml.ScalarNode && n.Value == "" {
		r.fault(key, "missing")
		return false
	}
	return r.may(key, to)
}

func (r *reader) may(key string, to any) bool {
	n, _ := r.find(key)
	if n == nil || n.Tag == "!!null" {
		return true
	}
	if err := n.Decode(to); err != nil {
		r.fault(key, plain(err))
		return false
	}
	return true
}

// plain is the decoder's first complaint without its own prefix and line.
func plain(err error) string {
	why := err.Error()
	if te := (*yaml.TypeError)(nil); errors.As(err, &te) && len(te.Errors) > 0 {
		why = te.Errors[0]
	}
	if _, rest, ok := strings.Cut(why, ": "); ok && strings.HasPrefix(why, "line ") {
		why = rest
	}
	return why
}

// find follows a key with dots from the root. Besides the node it returns the line
// of the deepest part there is, which a fault about a missing key can point to.
func (r *reader) find(key string) (*yaml.Node, int) {
	n, line := r.root, 0
	for part := range strings.SplitSeq(key, ".") {
		name, rest, indexed := strings.Cut(part, "[")
		n = child(n, name)
		if n == nil {
			return nil, line
		}
		line = n.Line
		if !indexed {
			continue
		}
		i, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		if err != nil || i >= len(n.Content) {
			return nil, line
		}
		n = n.Content[i]
		line = n.Line
	}
	return n, line
}

func child(n *yaml.Node, name string) *yaml.Node {
	if n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value != name {
			continue
		}
		if v := n.Content[i+1]; v.Kind != yaml.AliasNode {
			return v
		}
		return n.Content[i+1].Alias
	}
	return nil
}

func (r *reader) fault(key, why string) {
	_, line := r.find(key)
	r.faults = append(r.faults, &Fault{File: r.path, Line: line, Key: key, Why: why})
}
