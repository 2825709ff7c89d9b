package testbed

import (
	"strings"
	"testing"
)

// checkCluster holds a run to the promises: one outcome a change, one policy at a
// time, none left behind, by hand and by porcupine.
func (r *Report) checkCluster(t *testing.T, committed int) {
	t.Helper()
	r.check(t, 0.3)
	c := r.Cluster
	t.Logf("%+v", *c)
	if c.Linearizable != "Ok" || c.Split+c.Mixed+c.Stale > 0 {
		t.Errorf("%s, %d split, %d mixed, %d stale", c.Linearizable, c.Split, c.Mixed, c.Stale)
	}
	// Far below what is committed there: without faults each change takes 0.1 s.
	if c.Committed < committed || c.Marks < 200 {
		t.Errorf("%d of %d changes committed, want %d or more; %d marks", c.Committed, c.Changes, committed, c.Marks)
	}
}

// Five processes, three of them voters: the leader is killed, and stopped past its
// lease while changes are made; it is cut off one way; a voter comes back with an
// older copy of its folder, and has no vote; a proposer is killed; all are killed at
// once and come back.
func TestPolicyUnderFaults(t *testing.T) {
	r := run(t, `{"seed": 21, "gateways": 5, "servers": 4, "rate": 40, "seconds": 21,
		"cluster": {"voters": 3, "every_s": 0.4, "bad_every": 6}, "faults": [
		{"at_s": 1.5, "kind": "kill", "who": ["leader"], "for_s": 0.5},
		{"at_s": 4, "kind": "stop", "who": ["leader"], "for_s": 2.5},
		{"at_s": 8, "kind": "cut", "way": "from", "from": ["leader"], "to": ["voters"], "for_s": 2},
		{"at_s": 11.5, "kind": "propose-killed", "ms": 12},
		{"at_s": 12, "kind": "kill", "who": ["gateways"], "for_s": 0.3},
		{"at_s": 16, "kind": "kill", "who": ["g-1"], "back": "older", "for_s": 0.3}]}`)
	r.checkCluster(t, 5)
	if r.Cluster.Withdrawn == 0 {
		t.Error("no policy that gateways refuse was withdrawn")
	}
}

// The voters are replaced one by one under load until none of the first is left, the
// last by a machine that has lost its disk.
func TestVotersReplaced(t *testing.T) {
	run(t, `{"seed": 22, "gateways": 5, "servers": 4, "rate": 40, "seconds": 14,
		"cluster": {"voters": 2, "spare": 2, "every_s": 0.4}, "faults": [
		{"at_s": 1.5, "kind": "replace-voter", "who": ["g-0"], "to": ["g-2"]},
		{"at_s": 4, "kind": "replace-voter", "who": ["g-1"], "to": ["g-3"]},
		{"at_s": 6.5, "kind": "kill", "who": ["g-0", "g-1"], "back": "empty", "for_s": 0.3},
		{"at_s": 9, "kind": "replace-voter", "who": ["g-2"], "to": ["g-0"]}]}`).checkCluster(t, 5)
}

func TestClusterPlan(t *testing.T) {
	for text, want := range map[string]string{
		`"cluster": {"voters": 4}`: "cluster.voters: 1 or more, and with spare no more than the 3 gateways",
		`"cluster": {"voters": 2, "every_s": 1}, "faults": [{"kind": "kill", "who": ["voter"]}]`: `nothing is called "voter"`,
		`"faults": [{"kind": "propose"}]`:                                                                "faults[0].kind: propose needs a cluster",
		`"faults": [{"kind": "kill", "who": ["leader"]}]`:                                                `nothing is called "leader"`,
		`"cluster": {"voters": 2}, "faults": [{"kind": "replace-voter", "who": ["g-0"], "to": ["g-9"]}]`: "faults[0].to",
	} {
		_, err := ParseSchedule([]byte(`{"gateways": 3, "servers": 1, "rate": 1, "seconds": 1, ` + text + `}`))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}
