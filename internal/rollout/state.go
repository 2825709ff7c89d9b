package rollout

import (
	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/consensus"
	"asterwell/internal/sysconfig"
)

// Fate is the state of a version.
type Fate uint8

// The fates. A prepared version becomes live or withdrawn, once, unless a higher one overtakes it.
const (
	Live Fate = iota // no state is stored beside the document
	Prepared
	Withdrawn
)

func (f Fate) String() string { return [...]string{"live", "prepared", "withdrawn"}[min(f, Withdrawn)] }

// State is stored beside a document that is not live.
type State struct {
	Fate    Fate   `cbor:"1,keyasint"`
	Version uint32 `cbor:"2,keyasint"` // the version that is live meanwhile
	Body    []byte `cbor:"3,keyasint"` // its text
	Why     string `cbor:"4,keyasint,omitempty"`
}

// ReadState decodes the state stored beside a document. An unreadable one counts as withdrawn with nothing
// live, so that no request is decided by it; no program writes one.
func ReadState(d consensus.Doc) (s State) {
	if len(d.Attachment) == 0 {
		return State{Version: d.Version, Body: d.Body}
	}
	if err := cbor.Unmarshal(d.Attachment, &s); err != nil {
		return State{Fate: Withdrawn, Why: err.Error()}
	}
	return s
}

// PrepareDocument returns a new document as a primary keeps it: live at once, or prepared if the live one
// asks for that.
func PrepareDocument(kept, next consensus.Doc) consensus.Doc {
	return prepareDocument(kept, next, func(s State) sysconfig.Rollout { return sysconfig.RolloutOf(s.Body) })
}

// PrepareDocument does the same at a primary, which usually has read the live one already.
func (m *Machine) PrepareDocument(kept, next consensus.Doc) consensus.Doc {
	return prepareDocument(kept, next, func(s State) sysconfig.Rollout {
		if s.Version == m.adopted {
			return m.rollout
		}
		return sysconfig.RolloutOf(s.Body)
	})
}

func prepareDocument(kept, next consensus.Doc, rollout func(State) sysconfig.Rollout) consensus.Doc {
	next.Rev, next.Attachment, next.History = 0, nil, withdrawnVersions(kept)
	if was := ReadState(kept); was.Version != 0 && rollout(was).Together {
		next.Attachment = encodeState(State{Fate: Prepared, Version: was.Version, Body: was.Body})
	}
	return next
}

// maxWithdrawnVersions is how many withdrawn versions are remembered.
const maxWithdrawnVersions = 256

// withdrawnVersions encodes which versions have been withdrawn, so that a repeated call has the same
// outcome at any later time and primary.
func withdrawnVersions(kept consensus.Doc) []byte {
	all := withdrawnBefore(kept)
	if ReadState(kept).Fate != Withdrawn {
		return kept.History
	}
	all = append(all, kept.Version)
	data, err := cbor.Marshal(all[max(0, len(all)-maxWithdrawnVersions):])
	if err != nil {
		panic(err) // its types can't fail to encode
	}
	return data
}

// withdrawnBefore returns the withdrawn versions below the document's, the newest last. An unreadable list
// counts as empty: calls for those versions are told that they are overtaken.
func withdrawnBefore(d consensus.Doc) (all []uint32) {
	if len(d.History) > 0 && cbor.Unmarshal(d.History, &all) != nil {
		return nil
	}
	return all
}

func madeLive(d consensus.Doc) consensus.Doc {
	d.Rev, d.Attachment = d.Rev+1, nil
	return d
}

func withdrawn(d consensus.Doc, why string) consensus.Doc {
	s := ReadState(d)
	s.Fate, s.Why = Withdrawn, why
	d.Rev, d.Attachment = d.Rev+1, encodeState(s)
	return d
}

func encodeState(s State) []byte {
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // its types can't fail to encode
	}
	return data
}
