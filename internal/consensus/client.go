package consensus

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// A call is repeated when it may be lost, which it isn't while a slow link carries it: the
// repeats of a large document would fill the link, and nothing would come through. So repeats
// wait twice as long each time, a document goes only to who is known to lead (the others are
// asked who that is), and all repeats of a process together have a part of a slow link.
const (
	retryInterval       = 150 * time.Millisecond
	slowLinkTimePerByte = 8 * time.Microsecond  // 1 Mbit/s
	retryTimePerByte    = 16 * time.Microsecond // and half of it, for repeats
)

func (c *call) retryDelay() time.Duration {
	n := len(c.request.Doc.Body)
	if n == 0 { // small, and it fills nothing
		return retryInterval
	}
	return (retryInterval + time.Duration(n)*slowLinkTimePerByte) << c.retries
}

// call is an operator's, made at this process.
type call struct {
	request             Forward
	startedAt, lastSent fsm.Time
	retries             uint8  // how often it was repeated
	lastDocTo           string // whom the document went to last
}

// forward sends a call to the primary, if there is one and, for a repeat of a document, room.
func (m *Machine) forward(c *call) {
	p, n := m.view.primary(), len(c.request.Doc.Body)
	if p == "" {
		return
	}
	if n > 0 && c.lastDocTo != "" && m.bug != BugUnthrottledRetries {
		if m.now < m.nextDocRetryAt {
			return
		}
		m.nextDocRetryAt = m.now + time.Duration(n)*retryTimePerByte
	}
	f := c.request
	f.resent = c.lastDocTo != ""
	c.lastDocTo = p
	m.send(p, f)
}

// Put offers a document; the answer comes once, in some Out.Answers.
func (m *Machine) Put(now fsm.Time, id uint64, doc Doc) Out {
	return m.call(now, Forward{ID: id, CallerID: m.runID, ReadsPacked: true, Doc: doc.withDigest()})
}

// Get reads the document as it is at some moment between the call and the answer.
func (m *Machine) Get(now fsm.Time, id uint64) Out {
	return m.call(now, Forward{ID: id, CallerID: m.runID, ReadsPacked: true, Read: true})
}

// Prove asks for a proof of contact, as young as the call: the primary has had it from all
// writers, after the call came in, that its epoch stands, so no other majority has decided
// anything by then; and the way to it and back was open. It carries no document.
func (m *Machine) CheckContact(now fsm.Time, id uint64) Out {
	return m.call(now, Forward{ID: id, CallerID: m.runID, Read: true, ContactOnly: true})
}

func (m *Machine) call(now fsm.Time, f Forward) Out {
	m.now = max(m.now, now)
	c := &call{request: f, startedAt: m.now, lastSent: m.now}
	m.calls = append(m.calls, c)
	if p := m.view.primary(); p != "" && (p != m.config.Self || m.primary != nil) {
		m.forward(c)
	} else {
		m.forwardToOthers(c, 3)
	}
	return m.finishInput()
}

// scatter sends a call to n others who may know the primary or be it, each time others.
func (m *Machine) forwardToOthers(c *call, n int) {
	who := m.likelyMembers()
	for range min(n, len(who)) {
		m.rotation++
		if len(c.request.Doc.Body) > 0 && m.bug != BugUnthrottledRetries {
			m.send(who[m.rotation%len(who)], ViewRequest{})
		} else {
			m.send(who[m.rotation%len(who)], c.request)
		}
	}
}

// redirect sends what is not answered to a new primary at once. One that begins another epoch
// by itself still has it.
func (m *Machine) redirect() {
	p := m.view.primary()
	for _, c := range m.calls {
		if c.lastDocTo == p && len(c.request.Doc.Body) > 0 && m.bug != BugUnthrottledRetries {
			continue
		}
		c.lastSent = m.now
		m.forward(c)
	}
}

func (m *Machine) onForwardReply(t ForwardReply) {
	i := slices.IndexFunc(m.calls, func(c *call) bool {
		return c.request.ID == t.ID && (c.request.CallerID == t.CallerID || m.bug == BugAnyCaller)
	})
	if i < 0 {
		return
	}
	bare := m.calls[i].request.ContactOnly
	m.calls = slices.Delete(m.calls, i, i+1)
	if bare && t.Result != ResultBusy { // a primary that doesn't know the call has read
		if t.Doc != nil {
			t.Version = t.Doc.Version
		}
		m.out.Answers = append(m.out.Answers, Answer{ID: t.ID, Result: ResultContact, Primary: m.view.primary(), Version: t.Version})
		return
	}
	m.answer(t.ID, t.Result, t.Doc)
}

func (m *Machine) answer(id uint64, v Result, d *Doc) {
	m.out.Answers = append(m.out.Answers, Answer{ID: id, Result: v, Doc: d, Primary: m.view.primary()})
}

// expire repeats calls, and ends those that took too long.
func (m *Machine) retryCalls() {
	m.dropExpired()
	var rest []*call
	for _, c := range m.calls {
		if m.now-c.startedAt >= callTimeout {
			m.answer(c.request.ID, ResultBusy, nil)
			continue
		}
		rest = append(rest, c)
		if m.now-c.lastSent >= c.retryDelay() {
			c.lastSent = m.now
			if m.bug != BugUnthrottledRetries {
				c.retries++
			}
			m.forward(c)
			m.forwardToOthers(c, 1)
		}
	}
	m.calls = rest
}
