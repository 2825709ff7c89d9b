package weave

import (
	"testing"

	"asterwell/choice"
	"asterwell/internal/lore"
)

// Of a server the last word counts, and one that has ended is not served from any more.
func TestLately(t *testing.T) {
	s := func(id string, phase lore.Phase) lore.Server {
		return lore.Server{ID: id, Addr: id + ":1", Service: "toy", Phase: phase}
	}
	list, gone := lately([]lore.Server{s("a", lore.Serving), s("b", lore.Serving), s("c", lore.Ended), s("a", lore.Quiescing),
		s("b", lore.Ended), s("c", lore.Serving), s("d", lore.Silent)})
	states := map[string]choice.State{}
	for _, v := range list {
		states[v.ID] = v.State
	}
	if len(list) != 3 || states["a"] != choice.Draining || states["c"] != choice.Up || states["d"] != choice.Down {
		t.Errorf("served %v", list)
	}
	if len(gone) != 1 || gone[0] != "b" {
		t.Errorf("gone %v", gone)
	}
}
