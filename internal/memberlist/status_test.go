package memberlist

import (
	"encoding/json"
	"testing"
)

// TestNodeJSON guards the keys that GET /api/status shows for a node.
func TestNodeJSON(t *testing.T) {
	got, err := json.Marshal(Node{Addr: "a:1", Name: "a", Zone: "z", Control: "a:2", Member: true, Incarnation: 7, Seq: 3,
		State: Leaving, Ready: true, ConfigVersion: 9, Encoding: 1})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Addr":"a:1","Name":"a","Zone":"z","Control":"a:2","Member":true,"Life":7,"Seq":3,"State":1,"Ready":true,"Held":9,"Form":1}`
	if string(got) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
