package fsm

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
	return e[i].At < e[j].At || e[i].At == e[j].At && e[i].Order < e[j].Order
}
func (e Events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are for container/heap alone.
func (e *Events) Push(x any) { *e = append(*e, x.(Event)) }

func (e *Events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Add and Next do what heap.Push and heap.Pop would, without two allocations for each
// event: a played day is mostly these.
func (e *Events) Add(ev Event) {
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
func (e *Events) Next() Event {
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
