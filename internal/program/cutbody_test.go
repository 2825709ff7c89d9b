package program

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"asterwell/internal/standin/cutmessage"
)

// TestCutBodyIsNotWhole guards against a request whose client left in the middle of its body, and that a server ran with
// the part that had come, as if it were the whole.
func TestCutBodyIsNotWhole(t *testing.T) {
	stage := gateway(t, 60000)
	recorder := &cutmessage.Recorder{IDHeader: "X-Request-ID"}
	server := httptest.NewUnstartedServer(recorder)
	server.Listener.Close()
	server.Listener = stage.Accept["server"]
	server.Start()
	recorder.Send(cutmessage.Traffic{Addr: stage.Dial["client"], Count: 300, MaxBody: 1 << 20, Head: func(id string) string {
		return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Tier: basic\r\nX-Priority-Class: submit-nom\r\n"+
			"Cookie: client=00000000b4d65521\r\nX-Timeout: 5.000\r\n", id)
	}})
	server.Close()
	for _, broken := range recorder.Broken() {
		t.Error(broken)
	}
}

// TestCutResponseIsNotWhole: a response that its server broke off does not reach a client as a whole one.
func TestCutResponseIsNotWhole(t *testing.T) {
	stage := gateway(t, 60000)
	server := &cutmessage.Server{IDHeader: "X-Request-ID"}
	go server.Serve(stage.Accept["server"])
	for _, broken := range server.Ask(cutmessage.Traffic{Addr: stage.Dial["client"], Count: 200, Head: func(id string) string {
		return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Tier: basic\r\nX-Priority-Class: status-read\r\n"+
			"Cookie: client=00000000b4d65521\r\nX-Timeout: 5.000\r\n", id)
	}}) {
		t.Error(broken)
	}
}
