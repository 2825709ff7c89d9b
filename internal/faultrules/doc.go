// Package faultrules distributes operators' fault rules to every process and enforces their
// limits: one tenant, a share of its requests, one effect, a total budget of strikes, and an
// expiry. A strike is one application of a rule to one request.
//
// Rules are control state like the configuration, but cost nothing while there are none: a
// process without rules sends no messages, and neither does the primary. For that reason this
// isn't a second consensus.Machine (docs/design/faults.md compares the alternatives). It reuses
// the primary elected by consensus and its epochs, and keeps one record on the disks of the core
// members:
//
//  1. When rules first need a primary, the primary claims its term at the members. A majority
//     of members that remember a record (or all members, where none does) answers with its
//     state, and accepts no lower term from then on. The newest record continues in the new
//     term.
//  2. A change (a rule set, a stop, a part of a budget) is committed once a majority has synced
//     it, and is announced only then.
//  3. A set comes into force once every live process has confirmed it and no lease of the
//     previous set can be valid. Until then, and on any process without a lease, no rule strikes.
//  4. A lease is counted from when the process asked for it, and from when the primary last had
//     a majority's acknowledgement. So a stop is in force everywhere within LeaseFor of its
//     acknowledgement, whichever processes are partitioned or believe to be the primary.
//  5. Budgets are granted in parts, one strike for each waiting request. A part is committed to
//     the record, under the incarnation of the process that gets it, before it is granted. A
//     part that is lost with its process means fewer strikes, never more.
//  6. The remaining time of each rule is in the record, and each member counts it down from when
//     it received the record. A member restarted since can't; if no member can, the rules have
//     ended.
//
// Files: rule.go parses rule sets; judge.go matches requests against them; note.go records
// strikes; record.go is the replicated record; machine.go is the state machine's entry points,
// node.go the part of every process, member.go that of members with a disk, primary.go that of
// the primary, call.go operators' calls.
package faultrules
