package consensus

import (
	"encoding/binary"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	locks "sync"
	"time"
	"unsafe"

	"asterwell/internal/fsm"
)

// coder writes a value so that states which can have the same consequences read the same:
// times as they lie from now, numbers of writes as they lie from the last one synced. It
// goes over all fields there are, so that a new one cannot be forgotten. How a type is written is worked
// out once: a walk writes millions of states, and to ask reflection for each field of each took
// more than a quarter of the models' time.
type coder struct {
	b       []byte // of which the first n are written: to move its end for each number costs more than the number
	n       int
	now     fsm.Time
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

// coderOf writes behind what a buffer holds.
func coderOf(b []byte, name string) coder {
	b = append(append(b, name...), 0)
	n := len(b)
	return coder{b: b[:cap(b)], n: n}
}

func (c *coder) num(x uint64) {
	if len(c.b)-c.n < binary.MaxVarintLen64 {
		c.grow(binary.MaxVarintLen64)
	}
	for ; x >= 0x80; x >>= 7 {
		c.b[c.n] = byte(x) | 0x80
		c.n++
	}
	c.b[c.n] = byte(x)
	c.n++
}

func (c *coder) grow(by int) {
	next := make([]byte, 2*len(c.b)+by)
	copy(next, c.b[:c.n])
	c.b = next
}

func (c *coder) flag(is bool) {
	if is {
		c.num(1)
	} else {
		c.num(0)
	}
}

func (c *coder) text(s string) {
	c.num(uint64(len(s)))
	if len(c.b)-c.n < len(s) {
		c.grow(len(s))
	}
	c.n += copy(c.b[c.n:], s)
}

func (c *coder) time(at fsm.Time) {
	if at == 0 {
		c.num(0)
	} else {
		c.num(uint64(min(c.now-at, oldest)+2*oldest) + 1)
	}
}

// scribe writes the value that stands at an address, of the type it was made for.
type scribe func(c *coder, at unsafe.Pointer)

// scribes is that of each type.
var scribes locks.Map

// scribeOf writes nothing of types that are left out.
func scribeOf(t reflect.Type) scribe {
	if slices.Contains(leftOut, t) {
		return func(*coder, unsafe.Pointer) {}
	}
	return plainScribe(t)
}

func plainScribe(t reflect.Type) scribe {
	if s, ok := scribes.Load(t); ok {
		return s.(scribe)
	}
	s := newScribe(t)
	scribes.Store(t, s)
	return s
}

func newScribe(t reflect.Type) scribe {
	switch t.Kind() {
	case reflect.Bool:
		return func(c *coder, at unsafe.Pointer) { c.flag(*(*bool)(at)) }
	case reflect.Int64, reflect.Int: // of one size here
		if t == timeType {
			return func(c *coder, at unsafe.Pointer) { c.time(*(*fsm.Time)(at)) }
		}
		return func(c *coder, at unsafe.Pointer) { c.num(uint64(*(*int64)(at))) }
	case reflect.Uint8:
		return func(c *coder, at unsafe.Pointer) { c.num(uint64(*(*uint8)(at))) }
	case reflect.Uint32:
		return func(c *coder, at unsafe.Pointer) { c.num(uint64(*(*uint32)(at))) }
	case reflect.Uint64:
		return func(c *coder, at unsafe.Pointer) { c.num(*(*uint64)(at)) }
	case reflect.String:
		return func(c *coder, at unsafe.Pointer) { c.text(*(*string)(at)) }
	case reflect.Slice:
		return sliceScribe(t)
	case reflect.Map:
		return mapScribe(t)
	case reflect.Pointer:
		elem := locks.OnceValue(func() scribe { return scribeOf(t.Elem()) }) // it may point to its own kind
		return func(c *coder, at unsafe.Pointer) {
			to := *(*unsafe.Pointer)(at)
			if to == nil {
				c.num(0)
				return
			}
			c.num(1)
			elem()(c, to)
		}
	case reflect.Interface:
		return func(c *coder, at unsafe.Pointer) {
			v := reflect.NewAt(t, at).Elem().Elem()
			c.text(v.Type().Name())
			c.boxed(v)
		}
	case reflect.Struct:
		return structScribe(t)
	}
	panic(t) // a bug: a kind that no field had
}

// boxed writes a value that has no address.
func (c *coder) boxed(v reflect.Value) {
	box := reflect.New(v.Type())
	box.Elem().Set(v)
	scribeOf(v.Type())(c, box.UnsafePointer())
}

func sliceScribe(t reflect.Type) scribe {
	size, elem := t.Elem().Size(), scribeOf(t.Elem())
	return func(c *coder, at unsafe.Pointer) {
		all := *(*[]byte)(at) // its beginning and its length, whatever it holds
		c.num(uint64(len(all)))
		for i, first := 0, unsafe.Pointer(unsafe.SliceData(all)); i < len(all); i++ {
			elem(c, unsafe.Add(first, uintptr(i)*size))
		}
	}
}

// mapScribe writes maps from texts, in the order of these.
func mapScribe(t reflect.Type) scribe {
	if t.Key().Kind() != reflect.String {
		panic(t) // a bug: no field had one
	}
	switch reflect.Zero(t).Interface().(type) {
	case map[string]bool:
		return func(c *coder, at unsafe.Pointer) { sorted(c, *(*map[string]bool)(at), c.flag) }
	case map[string]uint32:
		return func(c *coder, at unsafe.Pointer) {
			sorted(c, *(*map[string]uint32)(at), func(n uint32) { c.num(uint64(n)) })
		}
	case map[string]uint64:
		return func(c *coder, at unsafe.Pointer) { sorted(c, *(*map[string]uint64)(at), c.num) }
	case map[string]fsm.Time:
		return func(c *coder, at unsafe.Pointer) { sorted(c, *(*map[string]fsm.Time)(at), c.time) }
	}
	elem := locks.OnceValue(func() scribe { return scribeOf(t.Elem()) })
	return func(c *coder, at unsafe.Pointer) {
		m := reflect.NewAt(t, at).Elem()
		c.num(uint64(m.Len()))
		if m.Len() == 0 {
			return
		}
		keys := m.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		box := reflect.New(t.Elem())
		for _, k := range keys {
			c.text(k.String())
			box.Elem().Set(m.MapIndex(k))
			elem()(c, box.UnsafePointer())
		}
	}
}

// sorted writes a map's texts in order, and what stands under each.
func sorted[V any](c *coder, m map[string]V, write func(V)) {
	c.num(uint64(len(m)))
	if len(m) == 0 {
		return
	}
	var few [8]string
	keys := few[:0]
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		c.text(k)
		write(m[k])
	}
}

