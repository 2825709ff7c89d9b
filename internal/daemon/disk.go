package daemon

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/buildinfo"
	"asterwell/internal/consensus"
	"asterwell/internal/dataplane"
	"asterwell/internal/memberlist"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
	"asterwell/internal/storage"
)

// stateRecord is the name of the stored record of consensus.
const stateRecord = "pact"

// openStore reads the stored state and starts the writers. If intact is false, some state was lost: a
// member may have made promises that it no longer knows of, so it has to join anew, as with an empty disk.
func (p *Process) openStore(dir string) (store *storage.Store, disk *consensus.DurableState, intact bool, err error) {
	var damaged *storage.DamagedError
	if store, err = storage.Open(dir); store == nil {
		return nil, nil, false, fmt.Errorf("StateDir: %w", err)
	}
	go p.writeState(store)
	go p.writeServers(store)
	go p.writeLeaving(store)
	go p.writeRules(store)
	if err != nil {
		p.logger.WithError(err).Error("state is damaged: joins anew")
		return store, nil, false, nil
	}
	data, err := store.Load(stateRecord)
	var steppedBack *storage.RolledBackError
	switch {
	case errors.Is(err, fs.ErrNotExist):
		aside, _ := store.DamagedFiles()
		return store, nil, len(aside) == 0, nil
	case errors.As(err, &steppedBack) || errors.As(err, &damaged):
		p.logger.WithError(err).Error("state is damaged: joins anew")
		return store, nil, false, nil
	case err != nil:
		return nil, nil, false, fmt.Errorf("StateDir: %w", err)
	}
	if disk, err = consensus.DecodeState(data); err != nil {
		return nil, nil, false, fmt.Errorf("StateDir: record %q: %w", stateRecord, err)
	}
	return store, disk, true, nil
}

const writeRetryPause = 200 * time.Millisecond

// writeState stores the state of consensus, only the newest write if several wait: each is complete. A
// failed write is retried; until it succeeds nothing is acknowledged.
func (p *Process) writeState(store *storage.Store) {
	for {
		writes := p.stateWrites.Take(-1)
		if len(writes) == 0 {
			continue
		}
		newest := writes[len(writes)-1]
		data, err := newest.State.Encode()
		if err != nil {
			panic(err) // can't happen: these types can be encoded
		}
		p.save(store, stateRecord, data)
		p.inbox.Put(stateWritten{newest.Seq})
	}
}

// save stores a record, and tries again until that succeeds.
func (p *Process) save(store *storage.Store, name string, data []byte) {
	write := func() error { return store.Save(name, data) }
	for err := p.disk.measure(name, write); err != nil; err = p.disk.measure(name, write) {
		p.logger.WithError(err).Warn("disk refuses")
		time.Sleep(writeRetryPause)
	}
}

// serversRecord is the name of the stored list of servers.
const serversRecord = "lore"

// writeServers stores the list of servers, only the newest if several wait. Nothing depends on its
// success.
func (p *Process) writeServers(store *storage.Store) {
	for {
		lists := p.serverWrites.Take(-1)
		if len(lists) == 0 {
			continue
		}
		data, err := cbor.Marshal(lists[len(lists)-1])
		if err == nil {
			err = p.disk.measure(serversRecord, func() error { return store.Save(serversRecord, data) })
		}
		if err != nil {
			p.logger.WithError(err).Debug("the list of servers was not stored")
		}
	}
}

// leavingRecord is the name of the stored list of leaving and ended servers.
const leavingRecord = "leaving"

// writeLeaving stores the leaving servers, only the newest write if several wait: each is complete. A failed write is
// retried; until it succeeds this process confirms none of them.
func (p *Process) writeLeaving(store *storage.Store) {
	for {
		writes := p.leavingWrites.Take(-1)
		if len(writes) == 0 {
			continue
		}
		newest := writes[len(writes)-1]
		data, err := cbor.Marshal(newest.Rows)
		if err != nil {
			panic(err) // can't happen: these types can be encoded
		}
		p.save(store, leavingRecord, data)
		p.inbox.Put(leavingStored{newest.Seq})
	}
}

// storedServers returns what is on disk of servers. The list of leaving ones is whole only if nothing of the state was lost.
func (p *Process) storedServers(stateIntact bool) (disk registry.Stored) {
	data, err := p.store.Load(serversRecord)
	if data == nil || cbor.Unmarshal(data, &disk.Servers) != nil {
		p.logger.WithField("why", err).Debug("no stored list of servers")
		disk.Servers = nil
	}
	data, err = p.store.Load(leavingRecord)
	if data == nil || cbor.Unmarshal(data, &disk.Leaving) != nil {
		p.logger.WithField("why", err).Debug("no stored list of leaving servers")
		disk.Leaving = nil
		return disk
	}
	disk.Intact = stateIntact && err == nil
	return disk
}

const serversStoreInterval = time.Second

// storeServers passes the list of servers to its writer if it has changed, at most once a second.
func (p *Process) storeServers(now time.Time) {
	if p.store == nil || !p.serversChanged || now.Sub(p.serversStoredAt) < serversStoreInterval {
		return
	}
	if rows := p.machine.ServersToStore(); rows != nil {
		p.serversChanged, p.serversStoredAt = false, now
		p.serverWrites.Put(rows)
	}
}

// Status is the answer of GET /api/status.
type Status struct {
	Name, Mesh  string
	ContactS    *float64 // seconds since the last proven contact with a majority of the core; -1: none since the start
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
	Build       buildinfo.Info
	Standstills Standstills
	Disk        DiskStats
	Closed      string        // clients' connections by the reason why they were closed
	Own         map[int]int64 // responses that no server gave, by status
	FalseOK     int64         // successes without a server's response that were held back: each is a fault of the program
}

// Standstills counts the pauses in which the process did not run.
type Standstills struct {
	Count              int
	LongestMs, TotalMs int64
}

func (p *Process) currentStatus() Status {
	return Status{Name: p.settings.NodeName, Mesh: p.meshAddr, ContactS: p.contactSeconds(), Ready: p.ready.Load(), Leaving: p.leaving.Load(), Draining: p.draining.Load(),
		Version: fmt.Sprintf("%08x", p.plane.Version()), Pact: p.machine.ConsensusStatus(), Rollout: p.machine.RolloutStatus(p.now()), Turns: p.plane.GateStats(),
		Nodes: p.machine.Nodes(), Servers: p.machine.Servers(), FrameCounts: p.mesh.Counts.All(),
		Build: p.build, Closed: p.closedConns(), Own: p.plane.OwnStatuses(), FalseOK: p.plane.FalseSuccesses(), Disk: p.disk.snapshot(),
		Standstills: Standstills{p.standstills.Count, p.standstills.Longest.Milliseconds(), p.standstills.Total.Milliseconds()}}
}
