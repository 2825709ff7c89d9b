package consensus

import (
	"errors"
	"slices"
	"time"

	"asterwell/internal/delta"
)

// A large document is packed wherever it is sent whole. That includes promises, state transfers and
// appends, which are repeated until they are answered, and for which a candidate has little time.
// It is packed only for processes that have shown by a message that they can read it.

// packReaderList holds addresses. The model checker's encoder skips it, as its documents are too
// short to be packed.
type packReaderList []string

// showsPackReader reports whether a message shows that its sender reads packed documents.
func showsPackReader(msg any) bool {
	switch t := msg.(type) {
	case View:
		return t.ReadsPacked
	case Forward:
		return t.ReadsPacked
	}
	_, t, _ := senderToken(msg)
	return t.RunID != 0
}

// notePackReader records that a sender reads packed documents.
func (m *Machine) notePackReader(from string, msg any) {
	if from != m.config.Self && showsPackReader(msg) && !slices.Contains(m.packReaders, from) {
		m.packReaders = append(slices.Clip(m.packReaders), from)
		if len(m.packReaders) > maxPackReaders {
			m.packReaders = slices.Clone(m.packReaders[1:])
		}
	}
}

const maxPackReaders = 1024

// packedFor returns a message with its documents packed, if the receiver reads that. A proposal is
// first sent as a delta to the committed document, which the receiver mostly has. One without that
// base drops the message, and the repeated one carries the whole document.
func (m *Machine) packedFor(to string, msg any) any {
	if m.bug == BugNoPacking || to == m.config.Self || !slices.Contains(m.packReaders, to) {
		return msg
	}
	switch t := msg.(type) {
	case Append:
		if !t.resent {
			t.Doc = m.asDelta(t.Doc)
			return t
		}
	case Forward:
		if !t.resent && !t.Read {
			t.Doc = m.asDelta(t.Doc)
			return t
		}
	case InstallState:
		if !t.resent {
			t.Committed, t.Pending = m.docForWriter(to, t.Committed), m.docForWriter(to, t.Pending)
			return t
		}
	}
	if packableBytes(msg) == 0 {
		return msg
	}
	return mapDocs(msg, m.packWhole)
}

// asDelta returns a document as a delta to the committed one, if that is shorter.
func (m *Machine) asDelta(d Doc) Doc { return m.asDeltaFrom(m.state.Committed.Body, d) }

func (m *Machine) asDeltaFrom(base []byte, d Doc) Doc {
	if len(base) == 0 || len(d.Body) == 0 {
		return m.packWhole(d)
	}
	p := m.packedBodyOf(d.Body, base, func() (delta.Delta, bool) { return delta.New(base, d.Body) })
	if p.delta == nil {
		return m.packWhole(d)
	}
	d.Body, d.Packed = nil, p.delta
	return d
}

const minPackedBody = 32 << 10

// packableBytes returns how many bytes of a message's documents are worth packing.
func packableBytes(msg any) (n int) {
	mapDocs(msg, func(d Doc) Doc {
		if len(d.Body) >= minPackedBody {
			n += len(d.Body)
		}
		return d
	})
	return n
}

// mapDocs returns a message with do applied to each document that is sent whole.
func mapDocs(msg any, do func(Doc) Doc) any {
	switch t := msg.(type) {
	case Promise:
		t.Committed, t.Pending = do(t.Committed), do(t.Pending)
		return t
	case InstallState:
		t.Committed, t.Pending = do(t.Committed), do(t.Pending)
		return t
	case Append:
		t.Doc = do(t.Doc)
		return t
	case Forward:
		t.Doc = do(t.Doc)
		return t
	case ForwardReply:
		if t.Doc != nil {
			d := do(*t.Doc)
			t.Doc = &d
		}
		return t
	}
	return msg
}

// packedBody caches a body's packed form, or its delta to a base.
type packedBody struct {
	body, base []byte
	delta      *delta.Delta // nil: no shorter form exists
}

// maxPackedBodies allows for the committed and the proposed document, each whole and as a delta.
const maxPackedBodies = 4

func (m *Machine) packWhole(d Doc) Doc {
	if len(d.Body) < minPackedBody {
		return d
	}
	if p := m.packedBodyOf(d.Body, nil, func() (delta.Delta, bool) { return delta.NewFull(d.Body) }); p.delta != nil {
		d.Body, d.Packed = nil, p.delta
	}
	return d
}

// packedBodyOf packs a body or returns the cached result, as the same one is sent to several
// processes and repeated.
func (m *Machine) packedBodyOf(body, base []byte, make func() (delta.Delta, bool)) packedBody {
	one := func(a, b []byte) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }
	i := slices.IndexFunc(m.packedBodies, func(p packedBody) bool { return one(p.body, body) && one(p.base, base) })
	if i >= 0 {
		return m.packedBodies[i]
	}
	p := packedBody{body: body, base: base}
	if as, ok := make(); ok {
		p.delta = &as
	}
	m.packedBodies = append(slices.Clip(m.packedBodies), p)
	if len(m.packedBodies) > maxPackedBodies {
		m.packedBodies = slices.Clone(m.packedBodies[1:])
	}
	return p
}

// unpack reverses packedFor. It returns false if a document is damaged or refers to a base that is
// not here; the message will be repeated. In a promise the missing base means that the member
// refers to a body that the candidate lacks.
func (m *Machine) unpack(msg any) (any, bool) {
	ok := true
	_, promise := msg.(Promise)
	msg = mapDocs(msg, func(d Doc) Doc {
		if d.Packed == nil {
			return d
		}
		var body []byte
		err := delta.ErrWrongBase
		for _, base := range [][]byte{nil, m.state.Committed.Body, m.state.Pending.Body} {
			if errors.Is(err, delta.ErrWrongBase) {
				body, err = d.Packed.Apply(base)
			}
		}
		if promise && errors.Is(err, delta.ErrWrongBase) {
			return d
		}
		if err != nil {
			ok = false
		}
		d.Body, d.Packed = body, nil
		return d
	})
	return msg, ok
}

// docTransferTime returns how long a document, as short as it can be sent, may take on a slow link.
// It is not repeated before.
func (m *Machine) docTransferTime(d Doc) time.Duration {
	if len(d.Body) == 0 {
		return 0
	}
	for _, p := range m.packedBodies {
		if p.delta != nil && len(p.body) == len(d.Body) && &p.body[0] == &d.Body[0] {
			return TransferTime(len(p.delta.Ops))
		}
	}
	return TransferTime(len(d.Body))
}
