package protocol

// Copy is what a call sends to its server, so that it can be sent once more when it is done. A
// body that streams is copied as it goes, as far as there is room.
type Copy struct {
	call     *Call
	reserve  func(n int) bool
	reserved int
	upload   []byte // as it was sent, framing and all
	complete bool
	overflow bool // there was no room
}

// Copied begins a copy of a call that has not gone out yet. room is asked before anything is held.
func (c *Call) StartCopy(room func(n int) bool) *Copy {
	k := &Copy{call: c, reserve: room, complete: c.upload == nil}
	if k.tryReserve(len(c.head) + len(c.body)); c.upload == nil {
		return k
	}
	if !c.upload.chunked && k.tryReserve(c.upload.remaining) {
		k.upload = make([]byte, 0, c.upload.remaining)
	}
	c.upload.onPiece = k.append
	return k
}

func (k *Copy) tryReserve(n int) bool {
	if k.overflow = k.overflow || !k.reserve(n); !k.overflow {
		k.reserved += n
	}
	return !k.overflow
}

// more takes a piece of a body on its way.
func (k *Copy) append(piece []byte, last bool) {
	if k.overflow || k.call.upload.chunked && !k.tryReserve(len(piece)) {
		k.upload = nil
		return
	}
	k.upload, k.complete = append(k.upload, piece...), last
}

// Held is how much room is to be given back.
func (k *Copy) Reserved() int { return k.reserved }

// Call is the copy; nil: there was no room, or the body had not come whole.
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
