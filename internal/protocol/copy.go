package protocol

// Copy records what a call sends to its server, so that it can be sent again afterwards. A
// streamed body is recorded as it is sent, as long as memory can be reserved.
type Copy struct {
	call     *Call
	reserve  func(n int) bool
	reserved int
	upload   []byte // as sent, with its framing
	complete bool
	overflow bool // memory could not be reserved
}

// StartCopy starts recording a call that has not been sent yet. It calls reserve for n bytes
// before it records them.
func (c *Call) StartCopy(reserve func(n int) bool) *Copy {
	cp := &Copy{call: c, reserve: reserve, complete: c.upload == nil}
	if cp.tryReserve(len(c.head) + len(c.body)); c.upload == nil {
		return cp
	}
	if !c.upload.chunked && cp.tryReserve(c.upload.remaining) {
		cp.upload = make([]byte, 0, c.upload.remaining)
	}
	c.upload.onPiece = cp.append
	return cp
}

func (k *Copy) tryReserve(n int) bool {
	if k.overflow = k.overflow || !k.reserve(n); !k.overflow {
		k.reserved += n
	}
	return !k.overflow
}

// append records a piece of a streamed body.
func (k *Copy) append(piece []byte, last bool) {
	if k.overflow || k.call.upload.chunked && !k.tryReserve(len(piece)) {
		k.upload = nil
		return
	}
	k.upload, k.complete = append(k.upload, piece...), last
}

// Reserved returns the number of reserved bytes, which the caller has to release.
func (k *Copy) Reserved() int { return k.reserved }

// Call returns the recorded call, or nil if memory ran out or the body is incomplete.
func (k *Copy) Call() *Call {
	if k.overflow || !k.complete {
		return nil
	}
	c := &Call{head: k.call.head, body: k.call.body, correlation: k.call.correlation, Transparent: k.call.Transparent, Final: k.call.Final}
	if k.call.upload != nil {
		c.body = k.upload
		if len(k.call.body) > 0 {
			c.body = append(append([]byte(nil), k.call.body...), k.upload...)
		}
	}
	return c
}
