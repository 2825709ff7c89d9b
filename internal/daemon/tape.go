package daemon

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/faultrules"
	"asterwell/internal/storage"
)

// rulesKept is the name under which the core keeps fault rules.
const rulesKept = "bane"

// The record of strikes is a ring of pages. The page that is being filled goes with the rules, so
// that a strike costs no sync of its own.
const (
	pageNotes = 128
	pages     = 32 // so that about 2000 strikes are kept, with what became of them
)

// tape is what a disk has of fault rules: the state, and the record of strikes.
type tape struct {
	vault *storage.Vault
	mu    sync.Mutex
	disk  taped
}

type taped struct {
	faultrules.Disk
	Full uint64             `cbor:"3,keyasint,omitempty"` // pages that were ever filled
	Tail []faultrules.Entry `cbor:"4,keyasint,omitempty"` // the page after them
}

func page(n uint64) string { return fmt.Sprintf("strikes-%d", n%pages) }

// keptRules reads what is on disk. A state that lost anything counts for nothing; the record is
// only for people.
func (p *Process) keptRules(sound bool) *faultrules.Disk {
	if p.vault == nil {
		return nil
	}
	p.tape.vault = p.vault
	data, err := p.vault.Load(rulesKept)
	if data == nil {
		return nil
	}
	d := &p.tape.disk
	if bad := cbor.Unmarshal(data, d); bad != nil {
		p.say.WithError(bad).Error("fault rules are damaged: counts for nothing")
		*d = taped{}
		return nil
	}
	if err != nil || !sound {
		return nil
	}
	return &faultrules.Disk{Promised: d.Promised, Kept: d.Kept}
}

// writeRules syncs fault rules, the newest of what has come, with all notes for the record.
func (p *Process) writeRules(v *storage.Vault) {
	for {
		all := p.rules.Take(-1)
		if len(all) == 0 {
			continue
		}
		last := all[len(all)-1]
		var notes []faultrules.Entry
		for _, w := range all {
			notes = append(notes, w.Notes...)
		}
		for _, r := range p.tape.add(last.Disk, notes) {
			data, err := cbor.Marshal(r.value)
			if err != nil {
				panic(err) // a bug: the types are our own
			}
			for err = v.Save(r.name, data); err != nil; err = v.Save(r.name, data) {
				p.say.WithError(err).Warn("disk refuses")
				time.Sleep(writeAgain)
			}
		}
		p.box.Put(rulesWritten{last.Seq})
	}
}

type toSave struct {
	name  string
	value any
}

// add takes what is to be kept, and returns what to save, in this order.
func (t *tape) add(d faultrules.Disk, notes []faultrules.Entry) (save []toSave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disk.Disk = d
	t.disk.Tail = append(t.disk.Tail, notes...)
	for len(t.disk.Tail) >= pageNotes {
		save = append(save, toSave{page(t.disk.Full), t.disk.Tail[:pageNotes]})
		t.disk.Full++
		t.disk.Tail = append([]faultrules.Entry(nil), t.disk.Tail[pageNotes:]...)
	}
	return append(save, toSave{rulesKept, t.disk})
}

// all reads the record, the oldest first.
func (t *tape) all() (all []faultrules.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.vault == nil {
		return nil
	}
	for n := t.disk.Full - min(t.disk.Full, pages); n < t.disk.Full; n++ {
		var some []faultrules.Entry
		data, err := t.vault.Load(page(n))
		if errors.Is(err, fs.ErrNotExist) || cbor.Unmarshal(data, &some) != nil {
			continue // damaged, or not written yet; others have it
		}
		all = append(all, some...)
	}
	return append(all, t.disk.Tail...)
}
