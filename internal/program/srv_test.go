package program

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"asterwell/internal/scenario"
	standin "asterwell/internal/standin/dns"
)

const onSRV = `{"enabled":true,"names":["_noms._tcp.example.org"],"name_servers":["127.0.0.1:53"]`

func TestSRVFile(t *testing.T) {
	got, err := ParseSRV([]byte(onSRV + `,"zones":[{"suffix":".A.example.org","zone":"a"}],"default_zone":"d"}`))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"_noms._tcp.example.org."}, got.Names); d != "" {
		t.Error(d)
	}
	if z := got.zone("s1.a.example.org.") + got.zone("s1.b.example.org."); z != "ad" {
		t.Error("zones:", z)
	}
	for want, text := range map[string]string{
		`unknown field "nmes"`:                   `{"nmes":[]}`,
		"timeout_ms: a string":                   onSRV + `,"timeout_ms":"1"}`,
		"more behind":                            `{} {}`,
		"names is missing":                       `{"enabled":true}`,
		"names[0]: not a domain":                 `{"enabled":true,"names":["a..b"]}`,
		"names[1]: \"_a._tcp.X\" is named twice": `{"enabled":true,"names":["_a._tcp.x.","_a._tcp.X"]}`,
		"name_servers is missing":                `{"enabled":true,"names":["a"]}`,
		"name_servers[0]: not ip:port":           `{"enabled":true,"names":["a"],"name_servers":["localhost:53"]}`,
		"resolv_conf: open":                      `{"enabled":true,"names":["a"],"resolv_conf":"/nowhere"}`,
		"families is empty":                      onSRV + `,"families":[]}`,
		"families[0] must":                       onSRV + `,"families":["ipv5"]}`,
		"families[1]":                            onSRV + `,"families":["ipv4","ipv4"]}`,
		"zones[0].suffix":                        onSRV + `,"zones":[{"zone":"a"}]}`,
		"timeout_ms must be 10":                  onSRV + `,"timeout_ms":1}`,
		"max_ttl_ms must be 5000":                onSRV + `,"min_ttl_ms":5000,"max_ttl_ms":4000}`,
		"shrink_share must be 0 to 1":            onSRV + `,"shrink_share":30}`,
		"leave_above must be 0.95 to 1":          onSRV + `,"join_below":0.95}`,
		"srv_only must be":                       onSRV + `,"srv_only":"never"}`,
		"withdrawn_listed must be":               onSRV + `,"withdrawn_listed":"x"}`,
		"list_priority: a number":                onSRV + `,"list_priority":70000}`,
	} {
		if _, err := ParseSRV([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
	conf := filepath.Join(t.TempDir(), "resolv.conf")
	if err := os.WriteFile(conf, []byte("search example.org\nnameserver 127.0.0.53\nnameserver ::1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err = ParseSRV([]byte(fmt.Sprintf(`{"enabled":true,"names":["a"],"resolv_conf":%q}`, conf)))
	if err != nil || !slices.Equal(got.NameServers, []string{"127.0.0.53:53", "[::1]:53"}) {
		t.Error(got, err)
	}
}

// The schema knows just the keys that the decoder does, with the same defaults, and
// takes the shipped file.
func TestSRVSchema(t *testing.T) {
	schema, err := jsonschema.NewCompiler().Compile("../../deploy/srv.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	valid := func(text string) error {
		v, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		return schema.Validate(v)
	}
	shipped, err := os.ReadFile("../../deploy/srv.json")
	if err != nil {
		t.Fatal(err)
	}
	if s, err := ParseSRV(shipped); err != nil || s.Enabled {
		t.Error("the shipped file must be good and off:", err)
	}
	for text, ok := range map[string]bool{string(shipped): true, onSRV + "}": true, onSRV + `,"nams":1}`: false,
		onSRV + `,"shrink_share":30}`: false, onSRV + `,"withdrawn_listed":"x"}`: false} {
		if err := valid(text); (err == nil) != ok {
			t.Errorf("%s: %v", text, err)
		}
	}
	var file struct {
		Properties map[string]struct {
			Default any `json:"default"`
		} `json:"properties"`
	}
	text, err := os.ReadFile("../../deploy/srv.schema.json")
	if err != nil || json.Unmarshal(text, &file) != nil {
		t.Fatal(err)
	}
	want := map[string]any{}
	v := reflect.ValueOf(*defaultSRV())
	for i := range v.NumField() {
		var plain any
		text, _ := json.Marshal(v.Field(i).Interface())
		json.Unmarshal(text, &plain)
		want[v.Type().Field(i).Tag.Get("json")] = plain
	}
	got := map[string]any{}
	for key, p := range file.Properties {
		got[key] = p.Default
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// dnsStand is a whole gateway between a scripted name server, discovery and two
// servers. Its own address is "client".
type dnsStand struct {
	*scenario.Stage
	dns  *standin.Server
	cmd  *exec.Cmd
	path string
	addr map[string]string
}

func record(i int, addr string, more string) string {
	_, port, _ := net.SplitHostPort(addr)
	return fmt.Sprintf("answer _noms._tcp.example.org. 0 IN SRV 1 1 %s s%d.example.org.\n"+
		"additional s%d.example.org. 0 IN A 127.0.0.1\n%s\n", port, i, i, more)
}

// withDNS starts one. SRV is refreshed every 50 ms.
func withDNS(t *testing.T, more string) *dnsStand {
	t.Helper()
	one, two, discovery := listen(t), listen(t), listen(t)
	addr := vacant(t)
	on := "on SRV _noms._tcp.example.org\n"
	script, err := standin.Parse(on + record(1, one.Addr().String(), ""))
	if err != nil {
		t.Fatal(err)
	}
	server, err := standin.Listen("127.0.0.1:0", script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	d := &dnsStand{dns: server, path: filepath.Join(t.TempDir(), "srv.json"),
		addr: map[string]string{"one": one.Addr().String(), "two": two.Addr().String()}}
	d.write(t, more)
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": discovery.Addr().String(), "seed": "1f",
		"settings": json.RawMessage(fmt.Sprintf(testSettings, 60000))})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		t.Fatal(err)
	}
	d.cmd = exec.Command(os.Args[0])
	if os.Getenv("SHOWLOG") != "" {
		d.cmd.Stderr = os.Stderr
	}
	d.cmd.Env = append(os.Environ(), "ASTERWELL_TEST_MAIN=1", "LB_CONFIG="+file, "ASTERWELL_SRV="+d.path)
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.cmd.Process.Signal(syscall.SIGTERM)
		if err := d.cmd.Wait(); err != nil {
			t.Error(err)
		}
	})
	v := vars()
	list := func(version int, state string) string {
		text := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s-1","addr":%q,"zone":"a","state":%q,"weight":1}]}`,
			version, version == 1, one.Addr(), state)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	v["empty"] = "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n{\"version\":1,\"full\":true,\"servers\":[]}"
	v["up"], v["draining"], v["removed"] = list(1, "up"), list(2, "draining"), list(3, "removed")
	hup := func() {
		if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Error(err)
		}
	}
	play := func(text string) func() {
		return func() {
			p, err := standin.Parse(on + text)
			if err != nil {
				t.Fatal(err)
			}
			server.Play(p)
		}
	}
	d.Stage = &scenario.Stage{Vars: v, Dial: map[string]string{"client": addr},
		Accept: map[string]net.Listener{"one": one, "two": two, "discovery": discovery},
		Close: map[string]func(){
			"srvboth":  play(record(1, d.addr["one"], "") + record(2, d.addr["two"], "")),
			"srvtwo":   play(record(2, d.addr["two"], "")),
			"srvcut":   play(record(1, d.addr["one"], "") + record(2, d.addr["two"], "truncate 1\non SRV * over tcp\nrefuse")),
			"srvdead":  play("silence"),
			"spoil":    func() { os.WriteFile(d.path, []byte(`{"enabled":true,"names":[]}`), 0o600); hup() },
			"other":    func() { d.write(t, `,"names":["_other._tcp.example.org"]`); hup() },
			"ready":    func() { d.ready(t, addr) },
			"answered": func() { d.answered(t) },
		}}
	return d
}

func (d *dnsStand) write(t *testing.T, more string) {
	t.Helper()
	text := fmt.Sprintf(`{"enabled":true,"names":["_noms._tcp.example.org"],"name_servers":[%q],"families":["ipv4"],
		"min_ttl_ms":50,"timeout_ms":100,"shrink_hold_ms":100,"retry_ms":50,"server_back_ms":50,"server_back_most_ms":50%s}`, d.dns.Addr, more)
	if err := os.WriteFile(d.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// ready waits until the gateway would take requests.
func (d *dnsStand) ready(t *testing.T, addr string) {
	for end := time.Now().Add(scenario.Patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		buf := make([]byte, 64)
		n, _ := c.Read(buf)
		c.Close()
		if strings.Contains(string(buf[:n]), " 200 ") {
			return
		}
	}
	t.Error("never ready")
}

// answered waits until the script has answered a few questions, so that the
// gateway has taken at least one of its answers.
func (d *dnsStand) answered(t *testing.T) {
	from := d.dns.Total()
	for end := time.Now().Add(scenario.Patience); d.dns.Total() < from+4; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Error("nobody asks")
			return
		}
	}
}

func TestSRVScenarios(t *testing.T) {
	for name, c := range map[string]struct{ more, script string }{
		"DNS alone, discovery down": {"", `
			ready close
			client1 send "$submit1"
			one1 expect "\r\n\r\nbody"
			one1 send "$ok"
			client1 expect "hello"`},
		"no list at all": {`,"list":false`, `
			ready close
			client1 send "$submit1"
			one1 expect "\r\n\r\nbody"
			one1 send "$ok"
			client1 expect "hello"
			discovery1 expect nothing`},
		"the list drains what SRV repeats": {"", `
			discovery1 expect "GET /api/targets HTTP/1.1"
			discovery1 send "$up"
			discovery1 expect "from=1"
			ready close
			srvboth close
			# A question that nobody answers for 2.5 s is given up, and the wait is 2.3 s: it is answered in between.
			discovery1 send "$up"
			discovery1 expect "from=1"
			answered close
			discovery1 send "$up"
			discovery1 expect "from=1"
			wait 1200ms
			discovery1 send "$up"
			discovery1 expect "from=1"
			wait 1100ms
			discovery1 send "$draining"
			discovery1 expect "from=2"
			answered close
			client1 send "$submit1"
			two1 expect "\r\n\r\nbody"
			two1 send "$ok"
			client1 expect "hello"
			answered close
			client1 send "$submit2"
			two1 expect "\r\n\r\nbody"
			two1 send "$ok"
			client1 expect "hello"
			one1 expect nothing`},
		"what runs on a withdrawn server goes on": {"", `
			ready close
			client1 send "$submit1"
			one1 expect "\r\n\r\nbody"
			srvtwo close
			answered close
			wait 2300ms
			client2 send "$submit2"
			two1 expect "\r\n\r\nbody"
			two1 send "$ok"
			client2 expect "hello"
			one1 send "$ok"
			client1 expect "hello"`},
		"a truncated answer takes nothing away": {"", `
			ready close
			srvtwo close
			wait 2300ms
			srvcut close
			answered close
			answered close
			client1 send "$submit1"
			two1 expect "\r\n\r\nbody"
			two1 send "$ok"
			client1 expect "hello"`},
		"name servers dead": {`,"keep_ms":60000`, `
			ready close
			srvdead close
			wait 600ms
			ready close
			client1 send "$submit1"
			one1 expect "\r\n\r\nbody"
			one1 send "$ok"
			client1 expect "hello"`},
		"all sources silent for too long": {`,"keep_ms":0,"list":false`, `
			ready close
			srvdead close
			wait 1s
			client1 send "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
			client1 expect " 503 "
			client2 send "$submit1"
			one1 expect "\r\n\r\nbody"
			one1 send "$ok"
			client2 expect "hello"`},
		"SIGHUP with a bad file and a good one": {"", `
			ready close
			spoil close
			answered close
			client1 send "$submit1"
			one1 expect "\r\n\r\nbody"
			one1 send "$ok"
			client1 expect "hello"`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withDNS(t, c.more).Play(t, c.script)
		})
	}
}

// A changed file is taken over by a running gateway: other names are asked for.
func TestSRVReload(t *testing.T) {
	d := withDNS(t, "")
	other, err := standin.Parse("on SRV _noms._tcp.example.org\n" + record(1, d.addr["one"], "") +
		"on SRV _other._tcp.example.org\n" + strings.ReplaceAll(record(2, d.addr["two"], ""), "_noms", "_other"))
	if err != nil {
		t.Fatal(err)
	}
	d.dns.Play(other)
	d.Close["other"] = func() {
		text, _ := os.ReadFile(d.path)
		os.WriteFile(d.path, []byte(strings.Replace(string(text), "_noms", "_other", 1)), 0o600)
		d.cmd.Process.Signal(syscall.SIGHUP)
		for end := time.Now().Add(scenario.Patience); d.dns.Asked("SRV", "_other._tcp.example.org") < 4; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Error("the other name is not asked for")
				return
			}
		}
	}
	d.Play(t, `
		ready close
		client1 send "$submit1"
		one1 expect "\r\n\r\nbody"
		one1 send "$ok"
		client1 expect "hello"
		other close
		client1 send "$submit2"
		two1 expect "\r\n\r\nbody"
		two1 send "$ok"
		client1 expect "hello"`)
}
