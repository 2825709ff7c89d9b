package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// process starts a real process of the system, and ends it with the script: process NAME
// HOST [core|core3 [full]]; core3 is one of three that may lose one. On a full disk no file grows beyond 64 KiB. Its control address is then in $NAME, its clients' one in $NAME_clients.
// The first one of a script is the others' seed.
func process(ts *testscript.TestScript, _ bool, args []string) {
	name, ip := args[0], args[1]
	port := ts.Getenv("port")
	if port == "" {
		port = fmt.Sprint(free(ts))
		ts.Setenv("port", port)
		ts.Setenv("seed", ip+":"+port)
	}
	var first int
	fmt.Sscan(port, &first)
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, first+n) }
	text := fmt.Sprintf(`{NodeName: %s, Serves: [edge, controller], IpAddr: %s, Zone: z, PortRange: [%d, %d],
 Bind: {Ingress: "%s", Readiness: "%s", ControlPlane: "%s"}, Bootstrap: ["%s"], HeartbeatMs: 300,
 BoundsReq: {CpuCount: 1, MemMb: 184, FdLimit: 500}, FaultRules: {LongestS: 600}`, name, ip, first+3, first+5, at(0), at(1), at(2), ts.Getenv("seed"))
	if len(args) > 2 {
		text += fmt.Sprintf(", Genesis: true, QuorumMember: true, StateDir: %q", ts.MkAbs("state-"+name))
		if args[2] == "core3" {
			text += ", FaultBudget: {MachineLosses: 1}"
		}
	}
	path := ts.MkAbs(name + ".yaml")
	ts.Check(os.WriteFile(path, []byte(text+"}\n"), 0o644))
	p := &running{settings: path, log: ts.MkAbs(name + ".log"), full: len(args) > 3, ip: ip, at: at(2)}
	ts.Defer(p.kill)
	ts.Check(p.start())
	all := ts.Value("running").(*[]*running)
	*all = append(*all, p)
	ts.Setenv(name, at(2))
	ts.Setenv(name+"_clients", at(0))
	await(ts, "answers", func() bool {
		a, err := http.Get("http://" + at(2) + "/api/status")
		if err == nil {
			a.Body.Close()
		}
		return err == nil && a.StatusCode == 200
	})
}

// running is a process that a script has started.
type running struct {
	settings, log, ip, at string
	full                  bool
	cmd                   *exec.Cmd
	out                   *os.File
}

func (p *running) start() (err error) {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if p.out, err = os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	p.cmd = exec.Command(self)
	p.cmd.Env = append(os.Environ(), "ASTERWELL_CONFIG="+p.settings, "PROCESS=1")
	if p.full {
		p.cmd.Env = append(p.cmd.Env, "FULL=1")
	}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.SysProcAttr = p.out, p.out, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// kill ends it at once, if it runs.
func (p *running) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
		p.cmd.Wait()
		p.out.Close()
	}
	p.cmd = nil
}

// again starts it once more: what was its first start is none any more.
func (p *running) again() error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, bytes.Replace(text, []byte("Genesis: true"), []byte("Genesis: false"), 1), 0o644); err != nil {
		return err
	}
	return p.start()
}

// pad makes a file longer by blanks: pad FILE KIB.
func pad(ts *testscript.TestScript, _ bool, args []string) {
	var kib int
	fmt.Sscan(args[1], &kib)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(ts.ReadFile(args[0])+strings.Repeat(" ", kib<<10)), 0o644))
}

// free finds the first of six ports that can be had on the addresses of scripts (15 of them), of which no
// two use the same: they run side by side.
func free(ts *testscript.TestScript) int {
next:
	for port := 13000 + os.Getpid()%500*10; port < 30000; port += 10 {
		for i := range 90 {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", 91+i/6, port+i%6))
			if err != nil {
				continue next
			}
			ln.Close()
		}
		return port
	}
	ts.Fatalf("no ports are free")
	return 0
}

// await asks again until it holds.
func await(ts *testscript.TestScript, what string, holds func() bool, said ...*bytes.Buffer) {
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("not in time: %s\n%s", what, said)
		}
	}
}

// until asks the gateways of REED_AT again until reed prints what matches: until PATTERN ARGS.
func until(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile("(?m)" + args[0])
	var out, complaints bytes.Buffer
	await(ts, args[0], func() bool {
		out.Reset()
		line := append([]string{"reed", "--at", ts.Getenv("REED_AT")}, args[1:]...)
		return run(context.Background(), line, nil, &out, &complaints, unhurried) == done && want.MatchString(out.String())
	}, &out, &complaints)
}

// beat is a server that beats until the script ends, first to ADDR, then where it is told:
// beat ADDR ID SERVICE.
func beat(ts *testscript.TestScript, _ bool, args []string) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	ts.Defer(func() { stop(); <-ended })
	go func() {
		defer close(ended)
		every := time.NewTicker(100 * time.Millisecond)
		defer every.Stop()
		for at, seq := args[0], 1; ctx.Err() == nil; seq++ {
			body := fmt.Sprintf(`{"Endpoint": "127.0.0.1:9", "SelfInfo": {"Backend": %q, "Epoch": "v1", "Zone": "z", "Capacity": 4},
 "HealthState": {"Phase": "serving", "Sequence": %d, "WarmupLeftMs": 60000}}`, args[2], seq)
			q, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at+"/api/members/"+args[1], strings.NewReader(body))
			if a, err := http.DefaultClient.Do(q); err == nil {
				var said struct{ HeartbeatTarget string }
				json.NewDecoder(a.Body).Decode(&said)
				a.Body.Close()
				at = cmp.Or(said.HeartbeatTarget, at)
			}
			select {
			case <-every.C:
			case <-ctx.Done():
			}
		}
	}()
}

// call makes one: call METHOD ADDR/PATH STATUS [closes].
func call(ts *testscript.TestScript, _ bool, args []string) {
	q, err := http.NewRequest(args[0], "http://"+args[1], nil)
	ts.Check(err)
	straight := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	a, err := straight.Do(q)
	ts.Check(err)
	a.Body.Close()
	if closes := len(args) > 3; fmt.Sprint(a.StatusCode) != args[2] || closes != a.Close {
		ts.Fatalf("%s %s: %d, closes the connection: %v", args[0], args[1], a.StatusCode, a.Close)
	}
}
