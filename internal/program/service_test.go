package program

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"asterwell/internal/scenario"
)

// service is the program as staff meet it: on a socket that others hold, with an
// address of its own to call.
type service struct {
	t                   *testing.T
	server, agent       net.Listener
	socket              *net.TCPListener
	path, clients, temp string
	log                 *os.File // of its processes
}

func newService(t *testing.T) *service {
	s := &service{t: t, server: listen(t), agent: listen(t), socket: listen(t).(*net.TCPListener), temp: t.TempDir()}
	var err error
	if s.log, err = os.Create(filepath.Join(s.temp, "log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(s.logged())
		}
		s.log.Close()
	})
	s.path, s.clients = filepath.Join(s.temp, "config.json"), s.socket.Addr().String()
	s.write(fmt.Sprintf(testSettings, 60000))
	return s
}

func (s *service) write(settings string) {
	s.t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": s.clients, "discovery": s.agent.Addr().String(), "seed": "1f",
		"known": map[string]any{"version": 7, "full": true, "servers": []map[string]any{
			{"id": "s-1", "addr": s.server.Addr().String(), "zone": "a", "state": "up", "weight": 1}}},
		"settings": json.RawMessage(settings)})
	if err == nil {
		err = os.WriteFile(s.path, text, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *service) logged() string {
	text, err := os.ReadFile(s.log.Name())
	if err != nil {
		s.t.Fatal(err)
	}
	return string(text)
}

// process is one of them.
type process struct {
	*exec.Cmd
	t    *testing.T
	desk string // its management address
}

// start starts one on the socket, and waits until it takes clients.
func (s *service) start() *process {
	s.t.Helper()
	p := &process{exec.Command(os.Args[0]), s.t, vacant(s.t)}
	socket, err := s.socket.File()
	if err != nil {
		s.t.Fatal(err)
	}
	defer socket.Close()
	p.ExtraFiles, p.Stderr = []*os.File{socket}, s.log
	p.Env = append(os.Environ(), "ASTERWELL_TEST_MAIN=1", "LB_CONFIG="+s.path, "LB_SOCKET_FD=3", "LB_MANAGEMENT="+p.desk, "TMPDIR="+s.temp)
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		p.Process.Signal(syscall.SIGTERM)
		p.Wait()
	})
	p.until(func() bool { return p.call("GET", "readiness") == "200 ready\n" })
	return p
}

// call is one call of the management address.
func (p *process) call(method, what string) string {
	req, _ := http.NewRequest(method, "http://"+p.desk+"/ops/"+what, nil)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

func (p *process) until(done func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("never came: ", p.call("GET", "stats"))
		}
	}
}

// shows waits for lines among the figures.
func (p *process) shows(lines ...string) {
	p.t.Helper()
	for _, l := range lines {
		p.until(func() bool { return strings.Contains(p.call("GET", "stats"), l+"\n") })
	}
}

func (s *service) stage() *scenario.Stage {
	v := vars()
	for _, name := range []string{"ok", "error"} { // each on a connection of its own
		v[name] = strings.Replace(v[name], "\r\n", "\r\nConnection: close\r\n", 1)
	}
	return &scenario.Stage{Vars: v, Dial: map[string]string{"client": s.clients},
		Accept: map[string]net.Listener{"server": s.server, "agent": s.agent}, Close: map[string]func(){}}
}

