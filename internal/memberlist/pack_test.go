package memberlist

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

// TestPack checks that unpacking returns what was packed, and that truncated or damaged data gives
// some nodes or an error, and no panic.
func TestPack(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var all []packedNode
		for i := range r.IntN(6) {
			n := fleetNode(r.IntN(490))
			n.Incarnation, n.Seq, n.ConfigVersion, n.State, n.Encoding = r.Uint64()>>r.IntN(64), r.Uint64()>>r.IntN(64), r.Uint32()>>r.IntN(32), State(r.IntN(3)), uint8(r.IntN(2))
			n.Member, n.Ready = r.IntN(2) == 0, r.IntN(2) == 0
			if i == 3 {
				n.Control, n.Zone, n.Name = "", "", "aaaa"
			}
			all = append(all, packedNode{n, false})
		}
		b := pack(all)
		if got, err := unpack(b); err != nil || !reflect.DeepEqual(got, all) {
			t.Fatalf("%v\n%v\n%v", err, got, all)
		}
		for i := range all {
			all[i].brief = true
		}
		got, err := unpack(pack(all))
		if err != nil || len(got) != len(all) {
			t.Fatal(err)
		}
		for i, n := range got {
			if o := all[i]; !n.brief || n.Addr != o.Addr || n.Incarnation != o.Incarnation || n.Seq != o.Seq || n.ConfigVersion != o.ConfigVersion || n.State != o.State || n.Ready != o.Ready {
				t.Fatalf("%v\n%v", n, o)
			}
		}
		for i := range b {
			unpack(b[:i])
			b[i] ^= byte(1 + r.IntN(255))
			unpack(b)
		}
	}
}
