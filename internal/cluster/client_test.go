package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"
)

// member starts a server that answers every request with r.
func member(t *testing.T, r Reply) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if f, err := readFrame(bufio.NewReader(c), clusterNumber("c")); err == nil {
				body, _ := json.Marshal(r)
				c.Write((&Frame{Kind: KindReply, To: f.From, Body: body}).encode(clusterNumber("c")))
			}
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// The client skips members without a vote and followers, and goes on to the members that
// they or the file name. An error from the leader is final.
func TestClientAsksOn(t *testing.T) {
	leads := member(t, Reply{Version: 7})
	novote := member(t, Reply{Ask: true, Error: "this member has stepped back: disk"})
	follows := member(t, Reply{Error: ErrNotLeader.Error(), Leader: &Peer{Name: "l", Address: leads}})
	replaced := member(t, Reply{Error: ErrNotLeader.Error(), Voters: []Peer{{Name: "l", Address: leads}}})
	bad := member(t, Reply{Error: "unknown change"})
	for name, c := range map[string]struct {
		members []string
		want    error
	}{
		"no vote, then the leader":     {[]string{novote, leads}, nil},
		"no vote, then a follower":     {[]string{novote, follows}, nil},
		"one that was replaced":        {[]string{replaced}, nil},
		"nobody leads":                 {[]string{novote}, ErrNoLeader},
		"the leader's no is an answer": {[]string{novote, bad, leads}, errors.New("unknown change")},
	} {
		cfg := &Config{Cluster: "c"}
		for i, a := range c.members {
			cfg.Voters = append(cfg.Voters, Named{string(rune('a' + i)), a})
		}
		r, err := (&Client{Cfg: cfg}).Ask(Ask{Do: "status"}, 300*time.Millisecond)
		switch {
		case c.want == nil && (err != nil || r.Version != 7):
			t.Errorf("%s: %v %+v", name, err, r)
		case c.want != nil && (err == nil || !errors.Is(err, c.want) && err.Error() != c.want.Error()):
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}
