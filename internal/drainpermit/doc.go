// Package drainpermit decides which gateways may drain: of those that clients have, one stays. It is
// mutual exclusion by permission, with one permission enough: who wants to drain asks the others,
// and does so once one that is ready, and neither drains nor asks, has said that it stays.
//
// Why one stays. A word counts only for the ask that it answers, and is given only by a process
// that at that moment neither drains nor asks, or gives its own ask up: so whoever has said that
// it stays, and drains later, began the ask that let it after that. If all that run drained,
// there would be a ring of processes of which each was let by the next one, and whose asks began
// one after the other all the way round. No clock, disk or memory of words is in that: messages
// may be late, lost, doubled and out of order, and processes may start anew.
package drainpermit
