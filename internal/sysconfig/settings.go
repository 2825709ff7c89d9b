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

// Settings are read from the settings file when a process starts, and again when the
// file changes.
type Settings struct {
	NodeName, Role, MachineClass string
	Serves                       []string
	IpAddr, Zone, Region         string
	Zones                        map[string]string // zone → region
	Bind                         Bind
	PortRange                    [2]int // first and last port of a range, both free for the process
	Bootstrap                    []string
	Genesis, QuorumMember        bool
	BoundsReq                    Share
	StateDir                     string // empty if the machine has no disk
	HeartbeatMs                  int
	Guarantees                   []string
	FaultBudget                  FaultBudget
	Bounds                       Bounds
	FaultRules                   FaultRules
}

// Bind holds the listen addresses of the interfaces that the role serves; the others are
// empty.
type Bind struct{ Ingress, Readiness, ControlPlane string }

// Share is the process's share of its machine's resources. 0 means not specified.
type Share struct {
	CpuFraction   float64
	CpuCount      float64
	MemMb         int
	FdLimit       int
	BandwidthMbps float64
	StorageMb     int
}

// FaultBudget is the number of machines, zones and regions that may fail at the same time
// while every guarantee still holds.
type FaultBudget struct{ MachineLosses, Zones, Regions int }

// FaultRules permits operators to inject faults into the requests of single tenants
// (docs/faults.md). LongestS is the longest lifetime of such a rule in seconds; 0 disables
// fault injection.
type FaultRules struct{ LongestS float64 }

// Has reports whether a guarantee is enabled.
func (s *Settings) Has(guarantee string) bool { return slices.Contains(s.Guarantees, guarantee) }

// ServesTo reports whether this process serves callers of a kind (edge, controller).
func (s *Settings) ServesTo(kind string) bool { return slices.Contains(s.Serves, kind) }

// ReadSettings reads the settings file at path. Its error joins one *Fault for each key
// that is missing or invalid, so that a file can be corrected in one pass. Only keys that
// the process can't run without are required; the others have safe defaults.
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

// ParseSettings parses the text of a settings file; path is used only in faults.
func ParseSettings(path string, text []byte) (*Settings, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, &Fault{File: path, Why: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, &Fault{File: path, Why: "not a mapping of keys"}
	}
	r := &settingsReader{path: path, root: doc.Content[0]}
	s := r.settings()
	if len(r.faults) > 0 {
		return nil, errors.Join(r.faults...)
	}
	return s, nil
}

// settingsReader decodes the keys of a settings file and collects the faults.
type settingsReader struct {
	path   string
	root   *yaml.Node
	faults []error
}

func (r *settingsReader) settings() *Settings {
	s := &Settings{HeartbeatMs: 1500, Bounds: defaultBounds()}
	r.required("NodeName", &s.NodeName)
	r.optional("Role", &s.Role)
	r.optional("MachineClass", &s.MachineClass)
	r.optional("Serves", &s.Serves)
	r.required("IpAddr", &s.IpAddr)
	r.required("Zone", &s.Zone)
	r.optional("Region", &s.Region)
	r.optional("Zones", &s.Zones)
	r.optional("Bind.Ingress", &s.Bind.Ingress)
	r.optional("Bind.Readiness", &s.Bind.Readiness)
	r.optional("Bind.ControlPlane", &s.Bind.ControlPlane)
	r.optional("Bootstrap", &s.Bootstrap)
	r.optional("Genesis", &s.Genesis)
	r.optional("QuorumMember", &s.QuorumMember)
	r.optional("BoundsReq.CpuFraction", &s.BoundsReq.CpuFraction)
	r.optional("BoundsReq.CpuCount", &s.BoundsReq.CpuCount)
	r.optional("BoundsReq.MemMb", &s.BoundsReq.MemMb)
	r.optional("BoundsReq.FdLimit", &s.BoundsReq.FdLimit)
	r.optional("BoundsReq.BandwidthMbps", &s.BoundsReq.BandwidthMbps)
	r.optional("BoundsReq.StorageMb", &s.BoundsReq.StorageMb)
	r.optional("StateDir", &s.StateDir)
	r.optional("HeartbeatMs", &s.HeartbeatMs)
	r.optional("Guarantees", &s.Guarantees)
	r.optional("FaultBudget.MachineLosses", &s.FaultBudget.MachineLosses)
	r.optional("FaultBudget.Zones", &s.FaultBudget.Zones)
	r.optional("FaultBudget.Regions", &s.FaultBudget.Regions)
	r.optional("FaultRules.LongestS", &s.FaultRules.LongestS)
	r.portRange(&s.PortRange)
	r.bounds(&s.Bounds)
	r.checkConsistency(s)
	return s
}

