package adminclient

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"

	"asterwell/internal/buildinfo"
	"asterwell/internal/memberlist"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
)

// Status is one gateway's view of itself, of the consensus and of the other processes.
type Status struct {
	Name, Mesh     string
	ContactS       *float64 // as in adminapi.Members
	Ready, Leaving bool
	Version        string // configuration in force at this gateway
	Pact           Consensus
	Rollout        rollout.Status
	Turns          Turns
	Nodes          []Node
	Servers        []Server
	Build          *buildinfo.Info // nil: the process is of an earlier version, and has none of the following
	Standstills    Standstills
	Disk           Disk
}

// Standstills counts the pauses in which the process did not run: it was stopped, its machine paused, or no processor was free.
type Standstills struct {
	Count              int
	LongestMs, TotalMs int64
}

// Disk counts the process's writes to disk.
type Disk struct {
	Writes, Slow, UnderWay int
	LongestMs              int64
}

// Turns counts the requests that the gateway has held for their turn since its start, and those it
// refused: InTurn because a turn took too long, Unleased because no decision was possible.
type Turns struct {
	Held, InTurn, Unleased int64
	HeldMostMs             float64
}

// Consensus is the gateway's view of the consensus group. Addresses are mesh addresses.
type Consensus struct {
	Role             string
	Epoch            uint64
	Primary          string
	Members, Writers []string
	Version          uint32
}

// Node is a process of the system.
type Node struct {
	Addr, Name, Zone, Control string
	Member, Ready             bool
	State                     state
	Held                      uint32
}

// Server is one incarnation of a server.
type Server struct {
	ID, Addr, Service, Zone string
	Capacity                int
	Phase                   phase
}

// state and phase are names. Gateways may send them as numbers.
type (
	state string
	phase string
)

func (s *state) UnmarshalJSON(b []byte) error {
	return unmarshalName(b, (*string)(s), func(n uint8) string { return memberlist.State(n).String() })
}

func (p *phase) UnmarshalJSON(b []byte) error {
	return unmarshalName(b, (*string)(p), func(n uint8) string { return registry.Phase(n).String() })
}

// unmarshalName decodes a name, or a number that it translates with name.
func unmarshalName(b []byte, to *string, name func(uint8) string) error {
	var n uint8
	if err := json.Unmarshal(b, &n); err != nil {
		return json.Unmarshal(b, to)
	}
	*to = name(n)
	return nil
}

// Role returns the role of a process in the consensus group. A gateway knows of itself whether it
// is still a member; other processes are identified by address alone.
func (s *Status) Role(n Node) string {
	switch {
	case n.Addr == s.Mesh && n.Member && s.Pact.Role == "follower":
		return "joining"
	case n.Addr == s.Pact.Primary:
		return "primary"
	case slices.Contains(s.Pact.Writers, n.Addr):
		return "backup"
	case slices.Contains(s.Pact.Members, n.Addr):
		return "witness"
	case n.Member:
		return "joining"
	}
	return "-"
}

// Write prints a table of the processes, and one of the servers by service and phase.
func (s *Status) Write(to io.Writer) error {
	fmt.Fprintf(to, "as %s sees it: epoch %d, primary %s, configuration %s%s\n\n", s.Name, s.Pact.Epoch,
		cmp.Or(s.nodeName(s.Pact.Primary), "none"), s.Version, contactWarning(s.ContactS))
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tROLE\tSTATE\tHOLDS\tREADY\tCONTROL")
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%08x\t%s\t%s\n", n.Name, n.Zone, s.Role(n), n.State, n.Held,
			lo.Ternary(n.Ready, "yes", "no"), n.Control)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nSERVICE\tSERVERS\tPHASES")
	by := lo.GroupBy(s.Servers, func(v Server) string { return v.Service })
	for _, service := range sortedKeys(by) {
		phases := lo.CountValuesBy(by[service], func(v Server) string { return string(v.Phase) })
		texts := lo.Map(sortedKeys(phases), func(p string, _ int) string { return fmt.Sprintf("%d %s", phases[p], p) })
		fmt.Fprintf(w, "%s\t%d\t%s\n", service, len(by[service]), strings.Join(texts, ", "))
	}
	if err := w.Flush(); err != nil || s.Build == nil {
		return err
	}
	_, err := fmt.Fprintf(to, "\nbuild: %v\nstood still: %d times, %d ms at most\nslow writes to disk: %d of %d, %d ms at most, %d under way\n", s.Build,
		s.Standstills.Count, s.Standstills.LongestMs, s.Disk.Slow, s.Disk.Writes, s.Disk.LongestMs, s.Disk.UnderWay)
	return err
}

func (s *Status) nodeName(addr string) string {
	n, _ := lo.Find(s.Nodes, func(n Node) bool { return n.Addr == addr })
	return cmp.Or(n.Name, addr)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
