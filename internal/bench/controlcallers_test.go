package bench

import (
	"testing"
)

const (
	callersAtATime = 64
	everyByte      = 29 // that the sweep strikes
)

// A part of the sweep that the measurement plays whole, on real sockets.
func TestCallers(t *testing.T) {
	cases := callerCases(callerShapes(), everyByte)
	statuses, struck, used := map[int]int{}, 0, 0
	for _, p := range callerSweep(cases, callersAtATime, 0) {
		p.judge(func(key, form string, args ...any) { t.Errorf(key+": "+form, args...) })
		if len(p.all) > 0 {
			statuses[p.all[0].status]++
		}
		if p.struck {
			struck++
		}
		if p.used {
			used++
		}
	}
	if struck < len(cases)*9/10 || used < len(cases)/3 || statuses[200] < len(cases)/4 { // a busy machine may miss some
		t.Errorf("%d cases, %d struck, %d on used connections, statuses %v", len(cases), struck, used, statuses)
	}
	t.Log(len(cases), "cases, struck", struck, "on used connections", used, statuses)
}

// Each guard of the transport that is taken out is met.
func TestCallersMutants(t *testing.T) {
	cases := callerCases(callerShapes(), everyByte)
	for _, m := range callerMutants {
		met, tried := m.meet(cases, 1, callersAtATime)
		if met == "" {
			t.Errorf("%s: not met in %d cases", m.name, tried)
		}
		t.Logf("%s: %s", m.name, met)
	}
}

// Frames between processes, at a part of their bytes; and the same without the mark of a life.
func TestCallersFrames(t *testing.T) {
	cases, met := frameCases(everyByte/4), 0
	for _, p := range frameSweep(cases, callersAtATime, 0) {
		p.judge(func(key, form string, args ...any) { t.Errorf(key+": "+form, args...) })
		if p.met {
			met++
		}
	}
	if met < len(cases)*9/10 {
		t.Errorf("%d of %d cases met a frame", met, len(cases))
	}
	found := formerCounts(cases)
	if found == "" {
		t.Error("answers to a former life's calls count, and nothing shows it")
	}
	t.Log(len(cases), met, found)
}

// A few drawn days of crowds, in which any exchange may be struck.
func TestCallersDays(t *testing.T) {
	side(6, 6, func(i int) {
		callerDay(uint64(i), 0, func(key, form string, args ...any) { t.Errorf(key+": "+form, args...) })
	})
}
