package quotas

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Roster numbers the tenants with limits in a configuration, in the order of their names. Processes with
// the same roster, as its hash shows, send places in place of names and leave out the rates; configurations
// with the same limits have the same roster. It is immutable, so a process's meter and counter share one,
// which may be made in another goroutine.
type Roster struct {
	limits     map[string]Limit
	limitsHash uint64 // of all limits
	hash       uint32 // low 32 bits of limitsHash; never 0
	names      []string
	intervals  []uint64 // emission intervals in microseconds
	index      map[string]int
}

// NewRoster makes a roster. It keeps the map, which must not be changed afterwards.
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

// intervalOf returns the emission interval of a rate as messages encode it.
func intervalOf(rate float64) uint64 { return uint64(1e9 / rate / 1e3) }

// rosters are the newest one and the previous one, which messages under way may use.
type rosters [2]*Roster

// update sets the newest roster, and reports whether the limits differ.
func (r *rosters) update(next *Roster) bool {
	if r[0] != nil && r[0].limitsHash == next.limitsHash {
		return false
	}
	r[0], r[1] = next, r[0]
	return true
}

// newestHash is the hash of the newest roster; 0: there is none.
func (r *rosters) newestHash() uint32 {
	if r[0] == nil {
		return 0
	}
	return r[0].hash
}

// byHash returns the roster with a hash, or nil.
func (r *rosters) byHash(hash uint32) *Roster {
	for _, one := range r {
		if hash != 0 && one != nil && one.hash == hash {
			return one
		}
	}
	return nil
}

// Flags of a packed item or total. They follow its place, which is encoded as the difference to the place
// before.
const (
	packWhole  = 1 << iota // sums are in whole units
	packPeriod             // a period of its own follows
	packNearLimit
	packInterval      // an interval other than the roster's follows
	packUsed          // the units in use follow
	packUnreported    // the unreported units follow,
	packOneUnreported // or are one unit; without either flag they are the whole sum
	packBackward      // the difference of the places is negative
)

const (
	packLevelKnown = packNearLimit // flags of totals
	packLevel      = packUsed
	packMine       = packUnreported
)

// Levels on the wire are in eighths of a unit, rounded up.
const levelUnit = milliUnits / 8

// levelRounding is by how many units a level may have been rounded up.
const levelRounding = 1.0 / 8

// place is a tenant's place in the newest roster.
func (r *rosters) place(tenant string) (i int, ok bool) {
	if r[0] == nil {
		return 0, false
	}
	i, ok = r[0].index[tenant]
	return i, ok
}

// placeOf is a tenant's place, which is probably the k-th of these: a look-up in the map costs far more.
func (r *Roster) placeOf(tenant string, places []int32, k int) (i int, ok bool) {
	if k < len(places) {
		if i = int(places[k]); i < len(r.names) && r.names[i] == tenant {
			return i, true
		}
	}
	i, ok = r.index[tenant]
	return i, ok
}

// pack encodes the items of tenants in the roster, and returns the others. places has the probable places
// of the items' tenants.
func (r *Roster) pack(period uint64, items []Item, places []int32) (packed []byte, rest []Item) {
	last := 0
	for k, item := range items {
		i, ok := r.placeOf(item.Tenant, places, k)
		if !ok {
			rest = append(rest, item)
			continue
		}
		var flags byte
		unit := uint64(1)
		if item.Sum%milliUnits == 0 && item.Unreported%milliUnits == 0 {
			flags, unit = packWhole, milliUnits
		}
		if item.Period != period {
			flags |= packPeriod
		}
		if item.NearLimit {
			flags |= packNearLimit
		}
		if item.Interval != r.intervals[i] {
			flags |= packInterval
		}
		used := (max(item.Used, 1) - 1) / milliUnits // rounding down is safe, as this only raises a level
		if used > 0 {
			flags |= packUsed
		}
		switch item.Unreported {
		case item.Sum:
		case milliUnits:
			flags |= packOneUnreported
		default:
			flags |= packUnreported
		}
		packed = r.next(packed, &last, i, flags)
		if flags&packPeriod != 0 {
			packed = binary.AppendUvarint(packed, item.Period)
		}
		packed = binary.AppendUvarint(packed, item.Sum/unit)
		if flags&packUnreported != 0 {
			packed = binary.AppendUvarint(packed, item.Unreported/unit)
		}
		if flags&packInterval != 0 {
			packed = binary.AppendUvarint(packed, item.Interval)
		}
		if flags&packUsed != 0 {
			packed = binary.AppendUvarint(packed, used)
		}
	}
	return packed, rest
}

// next appends a place and flags.
func (r *Roster) next(packed []byte, last *int, i int, flags byte) []byte {
	step := i - *last
	if *last = i; step < 0 {
		step, flags = -step, flags|packBackward
	}
	return append(binary.AppendUvarint(packed, uint64(step)), flags)
}

// unpacker decodes packed data. After an error it stays invalid.
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

// next returns a place in the roster and flags.
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

// unit is the resolution of sums by the flags.
func unit(flags byte) uint64 {
	if flags&packWhole != 0 {
		return milliUnits
	}
	return 1
}

// items decodes what pack has encoded, with the place of each item.
func (r *Roster) items(period uint64, packed []byte) (out []Item, places []int32, ok bool) {
	if len(packed) > 0 {
		out, places = make([]Item, 0, len(packed)/3), make([]int32, 0, len(packed)/3)
	}
	for u := (unpacker{b: packed}); len(u.b) > 0 || u.invalid; {
		i, flags := u.next(r)
		if u.invalid {
			return nil, nil, false
		}
		item := Item{Tenant: r.names[i], Period: period, Interval: r.intervals[i], NearLimit: flags&packNearLimit != 0}
		if flags&packPeriod != 0 {
			item.Period = u.uvarint()
		}
		item.Sum = u.uvarint() * unit(flags)
		switch item.Unreported = item.Sum; {
		case flags&packOneUnreported != 0:
			item.Unreported = milliUnits
		case flags&packUnreported != 0:
			item.Unreported = u.uvarint() * unit(flags)
		}
		if flags&packInterval != 0 {
			item.Interval = u.uvarint()
		}
		if flags&packUsed != 0 {
			item.Used = u.uvarint()*milliUnits + 1
		}
		if u.invalid {
			return nil, nil, false
		}
		out, places = append(out, item), append(places, int32(i))
	}
	return out, places, true
}

// packTotals encodes the totals of tenants in the roster, and returns the others; places as in pack.
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
			flags |= packLevelKnown
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

// totals decodes what packTotals has encoded.
func (r *Roster) totals(period uint64, packed []byte) (out []Total, ok bool) {
	for u := (unpacker{b: packed}); len(u.b) > 0 || u.invalid; {
		i, flags := u.next(r)
		if u.invalid {
			return nil, false
		}
		t := Total{Tenant: r.names[i], Period: period, LevelKnown: flags&packLevelKnown != 0}
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
