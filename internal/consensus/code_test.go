package consensus

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"reflect"
	"slices"
	locks "sync"
	"testing"

	"asterwell/internal/fsm"
)

// reflectEncoder uses reflection on each field of each value. The encode functions are compared
// with it.
type reflectEncoder struct {
	buf     []byte
	now     fsm.Time
	written uint64
}

func (c *reflectEncoder) uvarint(x uint64) { c.buf = binary.AppendUvarint(c.buf, x) }

// fieldEncoding is how a field of a struct is encoded.
type fieldEncoding uint8

const (
	encodePlain fieldEncoding = iota
	encodeNothing
	encodeWriteNumber
)

// fieldEncodings caches the encodings of each struct type, as random walks encode millions of
// values.
var fieldEncodings locks.Map

func fieldEncodingsOf(t reflect.Type) []fieldEncoding {
	if all, ok := fieldEncodings.Load(t); ok {
		return all.([]fieldEncoding)
	}
	all := make([]fieldEncoding, t.NumField())
	for i := range all {
		switch f := t.Field(i); {
		case slices.Contains(writeNumberFields, f.Name):
			all[i] = encodeWriteNumber
		case slices.Contains(skippedTypes, f.Type):
			all[i] = encodeNothing
		}
	}
	fieldEncodings.Store(t, all)
	return all
}

func (c *reflectEncoder) value(v reflect.Value) {
	if !slices.Contains(skippedTypes, v.Type()) {
		c.plain(v)
	}
}

func (c *reflectEncoder) plain(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		c.uvarint(map[bool]uint64{true: 1}[v.Bool()])
	case reflect.Int64, reflect.Int:
		if v.Type() != timeType {
			c.uvarint(uint64(v.Int()))
		} else if at := fsm.Time(v.Int()); at == 0 {
			c.uvarint(0)
		} else {
			c.uvarint(uint64(min(c.now-at, maxEncodedAge)+2*maxEncodedAge) + 1)
		}
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		c.uvarint(v.Uint())
	case reflect.String:
		c.uvarint(uint64(v.Len()))
		c.buf = append(c.buf, v.String()...)
	case reflect.Slice:
		c.uvarint(uint64(v.Len()))
		if !slices.Contains(skippedTypes, v.Type().Elem()) {
			for i := range v.Len() {
				c.plain(v.Index(i))
			}
		}
	case reflect.Map:
		c.uvarint(uint64(v.Len()))
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int {
			if a.String() < b.String() {
				return -1
			}
			return 1
		})
		for _, k := range keys {
			c.value(k)
			c.value(v.MapIndex(k))
		}
	case reflect.Pointer:
		if v.IsNil() {
			c.uvarint(0)
			return
		}
		c.uvarint(1)
		c.value(v.Elem())
	case reflect.Interface:
		c.value(reflect.ValueOf(v.Elem().Type().Name()))
		c.value(v.Elem())
	case reflect.Struct:
		for i, how := range fieldEncodingsOf(v.Type()) {
			switch how {
			case encodeNothing:
			case encodeWriteNumber:
				n := v.Field(i).Uint()
				if n > 0 {
					n = n - c.written + 1
				}
				c.uvarint(n)
			default:
				c.plain(v.Field(i))
			}
		}
	default:
		panic(v.Type()) // a bug: no field had this kind so far
	}
}

// TestEncodeFuncs checks that the encode functions write each state and message of random walks
// exactly as reflection reads them.
func TestEncodeFuncs(t *testing.T) {
	cells, messages := 0, 0
	for _, b := range []ModelBounds{
		{Puts: 3, Reads: 2, LostMessages: 3, LateMessages: 2, DuplicatedMessages: 2, Crashes: 2, DiskWipes: 1,
			ShortWaits: 6, LongWaits: 3, DiskCopies: 1, DiskRollbacks: 1},
		{Puts: 2, SameVersion: true, LostMessages: 2, LateMessages: 1, Crashes: 1, ShortWaits: 6, LongWaits: 3,
			Leaves: 2, Learner: true},
	} {
		x := newExplorer(b)
		begin := x.initialState()
		for seed := uint64(1); seed <= 30; seed++ {
			w := &randomWalk{explorer: x, state: begin.clone(), rng: rand.New(rand.NewPCG(seed, 7))}
			w.run(160)
		}
		for _, c := range x.nodes {
			slow := reflectEncoder{buf: append([]byte(c.machine.config.Self), 0), now: c.machine.now,
				written: c.machine.written}
			slow.value(reflect.ValueOf(c).Elem())
			if got := c.encode(nil); !bytes.Equal(got, slow.buf) {
				t.Fatalf("a state is encoded as\n%x, want\n%x", got, slow.buf)
			}
		}
		for _, msg := range x.messages {
			slow := reflectEncoder{buf: append([]byte(reflect.TypeOf(msg).Name()), 0)}
			slow.value(reflect.ValueOf(msg))
			if got := encodeMessage(msg, nil); !bytes.Equal(got, slow.buf) {
				t.Fatalf("%T is encoded as\n%x, want\n%x", msg, got, slow.buf)
			}
		}
		cells, messages = cells+len(x.nodes), messages+len(x.messages)
	}
	if t.Logf("%d states, %d messages", cells, messages); cells < 3000 || messages < 500 {
		t.Error("too few states and messages were compared")
	}
}
