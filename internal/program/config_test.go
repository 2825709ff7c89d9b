package program

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
	"asterwell/internal/protocol/openapi"
)

func noEnv(string) string { return "" }

// example is the shipped configuration, with keys changed.
func example(t *testing.T, change map[string]any) []byte {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	for key, value := range change {
		at, keys := c, strings.Split(key, ".")
		for _, k := range keys[:len(keys)-1] {
			at = at[k].(map[string]any)
		}
		if at[keys[len(keys)-1]] = value; value == nil {
			delete(at, keys[len(keys)-1])
		}
	}
	if text, err = json.Marshal(c); err != nil {
		t.Fatal(err)
	}
	return text
}

func TestConfig(t *testing.T) {
	c, err := parseConfig(example(t, map[string]any{"limits": nil, "more": 1}), func(key string) string {
		return map[string]string{"LB_NAME": "n3", "LB_LISTEN": "127.0.0.4:8443"}[key]
	})
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, c.Limits); d != "" {
		t.Error(d)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.4:8443" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x5eed {
		t.Errorf("%+v", c)
	}
}

func TestBadConfigNamesTheKey(t *testing.T) {
	one := func(class map[string]any) []any { return []any{class} }
	for want, change := range map[string]map[string]any{
		"name is missing":                 {"name": nil},
		"listen: not host:port":           {"listen": "8443"},
		"listen: not a port":              {"listen": "127.0.0.1:http"},
		"discovery is missing":            {"discovery": ""},
		"counter is missing":              {"counter": nil},
		"seed: not up to 16 hex digits":   {"seed": "xyz"},
		"limits.cores: a string":          {"limits.cores": "one"},
		"limits.cores must not be":        {"limits.cores": -1},
		"limits.memory_mb must be":        {"limits.memory_mb": 5},
		"limits.sockets must be":          {"limits.sockets": 12},
		"known.servers[0].id is missing":  {"known.servers": []any{map[string]any{"state": "up"}}},
		"known.servers[0].state: unknown": {"known.servers": []any{map[string]any{"id": "s", "state": "on"}}},
		"known.servers[0].addr is":        {"known.servers": []any{map[string]any{"id": "s", "state": "up"}}},
		"settings is missing":             {"settings": nil},
		"settings.balancers must be":      {"settings.balancers": 0},
		"settings: caps.tryLimit":         {"settings.caps.tryLimit": "five"},
		"settings.services must not be":   {"settings.services": []any{}},
		"settings.services[0].aimMs":      {"settings.services": one(map[string]any{"name": "a", "effect": "dedup"})},
		"settings: services: a: unknown":  {"settings.services": one(map[string]any{"name": "a", "effect": "odd"})},
		"settings.contracts[0].peakUnits": {"settings.contracts": one(map[string]any{"name": "a", "quotaRate": 3})},
	} {
		if _, err := parseConfig(example(t, change), noEnv); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
	if _, err := ReadConfig(noEnv); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("without LB_CONFIG: %v", err)
	}
}

var operatorSet = choice.Settings{Plans: []choice.Plan{{Name: "basic"}}}

func TestOperator(t *testing.T) {
	got, err := parseOperator([]byte(`{"enabled":true,"listen":"127.0.0.1:9443","description":"d.yaml",
		"routes":[{"path":"/a","repeat":"never"}]}`), &operatorSet)
	want := &Operator{Enabled: true, Listen: "127.0.0.1:9443", Description: "d.yaml", PollMs: 1000, MaxBodyKB: 256,
		CustomerHeader: "X-Api-Key", PlanHeader: "X-Tier", Routes: []openapi.Route{{Path: "/a", Repeat: openapi.Never}}}
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(d, err)
	}
	for want, text := range map[string]string{
		"unknown field \"listn\"":  `{"listn":"x"}`,
		"poll_ms: a string":        `{"poll_ms":"x"}`,
		"listen is missing":        `{"enabled":true}`,
		"description is missing":   `{"enabled":true,"listen":"127.0.0.1:1"}`,
		"poll_ms must be":          `{"enabled":true,"listen":"127.0.0.1:1","description":"d","poll_ms":0}`,
		"max_body_kb must be":      `{"enabled":true,"listen":"127.0.0.1:1","description":"d","max_body_kb":0}`,
		"customer_header is empty": `{"enabled":true,"listen":"127.0.0.1:1","description":"d","customer_header":""}`,
		"default_plan: unknown":    `{"enabled":true,"listen":"127.0.0.1:1","description":"d","default_plan":"odd"}`,
		"routes[0].path must":      `{"enabled":true,"listen":"127.0.0.1:1","description":"d","routes":[{"path":"a"}]}`,
		"routes[0].repeat is":      `{"enabled":true,"listen":"127.0.0.1:1","description":"d","routes":[{"path":"/a"}]}`,
		"routes[0].repeat must":    `{"enabled":true,"listen":"127.0.0.1:1","description":"d","routes":[{"path":"/a","repeat":"x"}]}`,
		"routes[0].methods[0]":     `{"enabled":true,"listen":"127.0.0.1:1","description":"d","routes":[{"path":"/a","methods":["get"],"repeat":"safe"}]}`,
	} {
		if _, err := parseOperator([]byte(text), &operatorSet); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}

// The shipped files: off on the platform, and on in the example.
func TestShippedFiles(t *testing.T) {
	c, err := parseConfig(example(t, nil), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	for file, enabled := range map[string]bool{"deploy/openapi.json": false, "example/openapi.json": true} {
		op, err := ReadOperator(func(string) string { return filepath.Join("../..", file) }, &c.Settings.Settings)
		if err != nil || op.Enabled != enabled {
			t.Errorf("%s: enabled %v, error %v", file, op != nil && op.Enabled, err)
			continue
		}
		front := openapi.NewFront(c.Settings.Settings, op.Routes, op.names())
		if _, err := front.Load(filepath.Join("../..", op.Description)); err != nil {
			t.Errorf("%s: %v", op.Description, err)
		}
	}
}

// The run time is held to the machine's limits, before anything is served.
func TestLimitsAreSet(t *testing.T) {
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	defer func() { runtime.GOMAXPROCS(procs); debug.SetMemoryLimit(memory); debug.SetGCPercent(100) }()
	for _, c := range []struct {
		cores  float64
		procs  int
		mb     int
		memory int64
	}{{0.5, 1, 100, 60 << 20}, {1, 1, 192, 192 << 20 * 6 / 10}, {1.5, 2, 1000, 600 << 20}} {
		debug.SetMemoryLimit(math.MaxInt64)
		Limits{Cores: c.cores, MemoryMB: c.mb}.Apply()
		got := fmt.Sprint(runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1))
		if want := fmt.Sprint(c.procs, c.memory); got != want {
			t.Errorf("%v cores, %d MB: %s, want %s", c.cores, c.mb, got, want)
		}
	}
}
