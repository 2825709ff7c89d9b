package controlplane

import (
	"reflect"
	"testing"

	"asterwell/internal/consensus"
	"asterwell/internal/faultrules"
	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
)

// outerNames pairs each message type with its name in the answer of GET /api/frames.
var outerNames = [][]struct {
	msg  any
	name string
}{
	{
		{memberlist.Heartbeat{}, "bond.Beat"},
		{memberlist.Hello{}, "bond.Hello"},
		{memberlist.Gossip{}, "bond.Rumour"},
		{memberlist.Index{}, "bond.Index"},
		{memberlist.Diff{}, "bond.Diff"},
		{memberlist.Ping{}, "bond.Ping"},
		{memberlist.IndirectPing{}, "bond.Probe"},
		{memberlist.IndirectAck{}, "bond.Pong"},
		{memberlist.Suspect{}, "bond.Doubt"},
	},
	{
		{registry.Update{}, "lore.News"},
		{registry.Ack{}, "lore.Ack"},
		{registry.ForwardedHeartbeat{}, "lore.Pass"},
		{registry.TableDigest{}, "lore.Sum"},
		{registry.ServiceDigests{}, "lore.Parts"},
		{registry.Index{}, "lore.Index"},
		{registry.Diff{}, "lore.Diff"},
		{registry.Fetch{}, "lore.Fetch"},
		{registry.FullTable{}, "lore.Whole"},
	},
	{
		{consensus.JoinRequest{}, "pact.Hello"},
		{consensus.FirstEpoch{}, "pact.Found"},
		{consensus.ViewRequest{}, "pact.Ask"},
		{consensus.View{}, "pact.View"},
		{consensus.Heartbeat{}, "pact.Beat"},
		{consensus.HeartbeatReply{}, "pact.Beaten"},
		{consensus.Resign{}, "pact.Resign"},
		{consensus.PreVote{}, "pact.Probe"},
		{consensus.PreVoteReply{}, "pact.Probed"},
		{consensus.Prepare{}, "pact.Prepare"},
		{consensus.Promise{}, "pact.Promise"},
		{consensus.Reject{}, "pact.Refuse"},
		{consensus.InstallState{}, "pact.Copy"},
		{consensus.StateInstalled{}, "pact.Copied"},
		{consensus.RecordEpoch{}, "pact.Enact"},
		{consensus.EpochRecorded{}, "pact.Enacted"},
		{consensus.Append{}, "pact.Append"},
		{consensus.Appended{}, "pact.Appended"},
		{consensus.Confirm{}, "pact.Confirm"},
		{consensus.Confirmed{}, "pact.Confirmed"},
		{consensus.Forward{}, "pact.Forward"},
		{consensus.ForwardReply{}, "pact.Answered"},
		{consensus.Push{}, "pact.Push"},
		{consensus.Pull{}, "pact.Pull"},
		{consensus.CommitAmendment{}, "pact.Amended"},
		{consensus.FenceNotice{}, "pact.Fenced"},
		{consensus.Leave{}, "pact.Leave"},
		{consensus.LeaveGranted{}, "pact.Released"},
		{consensus.Handover{}, "pact.Handover"},
		{consensus.MemberLost{}, "pact.Void"},
	},
	{
		{quotas.Add{}, "toll.Add"},
		{quotas.Answer{}, "toll.Answer"},
	},
	{
		{Relay{}, "knot.Via"},
	},
	{
		{faultrules.Claim{}, "bane.Claim"},
		{faultrules.ClaimReply{}, "bane.Claimed"},
		{faultrules.Append{}, "bane.Append"},
		{faultrules.AppendReply{}, "bane.Appended"},
		{faultrules.Heartbeat{}, "bane.Beat"},
		{faultrules.HeartbeatReply{}, "bane.Beaten"},
		{faultrules.Push{}, "bane.Push"},
		{faultrules.Ask{}, "bane.Ask"},
		{faultrules.Lease{}, "bane.Lease"},
		{faultrules.Forward{}, "bane.Forward"},
		{faultrules.ForwardReply{}, "bane.Answered"},
	},
	{
		{rollout.LeaseRequest{}, "accord.Ask"},
		{rollout.LeaseGrant{}, "accord.Grant"},
		{rollout.WithdrawRequest{}, "accord.Withdraw"},
		{rollout.WithdrawReply{}, "accord.Withdrew"},
	},
}

// Operators' tools match these names, so they must not follow the names of the Go types.
func TestMessageNames(t *testing.T) {
	all := Messages()
	if len(all) != len(outerNames) || len(messageNames) != len(all) {
		t.Fatalf("%d machines, %d with names, %d expected", len(all), len(messageNames), len(outerNames))
	}
	for i, messages := range all {
		if len(messages) != len(outerNames[i]) || len(messageNames[i]) != len(messages) {
			t.Fatalf("machine %d has %d messages, %d names, %d expected", i, len(messages), len(messageNames[i]), len(outerNames[i]))
		}
		for j, msg := range messages {
			want := outerNames[i][j]
			if reflect.TypeOf(msg) != reflect.TypeOf(want.msg) || MessageName(i, j) != want.name {
				t.Errorf("message %d of machine %d is %T, named %q; expected %T, %q", j, i, msg, MessageName(i, j), want.msg, want.name)
			}
		}
	}
}
