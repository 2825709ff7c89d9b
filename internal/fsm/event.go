package fsm

// Event is what happens at a moment of simulated time.
type Event struct {
	At       Time
	Sequence uint64 // of coming, for those of one moment
	Run      func()
}

// Events are a heap for container/heap, the earliest first.
type EventQueue []Event

func (e EventQueue) Len() int { return len(e) }
func (e EventQueue) Less(i, j int) bool {
	return e[i].At < e[j].At || e[i].At == e[j].At && e[i].Sequence < e[j].Sequence
}
func (e EventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are for container/heap alone.
func (e *EventQueue) Push(x any) { *e = append(*e, x.(Event)) }

func (e *EventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Add and Next do what heap.Push and heap.Pop would, without two allocations for each
// event: a played day is mostly these.
func (e *EventQueue) Insert(ev Event) {
	*e = append(*e, ev)
	all := *e
	for i := len(all) - 1; i > 0; {
		up := (i - 1) / 2
		if !all.Less(i, up) {
			return
		}
		all.Swap(i, up)
		i = up
	}
}

// Next takes the earliest away; there must be one.
func (e *EventQueue) RemoveFirst() Event {
	all := *e
	first, end := all[0], len(all)-1
	all[0], all[end] = all[end], Event{}
	all = all[:end]
	for i := 0; ; {
		down := 2*i + 1
		if down >= end {
			break
		}
		if down+1 < end && all.Less(down+1, down) {
			down++
		}
		if !all.Less(down, i) {
			break
		}
		all.Swap(i, down)
		i = down
	}
	*e = all
	return first
}
