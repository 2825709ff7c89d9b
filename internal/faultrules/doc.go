// Package faultrules brings operators' fault rules to every process and holds what they may do:
// one tenant, some of its requests, one effect, so many strikes in all, and an end.
//
// Rules are control state like the configuration, but weigh nothing while there are none:
// a process that holds no rules sends nothing, and neither does the primary. It isn't a
// second consensus.Machine for that reason (docs/design/faults.md weighs the ways); it borrows
// the primary that consensus has named, and its epochs, and keeps one record on the core's disks:
//
//  1. The first time that a primary is needed for rules, it claims its term at the members.
//     A majority that remembers (or all members, where nobody does) answers with what it
//     has, and takes nothing of lower terms any more. The newest record goes on in the term.
//  2. A change (a rule set, a stop, a part of a budget) holds once a majority has synced it;
//     only then is it told to anyone.
//  3. A set is in force once every live process has confirmed it, and no lease of the one
//     before can be running. Until then, and where a process has no lease, no rule strikes.
//  4. A lease counts from when the process asked for it, and from when the primary last had
//     a majority answer: so a stop is in force everywhere LeaseFor after it was
//     acknowledged, whoever is cut off and whoever thinks that it is the primary.
//  5. Budgets are handed out in parts, one for each strike that waits; a part is in the
//     record before it is handed out, under the life of the process that gets it. A part
//     that dies with its process is lost: fewer strikes, never more.
//  6. How long a rule has left is in the record, and each member counts on from when it took
//     the record. One that was started since can't: if nobody can, the rules have ended.
//
// Files: rule.go reads sets; judge.go is what requests are held against; record.go is what
// is kept; machine.go is the shell, node.go what any process does, member.go what those with
// a disk do, primary.go what the primary does, call.go operators' calls.
package faultrules
