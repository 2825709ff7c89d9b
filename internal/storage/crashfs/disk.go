package crashfs

import (
	"bytes"
	"maps"
	"slices"
)

// Files holds the content of each file of a directory, by name.
type Files map[string][]byte

// Disk simulates one directory: it keeps the durable state and the changes not yet synced.
type Disk struct {
	inodes  []inode
	durable map[string]int // inode by name, as of the last directory sync
	current map[string]int // inode by name, as programs see it
	pending []dirChange
}

type inode struct {
	durable []byte
	pending []Change
}

// dirChange is a creation or deletion that is not yet durable.
type dirChange struct {
	change Change
	inode  int
}

// NewDisk returns a disk on which files are durable.
func NewDisk(files Files) *Disk {
	d := &Disk{durable: map[string]int{}, current: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		d.durable[name], d.current[name] = len(d.inodes), len(d.inodes)
		d.inodes = append(d.inodes, inode{durable: files[name]})
	}
	return d
}

// Apply carries out a recorded operation.
func (d *Disk) Apply(c Change) {
	switch c.Kind {
	case Create:
		d.current[c.File] = len(d.inodes)
		d.pending = append(d.pending, dirChange{c, len(d.inodes)})
		d.inodes = append(d.inodes, inode{})
	case Delete:
		delete(d.current, c.File)
		d.pending = append(d.pending, dirChange{change: c})
	case SyncDir:
		d.durable, d.pending = d.namesAfter(nil), nil
	case Sync:
		n := &d.inodes[d.current[c.File]]
		*n = inode{durable: n.contentAfter(nil)}
	default:
		n := &d.inodes[d.current[c.File]]
		n.pending = append(n.pending, c)
	}
}

// Survivors returns what a power loss leaves of a change that was not synced: nothing, the
// change itself, or parts of it.
type Survivors func(Change) []Change

// Pending returns all changes that a power loss may undo.
func (d *Disk) Pending() []Change {
	var all []Change
	for _, n := range d.pending {
		all = append(all, n.change)
	}
	for _, n := range d.inodes {
		all = append(all, n.pending...)
	}
	return all
}

// Crash returns the files after a power loss. It calls survivors in the order of Pending.
func (d *Disk) Crash(survivors Survivors) Files {
	names, files := d.namesAfter(survivors), Files{}
	contents := make([][]byte, len(d.inodes))
	for i, n := range d.inodes {
		contents[i] = n.contentAfter(survivors)
	}
	for name, i := range names {
		files[name] = contents[i]
	}
	return files
}

// namesAfter applies the surviving creations and deletions; all of them if survivors is nil.
func (d *Disk) namesAfter(survivors Survivors) map[string]int {
	names := maps.Clone(d.durable)
	for _, n := range d.pending {
		if survivors != nil && len(survivors(n.change)) == 0 {
			continue
		}
		if n.change.Kind == Create {
			names[n.change.File] = n.inode
		} else {
			delete(names, n.change.File)
		}
	}
	return names
}

// contentAfter applies the surviving writes and truncations; all of them if survivors is nil.
func (n inode) contentAfter(survivors Survivors) []byte {
	data := bytes.Clone(n.durable)
	for _, c := range n.pending {
		surviving := []Change{c}
		if survivors != nil {
			surviving = survivors(c)
		}
		for _, c := range surviving {
			size := c.At
			if c.Kind == Write {
				size = max(int64(len(data)), c.At+int64(len(c.Data)))
			}
			if grow := size - int64(len(data)); grow > 0 {
				data = append(data, make([]byte, grow)...)
			}
			data = data[:size]
			if c.Kind == Write {
				copy(data[c.At:], c.Data)
			}
		}
	}
	return data
}

const sectorSize = 512

// Sectors splits a write into sectors and returns those that keep selects: a torn write.
func Sectors(c Change, keep func(i int) bool) []Change {
	if c.Kind != Write {
		return nil
	}
	var kept []Change
	for i := 0; i*sectorSize < len(c.Data); i++ {
		if keep(i) {
			kept = append(kept, Change{Write, c.File, c.At + int64(i*sectorSize), c.Data[i*sectorSize : min((i+1)*sectorSize, len(c.Data))]})
		}
	}
	return kept
}
