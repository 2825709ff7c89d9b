package schema

import (
	"os"
	"strings"
	"testing"
)

func readTestdata(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile("../testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Each change invalidates the configuration at the given key, or leaves it valid if the key
// is empty. Faults that the schema finds are reported together; those that only the Go checks
// find are reported if there are none.
func TestExplain(t *testing.T) {
	good := strings.Join(strings.Fields(readTestdata(t, "configuration.json")), "")
	if err := Explain([]byte(good)); err != nil {
		t.Fatal(err)
	}
	if err := Explain([]byte(`{"Epoch":"0000000c","Sockets":null}`)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][]string{
		{"Epoch:", "00000007", "7"},
		{"Sockets[0].Policy[0].Effect.DeadlineMs:", `"DeadlineMs":600`, `"DeadlineMs":0`},
		{"Sockets[0].Policy[0].TargetMs:", `"TargetMs":250`, `"TargetMs":60600`},
		{"", `"TargetMs":250`, `"TargetMs":60599`},
		{"", `"TargetMs":250,`, ``},
		{"Sockets[1].Policy[0].Predicate.PathPrefix:", `"/puka111/"`, `"puka111/"`},
		{"Sockets[1].Policy[0].Effect.DeadlineMs:", `"DeadlineMs":800,`, ``},
		{"Sockets[0].Policy[0].Effect.Partition[1].Share:", `"Share":10`, `"Share":-1`},
		{"Sockets[1].Policy[0].Effect.Backend: unknown service", `"Backend":"wuno96b"`, `"Backend":"x"`},
		{"Pools[3].Encrypted:", `"Encrypted":false}]}`, `"Encrypted":"no"}]}`},
		{"Rollout.Mode:", `"Pools":[`, `"Rollout":{"Mode":"both"},"Pools":[`},
		{"Rollout.WithinS:", `"Pools":[`, `"Rollout":{"WithinS":3},"Pools":[`},
		{"", `"Pools":[`, `"Rollout":{"Mode":"together","Confirm":3,"WithinMs":5000,"Reads":"live"},"Pools":[`},
		{"Rollout.Reads:", `"Pools":[`, `"Rollout":{"Reads":"all"},"Pools":[`},
		{"Rollout.Reads:", `"Pools":[`, `"Rollout":{"Mode":"each","Reads":"live"},"Pools":[`},
		{"no JSON", `"Encrypted":false}]}`, `"Encrypted":false}]`},
	} {
		text := strings.Replace(good, c[1], c[2], 1)
		err := Explain([]byte(text))
		if text == good || (err == nil) != (c[0] == "") || err != nil && !strings.HasPrefix(err.Error(), c[0]) {
			t.Errorf("%s: %v", c[2], err)
		}
	}
	twoFaults := strings.NewReplacer(`"/puka111/"`, `"puka111/"`, `"DeadlineMs":600`, `"DeadlineMs":0`).Replace(good)
	err := Explain([]byte(twoFaults))
	if err == nil || !strings.Contains(err.Error(), "PathPrefix") || !strings.Contains(err.Error(), "DeadlineMs") {
		t.Error(err)
	}
}

func TestCheckSettings(t *testing.T) {
	good := readTestdata(t, "settings.yaml")
	if err := CheckSettings("f", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][]string{
		{"f: NodeName:", `NodeName: "edge-bern-a-1"`, ``},
		{"f: PortRange", "  - 7115\n", "  - x\n"},
		{"f: BoundsReq.MemMb:", "MemMb: 284", "MemMb: -1"},
		{"f: Bounds", `"SyncS=4"`, `"SyncS"`},
		{"f:56: Bounds[4]:", `"SyncS=4"`, `"SyncS=x"`},
		{"f: line", "Bootstrap:", "Bootstrap: ["},
	} {
		text := strings.Replace(good, c[1], c[2], 1)
		err := CheckSettings("f", []byte(text))
		if text == good || err == nil || !strings.HasPrefix(err.Error(), c[0]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}

func BenchmarkCheckSettings(b *testing.B) {
	text := []byte(readTestdata(b, "settings.yaml"))
	b.ReportAllocs()
	for b.Loop() {
		if err := CheckSettings("f", text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkExplain(b *testing.B) {
	text := []byte(readTestdata(b, "configuration.json"))
	b.ReportAllocs()
	for b.Loop() {
		if err := Explain(text); err != nil {
			b.Fatal(err)
		}
	}
}