// checkConsistency fills in the region and the zones, and validates addresses, numbers
// and keys that depend on each other.
func (r *settingsReader) checkConsistency(s *Settings) {
	if s.Region == "" {
		s.Region = s.Zones[s.Zone]
	}
	if s.Zones == nil {
		s.Zones = map[string]string{s.Zone: s.Region}
	}
	if a, err := netip.ParseAddr(s.IpAddr); s.IpAddr != "" && (err != nil || !a.Is4()) {
		r.addFault("IpAddr", "not an IPv4 address: "+s.IpAddr)
	}
	for _, b := range []struct{ key, addr, kind string }{
		{"Bind.Ingress", s.Bind.Ingress, "edge"},
		{"Bind.Readiness", s.Bind.Readiness, "edge"},
		{"Bind.ControlPlane", s.Bind.ControlPlane, "controller"},
	} {
		if b.addr == "" && s.ServesTo(b.kind) {
			r.addFault(b.key, "missing, and the role serves "+b.kind)
		}
		r.checkAddress(b.key, b.addr)
	}
	for i, addr := range s.Bootstrap {
		r.checkAddress("Bootstrap["+strconv.Itoa(i)+"]", addr)
	}
	if s.HeartbeatMs <= 0 {
		r.addFault("HeartbeatMs", "must be above 0")
	}
	if l := s.FaultRules.LongestS; !(l >= 0 && l <= 86400) {
		r.addFault("FaultRules.LongestS", "not from 0 to 86400")
	}
	if s.BoundsReq.CpuFraction < 0 || s.BoundsReq.MemMb < 0 || s.BoundsReq.FdLimit < 0 {
		r.addFault("BoundsReq", "has a figure below 0")
	}
}

// checkAddress reports a fault unless addr is empty or an IP address with a port.
func (r *settingsReader) checkAddress(key, addr string) {
	if _, err := netip.ParseAddrPort(addr); addr != "" && err != nil {
		r.addFault(key, "not an address with a port: "+addr)
	}
}

func (r *settingsReader) portRange(target *[2]int) {
	var ports []int
	if !r.required("PortRange", &ports) {
		return
	}
	if len(ports) != 2 || ports[0] < 1 || ports[1] < ports[0] || ports[1] > 65535 {
		r.addFault("PortRange", "needs two ports, the first not above the second")
		return
	}
	*target = [2]int{ports[0], ports[1]}
}

// required decodes a key that must be present and not empty, and reports whether it was
// decoded.
func (r *settingsReader) required(key string, target any) bool {
	n, _ := r.find(key)
	if n == nil || n.Kind == yaml.ScalarNode && n.Value == "" {
		r.addFault(key, "missing")
		return false
	}
	return r.optional(key, target)
}

// optional decodes a key into target, which keeps its value if the key is absent or null.
// It returns false if the value can't be decoded.
func (r *settingsReader) optional(key string, target any) bool {
	n, _ := r.find(key)
	if n == nil || n.Tag == "!!null" {
		return true
	}
	if err := n.Decode(target); err != nil {
		r.addFault(key, decodeErrorReason(err))
		return false
	}
	return true
}

// decodeErrorReason returns the decoder's first error without its prefix and line number.
func decodeErrorReason(err error) string {
	why := err.Error()
	if te := (*yaml.TypeError)(nil); errors.As(err, &te) && len(te.Errors) > 0 {
		why = te.Errors[0]
	}
	if _, rest, ok := strings.Cut(why, ": "); ok && strings.HasPrefix(why, "line ") {
		why = rest
	}
	return why
}

// find returns the node of a dotted key, or nil. It also returns the line of the deepest
// existing part of the key, so that a fault about a missing key can point to it.
func (r *settingsReader) find(key string) (*yaml.Node, int) {
	n, line := r.root, 0
	for part := range strings.SplitSeq(key, ".") {
		name, rest, indexed := strings.Cut(part, "[")
		n = mappingValue(n, name)
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

// mappingValue returns the value of a key of a mapping, with an alias resolved, or nil.
func mappingValue(n *yaml.Node, name string) *yaml.Node {
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

func (r *settingsReader) addFault(key, why string) {
	_, line := r.find(key)
	r.faults = append(r.faults, &Fault{File: r.path, Line: line, Key: key, Why: why})
}
