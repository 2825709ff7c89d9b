// Package consensus replicates one document, the operator's configuration, on the disks of the
// members and distributes it to all processes.
//
// A cluster has members, each a process with a disk. In each epoch one of them is the primary, and
// as many backups as machine losses are tolerated store the document with it; these are the
// writers. The other members are witnesses: all members store the epoch's record with its ballot,
// members and writers. Acknowledged requests are never lost, for these reasons:
//
//  1. A document is committed once all writers of an active epoch have synced it. A writer accepts
//     it only under the highest ballot that it has promised, and only in the epoch in which its
//     state was last installed.
//
//  2. A candidate needs promises from a majority of the newest membership that it meets. An epoch
//     is active once a majority has recorded it. So a possible successor either meets the newest
//     active record, or has prevented it from becoming active: the members that promised will not
//     record it any more.
//
//  3. A candidate also needs the state of one writer of that record. As that writer has promised,
//     the old epoch can commit nothing more, which needs all writers, and all that it committed is
//     in the writer's state. A state that a later candidate installed before it failed was made in
//     the same way, and includes this as well.
//
//  4. A candidate installs the state at its own writers before any member records the epoch, so
//     who meets the record finds the state there. It answers calls only after the record is
//     active.
//
//  5. For a read, all writers are asked after the call arrived whether the epoch is still valid. A
//     successor would have had a promise from one of them.
//
//  6. A member is an address with a disk ID, which is drawn when the disk is empty and synced
//     before it is sent. A process that lost its disk is no member, and nobody asks it. It becomes
//     one by a new epoch, which needs majorities of the old and the new membership, of the old one
//     without it. A candidate that finds an incomplete change of membership completes it and
//     changes nothing else; one that is not in the new membership leaves that to its members.
//
//  7. A candidate syncs a ballot before it sends it, and the ballot includes its disk ID. So none
//     is used twice.
//
//  8. A founding record counts when all members but the tolerated losses have stored it, so too
//     few are left to found the cluster again. No member accepts a second founding record, unless
//     that one is active, as then its own never was.
//
//  9. A disk that is restored to an older state has an ID that has vouched for more than the disk
//     holds. So each message by which a member vouches for its state carries a fencing token.
//     Members store the newest token of each other member, and promises carry them. The restored
//     member doesn't count where one of those who decide knows a newer token: see fence.go.
//
//  10. A Prepare names a disk ID. If the address answers with another one, the disk named is lost:
//     an address has its disk IDs one after the other, and the one named was drawn before the
//     request. All that are left of a membership can decide like its majority, if the lost members
//     were no majority: then each majority included one that is left. Such an epoch accepts no
//     document before it has enough writers.
//
//  11. A member that leaves may exit once a majority of the new membership has stored that an
//     epoch without it is active. Until then it vouches for its state. If it will be stopped soon
//     while another member is missing, the majority agrees on a membership without both.
//
//  12. Once the old membership has agreed to a record, the new one alone decides what follows: a
//     candidate that would bypass the record needs a promise of the old membership, and meets the
//     record there. Half of a membership of even size is enough to learn what it has decided, as
//     each majority includes one of that half. It is not enough to decide.
//
//  13. A ledger with version and digest of each accepted request is replicated with the document,
//     in appends, state transfers and promises. So a primary knows what any earlier one has
//     acknowledged. A request that was overtaken before it was accepted is added to the ledger
//     (LedgerRev) before it is answered. Processes that are no writers don't receive the ledger. A
//     document without it is distinguished from others of its version by the epoch that created
//     it.
//
//  14. A promise refers to the bodies that its sender holds by digest. The sender keeps them as
//     long as that ballot is its highest promise, unless a newer document is committed. A
//     candidate chooses the state by the digests and starts nothing before it has the bodies. If
//     it can't get one in time it gives up, and the promises for the next ballot come from those
//     that are present then.
//
// A member that hears a primary promises nothing to others, and a candidate asks for pre-votes
// before it asks for promises. So a process that is cut off in one direction disturbs nobody. A
// primary that gets no answers resigns.
//
// Files:
//
//   - record.go: epochs and majorities
//   - consensus.go: the state machine's inputs and outputs
//   - member.go: what a member accepts
//   - candidate.go: the steps of a candidate to a new epoch
//   - primary.go: the primary's work, and changes of the membership
//   - amend.go: what the user of a primary needs
//   - found.go: the first epoch, and joining processes
//   - client.go: operators' calls
//   - spread.go: the distribution to all processes
//   - leave.go: handover, leaving members, and proofs of lost disks
//   - lag.go: tolerance of slow disks
//   - fence.go: disks that were restored to an older state
//   - name.go: promises that refer to bodies by digest
//   - delta.go, pack.go: short forms of documents
//   - orders.go: the ledger of requests
//   - past.go: the history of epochs
//   - format.go: the format on disk
//
// The model checker uses the same code: explore.go visits all states of a small cluster
// (explorechecks.go has what is checked, explorestore.go how they are kept), resume.go
// checks that it makes progress from them, cell.go holds one machine, code.go finds out which
// states are equivalent, and walk.go runs random schedules of larger clusters.
package consensus
