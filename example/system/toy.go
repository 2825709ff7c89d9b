package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// toy is a server of the service that the example's configuration names.
type toy struct {
	id, zone, addr string
	gateways       []string // control addresses
	target         string   // where the next beat goes, if a gateway has said so
	turn           int
	seq            int
	served         atomic.Int64
	http           *http.Server
}

const (
	beatEvery = 300 * time.Millisecond
	beatWaits = time.Second
)

func newToy(id, zone string, gateways []string) (*toy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &toy{id: id, zone: zone, addr: ln.Addr().String(), gateways: gateways}
	t.http = &http.Server{Handler: t}
	go t.http.Serve(ln)
	return t, nil
}

// ServeHTTP answers as the protocol's servers do: another instance's request is not
// run, and the client's id comes back.
func (t *toy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", t.id)
	if r.URL.Path == "/probe" {
		return
	}
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != t.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.served.Add(1)
	h.Set("X-Server-Seal", "toy."+t.id)
	fmt.Fprintf(w, "%s %s, answered by %s for %s\n", r.Method, r.URL.Path, t.id, r.Header.Get("X-Tenant-Name"))
}

// beat reports to a gateway until the context ends.
func (t *toy) beat(ctx context.Context) {
	defer t.http.Close()
	for every := time.NewTicker(beatEvery); ; {
		t.report(ctx)
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *toy) report(ctx context.Context) {
	at := t.target
	if at == "" {
		at = t.gateways[t.turn%len(t.gateways)]
	}
	t.seq++
	body, _ := json.Marshal(map[string]any{
		"Endpoint":    t.addr,
		"SelfInfo":    map[string]any{"Backend": "toy", "Epoch": "v1", "Zone": t.zone, "Capacity": 4},
		"HealthState": map[string]any{"Phase": "serving", "Sequence": t.seq, "WarmupLeftMs": 0},
	})
	ctx, stop := context.WithTimeout(ctx, beatWaits)
	defer stop()
	t.target = ""
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at+"/api/members/"+t.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.turn++
		return
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(a.Body, 4<<10))
	if a.StatusCode/100 != 2 {
		t.turn++
		return
	}
	var said struct{ HeartbeatTarget string }
	json.Unmarshal(text, &said)
	t.target = said.HeartbeatTarget
}
