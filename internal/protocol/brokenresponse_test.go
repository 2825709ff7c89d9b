package protocol

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"asterwell/choice"
	"asterwell/internal/routing"
	"asterwell/internal/scenario"
	"asterwell/internal/transport"
)

// expectRejectedProbe checks that a probe with one of these answers proves nothing about its server.
func expectRejectedProbe(t *testing.T, texts ...string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	results := make(resultRecorder, 1)
	f := NewFleet(transport.PeerOptions{ConnectTimeout: time.Minute, IdleTimeout: transport.NewIdleTimeout(time.Minute), ConnLimit: transport.NewConnLimit(3)}, true)
	f.Results = results
	f.Update(routing.DiscoveryUpdate{Whole: true, Members: []routing.Member{{Addr: ln.Addr().String(), Member: choice.Member{ID: 7}}}})
	number := 0
	stage := scenario.Stage{Accept: map[string]net.Listener{"server": ln}, Vars: map[string]string{}, Close: map[string]func(){
		"probe": func() { number++; f.Probe(7, routing.Attempt{Number: number}, time.Minute) },
		"result": func() {
			if got, want := <-results, fmt.Sprintf("probe {0 %d} %d false", number, choice.NotExecuted); got != want {
				t.Errorf("%.90q: got %s, want %s", texts[number-1], got, want)
			}
		}}}
	var script strings.Builder
	for i, text := range texts {
		stage.Vars[fmt.Sprint("text", i)] = text
		fmt.Fprintf(&script, "probe close\nserver%d expect \"GET /-/load HTTP/1.1\\r\\n\"\nserver%d send \"${text%d}\"\nresult close\nserver%d expect closed\n", i, i, i, i)
	}
	stage.Play(t, script.String())
}

// expectRejectedList checks that discovery takes none of the answers for a list of servers.
func expectRejectedList(t *testing.T, texts ...string) {
	t.Helper()
	for _, text := range texts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		updates := make(chan routing.DiscoveryUpdate, 10)
		d := NewDiscovery(DiscoveryOptions{Addr: ln.Addr().String(), LongPoll: time.Hour, ResponseGrace: time.Hour, ConnectTimeout: time.Minute},
			ServerList{}, false, func(n routing.DiscoveryUpdate) { updates <- n })
		<-updates // of the known list
		go d.Run()
		stage := scenario.Stage{Accept: map[string]net.Listener{"list": ln}, Vars: map[string]string{"text": text}}
		stage.Play(t, `
			list1 expect "GET /api/targets HTTP/1.1\r\n"
			list1 send "$text"
			list1 expect closed`)
		if got := <-updates; !got.Broken || len(got.Members) > 0 {
			t.Errorf("%.90q: %+v", text, got)
		}
		d.Stop()
	}
}

const (
	testReport = `{"busy_reqs":2}`
	testList   = `{"version":9,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"up"}]}`
)

// TestInvalidStatus guards against a probe's answer or a list of servers with the status 000 that was taken for a 200.
func TestInvalidStatus(t *testing.T) {
	response := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s OK\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	expectRejectedProbe(t, response("000", testReport), response("099", testReport), response("600", testReport), response("00", testReport))
	expectRejectedList(t, response("000", testList), response("099", testList), response("600", testList), response("00", testList))
}

// TestInvalidFieldNames guards against the same with heads that have a blank or a control byte in the name of a field.
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", " X-Note: 1", "\nX-Note: 1", "X: 1\n", "X: 1\r", "X\rNote: 1", "X\x00Note: 1"} {
		response := func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
		}
		expectRejectedProbe(t, response(testReport))
		expectRejectedList(t, response(testList))
	}
}
