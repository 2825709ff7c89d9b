package consensus

import (
	"errors"
	"slices"
	"time"

	"asterwell/internal/delta"
)

// A large document goes packed wherever it goes whole: in promises, copies and appends too,
// which are repeated until they are answered, and which a candidate has little time for. It goes
// so only to processes that have shown that they can read it, by a message of theirs.

// readers are addresses. The models' documents are too short to be packed: there it has no consequences.
type readers []string

// packs says whether a message shows that its sender reads packed documents.
func packs(msg any) bool {
	switch t := msg.(type) {
	case View:
		return t.Packs
	case Forward:
		return t.Packs
	}
	_, t, _ := vouch(msg)
	return t.Run != 0
}

// noteReader notes who reads packed documents.
func (m *Machine) noteReader(from string, msg any) {
	if from != m.c.Self && packs(msg) && !slices.Contains(m.readers, from) {
		m.readers = append(slices.Clip(m.readers), from)
		if len(m.readers) > mostReaders {
			m.readers = slices.Clone(m.readers[1:])
		}
	}
}

const mostReaders = 1024

// shortened is a message with its documents packed, if the taker reads that. What is offered and what
// is to be kept goes first as a difference to what is in force, which the taker mostly has too; who
// has not that base drops it, and what is repeated goes whole.
func (m *Machine) shortened(to string, msg any) any {
	if m.bug == BugWhole || to == m.c.Self || !slices.Contains(m.readers, to) {
		return msg
	}
	switch t := msg.(type) {
	case Append:
		if !t.again {
			t.Doc = m.differing(t.Doc)
			return t
		}
	case Forward:
		if !t.again && !t.Read {
			t.Doc = m.differing(t.Doc)
			return t
		}
	case Copy:
		if !t.again {
			t.Kept, t.Next = m.toWriter(to, t.Kept), m.toWriter(to, t.Next)
			return t
		}
	}
	if large(msg) == 0 {
		return msg
	}
	return eachDoc(msg, m.packDoc)
}

// differing is a document as a difference to the one in force, if that is shorter.
func (m *Machine) differing(d Doc) Doc { return m.differingFrom(m.d.Kept.Body, d) }

func (m *Machine) differingFrom(base []byte, d Doc) Doc {
	if len(base) == 0 || len(d.Body) == 0 {
		return m.packDoc(d)
	}
	p := m.parcel1(d.Body, base, func() (delta.Delta, bool) { return delta.New(base, d.Body) })
	if p.as == nil {
		return m.packDoc(d)
	}
	d.Body, d.Packed = nil, p.as
	return d
}

const packFrom = 32 << 10

// large is how many bytes of a message's documents are worth packing.
func large(msg any) (n int) {
	eachDoc(msg, func(d Doc) Doc {
		if len(d.Body) >= packFrom {
			n += len(d.Body)
		}
		return d
	})
	return n
}

// eachDoc is a message with another document in the place of each that goes whole.
func eachDoc(msg any, do func(Doc) Doc) any {
	switch t := msg.(type) {
	case Promise:
		t.Kept, t.Next = do(t.Kept), do(t.Next)
		return t
	case Copy:
		t.Kept, t.Next = do(t.Kept), do(t.Next)
		return t
	case Append:
		t.Doc = do(t.Doc)
		return t
	case Forward:
		t.Doc = do(t.Doc)
		return t
	case Answered:
		if t.Doc != nil {
			d := do(*t.Doc)
			t.Doc = &d
		}
		return t
	}
	return msg
}

// parcelled is a body with what it packs to, or with its difference to a base.
type parcelled struct {
	body, base []byte
	as         *delta.Delta // nil: to nothing shorter
}

// fewParcels is how many of them are kept: what is committed and what is on its way, whole and as a
// difference.
const fewParcels = 4

func (m *Machine) packDoc(d Doc) Doc {
	if len(d.Body) < packFrom {
		return d
	}
	if p := m.parcel1(d.Body, nil, func() (delta.Delta, bool) { return delta.NewFull(d.Body) }); p.as != nil {
		d.Body, d.Packed = nil, p.as
	}
	return d
}

// parcel1 makes one, or has it from before: the same goes to several, and again.
func (m *Machine) parcel1(body, base []byte, make func() (delta.Delta, bool)) parcelled {
	one := func(a, b []byte) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }
	i := slices.IndexFunc(m.parcels, func(p parcelled) bool { return one(p.body, body) && one(p.base, base) })
	if i >= 0 {
		return m.parcels[i]
	}
	p := parcelled{body: body, base: base}
	if as, ok := make(); ok {
		p.as = &as
	}
	m.parcels = append(slices.Clip(m.parcels), p)
	if len(m.parcels) > fewParcels {
		m.parcels = slices.Clone(m.parcels[1:])
	}
	return p
}

// unpacked is a message as it was before it was packed; false: it is damaged, or differs from what is
// not here, and will be repeated. In a promise that is a text which the member names and the candidate lacks.
func (m *Machine) unpacked(msg any) (any, bool) {
	ok := true
	_, promise := msg.(Promise)
	msg = eachDoc(msg, func(d Doc) Doc {
		if d.Packed == nil {
			return d
		}
		var body []byte
		err := delta.ErrWrongBase
		for _, base := range [][]byte{nil, m.d.Kept.Body, m.d.Next.Body} {
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

// onWay is how long a document may be on a slow link, as short as it goes: until then it is not sent again.
func (m *Machine) onWay(d Doc) time.Duration {
	if len(d.Body) == 0 {
		return 0
	}
	for _, p := range m.parcels {
		if p.as != nil && len(p.body) == len(d.Body) && &p.body[0] == &d.Body[0] {
			return Way(len(p.as.Ops))
		}
	}
	return Way(len(d.Body))
}