func structScribe(t reflect.Type) scribe {
	type part struct {
		offset uintptr
		write  scribe
	}
	var parts []part
	for i := range t.NumField() {
		switch f := t.Field(i); {
		case slices.Contains(writeNums, f.Name):
			if f.Type.Kind() != reflect.Uint64 {
				panic(f.Name)
			}
			parts = append(parts, part{f.Offset, func(c *coder, at unsafe.Pointer) {
				n := *(*uint64)(at)
				if n > 0 {
					n = n - c.written + 1
				}
				c.num(n)
			}})
		case !slices.Contains(leftOut, f.Type):
			parts = append(parts, part{f.Offset, plainScribe(f.Type)})
		}
	}
	return func(c *coder, at unsafe.Pointer) {
		for i := range parts {
			parts[i].write(c, unsafe.Add(at, parts[i].offset))
		}
	}
}

var cellScribe = locks.OnceValue(func() scribe { return scribeOf(reflect.TypeFor[cell]()) })

func (c *cell) code(b []byte) []byte {
	w := coderOf(b, c.m.c.Self)
	w.now, w.written = c.m.now, c.m.written
	cellScribe()(&w, unsafe.Pointer(c))
	return w.b[:w.n]
}

func code(msg any, b []byte) []byte {
	w := coderOf(b, reflect.TypeOf(msg).Name())
	w.boxed(reflect.ValueOf(msg))
	return w.b[:w.n]
}
