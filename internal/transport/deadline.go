package transport

import "time"

// minExtension is how long a peer whose deadline has passed gets at least, for what it has sent to be read. A deadline that
// is noticed that late was passed while the process stood still.
const minExtension = 50 * time.Millisecond

// extendDeadline returns until when an operation that has missed its deadline is tried again, and false if it has failed. If the
// process stood still, the deadline was noticed late, and the peer's bytes may have arrived in time without having been
// read. So the first miss is extended, and each further one that was noticed late: a process may stand still repeatedly.
func extendDeadline(deadline, now time.Time, extended bool) (until time.Time, ok bool) {
	late := now.Sub(deadline)
	if extended && late < minExtension {
		return deadline, false
	}
	return now.Add(max(late, minExtension)), true
}
