package bench

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"asterwell/choice"
	"asterwell/internal/dataplane"
	"asterwell/internal/standin/faultproxy"
	"asterwell/internal/sysconfig"
	"asterwell/internal/transport"
)

// callerText has a route of each class. Budgets of repeats are wide: what is not sent again
// here is so for a better reason.
const callerText = `{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":20000000,"HeaderReadMs":3000,"KeepaliveMs":15000},
 "Pools":[{"Name":"toy","ProbePath":"/","MaxConns":100}],
 "Sockets":[{"Authority":"toy.example","Policy":[
  {"Name":"once","RouteClass":"effectful","TargetMs":300,"Rank":1,"Predicate":{"PathPrefix":"/once/"},"Effect":{"Backend":"toy","DeadlineMs":3000,"Tries":3}},
  {"Name":"often","RouteClass":"pure","TargetMs":300,"Rank":1,"Predicate":{"PathPrefix":"/often/"},"Effect":{"Backend":"toy","DeadlineMs":3000,"Tries":3}}]}]}`

const (
	callerSilence  = 60 * time.Millisecond  // that a client waits where a server says nothing
	callerWait     = 2 * time.Second        // and else
	callerPatience = 20 * time.Second       // of both sides of a client's connection
	callerBreath   = 500 * time.Millisecond // within an answer
	callerRest     = 5 * time.Millisecond   // until a connection may be used again
)

var callerTable = sync.OnceValues(func() (*sysconfig.Table, error) {
	c, err := sysconfig.Parse([]byte(callerText))
	if err != nil {
		return nil, err
	}
	return c.Table(), nil
})

// callerCase is one request and what happens to its exchange.
type callerCase struct {
	method, path string
	chunks       bool // of its body
	used         bool // a connection to the server has carried another exchange
	servers      int
	refused      int  // arrivals that the servers turn away
	deaf         bool // no server takes connections
	fault        faultproxy.Fault
	wait         time.Duration
}

func (c callerCase) String() string {
	words := []string{c.method, c.path}
	add := func(on bool, word string) {
		if on {
			words = append(words, word)
		}
	}
	add(c.chunks, "in chunks")
	add(c.used, "used connection")
	add(c.refused > 0, fmt.Sprintf("refused %d times", c.refused))
	add(c.deaf, "nobody listens")
	return fmt.Sprintf("%s, %d servers: %v at %d %.60q", strings.Join(words, " "), c.servers, c.fault.Kind, c.fault.At, c.fault.Stale)
}

var callerNumber atomic.Uint64

// callerName is another for each request, all of one length.
func callerName() string { return fmt.Sprintf("t-%010x", callerNumber.Add(1)) }

var callerHosts atomic.Uint32

// callerHost is another of the loopback's addresses for each stage: what one has left, such as
// a port that nobody listens at any more, is not taken up by another.
func callerHost() string {
	n := callerHosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+n/62500%64, 1+n/250%250, 1+n%250)
}

// sentBody is what the client of a name sends.
func sentBody(name, path string) string {
	if strings.HasSuffix(path, "/upload") {
		return strings.Repeat(name+" sends a lot\n", 5000) // longer than what is held whole
	}
	return name + " sends this"
}

// callerStage is a gateway between clients and servers behind proxies.
type callerStage struct {
	plane   *dataplane.Plane
	clients *transport.Listener
	servers []*faultproxy.Server
	proxies []*faultproxy.Proxy
	plan    *faultproxy.Plan
	ledger  *faultproxy.Ledger
}

