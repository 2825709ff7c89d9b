package adminapi

// Frames is the answer of GET /api/frames: the traffic between one process and the others since its start.
// Its size doesn't depend on the number of processes.
type Frames struct {
	Name, Role  string
	Ready       bool
	Version     uint32 // in force
	Up, Serving int    // numbers of processes and servers known
	Kinds       map[string]MessageCounts
}

// MessageCounts counts the frames of one kind of message.
type MessageCounts struct{ Sent, BytesOut, Got, BytesIn int64 }
