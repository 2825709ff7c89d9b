package daemon

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/consensus"
	"asterwell/internal/dataplane"
	"asterwell/internal/memberlist"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
	"asterwell/internal/storage"
)

// record is the name under which agreement's state is kept.
const record = "pact"

// open reads what is on disk, and begins to write what comes. sound is false where
// something was lost: what a member has forgotten, it may have promised, so that it
// joins anew like one with an empty disk.
func (p *Process) open(dir string) (v *storage.Vault, d *consensus.DurableState, sound bool, err error) {
	var lost *storage.Damaged
	if v, err = storage.Open(dir); v == nil {
		return nil, nil, false, fmt.Errorf("StateDir: %w", err)
	}
	go p.write(v)
	go p.writeList(v)
	go p.writeRules(v)
	if err != nil {
		p.say.WithError(err).Error("state is damaged: joins anew")
		return v, nil, false, nil
	}
	data, err := v.Load(record)
	var back *storage.SteppedBack
	switch {
	case errors.Is(err, fs.ErrNotExist):
		aside, _ := v.Aside()
		return v, nil, len(aside) == 0, nil
	case errors.As(err, &back) || errors.As(err, &lost):
		p.say.WithError(err).Error("state is damaged: joins anew")
		return v, nil, false, nil
	case err != nil:
		return nil, nil, false, fmt.Errorf("StateDir: %w", err)
	}
	if d, err = consensus.DecodeState(data); err != nil {
		return nil, nil, false, fmt.Errorf("StateDir: record %q: %w", record, err)
	}
	return v, d, true, nil
}

const writeAgain = 200 * time.Millisecond

// write syncs what agreement wants kept, the newest of what has come: each is whole.
// A disk that refuses is asked again; until then nothing is acknowledged.
func (p *Process) write(v *storage.Vault) {
	for {
		all := p.disk.Take(-1)
		if len(all) == 0 {
			continue
		}
		last := all[len(all)-1]
		data, err := last.State.Encode()
		for err == nil {
			if err = v.Save(record, data); err == nil {
				break
			}
			p.say.WithError(err).Warn("disk refuses")
			time.Sleep(writeAgain)
			err = nil
		}
		p.box.Put(written{last.Seq})
	}
}

// list is the name under which the servers are kept.
const list = "lore"

// writeList keeps the servers, the newest word of what has come. Nothing waits for it.
func (p *Process) writeList(v *storage.Vault) {
	for {
		all := p.rows.Take(-1)
		if len(all) == 0 {
			continue
		}
		data, err := cbor.Marshal(all[len(all)-1])
		if err == nil {
			err = v.Save(list, data)
		}
		if err != nil {
			p.say.WithError(err).Debug("the list of servers is not kept")
		}
	}
}

// restore reads the servers as they were last kept.
func (p *Process) restore() (rows []registry.Row) {
	if p.vault == nil {
		return nil
	}
	data, err := p.vault.Load(list)
	if data == nil || cbor.Unmarshal(data, &rows) != nil {
		p.say.WithField("why", err).Debug("no list of servers was kept")
		return nil
	}
	return rows
}

const listEvery = time.Second

// keepList sends the servers to disk if they have changed, once a second at most.
func (p *Process) keepList(now time.Time) {
	if p.vault == nil || !p.dirty || now.Sub(p.keptAt) < listEvery {
		return
	}
	if rows := p.knot.ServersToStore(); rows != nil {
		p.dirty, p.keptAt = false, now
		p.rows.Put(rows)
	}
}

// Status is what an operator sees of a process.
type Status struct {
	Name, Mesh  string
	ContactS    *float64 // since there was contact with most of the core for certain; -1: not in this life
	Ready       bool
	Leaving     bool
	Draining    bool
	Version     string
	Pact        consensus.Status
	Rollout     rollout.Status
	Turns       dataplane.GateStats
	Nodes       []memberlist.Node
	Servers     []registry.Server
	FrameCounts map[string]int64 `json:"Frames"`
}

func (p *Process) examine() Status {
	return Status{Name: p.set.NodeName, Mesh: p.self, ContactS: p.contactS(), Ready: p.ready.Load(), Leaving: p.leaving.Load(), Draining: p.draining.Load(),
		Version: fmt.Sprintf("%08x", p.plane.Version()), Pact: p.knot.ConsensusStatus(), Rollout: p.knot.RolloutStatus(p.now()), Turns: p.plane.GateStats(),
		Nodes: p.knot.Nodes(), Servers: p.knot.Servers(), FrameCounts: p.mesh.Counts.All()}
}
