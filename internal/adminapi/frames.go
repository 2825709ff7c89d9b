package adminapi

// Frames is what has gone between a process and others since its start. It is small
// however many there are.
type Frames struct {
	Name, Role  string
	Ready       bool
	Version     uint32 // in force
	Up, Serving int    // processes and servers seen
	Kinds       map[string]MessageCounts
}

// Kind counts the frames of one message.
type MessageCounts struct{ Sent, BytesOut, Got, BytesIn int64 }
