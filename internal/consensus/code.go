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

// stateEncoder writes a value so that equivalent states have the same encoding: times are relative
// to now, numbers of writes are relative to the last one synced. It covers all fields, so that a
// new one can't be forgotten. The encoder of a type is built once, as random walks encode millions
// of states, and reflection on each field took more than a quarter of the model checker's time.
type stateEncoder struct {
	buf     []byte // of which length bytes are used; reslicing for each number is slower than writing it
	length  int
	now     fsm.Time
	written uint64
}

// maxEncodedAge is the age from which on a time has no more effect.
const maxEncodedAge = 2 * vacancyTimeout

var (
	timeType     = reflect.TypeFor[time.Duration]()
	skippedTypes = []reflect.Type{reflect.TypeFor[Config](), reflect.TypeFor[*rand.Rand](), reflect.TypeFor[Out](),
		reflect.TypeFor[Bug](),
		reflect.TypeFor[packReaderList]()}
	writeNumberFields = []string{"seq", "Seq", "written", "activeRecordWrite"}
)

// newStateEncoder appends to a buffer.
func newStateEncoder(b []byte, name string) stateEncoder {
	b = append(append(b, name...), 0)
	n := len(b)
	return stateEncoder{buf: b[:cap(b)], length: n}
}

func (c *stateEncoder) uvarint(x uint64) {
	if len(c.buf)-c.length < binary.MaxVarintLen64 {
		c.grow(binary.MaxVarintLen64)
	}
	for ; x >= 0x80; x >>= 7 {
		c.buf[c.length] = byte(x) | 0x80
		c.length++
	}
	c.buf[c.length] = byte(x)
	c.length++
}

func (c *stateEncoder) grow(by int) {
	next := make([]byte, 2*len(c.buf)+by)
	copy(next, c.buf[:c.length])
	c.buf = next
}

func (c *stateEncoder) bool(is bool) {
	if is {
		c.uvarint(1)
	} else {
		c.uvarint(0)
	}
}

func (c *stateEncoder) string(s string) {
	c.uvarint(uint64(len(s)))
	if len(c.buf)-c.length < len(s) {
		c.grow(len(s))
	}
	c.length += copy(c.buf[c.length:], s)
}

func (c *stateEncoder) time(at fsm.Time) {
	if at == 0 {
		c.uvarint(0)
	} else {
		c.uvarint(uint64(min(c.now-at, maxEncodedAge)+2*maxEncodedAge) + 1)
	}
}

// encodeFunc writes the value at an address, which has the type that the function was made for.
type encodeFunc func(c *stateEncoder, at unsafe.Pointer)

// encodeFuncs caches the function of each type.
var encodeFuncs locks.Map

// encodeFuncFor returns a function that writes nothing for skipped types.
func encodeFuncFor(t reflect.Type) encodeFunc {
	if slices.Contains(skippedTypes, t) {
		return func(*stateEncoder, unsafe.Pointer) {}
	}
	return cachedEncodeFunc(t)
}

func cachedEncodeFunc(t reflect.Type) encodeFunc {
	if s, ok := encodeFuncs.Load(t); ok {
		return s.(encodeFunc)
	}
	s := newEncodeFunc(t)
	encodeFuncs.Store(t, s)
	return s
}

func newEncodeFunc(t reflect.Type) encodeFunc {
	switch t.Kind() {
	case reflect.Bool:
		return func(c *stateEncoder, at unsafe.Pointer) { c.bool(*(*bool)(at)) }
	case reflect.Int64, reflect.Int: // both have 64 bits on the supported platforms
		if t == timeType {
			return func(c *stateEncoder, at unsafe.Pointer) { c.time(*(*fsm.Time)(at)) }
		}
		return func(c *stateEncoder, at unsafe.Pointer) { c.uvarint(uint64(*(*int64)(at))) }
	case reflect.Uint8:
		return func(c *stateEncoder, at unsafe.Pointer) { c.uvarint(uint64(*(*uint8)(at))) }
	case reflect.Uint32:
		return func(c *stateEncoder, at unsafe.Pointer) { c.uvarint(uint64(*(*uint32)(at))) }
	case reflect.Uint64:
		return func(c *stateEncoder, at unsafe.Pointer) { c.uvarint(*(*uint64)(at)) }
	case reflect.String:
		return func(c *stateEncoder, at unsafe.Pointer) { c.string(*(*string)(at)) }
	case reflect.Slice:
		return sliceEncodeFunc(t)
	case reflect.Map:
		return mapEncodeFunc(t)
	case reflect.Pointer:
		// lazy, as the type may refer to itself
		elem := locks.OnceValue(func() encodeFunc { return encodeFuncFor(t.Elem()) })
		return func(c *stateEncoder, at unsafe.Pointer) {
			to := *(*unsafe.Pointer)(at)
			if to == nil {
				c.uvarint(0)
				return
			}
			c.uvarint(1)
			elem()(c, to)
		}
	case reflect.Interface:
		return func(c *stateEncoder, at unsafe.Pointer) {
			v := reflect.NewAt(t, at).Elem().Elem()
			c.string(v.Type().Name())
			c.boxed(v)
		}
	case reflect.Struct:
		return structEncodeFunc(t)
	}
	panic(t) // a bug: no field had this kind so far
}

