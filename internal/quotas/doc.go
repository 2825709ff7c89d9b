// Package quotas holds tenants to their quotas over all gateways together.
//
// A Meter stands at each gateway and decides by one TAT per tenant (GCRA), as
// SYSTEM.md has it: test, update, others' units pushed in as they are read. A
// Counter stands in every process and acts where gateways name it as a holder: it
// sums, under a name made of tenant and period, what each life of each gateway has
// passed. The first two addresses of the agreed order hold; a gateway reads the
// first that answers, and tells the other each second. A process's sends to itself
// come back to it like any other. entry.go has the arithmetic, meter.go decides,
// sync.go talks to holders, counter.go sums.
//
// pack.go codes what goes between those that have the same tenants; docs/design/quotas.md
// has what was weighed.
//
// sight.go knows who is out of touch, crowd.go which small tenants all must hear of, least.go
// how far others are, active.go which tenants a tick has to look at.
//
// # What it keeps to, in units
//
// In 5 s a tenant of rate R and burst B may pass 5R + B, and a margin of 0.1 (5R + B) + 20
// on top. A quarter of the margin goes to gateways that are out of touch and for which nothing
// is reserved (entry.bears); the rest bears what nobody has heard of yet: up to the
// lead at each gateway for 50 ms and a way there and back, and, where a cut comes with a
// crowd, what the other side passes in the 0.25 to 0.4 s until it is known.
//
// Measured, worst 5 s in parts of the bound: 11 gateways at rest 0.89 (GCRA at one place:
// the same), any single fault of a holder or gateway 0.89, 5% of messages lost 0.94, cut in
// halves 0.82 to 0.98, the last with ten times the rate from the very moment of the cut. 91
// gateways, 85 tenants of 13 to 129 a second, one fault after another: 0.93.
//
// Requests in quota are refused (tenants up to 0.85 of their rate):
//
//   - at rest where a second one comes to a gateway that hasn't read the tenant for B/R
//     seconds, before the first read is back (10 ms and a way there and back), and B is less
//     than the number of gateways: none at 11, 3 in 10,000 at 30, about 1 in 1,000 at 91
//     gateways that see 0.25 a second of each tenant;
//   - at a gateway out of touch what exceeds R/n a second and B/n at once, n gateways; on a
//     side of k of n what exceeds its part k/n of both, and what entry.bears adds on the larger
//     side; for up to 2 s after a cut, what may have been passed unknown;
//   - after a start until a holder has listened for 0.5 s: more than one unit, or B/n, at each.
//
// TestDrawn holds the first bound and 4 in 1,000 of the second, with one gateway after another
// cut off, frozen, killed or joining, hot tenants and clients that come back at once.
//
// # Where it goes beyond the design as written
//
//   - Lead: between reads a gateway passes 1 unit and 1.2 times its part of the room
//     (its part of the recent units, its even share at least). As written, eleven
//     gateways that open at the same moment would pass a burst each.
//   - Level: the holder drains what it counts at the tenant's rate, and the first read
//     of an unseen tenant sets TAT by it. So an idle tenant's burst doesn't wait for
//     its start allowance to fill, and none counts twice. A holder that is new or was
//     frozen says for listenGap that it doesn't know; until then, and while unseen, a gateway
//     has a bucket of burst/gateways that fills at rate/gateways.
//   - Lumps: a later read lowers TAT to the level too. As written, TAT is raised to now by an
//     own pass and then by all that others passed since the last read, whose room is forgotten:
//     a gateway that sees one request of a tenant a second is in debt though nobody else is.
//   - Sight: the two holders ask each other for signs of life, and all silent gateways
//     where that one is silent or a tenant is near its limit. Answers say how many are
//     out of sight, so that both sides of a cut keep to their parts within 0.4 s. Members are told
//     after 1.3 s and more: in halves each side would pass the whole rate until then.
//   - Crowds: a tenant with a burst of less than two units for each gateway, near its limit, is told
//     of to all gateways that read anything. As written 91 of them pass a unit each at a start.
//   - The start allowance is a bucket of that size, not a grant with each start.
//   - Silence is 200 ms without an answer of either holder. A gateway that is a holder
//     itself needs signs of life of the other, or of other gateways.
//   - Missing gateways may be cut off and pass their even share. For a minute shares
//     are made for the most gateways there were, and what is missing beyond entry.bears is
//     reserved, of the rate and of the burst, but for one unit; a refusal's time to come back
//     reckons with it. This costs a tenant near its limit where gateways are
//     really gone. It can't be less: a killed process has no TATs and passes nothing, a frozen one
//     begins with its start allowance, but one that is cut off goes on by R/n, and looks the same
//     from here. Connections that were closed or refused would prove a death only where no proxy
//     stands between. A minority's shares that shrink with time were not taken: clients reach a
//     gateway that is cut off as before.
//   - Far holders: gaps that wait for an answer (a fresh one, a repetition, silence, a sign of
//     life) reckon with the least way there and back that was measured lately to that process,
//     up to 250 ms, and are as they were where it is within the gap (least.go). What a far
//     holder says is so old that others' units of that time, at the tenant's whole rate, are
//     added to the level. A tenant that has only rested passes 1 unit and its even share of
//     the burst before the first read is back (entry.rest).
//   - Levels as a floor: TAT is at least what the holder that answers says is in use. As written it
//     goes by what others have added since the last read, which may have been another holder's.
//   - A gateway without a tick for 400 ms was frozen: its tenants are unseen. So is one
//     so deep in debt (two bursts and a second) that it must have been misread.
//   - A change of limit leaves the room there was, at most the new burst.
//
// Periods last 20 s by the holder's clock; their numbers only grow, and each belongs
// to the holder that issued it, so that a holder that takes over starts a new name
// at nothing, and sums of two holders are never measured against one another. A name
// that a gateway was only told of, and never read, is not measured.
package quotas
