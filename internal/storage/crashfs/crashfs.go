// Package crashfs is a file system for SQLite that tells of each change, and a disk that makes
// of such changes the folders that a loss of power may leave: writes and names that were not
// synced may be there or not, each by itself, and a write may be torn. It is for tests.
package crashfs

/*
#cgo LDFLAGS: -Wl,--unresolved-symbols=ignore-all
#include <stdlib.h>
#include "shim.h"
*/
import "C"

import (
	"fmt"
	"path/filepath"
	"sync"
	"unsafe"

	_ "github.com/mattn/go-sqlite3" // which the shim is linked with
)

// Name is what SQLite knows the file system by.
const Name = "brittle"

// Kind is what was done.
type Kind uint8

// The kinds. Sync is of a file; Named is of a folder, all of whose names are synced.
const (
	Made Kind = iota
	Wrote
	Cut
	Sync
	Removed
	Named
)

// Step is one change, or one sync.
type Step struct {
	Kind Kind
	File string // without its folder
	At   int64  // Cut: the size
	Data []byte
}

func (s Step) String() string {
	return fmt.Sprintf("%s %s %d %d", [...]string{"made", "wrote", "cut", "sync", "removed", "named"}[s.Kind], s.File, s.At, len(s.Data))
}

var tape struct {
	sync.Mutex
	on    bool
	files []file
	steps []Step
}

type file struct {
	name   string
	unsaid bool // its folder is synced along with it the next time, as SQLite does for journals
}

var register = sync.OnceValue(func() error {
	name, base := C.CString(Name), C.CString("unix-none")
	defer C.free(unsafe.Pointer(name))
	defer C.free(unsafe.Pointer(base))
	if rc := C.brittle_register(name, base); rc != 0 {
		return fmt.Errorf("the file system is not taken: %d", rc)
	}
	return nil
})

// Register makes the file system known.
func Register() error { return register() }

// Record begins to tell, or goes on, and returns what was told until now.
func Record() []Step {
	tape.Lock()
	defer tape.Unlock()
	steps := tape.steps
	tape.on, tape.steps = true, nil
	return steps
}

func tell(s Step) {
	if tape.on {
		tape.steps = append(tape.steps, s)
	}
}

//export brittleOpen
func brittleOpen(name *C.char, made, journal C.int) C.int {
	tape.Lock()
	defer tape.Unlock()
	f := file{name: filepath.Base(C.GoString(name)), unsaid: journal != 0 && made != 0}
	tape.files = append(tape.files, f)
	if made != 0 {
		tell(Step{Kind: Made, File: f.name})
	}
	return C.int(len(tape.files) - 1)
}

//export brittleWrite
func brittleWrite(id C.int, at C.longlong, from unsafe.Pointer, n C.int) {
	tape.Lock()
	defer tape.Unlock()
	tell(Step{Wrote, tape.files[id].name, int64(at), C.GoBytes(from, n)})
}

//export brittleTruncate
func brittleTruncate(id C.int, size C.longlong) {
	tape.Lock()
	defer tape.Unlock()
	tell(Step{Kind: Cut, File: tape.files[id].name, At: int64(size)})
}

//export brittleSync
func brittleSync(id C.int) {
	tape.Lock()
	defer tape.Unlock()
	tell(Step{Kind: Sync, File: tape.files[id].name})
	if tape.files[id].unsaid {
		tape.files[id].unsaid = false
		tell(Step{Kind: Named})
	}
}

//export brittleDelete
func brittleDelete(name *C.char, synced C.int) {
	tape.Lock()
	defer tape.Unlock()
	tell(Step{Kind: Removed, File: filepath.Base(C.GoString(name))})
	if synced != 0 {
		tell(Step{Kind: Named})
	}
}