// The process takes the socket it is given, and its figures tell how each request ended.
func TestFigures(t *testing.T) {
	s := newService(t)
	p := s.start()
	p.shows(`gateway_replies{type="submit-nom",status="success"} 0`, "gateway_targets 1", "gateway_targets_disabled 0", "gateway_concurrent 0")
	stage := s.stage()
	stage.Close["open"] = func() { p.shows("gateway_concurrent 1", "gateway_dispatches 1") }
	stage.Play(t, `
		client1 send "$submit1"
		server1 expect "\r\n\r\nbody"
		open close
		server1 send "$ok"
		client1 expect "\r\n\r\nhello"
		client1 send "$submit2"
		server2 expect "\r\n\r\nbody"
		server2 send "$error"
		client1 expect "HTTP/1.1 502 "
		client1 send "GET /api HTTP/1.1\r\n${bare1}Cookie: client=0000000000000007\r\n\r\n"
		server3 expect "\r\n\r\n"
		server3 send "$ok"
		client1 expect "\r\n\r\nhello"
		client1 send "GET /api HTTP/1.1\r\n${bare2}Cookie: client=0000000000000007\r\n\r\n"
		client1 expect "HTTP/1.1 429 "`)
	p.shows(`gateway_replies{type="submit-nom",status="success"} 1`, `gateway_replies{type="submit-nom",status="error"} 1`,
		`gateway_replies{type="status-read",status="success"} 1`, `gateway_replies{type="status-read",status="overload"} 1`,
		"gateway_dispatches 3", "gateway_concurrent 0", "gateway_reload_success 0")
	s.write("{}")
	p.Process.Signal(syscall.SIGHUP)
	p.shows("gateway_reload_failure 1")
}

// Callers who hold connections without a whole call keep nobody from an answer.
func TestDeskBesideHolders(t *testing.T) {
	p := newService(t).start()
	for i := range 120 {
		c, err := net.Dial("tcp", p.desk)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /ops/stats HTTP/1.1\r\nHo"[:i%25])
	}
	for range 20 {
		if got := p.call("GET", "readiness"); got != "200 ready\n" {
			t.Fatal(got)
		}
	}
	for _, c := range []struct{ method, what, want string }{{"GET", "drain/start", "405 "}, {"POST", "stats", "405 "}, {"GET", "nothing", "404 "}} {
		if got := p.call(c.method, c.what); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s %s: %s", c.method, c.what, got)
		}
	}
}

// hup tells the process of a new file.
func (p *process) hup(s *service, settings string) {
	s.write(settings)
	p.Process.Signal(syscall.SIGHUP)
}

// At SIGHUP classes come and go, with the effects and the attempts that the file says;
// what is open is answered by the rules that it came under.
func TestRetune(t *testing.T) {
	s := newService(t)
	p := s.start()
	set := fmt.Sprintf(testSettings, 60000)
	next := strings.NewReplacer(`"name":"submit-nom"`, `"name":"submit-new"`, `"tryLimit":5`, `"tryLimit":1`).Replace(set)
	stage := s.stage()
	stage.Vars["new"] = strings.ReplaceAll(strings.ReplaceAll(stage.Vars["submit2"], "submit-nom", "submit-new"), "id-2", "id-new")
	stage.Close["retune"] = func() { p.hup(s, next); p.shows("gateway_reload_success 1") }
	stage.Play(t, `
		client1 send "$submit1"
		server1 expect "\r\n\r\nbody"
		client2 send "$read2"
		server2 expect "\r\n\r\n"
		retune close
		server1 send "$ok"
		client1 expect "\r\n\r\nhello"
		client1 send "$new"
		server3 expect "\r\n\r\nbody"
		server3 send "$ok"
		client1 expect "\r\n\r\nhello"
		client3 send "$submit3"
		client3 expect "HTTP/1.1 400 "
		server2 send "$error"
		server4 expect "GET /api HTTP/1.1\r\n"
		server4 send "$ok"
		client2 expect "\r\n\r\nhello"
		client2 send "$read4"
		server5 expect "\r\n\r\n"
		server5 send "$error"
		client2 expect "HTTP/1.1 50"
		server6 expect nothing`)
	p.shows(`gateway_replies{type="submit-new",status="success"} 1`)
}

