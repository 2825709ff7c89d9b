package choice

import (
	"encoding/json"
	"testing"
	"time"
)

// Gateways compare digests of their encoded classes and plans, so the encoding must stay the same for gateways
// of different releases to agree.
func TestEncodingOfClassesAndPlansIsStable(t *testing.T) {
	class := Class{Name: "read", Target: time.Second, Deadline: 2 * time.Second, LateValue: 0.3, Value: 4,
		Effect: Keyed, Group: SameCell, KeyTTL: time.Minute, Stream: true, MaxAttempts: 5}
	plan := Plan{Name: "basic", Rate: 1, Burst: 2, MaxOut: 3, CeilingRate: 4, CeilingBurst: 5, CeilingSlack: 6,
		ValueFactor: 7, ExcessWorth: 8, OverrunCost: 9}
	for _, c := range []struct {
		value any
		want  string
	}{
		{class, `{"Name":"read","Aim":1000000000,"Deadline":2000000000,"LateWorth":0.3,"Value":4,"Effect":1,"Group":2,` +
			`"KeyTTL":60000000000,"Stream":true,"Tries":5}`},
		{plan, `{"Name":"basic","Rate":1,"Burst":2,"MaxOut":3,"CeilingRate":4,"CeilingBurst":5,"CeilingSlack":6,` +
			`"ValueFactor":7,"ExcessWorth":8,"OverrunCost":9}`},
	} {
		text, err := json.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != c.want {
			t.Errorf("encoded as %s, want %s", text, c.want)
		}
	}
}
