package pact

import (
	"encoding/binary"
	"math/rand/v2"
	"reflect"
	"slices"
	locks "sync"
	"time"

	"asterwell/internal/plane"
)

// coder writes a value so that states which can have the same consequences read the same:
// times as they lie from now, numbers of writes as they lie from the last one synced. It
// goes over all fields there are, so that a new one cannot be forgotten.
type coder struct {
	b       []byte
	now     plane.Time
	written uint64
}

// oldest is the age from which on no time matters any more.
const oldest = 2 * vacant

var (
	timeType = reflect.TypeFor[time.Duration]()
	leftOut  = []reflect.Type{reflect.TypeFor[Config](), reflect.TypeFor[*rand.Rand](), reflect.TypeFor[Out](), reflect.TypeFor[Bug](),
		reflect.TypeFor[readers]()}
	writeNums = []string{"seq", "Seq", "written", "active"}
)

func (c *coder) num(x uint64) { c.b = binary.AppendUvarint(c.b, x) }

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
		case slices.Contains(writeNums, f.Name):
			all[i] = writeNum
		case slices.Contains(leftOut, f.Type):
			all[i] = noField
		}
	}
	fields.Store(t, all)
	return all
}

func (c *coder) value(v reflect.Value) {
	if !slices.Contains(leftOut, v.Type()) {
		c.plain(v)
	}
}

func (c *coder) plain(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		c.num(map[bool]uint64{true: 1}[v.Bool()])
	case reflect.Int64, reflect.Int:
		if v.Type() != timeType {
			c.num(uint64(v.Int()))
		} else if at := plane.Time(v.Int()); at == 0 {
			c.num(0)
		} else {
			c.num(uint64(min(c.now-at, oldest)+2*oldest) + 1)
		}
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		c.num(v.Uint())
	case reflect.String:
		c.num(uint64(v.Len()))
		c.b = append(c.b, v.String()...)
	case reflect.Slice:
		c.num(uint64(v.Len()))
		if !slices.Contains(leftOut, v.Type().Elem()) {
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

func (c *cell) code(b []byte) []byte {
	w := coder{b: append(append(b, c.m.c.Self...), 0), now: c.m.now, written: c.m.written}
	w.value(reflect.ValueOf(c).Elem())
	return w.b
}

func code(msg any, b []byte) []byte {
	w := coder{b: append(append(b, reflect.TypeOf(msg).Name()...), 0)}
	w.value(reflect.ValueOf(msg))
	return w.b
}
