package crashfs

import (
	"bytes"
	"maps"
	"slices"
)

// Folder is the files of one, by name.
type Folder map[string][]byte

// Disk knows what is sure to last, and what was done since.
type Disk struct {
	nodes   []node
	sure    map[string]int // names that last
	now     map[string]int // names as programs see them
	pending []naming
}

type node struct {
	sure    []byte
	pending []Step
}

type naming struct {
	step Step
	node int
}

// NewDisk is one that has a folder for certain.
func NewDisk(f Folder) *Disk {
	d := &Disk{sure: map[string]int{}, now: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(f)) {
		d.sure[name], d.now[name] = len(d.nodes), len(d.nodes)
		d.nodes = append(d.nodes, node{sure: f[name]})
	}
	return d
}

// Do takes a step.
func (d *Disk) Do(s Step) {
	switch s.Kind {
	case Made:
		d.now[s.File] = len(d.nodes)
		d.pending = append(d.pending, naming{s, len(d.nodes)})
		d.nodes = append(d.nodes, node{})
	case Removed:
		delete(d.now, s.File)
		d.pending = append(d.pending, naming{step: s})
	case Named:
		d.sure, d.pending = d.named(nil), nil
	case Sync:
		n := &d.nodes[d.now[s.File]]
		*n = node{sure: n.after(nil)}
	default:
		n := &d.nodes[d.now[s.File]]
		n.pending = append(n.pending, s)
	}
}

// Fate is what a loss of power leaves of a change that was not synced: none, it, or pieces of it.
type Fate func(Step) []Step

// Pending is all changes that a loss of power may undo.
func (d *Disk) Pending() []Step {
	var all []Step
	for _, n := range d.pending {
		all = append(all, n.step)
	}
	for _, n := range d.nodes {
		all = append(all, n.pending...)
	}
	return all
}

// Crash is the folder after a loss of power. The fate is asked in the order of Pending.
func (d *Disk) Crash(fate Fate) Folder {
	names, f := d.named(fate), Folder{}
	after := make([][]byte, len(d.nodes))
	for i, n := range d.nodes {
		after[i] = n.after(fate)
	}
	for name, i := range names {
		f[name] = after[i]
	}
	return f
}

func (d *Disk) named(fate Fate) map[string]int {
	names := maps.Clone(d.sure)
	for _, n := range d.pending {
		if fate != nil && len(fate(n.step)) == 0 {
			continue
		}
		if n.step.Kind == Made {
			names[n.step.File] = n.node
		} else {
			delete(names, n.step.File)
		}
	}
	return names
}

func (n node) after(fate Fate) []byte {
	data := bytes.Clone(n.sure)
	for _, s := range n.pending {
		left := []Step{s}
		if fate != nil {
			left = fate(s)
		}
		for _, s := range left {
			size := s.At
			if s.Kind == Wrote {
				size = max(int64(len(data)), s.At+int64(len(s.Data)))
			}
			if grow := size - int64(len(data)); grow > 0 {
				data = append(data, make([]byte, grow)...)
			}
			data = data[:size]
			if s.Kind == Wrote {
				copy(data[s.At:], s.Data)
			}
		}
	}
	return data
}

const sector = 512

// Torn is the sectors of a write that a choice takes.
func Torn(s Step, takes func(i int) bool) []Step {
	if s.Kind != Wrote {
		return nil
	}
	var left []Step
	for i := 0; i*sector < len(s.Data); i++ {
		if takes(i) {
			left = append(left, Step{Wrote, s.File, s.At + int64(i*sector), s.Data[i*sector : min((i+1)*sector, len(s.Data))]})
		}
	}
	return left
}
