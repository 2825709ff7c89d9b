package openapi

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"asterwell/internal/standin/cutmessage"
	"asterwell/internal/transport"
)

// TestCutBodyIsNotWhole guards against a request that a server runs with a part of its body, as if it were the whole: both
// where the HTTP library reads bodies whole and where it streams them.
func TestCutBodyIsNotWhole(t *testing.T) {
	for _, maxBody := range []int{64 << 10, transport.MaxStream} {
		t.Run(fmt.Sprint(maxBody), func(t *testing.T) {
			recorder := &cutmessage.Recorder{IDHeader: "X-Request-ID"}
			server := httptest.NewServer(recorder)
			g := newGateway(t, &standIn{Listener: server.Listener}, nil, nominations(t))
			ln, err := transport.Listen(nil, "127.0.0.1:0", 200)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go ln.Serve(transport.NewServer(g.Handle, maxBody))
			recorder.Send(cutmessage.Traffic{Addr: ln.Addr().String(), Count: 300, MaxBody: min(maxBody, 1<<20), Head: func(id string) string {
				return fmt.Sprintf("POST /v1/nominations HTTP/1.1\r\nHost: h\r\nX-Api-Key: 00000000b4d65521\r\nContent-Type: application/json\r\nX-Request-ID: %s\r\n", id)
			}})
			server.Close()
			for _, broken := range recorder.Broken() {
				t.Error(broken)
			}
		})
	}
}
