package controlplane

import (
	"reflect"

	"asterwell/internal/consensus"
	"asterwell/internal/faultrules"
	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
)

// Messages lists the message types of each machine. A type's number on the wire follows from its position
// here.
func Messages() [][]any {
	return [][]any{memberlist.Messages(), registry.Messages(), consensus.Messages(), quotas.Messages(), {Relay{}}, faultrules.Messages(), rollout.Messages()}
}

// messageNames are the names of the messages in the answer of GET /api/frames, in the order of Messages.
// They stay the same when a package or a type is renamed.
var messageNames = [][]string{
	{
		"bond.Beat", "bond.Hello", "bond.Rumour", "bond.Index", "bond.Diff", "bond.Ping", "bond.Probe",
		"bond.Pong", "bond.Doubt",
	},
	{
		"lore.News", "lore.Ack", "lore.Pass", "lore.Sum", "lore.Parts", "lore.Index", "lore.Diff", "lore.Fetch",
		"lore.Whole",
	},
	{
		"pact.Hello", "pact.Found", "pact.Ask", "pact.View", "pact.Beat", "pact.Beaten", "pact.Resign",
		"pact.Probe", "pact.Probed", "pact.Prepare", "pact.Promise", "pact.Refuse", "pact.Copy", "pact.Copied",
		"pact.Enact", "pact.Enacted", "pact.Append", "pact.Appended", "pact.Confirm", "pact.Confirmed",
		"pact.Forward", "pact.Answered", "pact.Push", "pact.Pull", "pact.Amended", "pact.Fenced", "pact.Leave",
		"pact.Released", "pact.Handover", "pact.Void",
	},
	{"toll.Add", "toll.Answer"},
	{"knot.Via"},
	{
		"bane.Claim", "bane.Claimed", "bane.Append", "bane.Appended", "bane.Beat", "bane.Beaten", "bane.Push",
		"bane.Ask", "bane.Lease", "bane.Forward", "bane.Answered",
	},
	{"accord.Ask", "accord.Grant", "accord.Withdraw", "accord.Withdrew"},
}

// MessageName returns the name shown to operators of the j-th message of machine i in Messages.
func MessageName(i, j int) string { return messageNames[i][j] }

// Indexes of the machines in Messages.
const (
	memberlistMessages = iota
	registryMessages
	consensusMessages
	quotaMessages
	relayMessages
	faultRuleMessages
	rolloutMessages
)

// messageGroups maps each message type to the index of its machine.
var messageGroups = func() map[reflect.Type]int {
	o := map[reflect.Type]int{}
	for i, all := range Messages() {
		for _, m := range all {
			o[reflect.TypeOf(m)] = i
		}
	}
	return o
}()
