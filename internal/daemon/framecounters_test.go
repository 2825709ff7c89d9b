package daemon

import (
	"bufio"
	"bytes"
	"testing"

	"asterwell/internal/adminapi"
	"asterwell/internal/consensus"
)

// TestFrameCounters: frames are counted by message in both directions, with their bytes on the wire.
func TestFrameCounters(t *testing.T) {
	var out, in frameCounters
	var wire bytes.Buffer
	for _, msg := range []any{consensus.ViewRequest{}, consensus.Pull{Version: 7}, consensus.ViewRequest{}} {
		wire.Write(out.codec(func() bool { return false }).Encode(&frame{From: "127.0.0.1:1", Msg: msg}))
	}
	all := int64(wire.Len())
	r := bufio.NewReader(&wire)
	for range 3 {
		if _, _, err := in.codec(func() bool { return false }).Decode(r); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := in.codec(func() bool { return false }).Decode(r); err == nil {
		t.Error("read beyond the end")
	}
	sent, got := out.kinds(), in.kinds()
	if len(sent) != 2 || sent["pact.Ask"].Sent != 2 || sent["pact.Pull"].Sent != 1 || sent["pact.Ask"].BytesOut+sent["pact.Pull"].BytesOut != all {
		t.Errorf("sent %v, %d bytes", sent, all)
	}
	if k := got["pact.Ask"]; k != (adminapi.MessageCounts{Got: 2, BytesIn: sent["pact.Ask"].BytesOut}) || len(got) != 2 {
		t.Errorf("got %v", got)
	}
}

func TestConsensusRole(t *testing.T) {
	for _, c := range []struct {
		role, self, want string
	}{{"primary", "a", "primary"}, {"member", "b", "backup"}, {"member", "c", "witness"}, {"follower", "b", "follower"}} {
		if got := consensusRole(consensus.Status{Role: c.role, Writers: []string{"a", "b"}}, c.self); got != c.want {
			t.Errorf("%s %s: %s, want %s", c.role, c.self, got, c.want)
		}
	}
}
