package settings

import (
	"strings"
	"testing"
)

const policyText = `{
 "services": [
  {"name": "read", "aimMs": 100, "deadlineMs": 200, "effect": "retryable", "value": 1},
  {"name": "submit", "aimMs": 100, "deadlineMs": 200, "effect": "fragile", "value": 3}
 ],
 "contracts": [{"name": "basic", "quotaRate": 5, "peakUnits": 10, "valueFactor": 1, "overrunCost": 1}],
 "prices": {"probe": 0.1}
}`

// Checks that a policy replaces classes, plans and prices, and nothing else.
func TestWithPolicy(t *testing.T) {
	own, err := Decode([]byte(`{"balancers": 3, "selfIndex": 2, "tickMs": 1, "locality": "b",
		"services": [{"name": "old", "aimMs": 1, "effect": "retryable"}], "contracts": [{"name": "old", "quotaRate": 1, "peakUnits": 1}],
		"prices": {"crossZone": 0.5, "probe": 0.3}, "familyInfo": {"maxUnits": 7, "countFee": 0.01}}`))
	if err != nil {
		t.Fatal(err)
	}
	s, err := own.WithPolicy([]byte(policyText))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 2 || s.Classes[1].Name != "submit" || len(s.Plans) != 1 || s.Plans[0].Rate != 5 || s.ProbePrice != 0.1 || s.CrossZone != 0 {
		t.Errorf("%+v", s)
	}
	if s.Gateways != 3 || s.Index != 2 || s.Zone != "b" || s.MaxUnits != 7 || s.CounterPrice != 0.01 {
		t.Errorf("a setting outside the policy has changed: %+v", s)
	}
	if len(own.Classes) != 1 || own.Classes[0].Name != "old" {
		t.Errorf("WithPolicy modified its receiver: %+v", own.Classes)
	}
}

// Checks that the error for an invalid policy names the line and the key.
func TestWithPolicyInvalid(t *testing.T) {
	own := Settings{}
	own.Gateways = 1
	for _, c := range [][3]string{
		{`"aimMs": 100, "deadlineMs": 200, "effect": "fragile"`, `"aimMs": 0, "deadlineMs": 200, "effect": "fragile"`, "line 4: services[1].aimMs must be above 0, got 0s"},
		{`"quotaRate": 5`, `"quotaRate": -5`, "line 6: contracts[0].quotaRate must not be negative, got -5"},
		{`"quotaRate": 5`, `"quotaRate": "5"`, `line 6: contracts.quotaRate: a string does not fit`},
		{`"effect": "fragile"`, `"effect": "eternal"`, `services: submit: unknown effect "eternal"`},
		{`"value": 3`, `"worth": 3`, `line 4: unknown key "worth"`},
		{`"prices"`, `"price"`, `line 7: unknown key "price"`},
		{`"probe": 0.1}`, `"probe": 0.1},`, "line 8: "},
		{`"contracts": [{`, `"contracts": [], "x": [{`, `line 6: unknown key "x"`},
	} {
		text := strings.Replace(policyText, c[0], c[1], 1)
		if _, err := own.WithPolicy([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), c[2]) {
			t.Errorf("%s: %v, want %s", c[1], err, c[2])
		}
	}
	for text, want := range map[string]string{`{}`: "is missing", policyText + "{": "more behind the object", ``: "EOF", `[]`: "does not fit"} {
		if _, err := own.WithPolicy([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
