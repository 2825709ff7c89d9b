package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
)

func TestDecode(t *testing.T) {
	got, err := Decode([]byte(`{"balancers":3,"locality":"a","tickMs":2,"unheardOf":[1],
		"caps":{"cancel":true,"tryLimit":5,"idleCloseMs":15000,"connectTimeoutMs":250.5},"loadInfo":{"source":"on_probe"},
		"services":[{"name":"s","aimMs":800,"deadlineMs":3000,"effect":"dedup","group":"zone","keyTtlMs":5000,"value":3}],
		"contracts":[{"name":"p","quotaRate":0.76,"peakUnits":3,"neverOverRate":12,"ceilingBurst":32,"hardSlack":3}],
		"prices":{"probe":0.08},"familyInfo":{"sharedCounter":true,"counterTimeoutMs":50}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{IdleClose: 15 * time.Second, Reports: true, Settings: choice.Settings{Gateways: 3, Zone: "a",
		Tick: 2 * time.Millisecond, Cancels: true, MaxAttempts: 5, ConnectTimeout: 250500 * time.Microsecond,
		Counter: true, CounterTimeout: 50 * time.Millisecond, ProbePrice: 0.08,
		Classes: []choice.Class{{Name: "s", Target: 800 * time.Millisecond, Deadline: 3 * time.Second, Effect: choice.Keyed,
			Group: choice.SameZone, KeyTTL: 5 * time.Second, Value: 3}},
		Plans: []choice.Plan{{Name: "p", Rate: 0.76, Burst: 3, CeilingRate: 12, CeilingBurst: 32, CeilingSlack: 3}}}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestLoad(t *testing.T) {
	for _, c := range []struct {
		in   map[string]float64
		want *choice.Load
	}{
		{nil, nil},
		{map[string]float64{"svc_ms": 3, "served_ps": 40}, nil},
		{map[string]float64{"busy_reqs": 2, "pending": 0}, &choice.Load{InFlight: 2, HasInFlight: true, HasQueue: true}},
	} {
		if d := cmp.Diff(c.want, Load(c.in)); d != "" {
			t.Error(d)
		}
	}
}

// Checks that the error for an invalid setting names the key that the operator wrote.
func TestErrorsNameKey(t *testing.T) {
	const rest = `,"services":[{"name":"s","aimMs":800,"effect":"retryable"}]}`
	for text, key := range map[string]string{
		`{"balancers":3,"prices":{"probe":-0.1}` + rest:    "prices.probe",
		`{"balancers":3,"prices":{"probe":"a"}` + rest:     "prices.probe",
		`{"balancers":0` + rest:                            "balancers",
		`{"prices":{}` + rest:                              "balancers",
		`{"balancers":"many"` + rest:                       "balancers",
		`{"balancers":3,"selfIndex":-1,"prices":{}` + rest: "selfIndex",
		// The later one's effect held for requests of both.
		`{"balancers":3,"services":[{"name":"s","aimMs":800,"effect":"fragile"},{"name":"s","aimMs":800,"effect":"retryable"}]}`: "services[1].name",
		`{"balancers":3,"contracts":[{"name":"p"},{"name":"q"},{"name":"p"}]` + rest:                                             "contracts[2].name",
	} {
		s, err := Decode([]byte(text))
		if err == nil {
			err = s.Check()
		}
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v, want an error that names %s", text, err, key)
		}
	}
}

// The JSON decoder puts the names of Go types into its errors, which operators read. Checks that
// a renamed type doesn't change them.
func TestDecodeErrorTexts(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                           "json: cannot unmarshal array into Go value of type settings.wire",
		`{"balancers":"x"}`:            "json: cannot unmarshal string into Go struct field wire.balancers of type int",
		`{"prices":{"probe":"a"}}`:     "json: cannot unmarshal string into Go struct field .rules.prices.probe of type float64",
		`{"services":[{"aimMs":"a"}]}`: "json: cannot unmarshal string into Go struct field .rules.services.aimMs of type float64",
	} {
		if _, err := Decode([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}
