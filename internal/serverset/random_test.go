package serverset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"asterwell/choice"
)

// referenceModel records in the simplest form what the sources reported.
type referenceModel struct {
	list            map[string]string // addresses by id
	draining        map[string]bool   // by id
	removed         map[string]bool   // addresses that must not be used until they are named again
	withoutSRVSince map[string]time.Duration
	targets         map[string][]string // addresses by target
}

// names reports whether SRV names an address, directly or as another address of a target.
func (o *referenceModel) names(addr string) bool {
	for _, addrs := range o.targets {
		if slices.Contains(addrs, addr) {
			return true
		}
	}
	return false
}

func (o *referenceModel) listed(addr string) (up, any bool) {
	for id, a := range o.list {
		if a == addr {
			up, any = up || !o.draining[id], true
		}
	}
	return up, any
}

// linkedAddrs returns all addresses of the targets that are linked by shared addresses.
func (o *referenceModel) linkedAddrs(addrs []string) []string {
	all := slices.Clone(addrs)
	for again := true; again; {
		again = false
		for _, ways := range o.targets {
			if !slices.ContainsFunc(ways, func(a string) bool { return slices.Contains(all, a) }) {
				continue
			}
			for _, a := range ways {
				if !slices.Contains(all, a) {
					all, again = append(all, a), true
				}
			}
		}
	}
	return all
}

// propagateRemovals applies a removal to all addresses of the targets that lead there.
func (o *referenceModel) propagateRemovals() {
	for again := true; again; {
		again = false
		for _, addrs := range o.targets {
			claimed := slices.ContainsFunc(o.linkedAddrs(addrs), func(a string) bool { _, any := o.listed(a); return any })
			if claimed || !slices.ContainsFunc(addrs, func(a string) bool { return o.removed[a] }) {
				continue
			}
			for _, a := range addrs {
				if !o.removed[a] {
					o.removed[a], again = true, true
				}
			}
		}
	}
}

// TestAnyOrder checks any order of events: what the list drains or has removed is never used, no
// withdrawal is ignored, numbers are never reused, repeated reports change nothing, and tiers leave
// no more often than TierLeaveHold allows.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := options
		opt.SRVOnlyWhileListSilent = rapid.Bool().Draw(t, "only while the list is silent")
		w := newWorld(opt)
		o := &referenceModel{list: map[string]string{}, draining: map[string]bool{}, removed: map[string]bool{},
			withoutSRVSince: map[string]time.Duration{}, targets: map[string][]string{}}
		addrs := []string{"1", "2", "3", "4", "5"}
		began := w.now
		dead := map[uint32]bool{}
		left := map[uint32]string{} // names by the numbers of servers that are gone for good
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"srv", "srv", "list", "list", "whole", "outcome", "wait", "wait", "stale", "broken"}).Draw(t, "event") {
			case "srv":
				o.targets = map[string][]string{}
				var list []Target
				for _, name := range []string{"a", "b", "c", "d"} {
					if !rapid.Bool().Draw(t, name) {
						continue
					}
					ways := rapid.SliceOfNDistinct(rapid.SampledFrom(addrs), 0, 2, rapid.ID[string]).Draw(t, "ways")
					o.targets[name] = ways
					list = append(list, Target{Name: name, Port: 1, Weight: 1, Addrs: ways,
						Priority: rapid.Uint16Range(0, 2).Draw(t, "priority")})
				}
				w.ApplySRV(w.now, "x", list, len(list) == 0 && rapid.Bool().Draw(t, "none"))
			case "list", "whole":
				whole := rapid.Bool().Draw(t, "whole")
				var nodes []ListEntry
				was := map[string]bool{}
				for _, a := range o.list {
					was[a] = true
				}
				next := map[string]string{}
				if !whole {
					for id, a := range o.list {
						next[id] = a
					}
				}
				for _, id := range []string{"s", "t", "u"} {
					if !rapid.Bool().Draw(t, id) {
						continue
					}
					l := ListEntry{Name: id, Addr: rapid.SampledFrom(addrs).Draw(t, "addr"), Member: choice.Member{Weight: 1}}
					if used := slices.ContainsFunc(nodes, func(x ListEntry) bool { return x.Addr == l.Addr && x.State != choice.Down }); used {
						continue
					}
					for other, a := range next { // a list does not name an address twice
						if other != id && a == l.Addr {
							l.State = choice.Down
						}
					}
					if l.State = max(l.State, rapid.SampledFrom([]choice.State{choice.Up, choice.Up, choice.Draining, choice.Down}).Draw(t, "state")); l.State == choice.Down {
						delete(next, id)
					} else {
						next[id], o.draining[id] = l.Addr, l.State == choice.Draining
					}
					nodes = append(nodes, l)
				}
				o.list = next
				now := map[string]bool{}
				for _, a := range next {
					now[a] = true
					delete(o.removed, a)
				}
				for a := range was {
					if !now[a] {
						o.removed[a] = true
					}
				}
				w.ApplyList(w.now, nodes, whole, false)
			case "outcome":
				if len(w.core) > 0 {
					ids := make([]uint32, 0, len(w.core))
					for id := range w.core {
						ids = append(ids, id)
					}
					slices.Sort(ids)
					id := rapid.SampledFrom(ids).Draw(t, "server")
					ok := rapid.Bool().Draw(t, "ok")
					for range rapid.IntRange(1, 4).Draw(t, "times") {
						w.RecordOutcome(w.now, id, ok, rapid.Bool().Draw(t, "refused"))
					}
					dead[id] = !ok
				}
			case "wait":
				w.advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			case "stale":
				w.SourceStale(w.now, "x")
			case "broken":
				w.ListUnreachable(w.now)
			}
			for _, a := range addrs { // how long SRV has been without a removed address
				if o.names(a) || !o.removed[a] {
					delete(o.withoutSRVSince, a)
				} else if _, ok := o.withoutSRVSince[a]; !ok {
					o.withoutSRVSince[a] = w.now
				} else if w.now >= o.withoutSRVSince[a]+options.RemovedHold {
					delete(o.removed, a)
					delete(o.withoutSRVSince, a)
				}
			}
			o.propagateRemovals()
			before := map[uint32]Change{}
			for id, c := range w.core {
				before[id] = c
			}
			w.syncCore()
			used := map[string]uint32{}
			for id, c := range w.core {
				if name, was := left[id]; was && name != c.Name {
					t.Fatalf("number %d is reused, first for %s and now for %s", id, name, c.Name)
				}
				if c.State != choice.Up {
					continue
				}
				if used[c.Addr] != 0 {
					t.Fatalf("%s is used twice", c.Addr)
				}
				used[c.Addr] = id
				up, any := o.listed(c.Addr)
				switch {
				case any && !up:
					t.Fatalf("%s is used, though the list drains it", c.Addr)
				case !any && o.removed[c.Addr]:
					t.Fatalf("%s is used, though the list has removed it", c.Addr)
				case !any && opt.SRVOnlyWhileListSilent && w.listIsHeard():
					t.Fatalf("%s is used, though the list is reachable and does not name it", c.Addr)
				case !any && !o.names(c.Addr):
					t.Fatalf("%s is used, though no source names it", c.Addr)
				}
				for _, other := range o.linkedAddrs([]string{c.Addr}) {
					if up, drained := o.listed(other); !any && drained && !up {
						t.Fatalf("%s bypasses the drain of %s", c.Addr, other)
					}
				}
			}
			for id, c := range before {
				if _, ok := w.core[id]; !ok {
					left[id] = c.Name
				}
			}
		}
		if most := int((w.now-began)/options.TierLeaveHold) + 1; w.stats.Leaves > most {
			t.Fatalf("%d tiers have left in %v", w.stats.Leaves, w.now-began)
		}
		if opt.SRVOnlyWhileListSilent { // repeating the list ends its silence, which does change servers
			return
		}
		// Repeated reports change nothing.
		w.advance(time.Hour)
		view := fmt.Sprint(w.view())
		var nodes []ListEntry
		for id, a := range o.list {
			nodes = append(nodes, ListEntry{Name: id, Addr: a, Member: choice.Member{Weight: 1, State: map[bool]choice.State{true: choice.Draining}[o.draining[id]]}})
		}
		w.ApplyList(w.now, nodes, true, false)
		if w.advance(time.Hour); w.view() != view {
			t.Fatalf("%s, after a repeat %s", view, w.view())
		}
	})
}

