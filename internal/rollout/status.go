package rollout

import "asterwell/internal/fsm"

// Status is how a rollout stands, for operators. Only the primary knows the nodes.
type Status struct {
	Mode     string // of what is live
	Live     uint32
	Newest   uint32 // not live if it differs from Live
	Fate     string // of the newest
	Why      string `json:",omitempty"`
	Stage    string `json:",omitempty"` // of a change under way
	Leads    bool
	Enough   bool      // have confirmed
	SinceMs  int64     `json:",omitempty"` // the primary has seen the change
	WithinMs int64     `json:",omitempty"`
	Prepared []string  `json:",omitempty"`
	Refused  []Refusal `json:",omitempty"`
	Missing  []string  `json:",omitempty"` // live nodes that have not said a word on it
	Lapsed   []string  `json:",omitempty"` // nodes without a lease: they refuse effectful requests
	Here     string    `json:",omitempty"` // what this node itself may do
}

// Refusal is a node's reason.
type Refusal struct{ Name, Why string }

// Status tells it.
func (m *Machine) Status(now fsm.Time) Status {
	s := Status{Mode: "each", Live: m.side.Version, Newest: m.doc.Version, Fate: m.side.Fate.String(), Why: m.side.Why,
		WithinMs: m.rollout.Within.Milliseconds()}
	if !m.rollout.Together {
		return s
	}
	s.Mode = "together"
	_, s.Here = m.holder.State(now)
	if m.lead == nil || m.lead.c == nil {
		return s
	}
	s.Leads = true
	stage, all := m.lead.c.Status(now)
	leased, held, refused := map[string]bool{}, map[string]bool{}, map[string]string{}
	for _, n := range all {
		leased[n.Name] = leased[n.Name] || n.Leased
		if n.Checked == uint64(m.doc.Version) {
			held[n.Name] = held[n.Name] || n.Refusal == ""
			refused[n.Name] = n.Refusal
		}
	}
	pending := m.side.Fate == Prepared
	if pending {
		s.Stage, s.Enough, s.SinceMs = stage.String(), m.enough(now), (now - m.lead.since).Milliseconds()
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
	s.Prepared, s.Missing, s.Lapsed = names(s.Prepared), names(s.Missing), names(s.Lapsed)
	return s
}

// Newest is the newest version held here, and what has become of it.
func (m *Machine) Newest() (version uint32, fate Fate) { return m.doc.Version, m.side.Fate }

// LiveText is that of what is live.
func (m *Machine) LiveText() []byte { return m.side.Body }
