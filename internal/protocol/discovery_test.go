package protocol

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
	"asterwell/internal/backoff"
	"asterwell/internal/routing"
	"asterwell/internal/scenario"
)

// A server keeps its numeric ID across lists, and its start is reported on the core's
// clock, in Unix time.
func TestListToUpdate(t *testing.T) {
	list := func(text string) (l ServerList) {
		t.Helper()
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		if err := l.Validate(); err != nil {
			t.Fatal(err)
		}
		return l
	}
	var got []routing.DiscoveryUpdate
	tell := func(n routing.DiscoveryUpdate) { got = append(got, n) }
	d := NewDiscovery(DiscoveryOptions{}, list(`{"version":41,"full":true,"servers":[
		{"id":"s-b","addr":"10.1.0.18:8443","zone":"a","kind":"m2","cell":3,"state":"up","weight":1.5,"started_ms":0}]}`), false, tell)
	tell(d.toUpdate(list(`{"version":43,"servers":[
		{"id":"s-a","addr":"10.1.0.19:8443","state":"up","weight":1,"started_ms":1796126400123},
		{"id":"s-b","addr":"10.1.0.18:8443","state":"draining"},{"id":"s-c","state":"removed"}]}`), false))
	want := []routing.DiscoveryUpdate{
		{Whole: true, Saved: true, Members: []routing.Member{{Addr: "10.1.0.18:8443", Name: "s-b", Member: choice.Member{ID: 1, Key: xxhash.Sum64String("s-b"), Zone: "a",
			Kind: "m2", Cell: 3, Weight: 1.5}}}},
		{Members: []routing.Member{
			{Addr: "10.1.0.19:8443", Name: "s-a", Member: choice.Member{ID: 2, Key: xxhash.Sum64String("s-a"), Weight: 1,
				Started: time.Date(2026, 12, 1, 12, 0, 0, 123e6, time.UTC).Sub(time.Unix(0, 0))}},
			{Addr: "10.1.0.18:8443", Name: "s-b", Member: choice.Member{ID: 1, Key: xxhash.Sum64String("s-b"), State: choice.Draining}},
			{Name: "s-c", Member: choice.Member{ID: 3, Key: xxhash.Sum64String("s-c"), State: choice.Down}}}}}
	if diff := cmp.Diff(want, got); diff != "" || d.version != 43 {
		t.Error(diff, d.version)
	}
}

// After a change of address the request to the old one is aborted, the new one is asked
// for the full list immediately, and late data from the old one is ignored.
func TestDiscoveryChangesAddress(t *testing.T) {
	accept := map[string]net.Listener{}
	for _, kind := range []string{"old", "new"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		accept[kind] = ln
	}
	news := make(chan routing.DiscoveryUpdate, 10)
	d := NewDiscovery(DiscoveryOptions{Addr: accept["old"].Addr().String(), LongPoll: time.Hour, ResponseGrace: time.Hour,
		ConnectTimeout: time.Minute}, ServerList{}, false, func(n routing.DiscoveryUpdate) { news <- n })
	defer d.Stop()
	go d.Run()
	list := func(version, id int) string {
		text := fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s-%d","addr":"127.0.0.1:1","state":"up"}]}`, version, id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	stage := scenario.Stage{Accept: accept, Vars: map[string]string{"list9": list(9, 1), "list3": list(3, 2)}, Close: map[string]func(){
		"moved": func() { d.SetAddr(accept["new"].Addr().String()) }}}
	stage.Play(t, `
		old1 expect "GET /api/targets HTTP/1.1\r\n"
		old1 send "$list9"
		old1 expect "GET /api/targets?from=9&hold_ms=3600000 HTTP/1.1\r\n"
		moved close
		old1 expect closed
		new1 expect "GET /api/targets HTTP/1.1\r\n"
		new1 send "$list3"
		new1 expect "GET /api/targets?from=3&hold_ms=3600000 HTTP/1.1\r\n"`)
	var got []uint32
	for len(got) < 2 {
		for _, m := range (<-news).Members {
			got = append(got, m.ID)
		}
	}
	if diff := cmp.Diff([]uint32{1, 2}, got); diff != "" {
		t.Error(diff)
	}
}