func newCallerStage(servers int, bug transport.Bug) (*callerStage, error) {
	table, err := callerTable()
	if err != nil {
		return nil, err
	}
	g := &callerStage{plan: &faultproxy.Plan{}, ledger: faultproxy.NewLedger()}
	g.ledger.Slow = callerRest
	g.ledger.Want = func(name, method, path, body string) bool {
		return method == "GET" && body == "" || method == "POST" && body == sentBody(name, path)
	}
	start := time.Now()
	g.plane = dataplane.New(dataplane.Options{Zone: "a", Now: func() time.Duration { return time.Hour + time.Since(start) }, MaxServerConns: 100, Seed: 1,
		TakeQuota: func(string, float64) (bool, time.Duration) { return true, 0 },
		Leaving:   func() bool { return false }, RetryRatio: 1, RetryAllowance: 1000, Bug: bug})
	g.plane.Adopt(table)
	host, list := callerHost(), []dataplane.Server(nil)
	for range servers {
		s, err := faultproxy.Listen(host, callerName(), g.ledger)
		if err != nil {
			return nil, err
		}
		p, err := faultproxy.Pass(host, s.Addr, g.plan)
		if err != nil {
			return nil, err
		}
		g.servers, g.proxies = append(g.servers, s), append(g.proxies, p)
		list = append(list, dataplane.Server{ID: s.ID, Addr: p.Addr, Service: "toy", Zone: "a", Capacity: 50, State: choice.Up})
	}
	g.plane.SetServers(list)
	if g.clients, err = transport.Listen(nil, host+":0", 100); err != nil {
		return nil, err
	}
	front := transport.NewServer(g.plane.Handle, transport.MaxStream)
	front.ReadTimeout, front.IdleTimeout = callerPatience, callerPatience // a busy machine may hold a client up
	go g.clients.Serve(front)
	return g, nil
}

func (g *callerStage) close() {
	g.clients.Close()
	g.plane.SetServers(nil) // ends the connections' actors
	g.plane.OpenRequests()
	g.plane.Stop()
	for i := range g.servers {
		g.proxies[i].Close()
		g.servers[i].Close()
	}
}

// asked is one request of a client, and what it got.
type asked struct {
	name, method, path string
	chunks             bool
	wait               time.Duration

	status int
	cut    bool   // the answer did not come whole
	left   bool   // its client did not wait for the rest of it
	wrong  string // what is another's, or no answer
}

func (a *asked) wire() []byte {
	w := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: toy.example\r\n%s: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, faultproxy.HeaderName, a.name, a.wait.Milliseconds())
	if a.method == "GET" {
		return append(w, "\r\n"...)
	}
	body := sentBody(a.name, a.path)
	if !a.chunks {
		return fmt.Appendf(w, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return fmt.Appendf(w, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)/2, body[:len(body)/2], len(body)-len(body)/2, body[len(body)/2:])
}

// read takes the next answer on the client's connection, and reports whether more may follow.
func (a *asked) read(c net.Conn, in *bufio.Reader) (more bool) {
	c.SetReadDeadline(time.Now().Add(callerPatience))
	resp, err := http.ReadResponse(in, &http.Request{Method: a.method})
	if err != nil {
		a.wrong = "no answer: " + err.Error()
		return false
	}
	c.SetReadDeadline(time.Now().Add(callerBreath)) // a stream may fall silent for longer than we have
	body, err := io.ReadAll(resp.Body)
	a.status, a.cut, a.left = resp.StatusCode, err != nil, errors.Is(err, os.ErrDeadlineExceeded)
	sent := ""
	if a.method != "GET" {
		sent = sentBody(a.name, a.path)
	}
	name, whole := resp.Header.Get(faultproxy.HeaderName), faultproxy.Body(a.name, a.path, sent)
	switch {
	case name != "" && name != a.name:
		a.wrong = "the answer to " + name
	case resp.StatusCode/100 != 2:
	case name != a.name || resp.Header.Get(faultproxy.HeaderSeal) != faultproxy.Seal(a.name):
		a.wrong = "a success without its name or seal"
	case a.cut && !strings.HasPrefix(whole, string(body)), !a.cut && whole != string(body):
		a.wrong = fmt.Sprintf("another body: %.40q for %.40q", body, whole)
	}
	return err == nil && !resp.Close
}

// ask sends requests in one write on one connection, and reads their answers in order.
func (g *callerStage) ask(all ...*asked) error {
	c, err := net.Dial("tcp", g.clients.Addr().String())
	if err != nil {
		return err
	}
	defer c.Close()
	go func() { // an upload that is refused is not read to its end
		for _, a := range all {
			if _, err := c.Write(a.wire()); err != nil {
				return
			}
		}
	}()
	in := bufio.NewReader(c)
	for i, a := range all {
		if more := a.read(c, in); !more {
			if a.wrong == "" {
				for _, b := range all[i+1:] { // behind an answer that ends the connection: not read, and sent again
					b.status, b.left = unread, a.left
				}
			}
			return nil
		}
	}
	return nil
}

// played is a case's end.
type played struct {
	c      callerCase
	ledger *faultproxy.Ledger
	all    []*asked
	struck bool
	used   bool
	err    error
	sizes  [2]int // of the request at the server, and of the answer
}

