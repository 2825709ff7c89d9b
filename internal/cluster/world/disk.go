package world

import (
	"errors"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"asterwell/internal/cluster"
)

// disk keeps synced writes. A write in progress at a crash is kept or lost as a whole, as
// with bbolt.
type disk struct {
	w       *World
	self    cluster.Peer
	hard    *raftpb.HardState
	snap    *raftpb.Snapshot
	entries []*raftpb.Entry
	fails   bool
	damaged bool
	crash   *node // node that crashes at the next save; nil: none
}

func (d *disk) Load() (*cluster.Saved, error) {
	if d.damaged {
		return nil, cluster.ErrDamaged
	}
	return &cluster.Saved{Self: d.self, Cluster: "w", Hard: clone(d.hard), Snapshot: clone(d.snap), Entries: cloneEntries(d.entries)}, nil
}

func clone[T proto.Message](m T) T {
	if any(m) == any(*new(T)) {
		return m
	}
	return proto.Clone(m).(T)
}

func cloneEntries(all []*raftpb.Entry) (c []*raftpb.Entry) {
	for _, e := range all {
		c = append(c, proto.Clone(e).(*raftpb.Entry))
	}
	return c
}

var errDisk = errors.New("the write failed")

func (d *disk) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	return d.save(func() { d.write(hard, entries, snap) })
}

func (d *disk) Compact(snap *raftpb.Snapshot) error {
	return d.save(func() {
		d.snap = clone(snap)
		at := snap.GetMetadata().GetIndex()
		d.entries = slices.DeleteFunc(d.entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= at })
	})
}

func (d *disk) save(write func()) error {
	if d.fails {
		return errDisk
	}
	if d.crash != nil {
		n := d.crash
		d.crash = nil
		if d.w.rng.IntN(2) == 0 {
			write()
		}
		d.w.kill(n)
		return errDisk // the process is gone, so this error has no further effect
	}
	write()
	return nil
}

func (d *disk) write(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) {
	if snap != nil {
		d.snap, d.entries = clone(snap), nil
	}
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		d.entries = slices.DeleteFunc(d.entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		d.entries = append(d.entries, cloneEntries(entries)...)
	}
	if hard != nil {
		d.hard = clone(hard)
	}
}
