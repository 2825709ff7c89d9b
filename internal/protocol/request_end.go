package protocol

// requestEnd decides how a client's request ends: with the first result that anybody gives it. The core gives one once the
// request is served, refused or has failed; the goroutine of the client's connection does if the body fails, the client leaves
// or its time is over. It has no I/O; its user guards it.
type requestEnd struct {
	result Result // Kind 0: the request is open
}

// ended reports whether the request has its result.
func (e *requestEnd) ended() bool { return e.result.Kind != 0 }

// give ends the request with r if it is open. It returns the only result, and whether that is r. The response of a result that
// comes too late is discarded.
func (e *requestEnd) give(r Result) (final Result, first bool) {
	if e.ended() {
		if r.Answer != nil {
			Discard(r.Answer)
		}
		return e.result, false
	}
	e.result = r
	return r, true
}
