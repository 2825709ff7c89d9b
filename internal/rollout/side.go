package rollout

import (
	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/consensus"
	"asterwell/internal/sysconfig"
)

// Fate is what has become of a version.
type Fate uint8

// The fates. Prepared becomes one of the others, once, unless a higher version comes.
const (
	Live Fate = iota // nothing is kept beside it
	Prepared
	Withdrawn
)

func (f Fate) String() string { return [...]string{"live", "prepared", "withdrawn"}[min(f, Withdrawn)] }

// State is what is kept beside a document that is not live.
type State struct {
	Fate    Fate   `cbor:"1,keyasint"`
	Version uint32 `cbor:"2,keyasint"` // that is live meanwhile
	Body    []byte `cbor:"3,keyasint"` // its text
	Why     string `cbor:"4,keyasint,omitempty"`
}

// ReadState is what is kept beside a document. What can't be read counts as withdrawn with
// nothing live, so that nobody goes by it; no program writes such a thing.
func ReadState(d consensus.Doc) (s State) {
	if len(d.Attachment) == 0 {
		return State{Version: d.Version, Body: d.Body}
	}
	if err := cbor.Unmarshal(d.Attachment, &s); err != nil {
		return State{Fate: Withdrawn, Why: err.Error()}
	}
	return s
}

// PrepareDocument is what a primary keeps of a new document: live at once, or prepared where the
// one in force asks for that.
func PrepareDocument(kept, next consensus.Doc) consensus.Doc {
	return enter(kept, next, func(s State) sysconfig.Rollout { return sysconfig.RolloutOf(s.Body) })
}

// PrepareDocument is the same at a primary, which mostly has read what is live.
func (m *Machine) PrepareDocument(kept, next consensus.Doc) consensus.Doc {
	return enter(kept, next, func(s State) sysconfig.Rollout {
		if s.Version == m.adopted {
			return m.rollout
		}
		return sysconfig.RolloutOf(s.Body)
	})
}

func enter(kept, next consensus.Doc, rollout func(State) sysconfig.Rollout) consensus.Doc {
	next.Rev, next.Attachment, next.History = 0, nil, past(kept)
	if was := ReadState(kept); was.Version != 0 && rollout(was).Together {
		next.Attachment = write(State{Fate: Prepared, Version: was.Version, Body: was.Body})
	}
	return next
}

// pastMost is how many withdrawn versions are remembered.
const pastMost = 256

// past remembers which versions have been withdrawn, so that the same wish again, whenever and
// through whoever leads then, has the same outcome.
func past(kept consensus.Doc) []byte {
	all := withdrawnBefore(kept)
	if ReadState(kept).Fate != Withdrawn {
		return kept.History
	}
	all = append(all, kept.Version)
	data, err := cbor.Marshal(all[max(0, len(all)-pastMost):])
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return data
}

// withdrawnBefore are the versions below a document's that have been withdrawn, the newest last.
// What can't be read counts as none: their wishes hear that they are overtaken.
func withdrawnBefore(d consensus.Doc) (all []uint32) {
	if len(d.History) > 0 && cbor.Unmarshal(d.History, &all) != nil {
		return nil
	}
	return all
}

func turned(d consensus.Doc) consensus.Doc {
	d.Rev, d.Attachment = d.Rev+1, nil
	return d
}

func withdrawn(d consensus.Doc, why string) consensus.Doc {
	s := ReadState(d)
	s.Fate, s.Why = Withdrawn, why
	d.Rev, d.Attachment = d.Rev+1, write(s)
	return d
}

func write(s State) []byte {
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return data
}
