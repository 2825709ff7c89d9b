// Package consensus keeps one document, the operator's configuration, on the core machines'
// disks, and brings it to all processes.
//
// Of the members, a primary and as many backups as machines may be lost (the writers of an
// epoch) hold the document. All members hold the epoch's record: its ballot, set and writers.
// Why nothing that was answered is lost:
//
//  1. A document is committed once all writers of an active epoch have synced it. A writer takes
//     it only under the highest ballot it promised, and the epoch it was last given the state in.
//
//  2. A candidate needs promises of a majority of the newest set it meets. An epoch is active
//     when a majority has recorded it, so whoever could follow meets the newest active record,
//     or has shut it out for good: the members that promised will not record it any more.
//
//  3. It also needs the state of one writer of that record. That writer has promised, so the
//     old epoch's commits, which need all writers, have ended; those made are in its state. A
//     state stamped by a later candidate that failed was made in the same way, and holds them too.
//
//  4. It gives the state to its own writers before anybody records the epoch, thus whoever meets
//     the record finds the state there; and it answers only after the record is active.
//
//  5. A read asks all writers whether the epoch stands after the call came in: a successor would
//     have had a promise from one of them.
//
//  6. A memory is a seat: (address, life), where the life is drawn when a disk is empty and synced
//     before it is told. Who lost its disk holds no seat, and nobody asks it. It is given one
//     by a fresh epoch that needs majorities of both the sets, the one before without it. One
//     that finds a change of set half done completes it and changes nothing else; one that has
//     no seat in the set to come leaves that to those who have.
//
//  7. A ballot is synced by its candidate before it is sent, and names its life: none is used twice.
//
//  8. A founding counts when all but the losses hold it on disk, so too few are left to found
//     again, and none takes a second founding, except one in force when its own never was.
//
//  9. A disk that was put back to an older state has a life that has vouched for more than it
//     holds. Each message that a memory stands behind carries a fencing token; members keep the
//     newest of each seat on disk, and promises carry them, so that it does not count where one
//     of those who decide remembers: see fence.go.
//
//  10. That an address answers a Prepare, which names a life, with another life proves that memory
//     lost: lives follow one another there, and that one was drawn before the question. All that
//     are left of a set decide like its majority, if those lost are none by themselves: every
//     majority had one that is left. Such an epoch takes no document before it has enough writers.
//
//  11. Who leaves is let go once a majority of the new set has it on disk that an epoch without it is
//     in force. Until then it vouches for what it holds.
//     Who is ended soon while another one is missing has most of the set agree on one without both.
//
//  12. A record whose old set has agreed is settled: who would pass it by needs a promise of that set, and
//     meets it. So the new set alone decides what follows. To find out what a set has decided, half of
//     an even one is enough, since no majority is without them; to decide is not.
//
//  13. Beside the document goes the ledger of accepted orders, number and digest of each, through
//     appends, copies and promises; so a primary knows what any before it has acknowledged. An
//     order that was overtaken before it was accepted is put there (Notes) before it is answered.
//     Those who never write are not given the ledger: a document without it is told from others
//     of its version by the epoch that made it.
//
//  14. A promise names the texts that its member holds: it vouches that they are there, and under the ballot promised
//     it lets go of none but for a newer committed one. A candidate chooses by names, and begins nothing before it has
//     the texts chosen; one that it can't get by the end of its time makes it stand back, and the promises of the
//     next ballot are of those that are there then.
//
// A member that hears a primary promises nobody else, and candidates probe before they ask for
// promises; so who is cut off one way disturbs nobody. A primary that is not answered resigns.
//
// Files: record.go epochs and majorities; consensus.go the machine's shell; member.go what a member
// accepts; candidate.go the way to an epoch; primary.go serving and changing the set; found.go
// the first epoch and newcomers; client.go operators' calls; spread.go the way to all processes;
// leave.go seats handed over and given up, and proofs of loss; lag.go what is borne of a disk;
// fence.go disks that were put back to an older state; name.go texts that are named; orders.go which text a number has. For the proof of it: explore.go all states
// of a small core, resume.go from which it goes on, cell.go a machine in it, code.go which states
// are the same, walk.go drawn schedules of larger cores.
package consensus
