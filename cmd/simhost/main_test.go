package main

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"
)

const attach = `{"tsMs":1000,"arrivals":[{"event_type":"ATTACH","i":"door/0","initSeed":18446744073709551615,"env":{
"balancers":2,"locality":"a","tickMs":2,"unheardOf":[1],"caps":{"tryLimit":3,"secondCopies":true,"cancel":true,"probes":true,
"retryAfter":true},"services":[{"name":"read","aimMs":800,"deadlineMs":3000,"effect":"retryable","value":1}],
"contracts":[{"name":"rated","quotaRate":10,"peakUnits":10,"valueFactor":1,"overrunCost":1}],
"familyInfo":{"sharedCounter":true,"counterTimeoutMs":40,"maxUnits":4},"safety":{"coldFrom":0.2,"coldMs":9000}}},
{"event_type":"DIRECTORY","rosterId":3,"members":[{"backend":7,"dc":"a","state":"U","heft":1},
{"backend":8,"dc":"a","state":"U","heft":1}]},
{"event_type":"DISCOVERY","i":"door/0","rosterId":3,"how":"stale_copy","version":1}]}`

func workItem(id string) string {
	return `{"event_type":"WORK_ITEM","i":"door/0","rid":` + id + `,"service":"read","tier":"rated","apiKey":"k",` +
		`"notAfterMs":4000,"quotaUnits":1,"width":2,"firstDoor":0}`
}

// exchange runs the adapter over the given batches and returns its replies.
func exchange(t *testing.T, batches ...string) ([][]map[string]any, error) {
	t.Helper()
	var in, out strings.Builder
	for _, b := range batches {
		in.WriteString(strings.ReplaceAll(b, "\n", "") + "\n")
	}
	err := run(strings.NewReader(in.String()), &out)
	var replies [][]map[string]any
	for line := range strings.Lines(out.String()) {
		var r struct{ Outbox []map[string]any }
		if e := json.Unmarshal([]byte(line), &r); e != nil || r.Outbox == nil {
			t.Fatalf("reply %q: %v", line, e)
		}
		replies = append(replies, r.Outbox)
	}
	return replies, err
}

func TestEveryEventIsAnswered(t *testing.T) {
	replies, err := exchange(t, `{"tsMs":8412.25,"arrivals":[]}`, attach,
		`{"tsMs":1010,"arrivals":[`+workItem("5")+`]}`,
		`{"tsMs":1012,"arrivals":[{"event_type":"LEDGER_REPLY","i":"door/0","counter":"k.0","status":0,"sum":1,"spentMs":2}]}`,
		`{"tsMs":1020,"arrivals":[{"event_type":"RESULT","i":"door/0","rid":5,"try":0,"backend":7,"status":0,"spentMs":10,`+
			`"final":true,"actual":3,"telemetry":{"pending":2}}]}`,
		`{"tsMs":1030,"arrivals":[{"event_type":"PONG","i":"door/0","status":0,"backend":7,"spentMs":1.5},`+
			`{"event_type":"LEDGER_REPLY","i":"door/0","counter":"x","status":3,"sum":1,"spentMs":40},`+
			`{"event_type":"REMINDER","i":"door/0","tag":"beat"},{"event_type":"LEFT","i":"door/0","rid":9},`+
			`{"event_type":"ACCEPTED","i":"door/0","rid":9,"try":0,"backend":7,"spentMs":1},`+
			`{"event_type":"NOTE_FROM","i":"door/0","from":1,"blob":"hi"},`+
			`{"event_type":"DISCOVERY","i":"door/0","how":"broken","version":1},`+
			`{"event_type":"SHUTDOWN","i":"door/0"}]}`)
	if err != nil || len(replies) != 6 {
		t.Fatalf("%d replies, error %v", len(replies), err)
	}
	if len(replies[0]) != 0 {
		t.Errorf("an empty batch got %v", replies[0])
	}
	sent := false
	for _, a := range replies[3] {
		sent = sent || a["event_type"] == "ASSIGN" && a["rid"] == 5.0 && (a["backend"] == 7.0 || a["backend"] == 8.0)
	}
	if !sent {
		t.Errorf("no ASSIGN in %v", replies[3])
	}
}