// TestTiersDoNotFlap checks that, while servers fail and answer in any order, offered tiers change
// no faster than TierLeaveHold allows, and the next tier is offered whenever too few of the first
// one are alive.
func TestTiersDoNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(options)
		var list []Target
		for i := range 20 {
			list = append(list, Target{Name: fmt.Sprint(i), Port: 1, Priority: uint16(i / 10), Addrs: []string{fmt.Sprint(i)}})
		}
		w.ApplySRV(w.now, "x", list, false)
		w.syncCore()
		began := w.now
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			w.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			addr := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "server"))
			ok := rapid.Bool().Draw(t, "ok")
			for id, c := range w.core {
				for range 3 {
					if c.Addr == addr {
						w.RecordOutcome(w.now, id, ok, false)
					}
				}
			}
			w.syncCore()
			live := 0
			for _, n := range w.byNumber {
				if n.target.Priority == 0 && !n.dead {
					live++
				}
			}
			if live < 7 && w.lastOfferedPriority == 0 {
				t.Fatalf("%d of 10 live, and the next tier is not offered", live)
			}
		}
		s := w.Stats()
		if most := int((w.now-began)/options.TierLeaveHold) + 1; s.Joins > most || s.Leaves > most {
			t.Fatalf("%d joins and %d leaves in %v", s.Joins, s.Leaves, w.now-began)
		}
	})
}

// BenchmarkApply applies 5,000 SRV targets and 1,000 servers of the list.
func BenchmarkApply(b *testing.B) {
	var list []Target
	var nodes []ListEntry
	for i := range 5000 {
		list = append(list, Target{Name: fmt.Sprint(i, "."), Port: 1, Weight: 1, Addrs: []string{fmt.Sprint("10.0.", i/250, ".", i%250, ":1")}})
	}
	for i := range 1000 {
		nodes = append(nodes, ListEntry{Name: fmt.Sprint("s", i), Addr: list[i].Addrs[0], Member: choice.Member{Weight: 1}})
	}
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			m := New(options)
			m.ApplyList(0, nodes, true, false)
			m.ApplySRV(0, "a", list, false)
			m.TakeChanges(0)
		}
	})
	b.Run("repeat", func(b *testing.B) {
		m := New(options)
		m.ApplyList(0, nodes, true, false)
		for b.Loop() {
			m.ApplySRV(0, "a", list, false)
			m.TakeChanges(0)
		}
	})
	b.Run("change", func(b *testing.B) {
		m := New(options)
		m.ApplyList(0, nodes, true, false)
		m.ApplySRV(0, "a", list, false)
		m.TakeChanges(0)
		i := 0
		for b.Loop() {
			n := nodes[i%1000]
			n.State = choice.State(i / 1000 % 2)
			m.ApplyList(0, []ListEntry{n}, false, false)
			m.TakeChanges(0)
			i++
		}
	})
}
