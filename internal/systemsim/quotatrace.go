package systemsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"asterwell/internal/quotas"
)

// run is one request of a tenant that a server runs: when it arrived, which process passed it, and what that
// process's meter went by.
type run struct {
	at    time.Duration
	by    *proc
	basis quotas.Basis
}

// explainQuota traces who passed a tenant's requests in the window that broke its bound, in spans of half a second: by
// process, and by what its meter went by. It is told to the trace alone, and is no part of the day's sum.
func (w *world) explainQuota(t *tenant) {
	if w.trace == nil {
		return
	}
	const span = 500 * ms
	from := w.now - quotaSpan
	count := map[string][]int{}
	for _, r := range t.runs {
		row := fmt.Sprintf("%-7s %s", r.by.name, r.basis)
		if count[row] == nil {
			count[row] = make([]int, quotaSpan/span)
		}
		count[row][min(max(0, (r.at-from)/span), quotaSpan/span-1)]++
	}
	rows := make([]string, 0, len(count))
	for row := range count {
		rows = append(rows, row)
	}
	slices.Sort(rows)
	w.trace(fmt.Sprintf("%9.3f %s: %d units since %.3f, each column %v", w.now.Seconds(), t.name, len(t.runs), from.Seconds(), span))
	for _, row := range rows {
		var cells strings.Builder
		sum := 0
		for _, n := range count[row] {
			fmt.Fprintf(&cells, "%4d", n)
			sum += n
		}
		w.trace(fmt.Sprintf("%9.3f   %-24s %s = %d", w.now.Seconds(), row, cells.String(), sum))
	}
	for _, p := range w.procs {
		if p.up && p.meter != nil {
			a := p.meter.Stats(p.clock())
			w.trace(fmt.Sprintf("%9.3f   %-7s reads %s, changes %d, shares for %d, in touch %d, unanswered for %d ms",
				w.now.Seconds(), p.name, w.nameOf(a.Holder), a.HolderChanges, a.Gateways, a.Reachable, a.UnansweredMS))
		}
	}
}

func (w *world) nameOf(addr string) string {
	if p := w.byAddr[addr]; p != nil {
		return p.name
	}
	return "nobody"
}