func TestActionsOnTheWire(t *testing.T) {
	h := &host{}
	g := &gateway{name: "door/1", host: h}
	g.Send(0, 7, 80*time.Millisecond)
	g.Refuse(1, 250*time.Millisecond)
	g.Fail(2)
	g.Cancel(3, 0)
	g.Probe(7)
	g.AddToCounter("n", 0, time.Minute)
	g.SetTimer(0, "x")
	g.Watch(false)
	g.Log("text")
	want := []string{
		`{"event_type":"ASSIGN","i":"door/1","rid":0,"backend":7,"limitMs":80}`,
		`{"event_type":"REJECT","i":"door/1","rid":1,"backoffMs":250}`,
		`{"event_type":"REPORT_FAILURE","i":"door/1","rid":2}`,
		`{"event_type":"STOP_ATTEMPT","i":"door/1","rid":3,"try":0}`,
		`{"event_type":"CHECK","i":"door/1","backend":7}`,
		`{"event_type":"ENTER","i":"door/1","counter":"n","step":0,"expireInMs":60000}`,
		`{"event_type":"SET_ALARM","i":"door/1","sleepForMs":0,"tag":"x"}`,
		`{"event_type":"OBSERVE","i":"door/1","on":false}`,
		`{"event_type":"REMARK","i":"door/1","reasonText":"text"}`,
	}
	for i, a := range h.out {
		if got, _ := json.Marshal(a); string(got) != want[i] {
			t.Errorf("got  %s\nwant %s", got, want[i])
		}
	}
}

func TestMalformedInputIsNamed(t *testing.T) {
	for want, in := range map[string]string{
		"not a batch":      `{"tsMs":`,
		"tsMs is missing":  `{"arrivals":[]}`,
		"event_type":       `{"tsMs":1,"arrivals":[{"i":"door/0"}]}`,
		"i is missing":     `{"tsMs":1,"arrivals":[{"event_type":"LEFT","rid":1}]}`,
		"never attached":   `{"tsMs":1,"arrivals":[{"event_type":"LEFT","i":"door/9","rid":1}]}`,
		"env is missing":   `{"tsMs":1,"arrivals":[{"event_type":"ATTACH","i":"door/9","initSeed":1}]}`,
		"unknown effect":   strings.Replace(attach, `"retryable"`, `"odd"`, 1),
		"Plans[0].Burst":   strings.Replace(attach, `"peakUnits":10`, `"peakUnits":0`, 1),
		"no DIRECTORY":     strings.Replace(attach, `"door/0","rosterId":3`, `"door/0","rosterId":4`, 1),
		"unknown state":    strings.Replace(attach, `"state":"U"`, `"state":"X"`, 1),
		"unknown how":      strings.Replace(attach, `stale_copy`, `odd`, 1),
		"line 1: arrivals": `{"tsMs":1,"arrivals":[{"event_type":"LEFT","i":"door/9","rid":1}]}`,
	} {
		if _, err := exchange(t, in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

func TestPanicBecomesBailOut(t *testing.T) {
	stderr := os.Stderr
	os.Stderr, _ = os.Open(os.DevNull)
	defer func() { os.Stderr = stderr }()
	h := &host{gateways: map[string]*gateway{}}
	g := &gateway{name: "door/0", host: h} // no Balancer: the first event panics
	if err := g.event(&event{Type: "LEFT", I: "door/0"}); err != nil {
		t.Fatal(err)
	}
	if len(h.out) != 1 || h.out[0].Type != "BAIL_OUT" {
		t.Errorf("out %v, want BAIL_OUT", h.out)
	}
}
