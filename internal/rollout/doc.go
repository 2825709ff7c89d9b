// Package rollout puts a configuration in force at all nodes together, where the current one asks for it
// ("Rollout": {"Mode": "together"}). It builds on package consensus, which keeps the newest configuration,
// and on the leases and the switch of package policy:
//
//   - State is stored beside a document that is not live yet, above all with the text of the live one. A
//     version becomes live, or is withdrawn, by an amendment of the document, so this happens once and is
//     as durable as the document.
//   - The primary's part (lead.go) is a policy.Coordinator. It grants leases, waits until enough nodes have
//     confirmed that they hold the version, stops all decisions for a moment (the hold), and amends.
//   - A node's part (node.go) is a policy.Holder, and the Gate at which each effectful request is decided.
//
// For the reason why no request is decided by an old version once any was by the new one see package
// policy, where "the voters' log" stands for the document that all writers of an epoch have synced. A
// primary grants a lease only if all writers of its epoch have confirmed it after the lease was requested;
// a successor has a promise of one of them, and waits for leases requested before that to expire.
package rollout
