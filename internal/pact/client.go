package pact

import (
	"slices"
	"time"

	"asterwell/internal/plane"
)

// A call is repeated when it may be lost, which it isn't while a slow link carries it: the
// repeats of a large document would fill the link, and nothing would come through.
const (
	retryEvery = 150 * time.Millisecond
	retryByte  = 8 * time.Microsecond // 1 Mbit/s
)

func (c *call) retry() time.Duration {
	return retryEvery + time.Duration(len(c.f.Doc.Body))*retryByte
}

// call is an operator's, made at this process.
type call struct {
	f        Forward
	at, sent plane.Time
}

// Put offers a document; the answer comes once, in some Out.Answers.
func (m *Machine) Put(now plane.Time, id uint64, doc Doc) Out {
	return m.call(now, Forward{ID: id, Salt: m.salt, Doc: doc})
}

// Get reads the document as it is at some moment between the call and the answer.
func (m *Machine) Get(now plane.Time, id uint64) Out {
	return m.call(now, Forward{ID: id, Salt: m.salt, Read: true})
}

func (m *Machine) call(now plane.Time, f Forward) Out {
	m.now = max(m.now, now)
	c := &call{f: f, at: m.now, sent: m.now}
	m.calls = append(m.calls, c)
	if p := m.view.primary(); p != "" && (p != m.c.Self || m.lead != nil) {
		m.send(p, f)
	} else {
		m.scatter(c, 3)
	}
	return m.end()
}

// scatter sends a call to n others who may know the primary or be it, each time others.
func (m *Machine) scatter(c *call, n int) {
	who := m.near()
	for range min(n, len(who)) {
		m.turn++
		m.send(who[m.turn%len(who)], c.f)
	}
}

// redirect sends what is not answered to a new primary at once.
func (m *Machine) redirect() {
	p := m.view.primary()
	for _, c := range m.calls {
		c.sent = m.now
		m.send(p, c.f)
	}
}

func (m *Machine) onAnswered(t Answered) {
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.f.ID == t.ID && c.f.Salt == t.Salt })
	if i < 0 {
		return
	}
	m.calls = slices.Delete(m.calls, i, i+1)
	m.answer(t.ID, t.Verdict, t.Doc)
}

func (m *Machine) answer(id uint64, v Verdict, d *Doc) {
	m.out.Answers = append(m.out.Answers, Answer{ID: id, Verdict: v, Doc: d, Primary: m.view.primary()})
}

// expire repeats calls, and ends those that took too long.
func (m *Machine) expire() {
	m.lapse()
	var rest []*call
	for _, c := range m.calls {
		if m.now-c.at >= patience {
			m.answer(c.f.ID, Busy, nil)
			continue
		}
		rest = append(rest, c)
		if m.now-c.sent >= c.retry() {
			c.sent = m.now
			if p := m.view.primary(); p != "" {
				m.send(p, c.f)
			}
			m.scatter(c, 1)
		}
	}
	m.calls = rest
}
