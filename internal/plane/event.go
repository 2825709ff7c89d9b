package plane

import "cmp"

// Event is what happens at a moment of simulated time.
type Event struct {
	At    Time
	Order uint64 // of coming, for those of one moment
	Do    func()
}

// Events are a heap for container/heap, the earliest first.
type Events []Event

func (e Events) Len() int { return len(e) }
func (e Events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].At, e[j].At), cmp.Compare(e[i].Order, e[j].Order)) < 0
}
func (e Events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are for container/heap alone.
func (e *Events) Push(x any) { *e = append(*e, x.(Event)) }

func (e *Events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
