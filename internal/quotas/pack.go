package quotas

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Roster numbers the tenants that have limits in a configuration, by their names in order.
// Who holds the same one can say numbers in place of names, and leave out the rates; its
// hash tells. Two configurations with the same limits have the same one. It never changes: a process's meter and
// its counter share one, which can be made beside them.
type Roster struct {
	limits     map[string]Limit
	limitsHash uint64 // of all limits
	hash       uint32 // never 0
	names      []string
	intervals  []uint64 // microseconds a unit
	index      map[string]int
}

// NewRoster keeps the limits, which must not change any more.
func NewRoster(limits map[string]Limit) *Roster {
	r := &Roster{limits: limits, index: make(map[string]int, len(limits)), names: make([]string, 0, len(limits))}
	for tenant, l := range limits {
		if l.Rate > 0 {
			r.names = append(r.names, tenant)
		}
	}
	slices.Sort(r.names)
	sum := xxhash.New()
	var b []byte
	for i, tenant := range r.names {
		l := limits[tenant]
		r.index[tenant], r.intervals = i, append(r.intervals, intervalOf(l.Rate))
		b = binary.AppendUvarint(b[:0], uint64(len(tenant)))
		b = append(b, tenant...)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(l.Rate))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(l.Burst))
		sum.Write(b)
	}
	r.limitsHash = sum.Sum64()
	r.hash = max(1, uint32(r.limitsHash))
	return r
}

// intervalOf is a rate as messages say it.
func intervalOf(rate float64) uint64 { return uint64(1e9 / rate / 1e3) }

// rosters are the newest and the one before: messages of it may be under way.
type rosters [2]*Roster

// update takes in a configuration's, and says whether it is another one.
func (r *rosters) update(next *Roster) bool {
	if r[0] != nil && r[0].limitsHash == next.limitsHash {
		return false
	}
	r[0], r[1] = next, r[0]
	return true
}

// newestHash is the hash of the newest.
func (r *rosters) newestHash() uint32 {
	if r[0] == nil {
		return 0
	}
	return r[0].hash
}

// byHash is the roster with a hash, if it is known here.
func (r *rosters) byHash(hash uint32) *Roster {
	for _, one := range r {
		if hash != 0 && one != nil && one.hash == hash {
			return one
		}
	}
	return nil
}

// What a packed item or total starts with, after its number (the difference to the one before).
const (
	packWhole  = 1 << iota // sums are whole units
	packPeriod             // it has a period of its own, which follows
	packNear
	packGap      // another gap than the roster's follows
	packUsed     // units in use follow
	packFresh    // what is fresh follows,
	packOne      // or is one unit; without either it is the sum
	packBackward // it is before the one before
)

const (
	packSure  = packNear // in totals
	packLevel = packUsed
	packMine  = packFresh
)

// levels on the wire are eighths of units, rounded up.
const levelUnit = milliUnits / 8

// levelRounding is by how many units a level may have been rounded up.
const levelRounding = 1.0 / 8

// place is a tenant's in the newest roster.
func (r *rosters) place(tenant string) (i int, ok bool) {
	if r[0] == nil {
		return 0, false
	}
	i, ok = r[0].index[tenant]
	return i, ok
}

// placeOf is a tenant's place, which is probably the k-th of these: to ask the map costs far more.
func (r *Roster) placeOf(tenant string, places []int32, k int) (i int, ok bool) {
	if k < len(places) {
		if i = int(places[k]); i < len(r.names) && r.names[i] == tenant {
			return i, true
		}
	}
	i, ok = r.index[tenant]
	return i, ok
}

// pack codes the items of tenants in the roster, and returns those of others. Places are where the items'
// tenants probably are in it.
func (r *Roster) pack(period uint64, items []Item, places []int32) (packed []byte, rest []Item) {
	last := 0
	for k, it := range items {
		i, ok := r.placeOf(it.Tenant, places, k)
		if !ok {
			rest = append(rest, it)
			continue
		}
		var flags byte
		unit := uint64(1)
		if it.Sum%milliUnits == 0 && it.Unreported%milliUnits == 0 {
			flags, unit = packWhole, milliUnits
		}
		if it.Period != period {
			flags |= packPeriod
		}
		if it.NearLimit {
			flags |= packNear
		}
		if it.Interval != r.intervals[i] {
			flags |= packGap
		}
		used := (max(it.Used, 1) - 1) / milliUnits // it only lifts a level, so that less is no harm
		if used > 0 {
			flags |= packUsed
		}
		switch it.Unreported {
		case it.Sum:
		case milliUnits:
			flags |= packOne
		default:
			flags |= packFresh
		}
		packed = r.next(packed, &last, i, flags)
		if flags&packPeriod != 0 {
			packed = binary.AppendUvarint(packed, it.Period)
		}
		packed = binary.AppendUvarint(packed, it.Sum/unit)
		if flags&packFresh != 0 {
			packed = binary.AppendUvarint(packed, it.Unreported/unit)
		}
		if flags&packGap != 0 {
			packed = binary.AppendUvarint(packed, it.Interval)
		}
		if flags&packUsed != 0 {
			packed = binary.AppendUvarint(packed, used)
		}
	}
	return packed, rest
}