func (c callerCase) play(bug transport.Bug) (p played) {
	p.c = c
	g, err := newCallerStage(c.servers, bug)
	if err != nil {
		p.err = err
		return p
	}
	defer g.close()
	p.ledger = g.ledger
	if c.used {
		var wg sync.WaitGroup
		for range c.servers {
			wg.Go(func() { g.ask(&asked{name: callerName(), method: "GET", path: "/often/warm", wait: callerWait}) })
		}
		wg.Wait()
		time.Sleep(callerRest)
	}
	it := &asked{name: callerName(), method: c.method, path: c.path, chunks: c.chunks, wait: c.wait}
	behind := func() *asked {
		return &asked{name: callerName(), method: "GET", path: "/often/behind", wait: callerWait}
	}
	p.all = []*asked{it, behind(), behind()}
	if c.refused > 0 {
		g.ledger.Refuse(it.name, c.refused)
	}
	if c.deaf {
		for _, x := range g.proxies {
			x.Close()
		}
	}
	if c.fault.Kind != faultproxy.None {
		g.plan.Arm(c.fault)
	}
	p.err = g.ask(p.all...)
	p.struck, p.used = g.plan.Struck()
	p.sizes = [2]int{g.plan.Asked(), len(faultproxy.Answer(it.name, c.path, lo.Ternary(c.method == "GET", "", sentBody(it.name, c.path))))}
	return p
}

// judge holds a case's end against the rules, once all that was on its way has arrived.
func (p played) judge(broken func(key, form string, args ...any)) {
	if p.err != nil {
		broken("wrong_caller", "%v: %v", p.c, p.err)
		return
	}
	for i, a := range p.all {
		judged(a, p.ledger, func(key, form string, args ...any) {
			broken(key, "%v: request %d: %s", p.c, i, fmt.Sprintf(form, args...))
		})
		if i == 0 && p.c.deaf && a.status != http.StatusServiceUnavailable {
			broken("sent_twice", "%v: never went out, and was answered %d", p.c, a.status)
		}
	}
	for _, name := range p.ledger.Changed() {
		broken("wrong_caller", "%v: %s ran with another body or method", p.c, name)
	}
}

// judged holds one request against what ran of it.
func judged(a *asked, l *faultproxy.Ledger, broken func(key, form string, args ...any)) {
	ran, once := l.Ran(a.name), strings.HasPrefix(a.path, "/once/")
	promise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests ||
		a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
	switch {
	case a.wrong != "":
		broken("wrong_caller", "got %s", a.wrong)
	case a.status == 0:
		broken("wrong_caller", "got no answer")
	case a.status == 200 && ran == 0:
		broken("wrong_caller", "got a success and never ran")
	case a.status == unread && !a.left && ran > 0:
		broken("wrong_caller", "was told that it was not read, and ran")
	case once && ran > 1:
		broken("sent_twice", "ran %d times, answered %d", ran, a.status)
	case once && promise && ran > 0:
		broken("sent_twice", "answered %d and ran: its client sends it again", a.status)
	}
}

// unread is the status of a request behind an answer that ends its connection.
const unread = -1

// callerShapes are the requests of the sweep.
func callerShapes() (all []callerCase) {
	for _, s := range []callerCase{
		{method: "GET", path: "/often/x"},
		{method: "POST", path: "/often/chunks/x", chunks: true},
		{method: "POST", path: "/once/x"},
		{method: "POST", path: "/once/chunks/x", chunks: true},
	} {
		for _, s.used = range []bool{false, true} {
			for _, s.servers = range []int{1, 2} {
				s.wait = callerWait
				all = append(all, s)
			}
		}
	}
	for _, s := range []callerCase{ // beyond what is held whole, so that it streams
		{method: "GET", path: "/often/long"},
		{method: "GET", path: "/often/chunks/long"},
		{method: "POST", path: "/once/long"},
		{method: "POST", path: "/once/upload"},
		{method: "POST", path: "/once/upload", chunks: true},
		{method: "POST", path: "/often/chunks/upload", chunks: true},
	} {
		s.used, s.servers, s.wait = true, 2, callerWait
		all = append(all, s)
	}
	return all
}

// A fault strikes at each byte of a message, or at so many places of a long one.
const (
	longFrom   = 1000
	mostPlaces = 60
)

