package dataplane

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"asterwell/choice"
	"asterwell/internal/faultrules"
	"asterwell/internal/scenario"
	"asterwell/internal/standin/cutmessage"
)

// TestCutBodyIsNotWhole guards against a request whose client left in the middle of its body, and that a server ran with
// the part that had come, as if it were the whole.
func TestCutBodyIsNotWhole(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{})
	recorder := &cutmessage.Recorder{IDHeader: headerID}
	server := httptest.NewServer(recorder)
	defer server.Close()
	g.plane.SetServers([]Server{{ID: "s-2", Addr: server.Listener.Addr().String(), Service: "toy", Zone: "a", Capacity: 50, State: choice.Up}})
	recorder.Send(cutmessage.Traffic{Addr: strings.TrimSuffix(strings.TrimPrefix(g.url, "http://"), "/x"), Count: 400, MaxBody: 1 << 20,
		Head: func(id string) string {
			return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer k10\r\n%s: %s\r\nX-Deadline-Ms: 3000\r\n", headerID, id)
		}})
	for end := time.Now().Add(scenario.Patience); g.plane.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("requests stay open")
		}
	}
	g.plane.SetServers(nil)
	server.Close()
	for _, broken := range recorder.Broken() {
		t.Error(broken)
	}
}

// TestCutResponseIsNotWhole: a response that its server broke off does not reach a client as a whole one.
func TestCutResponseIsNotWhole(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	server := &cutmessage.Server{IDHeader: headerID}
	go server.Serve(ln)
	var servers []Server
	for i := range 40 { // so that failures of some don't keep requests from being sent
		servers = append(servers, Server{ID: fmt.Sprint("s-", i+2), Addr: ln.Addr().String(), Service: "toy", Zone: "a", Capacity: 50, State: choice.Up})
	}
	g.plane.SetServers(servers)
	for _, broken := range server.Ask(cutmessage.Traffic{Addr: strings.TrimSuffix(strings.TrimPrefix(g.url, "http://"), "/x"), Count: 400, Head: func(id string) string {
		return fmt.Sprintf("GET /look HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer k10\r\n%s: %s\r\nX-Deadline-Ms: 3000\r\n", headerID, id)
	}}) {
		t.Error(broken)
	}
}
