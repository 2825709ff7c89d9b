package daemon

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/faultrules"
	"asterwell/internal/storage"
)

func reopened(t *testing.T, dir string) (*Process, *storage.Vault) {
	t.Helper()
	v, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return &Process{vault: v, tape: &tape{}, say: &log.Logger{Handler: discard.New()}}, v
}

// TestTape: the record of strikes outlives processes, is bounded, and goes on where it ended; the
// state beside it is read as it was written before there was a record.
func TestTape(t *testing.T) {
	dir := t.TempDir()
	p, v := reopened(t, dir)
	old, _ := cbor.Marshal(faultrules.Disk{Promised: faultrules.Term{N: 7}, Kept: faultrules.Record{Seq: 9}})
	if err := v.Save(rulesKept, old); err != nil {
		t.Fatal(err)
	}
	seq := uint64(0)
	for start := range 4 {
		d := p.keptRules(true)
		if d == nil || d.Promised.N != 7 || d.Kept.Seq != 9 {
			t.Fatal("start", start, "with", d)
		}
		for range 50 {
			var notes []faultrules.Entry
			for range 30 {
				seq++
				notes = append(notes, faultrules.Entry{Node: "n1", Life: 3, Note: faultrules.Note{Seq: seq}})
			}
			for _, r := range p.tape.add(*d, notes) {
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
		p, v = reopened(t, dir)
	}
	defer v.Close()
	p.keptRules(false) // what a member may have forgotten counts for nothing, but people may read it
	all := p.tape.all()
	if len(all) < pages*pageNotes || len(all) > (pages+1)*pageNotes {
		t.Error(len(all), "kept of", seq)
	}
	for i, e := range all {
		if e.Note.Seq != seq-uint64(len(all)-1-i) {
			t.Fatal("at", i, "of", len(all), "is", e.Note.Seq)
		}
	}
}
