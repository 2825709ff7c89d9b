// Package quotas enforces the quotas of tenants over all gateways together.
//
// A Meter at each gateway decides by GCRA with one TAT per tenant: test the request, update TAT, and add
// the units of other gateways as they are read. A Counter runs in every process and is used where gateways
// name its process as a holder: for each tenant and period it sums what each incarnation of each gateway
// has passed. The first two addresses of the agreed order are the holders; a gateway reads the first one
// that answers, and reports to the other each second. Messages of a process to itself are delivered like
// any other. tenant.go has the arithmetic, meter.go decides, sync.go exchanges messages with the holders,
// counter.go sums.
//
// pack.go and compact.go encode messages between processes with the same tenants; docs/design/quotas.md
// compares the alternatives.
//
// detector.go tracks which gateways are missing, scarce.go the small tenants that all gateways must learn
// of, roundtrip.go the distance to other processes, active.go the tenants that a tick has to visit, and
// batch.go bounds the size of adds.
//
// # Guarantees, in units
//
// In 5 s a tenant of rate R and burst B may pass 5R + B, and a margin of 0.1 (5R + B) + 20 on top. A quarter
// of the margin is for unreachable gateways for which nothing is reserved (tenantState.toleratedPart). The
// rest covers units that have not been reported yet: up to maxUnacked at each gateway for 50 ms and a round
// trip, and, when a partition coincides with a surge, what the other side passes in the 0.25 to 0.4 s until
// it is detected.
//
// Measured worst 5 s, as parts of the bound: 11 gateways without faults 0.89 (as for GCRA at one place), any
// single fault of a holder or gateway 0.89, 5% of messages lost 0.94, partitions into halves 0.82 to 0.98,
// the last with ten times the rate from the very moment of the partition. 91 gateways, 85 tenants of 13 to
// 129 a second, one fault after another: 0.93.
//
// Requests of tenants within their quotas (up to 0.85 of the rate) are refused:
//
//   - without faults, when a second request comes to a gateway that hasn't read the tenant for B/R seconds,
//     before the first read is answered (10 ms and a round trip), and B is less than the number of gateways:
//     none at 11 gateways, 3 in 10,000 at 30, about 1 in 1,000 at 91 gateways that get 0.25 a second of each
//     tenant;
//   - with n gateways, at an unreachable gateway, what exceeds R/n a second and a burst of B/n; on a side of
//     a partition with k of n gateways, what exceeds the part k/n of both, and on the larger side
//     toleratedPart; for up to 2 s after a partition, what may have been passed before it was detected;
//   - after a start, until a holder has listened for 0.5 s: more than one unit, or B/n, at each gateway.
//
// TestDrawn checks the first bound, and 4 in 1,000 for the second, with one gateway after another
// partitioned, frozen, killed or joining, overloaded tenants and clients that retry at once.
//
// # Differences from the original design
//
//   - Unacknowledged units: between reads a gateway passes 1 unit and 1.2 times its part of the available
//     units (its part of the recent traffic, at least its even share). In the original design eleven
//     gateways that get requests at the same moment would pass a burst each.
//   - Level: the holder drains its count at the tenant's rate, and the first read of an unread tenant sets
//     TAT by this level. So an idle tenant's burst doesn't wait for its start allowance to fill, and none
//     counts twice. A holder that is new or was frozen doesn't know the level for listenTime; until then,
//     and while unread, a gateway has a bucket of burst/gateways that fills at rate/gateways.
//   - Delayed units of others: a later read also lowers TAT to the level. In the original design TAT is
//     raised to now by a gateway's own request, and then by all that others passed since the last read,
//     though room accrued in that time: a gateway that gets one request of a tenant a second would be in
//     debt although no other one is.
//   - Failure detection: the two holders probe each other, and all silent gateways if the other holder is
//     silent or a tenant is near its limit. Answers have the number of missing gateways, so both sides of
//     a partition keep to their parts within 0.4 s. Membership reports losses after 1.3 s or more: with
//     halves each side would pass the whole rate until then.
//   - Scarce tenants: all gateways that read anything are told of a tenant near its limit whose burst is
//     less than two units for each gateway. In the original design 91 of them pass a unit each at a start.
//   - The start allowance is a bucket of that size, not a grant with each start.
//   - Silence means 200 ms without an answer of either holder. A gateway whose process is a holder itself
//     needs messages of the other holder, or of other gateways.
//   - Missing gateways may be partitioned and pass their even share. For a minute quotas are shared among
//     the highest number of gateways there was, and what missing ones may pass beyond toleratedPart is
//     reserved, of the rate and of the burst but for one unit; the retry time of a refusal includes it.
//     This costs a tenant near its limit if the gateways have really failed. It can't be less: a killed
//     process has no TATs and passes nothing, and a frozen one resumes with its start allowance, but a
//     partitioned one goes on at R/n, and looks the same from here. A closed or refused connection would
//     prove that a process has ended only without a proxy in between. Shares of a minority that shrink with
//     time were rejected: clients still reach a partitioned gateway.
//   - Far holders: timeouts for answers (a fresh one, a repetition, silence, a probe) are extended by the
//     recent minimal round trip to that process, up to 250 ms, and unchanged if it is within the timeout
//     (roundtrip.go). The level of a far holder is so old that others' units of that time, at the tenant's
//     whole rate, are added to it. An idle tenant passes 1 unit and its even share of the burst before the
//     first read is answered (tenantState.grantIdleAllowance).
//   - Level as a lower bound: TAT is at least the level that the answering holder knows. In the original
//     design it only counts what others added since the last read, which may have been another holder's.
//   - A gateway without a tick for 400 ms was frozen: its tenants become unread. So does a tenant so deep
//     in debt (two bursts and a second) that its level must have been misread.
//   - A change of a limit keeps the available units, up to the new burst.
//
// Periods last 20 s by the holder's clock. Their numbers only increase, and each belongs to the holder that
// issued it: a holder that takes over starts a new period with sums of 0, and sums of two holders are never
// compared. A period that a gateway was only told of, and never read, is not compared either.
package quotas
