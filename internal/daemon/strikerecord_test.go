package daemon

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/faultrules"
	"asterwell/internal/storage"
)

func openTestProcess(t *testing.T, dir string) (*Process, *storage.Store) {
	t.Helper()
	v, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return &Process{store: v, strikeRecord: &strikeRecord{}, logger: &log.Logger{Handler: discard.New()}}, v
}

// TestStrikeRecord: the record of strikes survives restarts, is bounded, and continues where it ended; a
// state that was stored before the record existed can be read.
func TestStrikeRecord(t *testing.T) {
	dir := t.TempDir()
	p, v := openTestProcess(t, dir)
	old, _ := cbor.Marshal(faultrules.Disk{Promised: faultrules.Term{N: 7}, Kept: faultrules.Record{Seq: 9}})
	if err := v.Save(rulesRecord, old); err != nil {
		t.Fatal(err)
	}
	seq := uint64(0)
	for start := range 4 {
		rules := p.storedRules(true)
		if rules == nil || rules.Promised.N != 7 || rules.Kept.Seq != 9 {
			t.Fatal("start", start, "with", rules)
		}
		for range 50 {
			var notes []faultrules.Entry
			for range 30 {
				seq++
				notes = append(notes, faultrules.Entry{Node: "n1", Life: 3, Note: faultrules.Note{Seq: seq}})
			}
			for _, r := range p.strikeRecord.add(*rules, notes) {
				data, err := cbor.Marshal(r.value)
				if err == nil {
					err = v.Save(r.name, data)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := v.Close(); err != nil {
			t.Fatal(err)
		}
		p, v = openTestProcess(t, dir)
	}
	defer v.Close()
	p.storedRules(false) // a state that isn't intact isn't used, but its record is still shown
	all := p.strikeRecord.all()
	if len(all) < maxPages*notesPerPage || len(all) > (maxPages+1)*notesPerPage {
		t.Error(len(all), "kept of", seq)
	}
	for i, e := range all {
		if e.Note.Seq != seq-uint64(len(all)-1-i) {
			t.Fatal("at", i, "of", len(all), "is", e.Note.Seq)
		}
	}
}
