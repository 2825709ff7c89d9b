package protocol

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/routing"
	"asterwell/internal/scenario"
	"asterwell/internal/transport"
)

func TestOutcome(t *testing.T) {
	answer := func(status int, headers ...string) *fasthttp.Response {
		r := &fasthttp.Response{}
		r.Header.DisableNormalizing()
		r.SetStatusCode(status)
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		return r
	}
	for name, c := range map[string]struct {
		end         transport.Outcome
		answer      *fasthttp.Response
		transparent bool
		want        choice.Status
	}{
		"200":                        {transport.Answered, answer(200), false, choice.OK},
		"500":                        {transport.Answered, answer(500), false, choice.Error},
		"500, described":             {transport.Answered, answer(500), true, choice.Error},
		"503 proves nothing":         {transport.Answered, answer(503), false, choice.Error},
		"504 proves nothing":         {transport.Answered, answer(504), true, choice.Error},
		"503 with proof":             {transport.Answered, answer(503, headerNotExecuted, "1"), false, choice.Overloaded},
		"504 with proof, other case": {transport.Answered, answer(504, "x-not-processed", "1"), false, choice.Overloaded},
		"503 with another word":      {transport.Answered, answer(503, headerNotExecuted, "0"), false, choice.Error},
		"500 with proof":             {transport.Answered, answer(500, headerNotExecuted, "1"), false, choice.Error},
		"404 on the platform":        {transport.Answered, answer(404), false, choice.Error},
		"404, described":             {transport.Answered, answer(404), true, choice.OK},
		"201, described":             {transport.Answered, answer(201), true, choice.OK},
		"not sent":                   {transport.NotSent, nil, false, choice.ConnectFailed},
		"broken":                     {transport.ConnectionLost, nil, false, choice.Reset},
		"invalid":                    {transport.Invalid, nil, false, choice.Error},
	} {
		if got := Platform.outcome(c.end, c.answer, &Call{Transparent: c.transparent}); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// An unreadable field of a load report doesn't invalidate the others; a report that is
// not an object is ignored.
func TestReport(t *testing.T) {
	for text, want := range map[string]*choice.Load{
		`{"busy_reqs":3,"svc_ms":"x","pending":null}`: {InFlight: 3, HasInFlight: true},
		`{"busy_reqs":-1,"pending":2,"odd":[1]}`:      {Queue: 2, HasQueue: true},
		`{"busy_reqs":1e999,"pending":2}`:             {Queue: 2, HasQueue: true},
		`{"busy_reqs":"x"}`:                           nil,
		`{"busy_reqs":3`:                              nil,
		`[3]`:                                         nil,
		``:                                            nil,
	} {
		if d := cmp.Diff(want, parseLoad([]byte(text))); d != "" {
			t.Errorf("%s: %s", text, d)
		}
	}
}

// ends records the results of attempts and probes.
type resultRecorder chan string

func (e resultRecorder) AttemptEnded(_ uint32, a routing.Attempt, s choice.Status, _ any, l *choice.Load) {
	e <- fmt.Sprint("attempt ", a, " ", int(s), " ", l != nil)
}

func (e resultRecorder) ProbeEnded(_ uint32, a routing.Attempt, s choice.Status, l *choice.Load) {
	e <- fmt.Sprint("probe ", a, " ", int(s), " ", l != nil)
}

// A probe requests the load report, which may come with a 503.
func TestProbe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(resultRecorder, 10)
	f := NewFleet(transport.PeerOptions{ConnectTimeout: time.Minute, IdleTimeout: transport.NewIdleTimeout(time.Minute), ConnLimit: transport.NewConnLimit(3)}, true)
	f.Results = got
	up := routing.Member{Addr: ln.Addr().String(), Member: choice.Member{ID: 7}}
	f.Update(routing.DiscoveryUpdate{Whole: true, Members: []routing.Member{up}})
	try := 0
	next := func() {
		try++
		f.Probe(7, routing.Attempt{Number: try}, time.Minute)
	}
	expect := func(want string) func() {
		return func() {
			if e := <-got; e != want {
				t.Errorf("got %s, want %s", e, want)
			}
		}
	}
	stage := scenario.Stage{Accept: map[string]net.Listener{"server": ln}, Close: map[string]func(){
		"next": next, "well": expect("probe {0 1} 0 true"), "full": expect("probe {0 2} 2 false"),
		"odd": expect("probe {0 3} 1 false"), "spoilt": expect("probe {0 4} 7 false"), "broken": expect("probe {0 5} 5 false")}}
	stage.Play(t, `
		next close
		server1 expect "GET /-/load HTTP/1.1\r\n"
		server1 send "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"busy_reqs\":2}"
		well close
		wait 20ms
		next close
		server1 expect "GET /-/load HTTP/1.1\r\n"
		server1 send "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		full close
		wait 20ms
		next close
		server1 expect "GET /-/load HTTP/1.1\r\n"
		server1 send "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
		odd close
		wait 20ms
		next close
		server1 expect "GET /-/load HTTP/1.1\r\n"
		server1 send "noise\r\n\r\n"
		spoilt close
		next close
		server2 expect "GET /-/load HTTP/1.1\r\n"
		server2 close
		broken close`)
	// A server removed from the list gets no new exchanges.
	f.Update(routing.DiscoveryUpdate{Whole: true})
	next()
	expect("probe {0 6} 4 false")()
	f.Send(7, routing.Attempt{ID: 1}, &Call{}, time.Minute)
	expect("attempt {1 0} 4 false")()
}

// Beyond the connection limit an attempt ends as not sent, and close to the limit idle
// connections are closed.
func TestConnectionLimit(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(resultRecorder, 10)
	sockets := transport.NewConnLimit(2)
	f := NewFleet(transport.PeerOptions{ConnectTimeout: time.Minute, IdleTimeout: transport.NewIdleTimeout(time.Minute), ConnLimit: sockets}, false)
	f.Results = got
	f.Update(routing.DiscoveryUpdate{Whole: true, Members: []routing.Member{{Addr: ln.Addr().String(), Member: choice.Member{ID: 7}}}})
	for id := range uint32(3) {
		f.Send(7, routing.Attempt{ID: id + 1}, &Call{head: []byte("GET / HTTP/1.1\r\n")}, time.Minute)
	}
	if e := <-got; e != "attempt {3 0} 4 false" {
		t.Error(e)
	}
	stage := scenario.Stage{Accept: map[string]net.Listener{"server": ln}}
	stage.Play(t, `
		server1 expect "\r\n\r\n"
		server2 expect "\r\n\r\n"
		server1 send "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		server1 expect closed`)
	<-got
	if e := <-got; e != "attempt {1 0} 5 false" && e != "attempt {2 0} 5 false" { // aborted by the end of the script
		t.Error(e)
	}
	for sockets.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := sockets.InFlight(); n != 0 {
		t.Errorf("%d exchanges in progress after all have ended", n)
	}
}

// A removed server is forgotten once it has no exchanges in progress. Until then they can
// be cancelled, even if the server's address has changed.
func TestRemovedServersAreForgotten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f := NewFleet(transport.PeerOptions{ConnectTimeout: time.Minute, IdleTimeout: transport.NewIdleTimeout(time.Minute), ConnLimit: transport.NewConnLimit(3)}, false)
	f.Results = make(resultRecorder, 10)
	list := func(id uint32, addr string, s choice.State) routing.DiscoveryUpdate {
		return routing.DiscoveryUpdate{Members: []routing.Member{{Addr: addr, Member: choice.Member{ID: id, State: s}}}}
	}
	f.Update(list(7, ln.Addr().String(), choice.Up))
	f.Send(7, routing.Attempt{ID: 1}, &Call{head: []byte("GET / HTTP/1.1\r\n")}, time.Minute)
	under := func(want int) func() {
		return func() {
			for end := time.Now().Add(scenario.Patience); f.opt.ConnLimit.InFlight() != want; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d under way, want %d", f.opt.ConnLimit.InFlight(), want)
				}
			}
		}
	}
	stage := scenario.Stage{Accept: map[string]net.Listener{"server": ln}, Close: map[string]func(){
		"moved":  func() { f.Update(list(7, "127.0.0.1:1", choice.Up)) },
		"cancel": func() { f.Cancel(7, routing.Attempt{ID: 1}) }, "one": under(1), "none": under(0)}}
	stage.Play(t, `
		server1 expect "\r\n\r\n"
		moved close
		server1 expect nothing
		one close
		cancel close
		server1 expect closed
		none close`)
	for i := range uint32(100) {
		f.Update(list(8+i, "127.0.0.1:1", choice.Up))
		f.Update(list(8+i, "", choice.Down))
	}
	for end := time.Now().Add(scenario.Patience); len(f.servers) > 1 || len(f.servers[7].peers) > 1; {
		if f.Update(routing.DiscoveryUpdate{}); time.Now().After(end) {
			t.Fatalf("%d servers, %d actors of the one on the list", len(f.servers), len(f.servers[7].peers))
		}
	}
}
