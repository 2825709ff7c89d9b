package fsm

// Event is an action at a point of simulated time.
type Event struct {
	At       Time
	Sequence uint64 // order of events with the same time
	Run      func()
}

// EventQueue is a heap of events, ordered by time. It implements heap.Interface.
type EventQueue []Event

func (e EventQueue) Len() int { return len(e) }
func (e EventQueue) Less(i, j int) bool {
	return e[i].At < e[j].At || e[i].At == e[j].At && e[i].Sequence < e[j].Sequence
}
func (e EventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are for container/heap only.
func (e *EventQueue) Push(x any) { *e = append(*e, x.(Event)) }

func (e *EventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Insert adds an event. Insert and RemoveFirst do the same as heap.Push and heap.Pop, but without two
// allocations for each event: a simulated day consists mostly of events.
func (e *EventQueue) Insert(ev Event) {
	*e = append(*e, ev)
	queue := *e
	for i := len(queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !queue.Less(i, parent) {
			return
		}
		queue.Swap(i, parent)
		i = parent
	}
}

// RemoveFirst removes and returns the earliest event; the queue must not be empty.
func (e *EventQueue) RemoveFirst() Event {
	queue := *e
	first, end := queue[0], len(queue)-1
	queue[0], queue[end] = queue[end], Event{}
	queue = queue[:end]
	for i := 0; ; {
		child := 2*i + 1
		if child >= end {
			break
		}
		if child+1 < end && queue.Less(child+1, child) {
			child++
		}
		if !queue.Less(child, i) {
			break
		}
		queue.Swap(i, child)
		i = child
	}
	*e = queue
	return first
}
