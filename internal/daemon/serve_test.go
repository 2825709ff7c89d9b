package daemon

import (
	"testing"

	"asterwell/choice"
	"asterwell/internal/registry"
)

// TestLatestServers: the last state of each server counts, and one that has ended is removed.
func TestLatestServers(t *testing.T) {
	s := func(id string, phase registry.Phase) registry.Server {
		return registry.Server{ID: id, Addr: id + ":1", Service: "toy", Phase: phase}
	}
	list, gone := latestServers([]registry.Server{s("a", registry.Serving), s("b", registry.Serving), s("c", registry.Ended), s("a", registry.Quiescing),
		s("b", registry.Ended), s("c", registry.Serving), s("d", registry.Silent)})
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
