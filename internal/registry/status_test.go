package registry

import (
	"encoding/json"
	"testing"
)

// TestServerJSON guards the keys that GET /api/status shows for a server.
func TestServerJSON(t *testing.T) {
	got, err := json.Marshal(Server{ID: "i", Addr: "a:1", Service: "s", Zone: "z", Epoch: "v1", Capacity: 4, Phase: Silent, Seq: 3, WarmUntil: 5})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"ID":"i","Addr":"a:1","Service":"s","Zone":"z","Epoch":"v1","Capacity":4,"Phase":1,"Seq":3,"Warm":5}`
	if string(got) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