// boxed writes a value that has no address.
func (c *stateEncoder) boxed(v reflect.Value) {
	box := reflect.New(v.Type())
	box.Elem().Set(v)
	encodeFuncFor(v.Type())(c, box.UnsafePointer())
}

func sliceEncodeFunc(t reflect.Type) encodeFunc {
	size, elem := t.Elem().Size(), encodeFuncFor(t.Elem())
	return func(c *stateEncoder, at unsafe.Pointer) {
		all := *(*[]byte)(at) // only its address and length are used, whatever its elements are
		c.uvarint(uint64(len(all)))
		for i, first := 0, unsafe.Pointer(unsafe.SliceData(all)); i < len(all); i++ {
			elem(c, unsafe.Add(first, uintptr(i)*size))
		}
	}
}

// mapEncodeFunc writes maps with string keys, sorted by key.
func mapEncodeFunc(t reflect.Type) encodeFunc {
	if t.Key().Kind() != reflect.String {
		panic(t) // a bug: no map field had another key type so far
	}
	switch reflect.Zero(t).Interface().(type) {
	case map[string]bool:
		return func(c *stateEncoder, at unsafe.Pointer) { encodeSortedMap(c, *(*map[string]bool)(at), c.bool) }
	case map[string]uint32:
		return func(c *stateEncoder, at unsafe.Pointer) {
			encodeSortedMap(c, *(*map[string]uint32)(at), func(n uint32) { c.uvarint(uint64(n)) })
		}
	case map[string]uint64:
		return func(c *stateEncoder, at unsafe.Pointer) { encodeSortedMap(c, *(*map[string]uint64)(at), c.uvarint) }
	case map[string]fsm.Time:
		return func(c *stateEncoder, at unsafe.Pointer) { encodeSortedMap(c, *(*map[string]fsm.Time)(at), c.time) }
	}
	elem := locks.OnceValue(func() encodeFunc { return encodeFuncFor(t.Elem()) })
	return func(c *stateEncoder, at unsafe.Pointer) {
		m := reflect.NewAt(t, at).Elem()
		c.uvarint(uint64(m.Len()))
		if m.Len() == 0 {
			return
		}
		keys := m.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		box := reflect.New(t.Elem())
		for _, k := range keys {
			c.string(k.String())
			box.Elem().Set(m.MapIndex(k))
			elem()(c, box.UnsafePointer())
		}
	}
}

// encodeSortedMap writes a map's keys and values in the order of the keys.
func encodeSortedMap[V any](c *stateEncoder, m map[string]V, write func(V)) {
	c.uvarint(uint64(len(m)))
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
		c.string(k)
		write(m[k])
	}
}

func structEncodeFunc(t reflect.Type) encodeFunc {
	type part struct {
		offset uintptr
		write  encodeFunc
	}
	var parts []part
	for i := range t.NumField() {
		switch f := t.Field(i); {
		case slices.Contains(writeNumberFields, f.Name):
			if f.Type.Kind() != reflect.Uint64 {
				panic(f.Name)
			}
			parts = append(parts, part{f.Offset, func(c *stateEncoder, at unsafe.Pointer) {
				n := *(*uint64)(at)
				if n > 0 {
					n = n - c.written + 1
				}
				c.uvarint(n)
			}})
		case !slices.Contains(skippedTypes, f.Type):
			parts = append(parts, part{f.Offset, cachedEncodeFunc(f.Type)})
		}
	}
	return func(c *stateEncoder, at unsafe.Pointer) {
		for i := range parts {
			parts[i].write(c, unsafe.Add(at, parts[i].offset))
		}
	}
}

var nodeEncodeFunc = locks.OnceValue(func() encodeFunc { return encodeFuncFor(reflect.TypeFor[modelNode]()) })

func (c *modelNode) encode(b []byte) []byte {
	w := newStateEncoder(b, c.machine.config.Self)
	w.now, w.written = c.machine.now, c.machine.written
	nodeEncodeFunc()(&w, unsafe.Pointer(c))
	return w.buf[:w.length]
}

func encodeMessage(msg any, b []byte) []byte {
	w := newStateEncoder(b, reflect.TypeOf(msg).Name())
	w.boxed(reflect.ValueOf(msg))
	return w.buf[:w.length]
}
