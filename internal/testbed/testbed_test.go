package testbed

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// binary is the gateway as operators have it.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "field-test-")
	if err == nil {
		binary = filepath.Join(dir, "asterwell")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, "../../cmd/asterwell").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// run plays a schedule; a run that the machine was too busy for is played again.
func run(t *testing.T, text string) *Report {
	t.Helper()
	for try := 1; ; try++ {
		s, err := ParseSchedule([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		f, err := New(s, Options{Binary: binary, Temp: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		r, err := f.Run()
		if e := f.Close(); err != nil || e != nil {
			t.Fatal(err, e)
		}
		if len(r.Void) == 0 || try == 3 {
			return r
		}
		t.Log("void:", r.Void)
	}
}

func (r *Report) check(t *testing.T, least float64) {
	t.Helper()
	for _, b := range r.Broken {
		t.Errorf("after %v: %s: %s", b.At, b.Rule, b.Detail)
	}
	if len(r.Void) > 0 {
		t.Error("void:", r.Void)
	}
	if r.Even.IdleMax > 0 {
		t.Errorf("%d servers got nothing in 10 s", r.Even.IdleMax)
	}
	// Far below what is served there; rules are what these runs are about.
	if share := float64(r.Served) / float64(r.Tries); share < least || r.Tries < 500 {
		t.Errorf("%.2f of %d tries served, want %.2f", share, r.Tries, least)
	}
}

// 24 processes each: seven in ten gateways killed at once while servers are replaced;
// a list that reaches all in 10 ms while a zone of servers dies and comes back cold;
// gateways stopped for 3 s and cut off from discovery while servers drain.
func TestReleaseWhileGatewaysAreKilled(t *testing.T) {
	run(t, `{"seed": 1, "gateways": 24, "servers": 15, "rate": 120, "seconds": 12, "weights": 3, "faults": [
		{"at_s": 1.5, "kind": "replace", "who": ["servers:0.6"], "over_s": 5},
		{"when": {"told": "s-*", "state": "draining"}, "after_s": 0.4, "kind": "kill", "who": ["gateways:0.7"], "for_s": 0.4}]}`).check(t, 0.5)
}

func TestZoneIsLostAndListComesAtOnce(t *testing.T) {
	run(t, `{"seed": 2, "gateways": 24, "servers": 15, "rate": 120, "seconds": 12, "faults": [
		{"at_s": 0.1, "kind": "list-at-once"},
		{"at_s": 2, "kind": "die", "who": ["servers:zone:b"], "for_s": 3},
		{"at_s": 3, "kind": "slow", "who": ["s-0"], "much": 4, "for_s": 4},
		{"at_s": 6, "kind": "half-open", "who": ["s-3"], "for_s": 0.3}]}`).check(t, 0.5)
}

func TestStoppedAndCutOff(t *testing.T) {
	run(t, `{"seed": 3, "gateways": 24, "servers": 15, "rate": 120, "seconds": 12, "faults": [
		{"at_s": 2, "kind": "stop", "who": ["gateways:0.3"], "for_s": 3},
		{"at_s": 2, "kind": "cut", "from": ["gateways:zone:a"], "to": ["list"], "for_s": 4},
		{"at_s": 3, "kind": "drain", "who": ["servers:0.3"], "for_s": 1, "over_s": 3},
		{"at_s": 4, "kind": "cut", "way": "to", "from": ["gateways:0.3"], "to": ["s-1"], "for_s": 2}]}`).check(t, 0.5)
}

// What stands on a link: a party that says back what it hears.
func echo(t *testing.T) (*Net, string) {
	t.Helper()
	n, err := NewNet(1)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := n.Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close(); n.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	return n, n.At(3, 0)
}

func say(c net.Conn, limit time.Duration) error {
	c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestLinkFaultsBite(t *testing.T) {
	n, at := echo(t)
	dial := func() net.Conn {
		t.Helper()
		c, err := dialAt(at, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	late := func(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
	l, c := n.Link(3, 0), dial()
	if err := say(c, 5*time.Second); err != nil {
		t.Fatal("a link without faults:", err)
	}
	for name, way := range map[string][2]Way{"both": {{Cut: true}, {Cut: true}}, "to": {{Cut: true}, {}}, "from": {{}, {Cut: true}}} {
		if err := l.Set(way[0], way[1], false); err != nil {
			t.Fatal(err)
		}
		if err := say(c, 50*time.Millisecond); !late(err) {
			t.Errorf("cut %s: %v", name, err)
		}
		if err := l.bites(); err != nil {
			t.Errorf("cut %s: %v", name, err)
		}
		if other, err := dialAt(n.At(4, 0), time.Second); err != nil || say(other, 5*time.Second) != nil {
			t.Errorf("cut %s: another gateway's link is cut too: %v", name, err)
		}
		l.Set(Way{}, Way{}, false)
		c.SetDeadline(time.Now().Add(5 * time.Second)) // what was held comes now
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("after cut %s: %v", name, err)
		}
		if err := say(dial(), 5*time.Second); err != nil {
			t.Errorf("a new connection after cut %s: %v", name, err)
		}
	}
	l.Set(Way{Delay: 80 * time.Millisecond}, Way{}, false)
	if began := time.Now(); say(c, 5*time.Second) != nil || time.Since(began) < 80*time.Millisecond {
		t.Errorf("a delay of 80 ms took %v", time.Since(began))
	}
	l.Set(Way{}, Way{Rate: 1}, false)
	if err := say(c, 100*time.Millisecond); !late(err) {
		t.Error("a byte a second:", err)
	}
	l.Set(Way{}, Way{}, true)
	if err := say(c, 5*time.Second); err == nil || late(err) {
		t.Error("a reset link:", err)
	}
	if c, err := dialAt(at, time.Second); err == nil {
		if err := say(c, 5*time.Second); err == nil || late(err) {
			t.Error("a new connection on a reset link:", err)
		}
	}
}

// A process is stopped, goes on, is killed, and comes back with its folder, an empty
// one, and an older copy.
func TestProcessesAndFolders(t *testing.T) {
	temp := t.TempDir()
	f, err := newFolder(temp)
	if err != nil {
		t.Fatal(err)
	}
	p, err := f.newProcess("p", "/bin/sleep", nil, "100")
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	files := func() (names []string) {
		all, err := os.ReadDir(p.Dir)
		must(err)
		for _, e := range all {
			names = append(names, e.Name())
		}
		return names
	}
	write := func(name string) { t.Helper(); must(os.WriteFile(filepath.Join(p.Dir, name), nil, 0o600)) }
	must(p.Start())
	write("a")
	must(p.Save())
	write("b")
	must(p.Stop())
	must(p.Continue())
	must(p.Kill())
	if p.Running() || p.Fell() {
		t.Error("killed, but running or said to have ended by itself:", p.Running(), p.Fell())
	}
	if err := p.Stop(); err == nil {
		t.Error("a process that is gone was stopped")
	}
	if diff := cmp.Diff([]string{"a", "b"}, files()); diff != "" {
		t.Error("its own folder:", diff)
	}
	must(p.Restore())
	if diff := cmp.Diff([]string{"a"}, files()); diff != "" {
		t.Error("an older copy:", diff)
	}
	must(p.Wipe())
	if len(files()) > 0 {
		t.Error("an empty folder holds", files())
	}
	must(p.Start())
	must(syscall.Kill(p.id.PID, syscall.SIGKILL)) // not by the field
	if must(p.Gone(5 * time.Second)); !p.Fell() {
		t.Error("it was not seen that it ended by itself")
	}
}

// What a killed run has left behind is ended at the next start, by number and start
// time; what has that number now, and runs that go on, are left alone.
func TestCleanUp(t *testing.T) {
	temp := t.TempDir()
	sleeper := func() (*exec.Cmd, identity) {
		t.Helper()
		cmd := exec.Command("/bin/sleep", "100")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill() })
		id, _, ok := identify(cmd.Process.Pid)
		if !ok {
			t.Fatal("it is gone")
		}
		return cmd, id
	}
	left, leftID := sleeper()
	_, otherID := sleeper()
	_, ofRunning := sleeper()
	wrong := otherID
	wrong.Start++ // the number is another process's now
	write := func(name string, ids ...identity) string {
		dir := filepath.Join(temp, folderPrefix+name)
		os.Mkdir(dir, 0o700)
		text := ""
		for _, id := range ids {
			text += fmt.Sprintf("{\"pid\":%d,\"start\":%d}\n", id.PID, id.Start)
		}
		if err := os.WriteFile(filepath.Join(dir, "processes"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	dead := write("dead", identity{os.Getpid(), 1}, leftID, wrong)
	self, _, _ := identify(os.Getpid())
	running := write("running", self, ofRunning)
	ended, err := cleanUp(temp)
	left.Wait()
	if err != nil || ended != 1 || leftID.alive() || !otherID.alive() || !ofRunning.alive() {
		t.Errorf("%d ended, %v; left %v, other %v, of a run that goes on %v", ended, err, leftID.alive(), otherID.alive(), ofRunning.alive())
	}
	if _, err := os.Stat(dead); !os.IsNotExist(err) {
		t.Error("the folder is still there")
	}
	if _, err := os.Stat(running); err != nil {
		t.Error("the folder of a run that goes on is gone")
	}
}

func TestBadSchedulesNameTheKey(t *testing.T) {
	const good = `{"gateways":3,"servers":4,"rate":10,"seconds":1`
	if _, err := ParseSchedule([]byte(good + "}")); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		"{\n\"gateways\":3,\n,}": "line 3",
		`{"gateways":3}`:         "servers",
		good + `,"gatways":1}`:   "gatways",
		`{"gateways":5000000,"servers":4,"rate":10,"seconds":1}`:                      "gateways: must be 1 to 4194302",
		`{"gateways":3,"servers":4,"rate":0,"seconds":1}`:                             "rate:",
		`{"gateways":3,"servers":4,"rate":1,"seconds":-1}`:                            "seconds:",
		good + `,"faults":[{"kind":"odd"}]}`:                                          "faults[0].kind",
		good + `,"faults":[{"kind":"kill"}]}`:                                         "faults[0].who: names nobody",
		good + `,"faults":[{"kind":"kill","who":["g-9"]}]}`:                           "faults[0].who: nothing is called \"g-9\"",
		good + `,"faults":[{"kind":"kill","who":["gateways:zone:z"]}]}`:               "zone",
		good + `,"faults":[{"kind":"kill","who":["gateways:2"]}]}`:                    "unknown group",
		good + `,"faults":[{"kind":"drain","who":["s-1"],"at_s":-1}]}`:                "faults[0]: at_s",
		good + `,"faults":[{"kind":"cut","from":["g-1"],"to":["moon"]}]}`:             "faults[0].to",
		good + `,"faults":[{"kind":"cut","from":["g-1"],"to":["s-1"],"way":"up"}]}`:   "faults[0].way",
		good + `,"faults":[{"kind":"kill","who":["g-1"],"back":"soon"}]}`:             "faults[0].back",
		good + `,"faults":[{"kind":"kill","who":["g-1"],"when":{}}]}`:                 "faults[0].when",
		good + `,"faults":[{"kind":"kill","who":["g-1"],"when":{"told":"s-77"}}]}`:    "faults[0].when.told",
		good + `,"faults":[{"kind":"kill","who":["g-1"],"when":{"answers":"g-77"}}]}`: "faults[0].when.answers",
	} {
		if _, err := ParseSchedule([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}

// A fault that did not bite makes a run void.
func TestFaultsThatDoNotBiteAreTold(t *testing.T) {
	r := run(t, `{"gateways":2,"servers":2,"rate":40,"seconds":2,"faults":[
		{"at_s":0.3,"kind":"kill","who":["g-0"],"back":"never"},{"at_s":1,"kind":"stop","who":["g-0"]}]}`)
	if !slices.ContainsFunc(r.Void, func(v string) bool { return strings.Contains(v, "stop did not bite") }) {
		t.Error("void:", r.Void)
	}
}

// Drawn schedules are good ones, and all kinds of faults but single switches come up.
func TestDraw(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(300) {
		s := Draw(seed)
		for _, f := range s.Faults {
			seen[f.Kind] = true
		}
	}
	for k := range kinds {
		if !seen[k] && k != "list-at-once" {
			t.Errorf("%s is never drawn", k)
		}
	}
}

// Sums: an even run, a herd after an event, an idle server.
func TestMeasure(t *testing.T) {
	var all []Arrival
	for ms := range 20000 {
		at := time.Duration(ms) * time.Millisecond
		all = append(all, Arrival{At: at, Server: ms % 4})
		if ms >= 5000 && ms < 5100 {
			all = append(all, Arrival{At: at, Server: 1}, Arrival{At: at, Server: 1})
		}
	}
	e := Measure(all, []Event{{At: 5 * time.Second}}, []float64{1, 1, 1, 1, 0.1}, 0, 20*time.Second)
	if e.HerdMax < 4 || e.HerdMax > 6 {
		t.Errorf("herd of %v, want about 5: 250 in 200 ms, even 50", e.HerdMax)
	}
	if e.IdleMax != 1 {
		t.Errorf("%d idle servers, want the one that is left out", e.IdleMax)
	}
}

// By capacity: three servers of which one is down for a second and one does half of the others' work. Load that
// follows that is even by capacity, though not by weight.
func TestMeasureByCapacity(t *testing.T) {
	var all []Arrival
	var samples []Capacity
	for ms := range 4000 {
		at := time.Duration(ms) * time.Millisecond
		if ms%50 == 0 {
			c := Capacity{At: at, Of: []float64{1, 0.5, 1}}
			if ms >= 1500 && ms < 2500 {
				c.Of[2] = 0
			}
			samples = append(samples, c)
		}
		all = append(all, Arrival{At: at, Server: []int{0, 1, 0}[ms%3]})
		if ms < 1500 || ms >= 2500 {
			all = append(all, Arrival{At: at, Server: []int{2, 0, 2}[ms%3]}, Arrival{At: at, Server: []int{0, 2, 1}[ms%3]})
		}
	}
	e := Measure(all, nil, []float64{1, 1, 1}, 0, 4*time.Second)
	e.byCapacity(all, []Event{{At: 500 * time.Millisecond}}, samples, 0, 4*time.Second)
	if e.CVCapacity > 0.2 || e.CV < 0.3 || e.HerdCapacity > 1.3 {
		t.Errorf("spread by capacity %.2f, by weight %.2f, herd by capacity %.2f", e.CVCapacity, e.CV, e.HerdCapacity)
	}
	for i := range all { // the same number, all of them at the slow one
		all[i].Server = 1
	}
	e = Even{}
	e.byCapacity(all, []Event{{At: 500 * time.Millisecond}}, samples, 0, 4*time.Second)
	if e.CVCapacity < 1 || e.HerdCapacity < 4 {
		t.Errorf("all at the slow one: spread by capacity %.2f, herd %.2f", e.CVCapacity, e.HerdCapacity)
	}
}
