package program

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"asterwell/internal/scenario"
)

// SIGHUP to the running program: a file that can't be used changes nothing, and
// a good one moves discovery, though the environment named another one at the
// start. What goes on meanwhile is not disturbed.
func TestReload(t *testing.T) {
	server, other, old, agent := listen(t), listen(t), listen(t), listen(t)
	addr, path := vacant(t), filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		text, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": discovery, "seed": "1f",
			"known": map[string]any{"version": 7, "full": true, "servers": []map[string]any{
				{"id": "s-1", "addr": server.Addr().String(), "zone": "a", "state": "up", "weight": 1}}},
			"settings": json.RawMessage(fmt.Sprintf(testSettings, 60000))})
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	write("127.0.0.1:1")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ASTERWELL_TEST_MAIN=1", "LB_CONFIG="+path, "LB_DISCOVERY="+old.Addr().String())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
	}()
	hup := func() {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Error(err)
		}
	}
	v := vars()
	list := fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s-2","addr":%q,"zone":"a","state":"up","weight":1}]}`, other.Addr())
	v["list"] = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	stage := &scenario.Stage{Vars: v, Dial: map[string]string{"client": addr},
		Accept: map[string]net.Listener{"server": server, "other": other, "old": old, "agent": agent},
		Close: map[string]func(){"spoil": func() { write("nowhere"); hup() }, "move": func() { write(agent.Addr().String()); hup() },
			"start": func() {
				for c, err := net.Dial("tcp", addr); ; c, err = net.Dial("tcp", addr) {
					if err == nil {
						c.Close()
						return
					}
				}
			}}}
	stage.Play(t, `
		old1 expect "\r\n\r\n"
		start close
		client1 send "$submit1"
		server1 expect "\r\n\r\nbody"
		spoil close
		agent1 expect nothing
		old1 expect nothing
		move close
		old1 expect closed
		agent1 expect "GET /api/targets HTTP/1.1\r\n"
		agent1 send "$list"
		agent1 expect "GET /api/targets?from=1&hold_ms="
		server1 send "$ok"
		client1 expect "\r\n\r\nhello"
		client1 send "$submit2"
		other1 expect "\r\n\r\nbody"
		other1 send "$ok"
		client1 expect "\r\n\r\nhello"`)
}

// What a running gateway can't take over stays as it is.
func TestReloadTakesAddressesOnly(t *testing.T) {
	c := &Config{Name: "a", Listen: "l", Discovery: "d", Counter: "c", Limits: Limits{Sockets: 256}}
	got := c.reload(&Config{Name: "b", Listen: "m", Discovery: "e", Counter: "f", Limits: Limits{Sockets: 512}}, true)
	want := &Config{Name: "a", Listen: "l", Discovery: "e", Counter: "f", Limits: Limits{Sockets: 256}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
