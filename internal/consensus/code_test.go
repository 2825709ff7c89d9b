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

// slowCoder asks reflection for each field of each value: what scribes are held against.
type slowCoder struct {
	b       []byte
	now     fsm.Time
	written uint64
}

func (c *slowCoder) num(x uint64) { c.b = binary.AppendUvarint(c.b, x) }

// field says how one of a struct is written.
type field uint8

const (
	plainField field = iota
	noField
	writeNum
)

// fields is that of each struct's type: a walk writes millions.
var fields locks.Map

func fieldsOf(t reflect.Type) []field {
	if all, ok := fields.Load(t); ok {
		return all.([]field)
	}
	all := make([]field, t.NumField())
	for i := range all {
		switch f := t.Field(i); {
		case slices.Contains(writeNumberFields, f.Name):
			all[i] = writeNum
		case slices.Contains(skippedTypes, f.Type):
			all[i] = noField
		}
	}
	fields.Store(t, all)
	return all
}

func (c *slowCoder) value(v reflect.Value) {
	if !slices.Contains(skippedTypes, v.Type()) {
		c.plain(v)
	}
}

func (c *slowCoder) plain(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		c.num(map[bool]uint64{true: 1}[v.Bool()])
	case reflect.Int64, reflect.Int:
		if v.Type() != timeType {
			c.num(uint64(v.Int()))
		} else if at := fsm.Time(v.Int()); at == 0 {
			c.num(0)
		} else {
			c.num(uint64(min(c.now-at, maxEncodedAge)+2*maxEncodedAge) + 1)
		}
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		c.num(v.Uint())
	case reflect.String:
		c.num(uint64(v.Len()))
		c.b = append(c.b, v.String()...)
	case reflect.Slice:
		c.num(uint64(v.Len()))
		if !slices.Contains(skippedTypes, v.Type().Elem()) {
			for i := range v.Len() {
				c.plain(v.Index(i))
			}
		}
	case reflect.Map:
		c.num(uint64(v.Len()))
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
			c.num(0)
			return
		}
		c.num(1)
		c.value(v.Elem())
	case reflect.Interface:
		c.value(reflect.ValueOf(v.Elem().Type().Name()))
		c.value(v.Elem())
	case reflect.Struct:
		for i, how := range fieldsOf(v.Type()) {
			switch how {
			case noField:
			case writeNum:
				n := v.Field(i).Uint()
				if n > 0 {
					n = n - c.written + 1
				}
				c.num(n)
			default:
				c.plain(v.Field(i))
			}
		}
	default:
		panic(v.Type()) // a bug: a kind that no field had
	}
}

// TestScribes: scribes write each state and message of drawn schedules as reflection reads it, byte by byte.
func TestScribes(t *testing.T) {
	cells, messages := 0, 0
	for _, b := range []ModelBounds{
		{Puts: 3, Reads: 2, LostMessages: 3, LateMessages: 2, DuplicatedMessages: 2, Crashes: 2, DiskWipes: 1, ShortWaits: 6, LongWaits: 3, DiskCopies: 1, DiskRollbacks: 1},
		{Puts: 2, SameVersion: true, LostMessages: 2, LateMessages: 1, Crashes: 1, ShortWaits: 6, LongWaits: 3, Leaves: 2, Learner: true},
	} {
		x := newExplorer(b)
		begin := x.initialState()
		for seed := uint64(1); seed <= 30; seed++ {
			w := &randomWalk{explorer: x, state: begin.clone(), rng: rand.New(rand.NewPCG(seed, 7))}
			w.run(160)
		}
		for _, c := range x.nodes {
			slow := slowCoder{b: append([]byte(c.machine.config.Self), 0), now: c.machine.now, written: c.machine.written}
			slow.value(reflect.ValueOf(c).Elem())
			if got := c.encode(nil); !bytes.Equal(got, slow.b) {
				t.Fatalf("a state is written\n%x, not\n%x", got, slow.b)
			}
		}
		for _, msg := range x.messages {
			slow := slowCoder{b: append([]byte(reflect.TypeOf(msg).Name()), 0)}
			slow.value(reflect.ValueOf(msg))
			if got := encodeMessage(msg, nil); !bytes.Equal(got, slow.b) {
				t.Fatalf("%T is written\n%x, not\n%x", msg, got, slow.b)
			}
		}
		cells, messages = cells+len(x.nodes), messages+len(x.messages)
	}
	if t.Logf("%d states, %d messages", cells, messages); cells < 3000 || messages < 500 {
		t.Error("too few states and messages were met")
	}
}