// Failures that indicate overload back off longer, and gateways that start or fail together retry at different times.
func TestDiscoveryBackoff(t *testing.T) {
	shared := backoff.Options{Shared: true, MaxNewsAge: 10 * time.Second, Gateways: 80}
	for _, tc := range []struct {
		err         error
		pace        backoff.Options
		least, most time.Duration // of the wait after the sixth failure in a row
	}{
		{statusError(503), shared, 5 * time.Second, 15 * time.Second},
		{statusError(503), backoff.Options{Gateways: 300}, 80 * time.Millisecond, 240 * time.Millisecond},
		{io.EOF, shared, 160 * time.Millisecond, 480 * time.Millisecond},
		{statusError(500), shared, 160 * time.Millisecond, 480 * time.Millisecond},
	} {
		waits := map[time.Duration]bool{}
		for range 20 {
			began := time.Now()
			d := NewDiscovery(DiscoveryOptions{Backoff: tc.pace}, ServerList{}, false, func(routing.DiscoveryUpdate) {})
			if late := d.notBefore.Sub(began) > time.Second/2; late && !tc.pace.Shared {
				t.Errorf("an agent is asked %v after the start", d.notBefore.Sub(began))
			}
			var wait time.Duration
			for range 6 {
				d.current = &listRequest{}
				began := d.opt.Host.Now()
				d.handleResult(listResult{request: d.current, err: tc.err})
				wait = d.notBefore.Sub(began)
			}
			if wait < tc.least || wait > tc.most+100*time.Millisecond {
				t.Fatalf("%v at %v: waits %v, want %v to %v", tc.err, tc.pace, wait, tc.least, tc.most)
			}
			waits[wait.Round(tc.least/20)] = true
		}
		if len(waits) < 3 {
			t.Errorf("%v at %v: all wait alike: %v", tc.err, tc.pace, waits)
		}
	}
}

// A start continues from the known list, asks for changes immediately, and reports if there are none.
func TestDiscoveryContinuesFromKnownList(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	news := make(chan routing.DiscoveryUpdate, 10)
	d := NewDiscovery(DiscoveryOptions{Addr: ln.Addr().String(), LongPoll: time.Hour, ResponseGrace: time.Hour, ConnectTimeout: time.Minute},
		ServerList{Version: 41, Servers: []ServerEntry{{ID: "s-a", Addr: "127.0.0.1:1", State: "up"}}}, false, func(n routing.DiscoveryUpdate) { news <- n })
	defer d.Stop()
	go d.Run()
	none := `{"version":41,"full":false,"servers":[]}`
	stage := scenario.Stage{Accept: map[string]net.Listener{"list": ln}, Vars: map[string]string{
		"none": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(none), none)}}
	stage.Play(t, `
		list1 expect "GET /api/targets?from=41&hold_ms=50 HTTP/1.1\r\n"
		list1 send "$none"
		list1 expect "GET /api/targets?from=41&hold_ms=3600000 HTTP/1.1\r\n"`)
	if saved, first := <-news, <-news; !saved.Saved || first.Saved || first.Whole || len(first.Members) > 0 {
		t.Errorf("%+v, then %+v, want the saved list and that nothing is new", saved, first)
	}
}

// Removed servers are forgotten, so that the map doesn't grow as servers are replaced.
func TestRemovedIDsAreForgotten(t *testing.T) {
	d := NewDiscovery(DiscoveryOptions{}, ServerList{}, false, func(routing.DiscoveryUpdate) {})
	for i := range 1000 {
		up, gone := fmt.Sprint("s-", i), fmt.Sprint("s-", i-2)
		d.toUpdate(ServerList{Servers: []ServerEntry{{ID: up, State: "up"}, {ID: gone, State: "removed"}}}, false)
	}
	if len(d.ids) != 2 {
		t.Errorf("%d numbers for two servers", len(d.ids))
	}
	n := d.toUpdate(ServerList{Servers: []ServerEntry{{ID: "s-999", State: "up"}, {ID: "s-0", State: "up"}}}, true)
	if len(d.ids) != 2 || n.Members[0].ID == n.Members[1].ID {
		t.Errorf("%d numbers for two servers: %+v", len(d.ids), n.Members)
	}
}