// A file that is no whole one changes nothing, not even what is sound in it.
func TestBrokenFiles(t *testing.T) {
	s := newService(t)
	p := s.start()
	set := fmt.Sprintf(testSettings, 60000)
	for i, broken := range []struct{ from, to, key string }{
		{set, `{}`, "settings.balancers must be at least 1"},
		{`"deadlineMs":5000,"effect":"retryable"`, `"deadlineMs":0,"effect":"retryable"`, "settings.services[0].deadlineMs must be above 0"},
		{`"deadlineMs":5000,"effect":"fragile"`, `"effect":"fragile"`, "settings.services[1].deadlineMs is missing"},
		{`"deadlineMs":5000,"effect":"fragile"`, `"deadlineMs":null,"effect":"fragile"`, "settings.services[1].deadlineMs: a null does not fit"},
		{`"tryLimit":5`, `"tryLimit":-1`, "settings.caps.tryLimit must be above 0"},
		{`"tryLimit":5`, `"tryLimit":"5"`, "settings: caps.tryLimit: a string does not fit"},
		{`"tryLimit":5,`, ``, "settings.caps.tryLimit is missing"},
		{`"maxUnits":1`, `"maxUnit":1`, "settings.familyInfo.maxUnits is missing"},
	} {
		spoilt := strings.Replace(set, broken.from, broken.to, 1)
		if spoilt == set {
			t.Fatal(broken)
		}
		p.hup(s, strings.Replace(spoilt, `"name":"submit-nom"`, `"name":"submit-new"`, 1))
		p.shows(fmt.Sprint("gateway_reload_failure ", i+1))
		if !strings.Contains(s.logged(), broken.key) {
			t.Errorf("not told: %s", broken.key)
		}
	}
	for i, text := range []string{"", "{", `{"name":"n0"}`} {
		if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.Process.Signal(syscall.SIGHUP)
		p.shows(fmt.Sprint("gateway_reload_failure ", 9+i))
	}
	stage := s.stage()
	stage.Play(t, `
		client1 send "$submit1"
		server1 expect "\r\n\r\nbody"
		server1 send "$ok"
		client1 expect "\r\n\r\nhello"`)
	p.shows("gateway_reload_success 0")
}

// A second process takes over on the same socket: it knows what the first one has let
// in, gets all that comes anew, and nothing that the first has begun is lost.
func TestReplace(t *testing.T) {
	s := newService(t)
	first := s.start()
	stage := s.stage()
	var second *process
	ended := make(chan error, 1)
	stage.Close["second"] = func() {
		second = s.start()
		first.until(func() bool { return strings.Contains(s.logged(), "event=twin gives=true") })
	}
	stage.Close["term"] = func() {
		first.Process.Signal(syscall.SIGTERM)
		go func() { ended <- first.Wait() }()
		first.until(func() bool { return strings.Contains(s.logged(), "event=leaving") })
	}
	stage.Play(t, `
		client1 send "$tiny1"
		server1 expect "\r\n\r\n"
		server1 send "$ok"
		client1 expect "\r\n\r\nhello"
		client3 send "GET /api HTTP/1.1\r\n${bare1}Cookie: client=0000000000000007\r\n\r\n"
		server2 expect "\r\n\r\n"
		second close
		client4 send "GET /api HTTP/1.1\r\n${bare2}Cookie: client=0000000000000007\r\n\r\n"
		client4 expect "HTTP/1.1 429 "
		client1 send "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
		client1 expect "ready\n"
		client1 expect closed
		term close
		client5 send "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
		client5 expect "ready\n"
		server2 send "$ok"
		client3 expect "Connection: close"
		client3 expect "\r\n\r\nhello"
		client3 expect closed`)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	second.shows(`gateway_replies{type="status-read",status="overload"} 1`, `gateway_replies{type="status-read",status="success"} 0`)
	if text := s.logged(); !strings.Contains(text, "event=twin took customers=") {
		t.Error("no state taken")
	}
}

// A successor that dies gives the queue back.
func TestReplaceFails(t *testing.T) {
	s := newService(t)
	first := s.start()
	second := s.start()
	first.until(func() bool { return strings.Contains(s.logged(), "event=twin gives=true") })
	second.Process.Kill()
	second.Wait()
	first.until(func() bool { return strings.Contains(s.logged(), "event=twin gives=false") })
	s.stage().Play(t, `
		client1 send "$submit1"
		server1 expect "\r\n\r\nbody"
		server1 send "$ok"
		client1 expect "\r\n\r\nhello"`)
	first.shows(`gateway_replies{type="submit-nom",status="success"} 1`)
}
