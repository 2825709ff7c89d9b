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
	status := Status{Mode: "each", Live: m.state.Version, Newest: m.doc.Version, Fate: m.state.Fate.String(), Why: m.state.Why,
		WithinMs: m.rollout.Within.Milliseconds()}
	if !m.rollout.Together {
		return status
	}
	status.Mode = "together"
	_, status.Here = m.holder.State(now)
	if m.lead == nil || m.lead.conduct == nil {
		return status
	}
	status.Leads = true
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
		status.Stage, status.Enough, status.SinceMs = stage.String(), m.enoughConfirmed(now), (now - m.lead.pendingSince).Milliseconds()
	}
	for _, n := range m.nodes {
		if !leased[n.Name] {
			status.Lapsed = append(status.Lapsed, n.Name)
		}
		switch {
		case !pending:
		case held[n.Name]:
			status.Prepared = append(status.Prepared, n.Name)
		case refused[n.Name] != "":
			status.Refused = append(status.Refused, Refusal{n.Name, refused[n.Name]})
		default:
			status.Missing = append(status.Missing, n.Name)
		}
	}
	status.Prepared, status.Missing, status.Lapsed = sortedUnique(status.Prepared), sortedUnique(status.Missing), sortedUnique(status.Lapsed)
	return status
}

// Newest returns the newest version held here and its fate.
func (m *Machine) Newest() (version uint32, fate Fate) { return m.doc.Version, m.state.Fate }

// LiveText returns the text of the live version.
func (m *Machine) LiveText() []byte { return m.state.Body }
