// Package rollout takes a configuration up at all nodes together, where the one in force
// asks for it ("Rollout": {"Mode": "together"}). It adds three things to package consensus,
// which keeps the newest configuration, and uses package policy's leases and turn:
//
//   - Side: what is kept beside a document that is not live yet, above all the text of the
//     one that is. That a version is live, or withdrawn, is an amendment of the document,
//     so that it survives what the document survives, and happens once.
//   - The primary's part (lead.go): a policy.Conduct. It leases time, waits until enough
//     have confirmed that they hold the version, stops everybody for a moment, and amends.
//   - A node's part (node.go): a policy.Holder, and the Gate that each effectful request
//     is decided at.
//
// Why nobody goes by an old version once any has gone by the new one: see package policy,
// with "the voters' log" read as the document that all writers of an epoch have synced.
// A primary grants a lease only if all of its epoch's writers have confirmed it after the
// lease was asked for; a successor has a promise of one of them, and waits out what was
// asked before that.
package rollout
