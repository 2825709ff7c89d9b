package transport

import "time"

// minExtension is how long a peer whose deadline has passed gets at least, for what it has sent to be read.
const minExtension = 50 * time.Millisecond

// secondDeadline returns until when an operation that has missed its deadline is tried once more. If the process stood
// still, the deadline was noticed late, and the peer's bytes may have arrived in time without having been read.
func secondDeadline(deadline, now time.Time) time.Time {
	return now.Add(max(now.Sub(deadline), minExtension))
}
