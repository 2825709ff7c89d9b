package systemsim

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/registry"
)

// disk is a machine's. It syncs one write at a time, the newest of what has come.
type disk struct {
	p       *proc
	pace    time.Duration // of a sync
	stalled time.Duration // nothing is synced before it
	synced,
	under []byte // kept; being written
	old   []byte // a copy that was taken
	wait  *consensus.Write
	busy  bool
	spins int // counts cuts of power and ends of the process: what was under way is no more
}

func (d *disk) put(w *consensus.Write) {
	d.wait = w
	if d.p.w.bug == Early {
		seq, spins := w.Seq, d.spins
		d.p.w.after(0, func() { d.written(seq, spins) })
	}
	d.next()
}

func (d *disk) next() {
	if d.busy || d.wait == nil {
		return
	}
	w := d.p.w
	data, err := cbor.Marshal(d.wait.State)
	if err != nil {
		panic(err) // a bug: the type is our own
	}
	seq, spins := d.wait.Seq, d.spins
	d.busy, d.under, d.wait = true, data, nil
	var done func()
	done = func() {
		switch {
		case d.spins != spins:
		case d.stalled > w.now:
			w.after(d.stalled-w.now, done)
		default:
			d.synced, d.under, d.busy = data, nil, false
			d.written(seq, spins)
			d.next()
		}
	}
	w.after(d.pace/2+w.upTo(d.pace), done)
}

func (d *disk) written(seq uint64, spins int) {
	if d.spins == spins {
		d.p.input(func() controlplane.Output { return d.p.k.Written(d.p.clock(), seq) })
	}
}

// cut ends what is under way: it may be whole, or nothing of it is there.
func (d *disk) cut() {
	if d.under != nil && d.p.w.rng.IntN(4) == 0 {
		d.synced = d.under
	}
	d.under, d.wait, d.busy = nil, nil, false
	d.spins++
}

func (d *disk) open() *consensus.DurableState {
	if d.synced == nil {
		return nil
	}
	kept := &consensus.DurableState{}
	if err := cbor.Unmarshal(d.synced, kept); err != nil {
		panic(err)
	}
	return kept
}

// save takes a copy; putBack has it in the disk's place, as if nothing had been since.
func (d *disk) save() { d.old, d.p.servers.copied = d.synced, d.p.servers.stored }

func (d *disk) putBack() {
	if d.old != nil {
		d.synced, d.p.servers.stored = d.old, d.p.servers.copied
	}
}

// keep puts a state on the disk of a machine on which nothing runs.
func (d *disk) keep(kept *consensus.DurableState) {
	data, err := cbor.Marshal(kept)
	if err != nil {
		panic(err)
	}
	d.synced = data
}

// wipe leaves an empty disk, which is not one that never had anything.
func (d *disk) wipe() {
	d.synced, d.p.rules.synced, d.p.genesis = nil, nil, false
	d.p.servers.stored = registry.Stored{}
}
