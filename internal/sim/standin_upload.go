package sim

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// upload is a long body that a client sends in pieces.
type upload struct {
	size, pieces int
	every        time.Duration // between two pieces
	pauseAfter   int           // pieces; 0: the client never pauses for uploadPause
}

// uploadPause is longer than a gateway waits for a piece.
const uploadPause = 3300 * time.Millisecond

// uploadPoll is how often a client looks whether its body has been read.
const uploadPoll = 10 * time.Millisecond

// drawUpload draws a body: one that a gateway buffers, or streams.
func drawUpload(rng *rand.Rand) *upload {
	u := &upload{size: []int{12_000, 64 << 10, 64<<10 + 1, 90_000, 200_000}[rng.IntN(5)], pieces: 2 + rng.IntN(20),
		every: time.Duration(rng.IntN(150)) * time.Millisecond}
	if rng.IntN(6) == 0 {
		u.pauseAfter = 1 + rng.IntN(u.pieces-1)
	}
	return u
}

// sendUpload plays a try with a long body to its end, and returns its status; 0: none.
func (c *clients) sendUpload(t *try, k *clientConn) (status int, after time.Duration) {
	w := c.w
	defer k.Close()
	w.note("upload %s by %s at g%d of %d bytes within %v", t.id, t.cust.key, t.gateway, t.upload.size, t.timeout)
	whole := c.writeUpload(t, k)
	t.sent = w.s.now
	w.note("upload %s is sent, whole %v, taken %v", t.id, whole, k.taken())
	for whole && !k.taken() && k.Quiet() { // the limit counts from when the gateway has the last byte
		c.host.Sleep(uploadPoll)
		t.sent = w.s.now
	}
	k.SetReadDeadline(c.host.Now().Add(t.timeout + answerLate + 200*time.Millisecond))
	m, err := readMessage(k.conn, k.br)
	if err != nil {
		w.seen("upload cut off")
		if whole && t.upload.pauseAfter == 0 && !w.heldUp(t) && k.taken() && k.late(k.until) {
			w.rules.RequestLost(t.id, t.gateway, "not answered in time")
		}
		w.end(t, 0)
		return 0, 0
	}
	status, _ = strconv.Atoi(strings.Fields(m.first + " 0 0")[1])
	w.rules.answered(t, status, m.body)
	switch held := w.heldUp(t); {
	case status == 200 && held:
		w.seen("upload served, gateway stood still")
	case status == 200:
		w.seen("upload served")
	default:
		w.seen("upload refused or failed")
	}
	w.end(t, status)
	return 200, 0 // it isn't tried again
}

// writeUpload sends the header and the body, and reports whether all of it was taken.
func (c *clients) writeUpload(t *try, k *clientConn) bool {
	u := t.upload
	head := strings.Replace(string(t.wire()), "Content-Length: 24\r\n\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", u.size), 1)
	head = head[:strings.Index(head, "\r\n\r\n")+4]
	if _, err := k.Write([]byte(head)); err != nil {
		return false
	}
	body := make([]byte, u.size)
	for sent := 0; len(body) > 0; sent++ {
		if u.pauseAfter > 0 && sent == u.pauseAfter {
			c.host.Sleep(uploadPause)
		}
		n := min(len(body), u.size/u.pieces+1)
		if _, err := k.Write(body[:n]); err != nil {
			return false
		}
		body = body[n:]
		c.host.Sleep(u.every)
	}
	return true
}