// next writes a number and flags.
func (r *Roster) next(packed []byte, last *int, i int, flags byte) []byte {
	step := i - *last
	if *last = i; step < 0 {
		step, flags = -step, flags|packBackward
	}
	return append(binary.AppendUvarint(packed, uint64(step)), flags)
}

// unpacker reads what was packed; once it is spoilt it stays so.
type unpacker struct {
	b       []byte
	last    int
	invalid bool
}

func (u *unpacker) uvarint() uint64 {
	v, n := binary.Uvarint(u.b)
	if n <= 0 {
		u.b, u.invalid = nil, true
		return 0
	}
	u.b = u.b[n:]
	return v
}

// next is a number in the roster, and flags.
func (u *unpacker) next(r *Roster) (i int, flags byte) {
	step := u.uvarint()
	if len(u.b) == 0 || step > uint64(len(r.names)) {
		u.b, u.invalid = nil, true
		return 0, 0
	}
	flags, u.b = u.b[0], u.b[1:]
	if flags&packBackward != 0 {
		u.last -= int(step)
	} else {
		u.last += int(step)
	}
	if u.last < 0 || u.last >= len(r.names) {
		u.b, u.invalid = nil, true
		return 0, 0
	}
	return u.last, flags
}

// unit is the grain of sums by the flags.
func unit(flags byte) uint64 {
	if flags&packWhole != 0 {
		return milliUnits
	}
	return 1
}

// items reads what pack has written, with each one's place in the roster.
func (r *Roster) items(period uint64, packed []byte) (out []Item, places []int32, ok bool) {
	if len(packed) > 0 {
		out, places = make([]Item, 0, len(packed)/3), make([]int32, 0, len(packed)/3)
	}
	for u := (unpacker{b: packed}); len(u.b) > 0 || u.invalid; {
		i, flags := u.next(r)
		if u.invalid {
			return nil, nil, false
		}
		it := Item{Tenant: r.names[i], Period: period, Interval: r.intervals[i], NearLimit: flags&packNear != 0}
		if flags&packPeriod != 0 {
			it.Period = u.uvarint()
		}
		it.Sum = u.uvarint() * unit(flags)
		switch it.Unreported = it.Sum; {
		case flags&packOne != 0:
			it.Unreported = milliUnits
		case flags&packFresh != 0:
			it.Unreported = u.uvarint() * unit(flags)
		}
		if flags&packGap != 0 {
			it.Interval = u.uvarint()
		}
		if flags&packUsed != 0 {
			it.Used = u.uvarint()*milliUnits + 1
		}
		if u.invalid {
			return nil, nil, false
		}
		out, places = append(out, it), append(places, int32(i))
	}
	return out, places, true
}

// packTotals codes the totals of tenants in the roster, and returns those of others; places as in pack.
func (r *Roster) packTotals(period uint64, totals []Total, places []int32) (packed []byte, rest []Total) {
	last := 0
	if len(totals) > 0 {
		packed = make([]byte, 0, 6*len(totals))
	}
	for k, t := range totals {
		i, ok := r.placeOf(t.Tenant, places, k)
		if !ok {
			rest = append(rest, t)
			continue
		}
		var flags byte
		unit := uint64(1)
		if t.Others%milliUnits == 0 && t.Own%milliUnits == 0 {
			flags, unit = packWhole, milliUnits
		}
		if t.Period != period {
			flags |= packPeriod
		}
		if t.LevelKnown {
			flags |= packSure
		}
		if t.Level > 0 {
			flags |= packLevel
		}
		if t.Own > 0 {
			flags |= packMine
		}
		packed = r.next(packed, &last, i, flags)
		if flags&packPeriod != 0 {
			packed = binary.AppendUvarint(packed, t.Period)
		}
		packed = binary.AppendUvarint(packed, t.Others/unit)
		if flags&packMine != 0 {
			packed = binary.AppendUvarint(packed, t.Own/unit)
		}
		if flags&packLevel != 0 {
			packed = binary.AppendUvarint(packed, (t.Level+levelUnit-1)/levelUnit)
		}
	}
	return packed, rest
}

// totals reads what packTotals has written.
func (r *Roster) totals(period uint64, packed []byte) (out []Total, ok bool) {
	for u := (unpacker{b: packed}); len(u.b) > 0 || u.invalid; {
		i, flags := u.next(r)
		if u.invalid {
			return nil, false
		}
		t := Total{Tenant: r.names[i], Period: period, LevelKnown: flags&packSure != 0}
		if flags&packPeriod != 0 {
			t.Period = u.uvarint()
		}
		t.Others = u.uvarint() * unit(flags)
		if flags&packMine != 0 {
			t.Own = u.uvarint() * unit(flags)
		}
		if flags&packLevel != 0 {
			t.Level = u.uvarint() * levelUnit
		}
		if u.invalid {
			return nil, false
		}
		out = append(out, t)
	}
	return out, true
}
