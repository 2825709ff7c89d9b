// Package standstill notices that a process did not run for a while: it was stopped by a signal, its machine was paused, or
// no processor was free. What times out behind such a pause was not late by itself.
package standstill

import "time"

// Threshold is how much longer than planned a wait must take to count. Shorter ones are ordinary on a busy machine.
const Threshold = 250 * time.Millisecond

// Meter counts standstills. It has no clock: its user tells how long each wait took.
type Meter struct {
	Count   int
	Longest time.Duration
	Total   time.Duration
}

// Waited records a wait that was to take at most planned, and took took. It returns for how long the process stood still;
// 0: it did not.
func (m *Meter) Waited(planned, took time.Duration) time.Duration {
	stood := took - max(0, planned)
	if stood < Threshold {
		return 0
	}
	m.Count++
	m.Total += stood
	m.Longest = max(m.Longest, stood)
	return stood
}