// callerFaults are all faults of a shape whose request and answer are so long, at each step-th byte.
func callerFaults(s callerCase, asks, says, step int) (all []callerCase) {
	add := func(f faultproxy.Fault, wait time.Duration) {
		c := s
		c.fault, c.wait = f, wait
		all = append(all, c)
	}
	at := func(from, to int, kinds ...faultproxy.Kind) {
		for _, k := range kinds {
			wait := callerWait
			if k == faultproxy.AskSilent || k == faultproxy.SaySilent {
				wait = callerSilence
			}
			step := step
			if to-from > longFrom {
				step *= (to - from) / mostPlaces
			}
			for i := from; i <= to; i++ {
				if (i+len(all))%step == 0 || i == from || i == to {
					add(faultproxy.Fault{Kind: k, At: i}, wait)
				}
			}
		}
	}
	at(1, asks, faultproxy.AskClose, faultproxy.AskReset, faultproxy.AskSilent)
	at(0, says, faultproxy.SayClose, faultproxy.SayReset)
	at(0, says-1, faultproxy.SaySilent)
	at(1, says, faultproxy.Twice)
	for _, stale := range [][]byte{faultproxy.Answer("t-other", "/often/x", ""), faultproxy.Refusal(http.StatusServiceUnavailable, "t-other"),
		faultproxy.Refusal(http.StatusMisdirectedRequest, "t-other"), faultproxy.Refusal(http.StatusTooManyRequests, "")} {
		for i := 1; i <= len(stale); i++ {
			if i%step == 0 || i == len(stale) {
				add(faultproxy.Fault{Kind: faultproxy.Before, At: i, Stale: stale}, callerWait)
			}
		}
		add(faultproxy.Fault{Kind: faultproxy.Instead, At: len(stale), Stale: stale}, callerSilence)
	}
	for _, edit := range callerEdits {
		add(faultproxy.Fault{Kind: faultproxy.Edited, Edit: edit}, callerWait)
	}
	for i := 0; i < 40; i += step {
		add(faultproxy.Fault{Kind: faultproxy.Ended, At: i, Edit: func(a []byte) []byte { return endless(a, i) }}, callerWait)
	}
	own := s
	own.refused, own.fault = 2, faultproxy.Fault{Kind: faultproxy.AfterIt} // the third attempt may come back to the first one's connection
	deaf := s
	deaf.deaf = true
	return append(all, own, deaf)
}

// callerEdits make an answer another's, or nobody's.
var callerEdits = []func([]byte) []byte{
	func(a []byte) []byte { return renamed(a, faultproxy.HeaderName+": t-other\r\n") },
	func(a []byte) []byte { return renamed(a, "") },
	func(a []byte) []byte { return renamed(a, faultproxy.HeaderName+":\r\n") },
	func(a []byte) []byte { return renamed(a, "X-Attempt-Id: t-other\r\n"+nameLine(a)) },
	func(a []byte) []byte { return renamed(a, nameLine(a)+"x-attempt-id: t-other\r\n") },
	func(a []byte) []byte {
		return renamed(a, strings.TrimSpace(nameLine(a))+"0\r\n")
	},
	func([]byte) []byte { return faultproxy.Refusal(http.StatusServiceUnavailable, "") },
	func([]byte) []byte { return faultproxy.Refusal(http.StatusMisdirectedRequest, "t-other") },
}

// nameLine is the line of an answer that says whose it is.
func nameLine(answer []byte) string {
	i := bytes.Index(answer, []byte(faultproxy.HeaderName))
	if i < 0 {
		return ""
	}
	return string(answer[i : i+bytes.IndexByte(answer[i:], '\n')+1])
}

func renamed(answer []byte, line string) []byte {
	was := nameLine(answer)
	if was == "" {
		return answer
	}
	return bytes.Replace(answer, []byte(was), []byte(line), 1)
}

// endless is an answer whose body ends with its connection, after so many bytes.
func endless(answer []byte, at int) []byte {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
	if err != nil {
		return answer
	}
	body, _ := io.ReadAll(resp.Body)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s%s: %s\r\nConnection: close\r\n\r\n%s", nameLine(answer),
		faultproxy.HeaderSeal, resp.Header.Get(faultproxy.HeaderSeal), body[:min(at, len(body))])
}
