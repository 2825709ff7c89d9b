package consensus

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// A call is repeated, as messages may be lost. But a slow link may still be carrying the first one:
// repeats of a large document would fill the link until nothing gets through. So the delay doubles
// with each repeat, a document is sent only to the known primary (other processes are asked which
// one that is), and all repeats of a process together use only a part of a slow link.
const (
	retryInterval       = 150 * time.Millisecond
	slowLinkTimePerByte = 8 * time.Microsecond  // 1 Mbit/s
	retryTimePerByte    = 16 * time.Microsecond // repeats use half of that
)

func (c *call) retryDelay() time.Duration {
	n := len(c.request.Doc.Body)
	if n == 0 { // small calls don't fill a link
		return retryInterval
	}
	return (retryInterval + time.Duration(n)*slowLinkTimePerByte) << c.retries
}

// call is an operator's call, made at this process.
type call struct {
	request             Forward
	startedAt, lastSent fsm.Time
	retries             uint8
	lastDocTo           string // where the document was last sent
}

// forward sends a call to the primary, if one is known. A document is repeated only within the
// share of the link that repeats may use.
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

// Put proposes a document. It is answered once, in a later Out.Answers.
func (m *Machine) Put(now fsm.Time, id uint64, doc Doc) Out {
	return m.call(now, Forward{ID: id, CallerID: m.runID, ReadsPacked: true, Doc: doc.withDigest()})
}

// Get reads the document as it is at some moment between the call and the answer.
func (m *Machine) Get(now fsm.Time, id uint64) Out {
	return m.call(now, Forward{ID: id, CallerID: m.runID, ReadsPacked: true, Read: true})
}

// CheckContact asks for proof that the primary is reachable and valid: after the call arrived, all
// writers confirmed its epoch to it, so no other majority had decided anything by then. The proof
// is as recent as the call and carries no document.
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

// forwardToOthers sends a call to n processes that may be the primary or know it, in rotation.
func (m *Machine) forwardToOthers(c *call, n int) {
	targets := m.likelyMembers()
	for range min(n, len(targets)) {
		m.rotation++
		if len(c.request.Doc.Body) > 0 && m.bug != BugUnthrottledRetries {
			m.send(targets[m.rotation%len(targets)], ViewRequest{})
		} else {
			m.send(targets[m.rotation%len(targets)], c.request)
		}
	}
}

// redirect sends unanswered calls to a new primary at once. A primary that has only begun another
// epoch still has them.
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
	contactOnly := m.calls[i].request.ContactOnly
	m.calls = slices.Delete(m.calls, i, i+1)
	if contactOnly && t.Result != ResultBusy { // a primary that doesn't know ContactOnly replies as to a read
		if t.Doc != nil {
			t.Version = t.Doc.Version
		}
		m.out.Answers = append(m.out.Answers, Answer{ID: t.ID, Result: ResultContact, Primary: m.view.primary(),
			Version: t.Version})
		return
	}
	m.answer(t.ID, t.Result, t.Doc)
}

func (m *Machine) answer(id uint64, v Result, d *Doc) {
	m.out.Answers = append(m.out.Answers, Answer{ID: id, Result: v, Doc: d, Primary: m.view.primary()})
}

// retryCalls repeats calls, and ends those that took too long.
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
