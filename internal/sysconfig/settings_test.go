package sysconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func settingsText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestSettings(t *testing.T) {
	s, err := ReadSettings("testdata/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if s.NodeName != "edge-bern-a-1" || s.Region != "ch-mittelland" || len(s.Zones) != 3 ||
		s.PortRange != [2]int{7100, 7115} ||
		s.Bind.ControlPlane != "10.1.0.24:8042" || len(s.Bootstrap) != 3 || !s.Genesis || !s.QuorumMember ||
		s.BoundsReq.CpuFraction != 0.56 || s.BoundsReq.MemMb != 284 ||
		s.StateDir != "/data/my-edge" || s.HeartbeatMs != 1500 ||
		!s.Has("quota") || s.Has("none") || !s.ServesTo("edge") || s.FaultBudget.MachineLosses != 1 {
		t.Errorf("%+v", s)
	}
	if s.Bounds != defaultBounds() {
		t.Errorf("%+v", s.Bounds)
	}
}

func TestBounds(t *testing.T) {
	text := settingsText(t)
	text = text[:strings.Index(text, "Bounds:\n")] +
		`Bounds: "RetryWindowS=2.5, SyncS=9,ConvergeMs=70,RevokedFail=true,RetrySlack=1.5,NewS=x,"` + "\n"
	s, err := ParseSettings("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := defaultBounds()
	want.RetryWindow, want.Sync, want.Converge = 2500*time.Millisecond, 9*time.Second, 70*time.Millisecond
	want.RevokedFail, want.RetrySlack = true, 1.5
	if s.Bounds != want {
		t.Errorf("%+v", s.Bounds)
	}
}

func TestSettingsFaults(t *testing.T) {
	for _, c := range []struct{ old, new, key, why string }{
		{`NodeName: "edge-bern-a-1"`, ``, "NodeName", "missing"},
		{`Zone: "bern-a"`, `Zone: ""`, "Zone", "missing"},
		{`"10.1.0.24"`, `"bern"`, "IpAddr", "IPv4"},
		{`Genesis: true`, `Genesis: perhaps`, "Genesis", "bool"},
		{`Readiness: "10.1.0.24:8048"`, `Readiness: "10.1.0.24"`, "Bind.Readiness", "port"},
		{`ControlPlane: "10.1.0.24:8042"`, `Later: 1`, "Bind.ControlPlane", "missing"},
		{`- 7115`, `- 7099`, "PortRange", "two ports"},
		{`- "10.2.0.26:8042"`, `- "x:1"`, "Bootstrap[1]", "x:1"},
		{`MemMb: 284`, `MemMb: much`, "BoundsReq.MemMb", "int"},
		{`"SyncS=4"`, `"SyncS=soon"`, "Bounds[4]", "soon"},
		{`"SyncS=4"`, `"SyncS"`, "Bounds[4]", "name=value"},
		{`"SyncS=4"`, `"SyncS=-4"`, "Bounds[4]", "-4"},
		{`HeartbeatMs: 1500`, `HeartbeatMs: 0`, "HeartbeatMs", "above 0"},
	} {
		text := strings.Replace(settingsText(t), c.old, c.new, 1)
		line := strings.Count(text[:strings.Index(text, c.new)], "\n") + 1
		if c.why == "missing" || c.key == "PortRange" {
			line = 0 // the fault has the line of the enclosing key, or none
		}
		_, err := ParseSettings("f.yaml", []byte(text))
		var f *Fault
		if !errors.As(err, &f) || f.File != "f.yaml" ||
			f.Key != c.key || !strings.Contains(f.Why, c.why) || line > 0 && f.Line != line {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	_, err := ParseSettings("f", []byte("Serves: [edge]\nPortRange: [a, b]\n"))
	if n := strings.Count(err.Error(), "\n") + 1; n != 6 {
		t.Errorf("got %d faults, want 6: %v", n, err)
	}
	for _, text := range []string{"", "- a", "a: [", "\x00"} {
		if _, err := ParseSettings("f", []byte(text)); err == nil {
			t.Errorf("accepted %q", text)
		}
	}
	_, err = ReadSettings(filepath.Join(t.TempDir(), "none"))
	if err == nil || !strings.HasSuffix(err.Error(), "none: no such file or directory") {
		t.Error(err)
	}
}
