package choice

import (
	"encoding/json"
	"testing"
	"time"
)

// Gateways compare digests of their encoded classes and plans, and processes of a gateway hand over their encoded
// state. Different releases work together only if the encoding stays the same.
func TestEncodingIsStable(t *testing.T) {
	class := Class{Name: "read", Target: time.Second, Deadline: 2 * time.Second, LateValue: 0.3, Value: 4,
		Effect: Keyed, Group: SameCell, KeyTTL: time.Minute, Stream: true, MaxAttempts: 5}
	plan := Plan{Name: "basic", Rate: 1, Burst: 2, MaxOut: 3, CeilingRate: 4, CeilingBurst: 5, CeilingSlack: 6,
		ValueFactor: 7, ExcessWorth: 8, OverrunCost: 9}
	state := SavedState{Limit: 1, ValueRate: 2, MeanLoss: 3, MinLoss: 4, OverQuota: 5, FaultRate: 6, SendRate: 7,
		StartedAt: 8, CountedAt: 9, DoubtedAt: 10,
		Classes: []ClassState{{Name: "c", Mean: 1, Deviation: 2, Baseline: 3}},
		Customers: []CustomerState{{Key: "k", Plan: "p", TAT: 1, SeenAt: 2, ReadAt: 3, Gateways: 4, EmptyReads: 5,
			CeilingShare: 6, ExcessShare: 7}},
		Servers: []ServerState{{Key: 1, Slowness: 2, FaultRate: 3, EjectedUntil: 4}}}
	for _, c := range []struct {
		value any
		want  string
	}{
		{class, `{"Name":"read","Aim":1000000000,"Deadline":2000000000,"LateWorth":0.3,"Value":4,"Effect":1,"Group":2,` +
			`"KeyTTL":60000000000,"Stream":true,"Tries":5}`},
		{plan, `{"Name":"basic","Rate":1,"Burst":2,"MaxOut":3,"CeilingRate":4,"CeilingBurst":5,"CeilingSlack":6,` +
			`"ValueFactor":7,"ExcessWorth":8,"OverrunCost":9}`},
		{state, `{"Limit":1,"Density":2,"Stake":3,"Floor":4,"Beyond":5,"Faults":6,"Sends":7,"Started":8,"Counted":9,` +
			`"Doubt":10,"Classes":[{"Name":"c","Mean":1,"Dev":2,"Base":3}],"Customers":[{"Key":"k","Plan":"p","TAT":1,` +
			`"Seen":2,"ReadAt":3,"Width":4,"Over":5,"Room":6,"Spare":7}],"Servers":[{"Key":1,"Slow":2,"Fault":3,"Until":4}]}`},
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
