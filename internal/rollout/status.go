package rollout

import "asterwell/internal/fsm"

// Status is the state of the rollout for operators. Only the primary knows about other nodes.
type Status struct {
	Mode     string // of the live version
	Live     uint32
	Newest   uint32 // not live if it differs from Live
	Fate     string // of the newest version
	Why      string `json:",omitempty"`
	Stage    string `json:",omitempty"` // of the rollout in progress
	Leads    bool
	Enough   bool      // enough nodes have confirmed
	SinceMs  int64     `json:",omitempty"` // since the primary saw the change
	WithinMs int64     `json:",omitempty"`
	Prepared []string  `json:",omitempty"`
	Refused  []Refusal `json:",omitempty"`
	Missing  []string  `json:",omitempty"` // live nodes that have neither confirmed nor refused it
	Lapsed   []string  `json:",omitempty"` // nodes without a lease: they refuse effectful requests
	Here     string    `json:",omitempty"` // what this node may decide
}

// Refusal is a node's reason to refuse a version.
type Refusal struct{ Name, Why string }

// Status returns the current status.
func (m *Machine) Status(now fsm.Time) Status {
	s := Status{Mode: "each", Live: m.state.Version, Newest: m.doc.Version, Fate: m.state.Fate.String(), Why: m.state.Why,
		WithinMs: m.rollout.Within.Milliseconds()}
	if !m.rollout.Together {
		return s
	}
	s.Mode = "together"
	_, s.Here = m.holder.State(now)
	if m.lead == nil || m.lead.conduct == nil {
		return s
	}
	s.Leads = true
	stage, all := m.lead.conduct.Status(now)
	leased, held, refused := map[string]bool{}, map[string]bool{}, map[string]string{}
	for _, n := range all {
		leased[n.Name] = leased[n.Name] || n.Leased
		if n.Checked == uint64(m.doc.Version) {
			held[n.Name] = held[n.Name] || n.Refusal == ""
			refused[n.Name] = n.Refusal
		}
	}
	pending := m.state.Fate == Prepared
	if pending {
		s.Stage, s.Enough, s.SinceMs = stage.String(), m.enoughConfirmed(now), (now - m.lead.pendingSince).Milliseconds()
	}
	for _, n := range m.nodes {
		if !leased[n.Name] {
			s.Lapsed = append(s.Lapsed, n.Name)
		}
		switch {
		case !pending:
		case held[n.Name]:
			s.Prepared = append(s.Prepared, n.Name)
		case refused[n.Name] != "":
			s.Refused = append(s.Refused, Refusal{n.Name, refused[n.Name]})
		default:
			s.Missing = append(s.Missing, n.Name)
		}
	}
	s.Prepared, s.Missing, s.Lapsed = sortedUnique(s.Prepared), sortedUnique(s.Missing), sortedUnique(s.Lapsed)
	return s
}

// Newest returns the newest version held here and its fate.
func (m *Machine) Newest() (version uint32, fate Fate) { return m.doc.Version, m.state.Fate }

// LiveText returns the text of the live version.
func (m *Machine) LiveText() []byte { return m.state.Body }
