package protocol

// Copy is what a call sends to its server, so that it can be sent once more when it is done. A
// body that streams is copied as it goes, as far as there is room.
type Copy struct {
	of    *Call
	room  func(n int) bool
	held  int
	rest  []byte // as it was sent, framing and all
	whole bool
	over  bool // there was no room
}

// Copied begins a copy of a call that has not gone out yet. room is asked before anything is held.
func (c *Call) Copied(room func(n int) bool) *Copy {
	k := &Copy{of: c, room: room, whole: c.rest == nil}
	if k.take(len(c.head) + len(c.body)); c.rest == nil {
		return k
	}
	if !c.rest.chunked && k.take(c.rest.left) {
		k.rest = make([]byte, 0, c.rest.left)
	}
	c.rest.copied = k.more
	return k
}

func (k *Copy) take(n int) bool {
	if k.over = k.over || !k.room(n); !k.over {
		k.held += n
	}
	return !k.over
}

// more takes a piece of a body on its way.
func (k *Copy) more(piece []byte, last bool) {
	if k.over || k.of.rest.chunked && !k.take(len(piece)) {
		k.rest = nil
		return
	}
	k.rest, k.whole = append(k.rest, piece...), last
}

// Held is how much room is to be given back.
func (k *Copy) Held() int { return k.held }

// Call is the copy; nil: there was no room, or the body had not come whole.
func (k *Copy) Call() *Call {
	if k.over || !k.whole {
		return nil
	}
	c := &Call{head: k.of.head, body: k.of.body, name: k.of.name, Transparent: k.of.Transparent, Final: k.of.Final}
	if k.of.rest != nil {
		c.body = k.rest
		if len(k.of.body) > 0 {
			c.body = append(append([]byte(nil), k.of.body...), k.rest...)
		}
	}
	return c
}
