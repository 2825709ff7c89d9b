// Package toll holds tenants to their quotas over all gateways together.
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
// # What it keeps to
//
// With 11 gateways, rate = burst = 129 a second, 600 a second offered unevenly and
// 1-2 ms links, at most 780 pass in any 5 s (the bound of (rate*5+burst)*1.1+20 is
// 871; GCRA at one place passes 774): with a holder killed, frozen or cut off, a
// gateway cut off, frozen or restarted, fewer and more gateways. With 5 of 100
// messages lost and others late, up to 825. Cut in two (6 and 5), up to 870 while
// it takes 3 s to tell; a slower membership would pass the bound. With 13 gateways,
// 900 offered and faults on end, 840. A tenant at 0.9 of its rate has less than 1 in
// 1,000 refused but where gateways are missing (below) or no holder answers.
//
// Unheard of are at most 50 ms and a way there and back, bounded by the lead. The
// floor of one unit for each gateway can't be shared further: where rate and burst
// are a few units and gateways many, up to one unit each comes on top at a start.
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
//   - The start allowance is a bucket of that size, not a grant with each start.
//   - Silence is 200 ms without an answer of either holder. A gateway that is a holder
//     itself needs signs of life of the other, or of other gateways.
//   - Missing gateways may be cut off and pass their even share. For a minute shares
//     are made for the most gateways there were, what is missing beyond 1/16 is
//     reserved, and in a part with half of the gateways or fewer all have their even
//     share. This costs a tenant near its limit where gateways are really gone.
//   - A gateway without a tick for 400 ms was frozen: its tenants are unseen. So is one
//     so deep in debt (two bursts and a second) that it must have been misread.
//   - A change of limit leaves the room there was, at most the new burst.
//
// Periods last 20 s by the holder's clock; their numbers only grow, and each belongs
// to the holder that issued it, so that a holder that takes over starts a new name
// at nothing, and sums of two holders are never measured against one another.
package toll
