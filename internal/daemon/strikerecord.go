package daemon

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/faultrules"
	"asterwell/internal/storage"
)

// rulesRecord is the name of the stored record of fault rules.
const rulesRecord = "bane"

// The record of strikes is a ring of pages. The page that is being filled is stored together with the
// rules, so that a strike costs no sync of its own.
const (
	notesPerPage = 128
	maxPages     = 32 // enough for about 2000 strikes with their outcomes
)

// strikeRecord is the stored state of fault rules, with the record of strikes.
type strikeRecord struct {
	store  *storage.Store
	mu     sync.Mutex
	stored storedRules
}

type storedRules struct {
	faultrules.Disk
	Full uint64             `cbor:"3,keyasint,omitempty"` // number of pages ever filled
	Tail []faultrules.Entry `cbor:"4,keyasint,omitempty"` // the page that is being filled
}

func pageName(n uint64) string { return fmt.Sprintf("strikes-%d", n%maxPages) }

// storedRules reads the stored fault rules. If anything was lost the state isn't used; the record of
// strikes is, since it is only shown to operators.
func (p *Process) storedRules(intact bool) *faultrules.Disk {
	if p.store == nil {
		return nil
	}
	p.strikeRecord.store = p.store
	data, err := p.store.Load(rulesRecord)
	if data == nil {
		return nil
	}
	stored := &p.strikeRecord.stored
	if decodeErr := cbor.Unmarshal(data, stored); decodeErr != nil {
		p.logger.WithError(decodeErr).Error("fault rules are damaged: counts for nothing")
		*stored = storedRules{}
		return nil
	}
	if err != nil || !intact {
		return nil
	}
	return &faultrules.Disk{Promised: stored.Promised, Kept: stored.Kept}
}

// writeRules stores fault rules, only the newest if several writes wait, with the notes of all of them for
// the record of strikes.
func (p *Process) writeRules(store *storage.Store) {
	for {
		writes := p.ruleWrites.Take(-1)
		if len(writes) == 0 {
			continue
		}
		newest := writes[len(writes)-1]
		var notes []faultrules.Entry
		for _, w := range writes {
			notes = append(notes, w.Notes...)
		}
		for _, r := range p.strikeRecord.add(newest.Disk, notes) {
			data, err := cbor.Marshal(r.value)
			if err != nil {
				panic(err) // can't happen: these types can be encoded
			}
			p.save(store, r.name, data)
		}
		p.inbox.Put(rulesWritten{newest.Seq})
	}
}

type recordWrite struct {
	name  string
	value any
}

// add appends to the record, and returns what to store, in this order.
func (r *strikeRecord) add(d faultrules.Disk, notes []faultrules.Entry) (save []recordWrite) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored.Disk = d
	r.stored.Tail = append(r.stored.Tail, notes...)
	for len(r.stored.Tail) >= notesPerPage {
		save = append(save, recordWrite{pageName(r.stored.Full), r.stored.Tail[:notesPerPage]})
		r.stored.Full++
		r.stored.Tail = append([]faultrules.Entry(nil), r.stored.Tail[notesPerPage:]...)
	}
	return append(save, recordWrite{rulesRecord, r.stored})
}

// all returns the record of strikes, the oldest first.
func (r *strikeRecord) all() (all []faultrules.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store == nil {
		return nil
	}
	for n := r.stored.Full - min(r.stored.Full, maxPages); n < r.stored.Full; n++ {
		var page []faultrules.Entry
		data, err := r.store.Load(pageName(n))
		if errors.Is(err, fs.ErrNotExist) || cbor.Unmarshal(data, &page) != nil {
			continue // damaged or not written yet; other members of the core have it
		}
		all = append(all, page...)
	}
	return append(all, r.stored.Tail...)
}
