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

	"asterwell/internal/memberlist"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
)

// Status is what one gateway knows: of itself, of agreement, of the others.
type Status struct {
	Name, Mesh     string
	ContactS       *float64 // as in adminapi.Members
	Ready, Leaving bool
	Version        string // of the configuration in force there
	Pact           Pact
	Rollout        rollout.Status
	Turns          Turns
	Nodes          []Node
	Servers        []Server
}

// Turns is what that gateway has held in turns and refused since its start: InTurn where
// one took too long, Unleased where nothing could be decided.
type Turns struct {
	Held, InTurn, Unleased int64
	HeldMostMs             float64
}

// Pact is agreement as that gateway sees it; the addresses are of the mesh.
type Pact struct {
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

// Server is one life of a server.
type Server struct {
	ID, Addr, Service, Zone string
	Capacity                int
	Phase                   phase
}

// state and phase are words; a gateway may send their numbers.
type (
	state string
	phase string
)

func (s *state) UnmarshalJSON(b []byte) error {
	return word(b, (*string)(s), func(n uint8) string { return memberlist.State(n).String() })
}

func (p *phase) UnmarshalJSON(b []byte) error {
	return word(b, (*string)(p), func(n uint8) string { return registry.Phase(n).String() })
}

func word(b []byte, to *string, name func(uint8) string) error {
	var n uint8
	if err := json.Unmarshal(b, &n); err != nil {
		return json.Unmarshal(b, to)
	}
	*to = name(n)
	return nil
}

// Duty is what a process does in agreement. Of itself a gateway knows whether it still
// has its seat; others go by the address alone.
func (s *Status) Duty(n Node) string {
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

// Write prints two tables: the processes, and the servers by service and phase.
func (s *Status) Write(to io.Writer) error {
	fmt.Fprintf(to, "as %s sees it: epoch %d, primary %s, configuration %s%s\n\n", s.Name, s.Pact.Epoch,
		cmp.Or(s.named(s.Pact.Primary), "none"), s.Version, apart(s.ContactS))
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tROLE\tSTATE\tHOLDS\tREADY\tCONTROL")
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%08x\t%s\t%s\n", n.Name, n.Zone, s.Duty(n), n.State, n.Held,
			lo.Ternary(n.Ready, "yes", "no"), n.Control)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nSERVICE\tSERVERS\tPHASES")
	by := lo.GroupBy(s.Servers, func(v Server) string { return v.Service })
	for _, service := range sorted(by) {
		phases := lo.CountValuesBy(by[service], func(v Server) string { return string(v.Phase) })
		texts := lo.Map(sorted(phases), func(p string, _ int) string { return fmt.Sprintf("%d %s", phases[p], p) })
		fmt.Fprintf(w, "%s\t%d\t%s\n", service, len(by[service]), strings.Join(texts, ", "))
	}
	return w.Flush()
}

func (s *Status) named(addr string) string {
	n, _ := lo.Find(s.Nodes, func(n Node) bool { return n.Addr == addr })
	return cmp.Or(n.Name, addr)
}

func sorted[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
