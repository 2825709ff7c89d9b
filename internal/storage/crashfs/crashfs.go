// Package crashfs is for tests. It provides a SQLite VFS that records each change to its files,
// and a simulated disk that derives from such a recording the files that a power loss may leave:
// each write, creation or deletion that was not synced may independently be present or absent,
// and a write may be torn.
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

	_ "github.com/mattn/go-sqlite3" // provides the SQLite library that the shim calls
)

// VFSName is the name under which the VFS is registered with SQLite.
const VFSName = "brittle"

// Kind is the kind of a recorded operation.
type Kind uint8

// Kinds of operations. Sync applies to one file; SyncDir to the directory: it makes all
// creations and deletions durable.
const (
	Create Kind = iota
	Write
	Truncate
	Sync
	Delete
	SyncDir
)

// Change is one recorded operation: a change to a file, or a sync.
type Change struct {
	Kind Kind
	File string // base name
	At   int64  // Write: the offset; Truncate: the new size
	Data []byte
}

func (c Change) String() string {
	return fmt.Sprintf("%s %s %d %d", [...]string{"create", "write", "truncate", "sync", "delete", "syncdir"}[c.Kind], c.File, c.At, len(c.Data))
}

var recorder struct {
	sync.Mutex
	on      bool
	files   []openFile
	changes []Change
}

type openFile struct {
	name string
	// syncDirPending: the first sync of a new journal also syncs its directory, as SQLite's
	// unix VFS does.
	syncDirPending bool
}

var register = sync.OnceValue(func() error {
	name, base := C.CString(VFSName), C.CString("unix-none")
	defer C.free(unsafe.Pointer(name))
	defer C.free(unsafe.Pointer(base))
	if rc := C.crashfs_register(name, base); rc != 0 {
		return fmt.Errorf("registering VFS %q: SQLite error %d", VFSName, rc)
	}
	return nil
})

// Register registers the VFS with SQLite.
func Register() error { return register() }

// TakeRecording returns the changes recorded so far and starts a new recording.
func TakeRecording() []Change {
	recorder.Lock()
	defer recorder.Unlock()
	changes := recorder.changes
	recorder.on, recorder.changes = true, nil
	return changes
}

func record(c Change) {
	if recorder.on {
		recorder.changes = append(recorder.changes, c)
	}
}

//export brittleOpen
func brittleOpen(name *C.char, created, journal C.int) C.int {
	recorder.Lock()
	defer recorder.Unlock()
	f := openFile{name: filepath.Base(C.GoString(name)), syncDirPending: journal != 0 && created != 0}
	recorder.files = append(recorder.files, f)
	if created != 0 {
		record(Change{Kind: Create, File: f.name})
	}
	return C.int(len(recorder.files) - 1)
}

//export brittleWrite
func brittleWrite(id C.int, offset C.longlong, data unsafe.Pointer, n C.int) {
	recorder.Lock()
	defer recorder.Unlock()
	record(Change{Write, recorder.files[id].name, int64(offset), C.GoBytes(data, n)})
}

//export brittleTruncate
func brittleTruncate(id C.int, size C.longlong) {
	recorder.Lock()
	defer recorder.Unlock()
	record(Change{Kind: Truncate, File: recorder.files[id].name, At: int64(size)})
}

//export brittleSync
func brittleSync(id C.int) {
	recorder.Lock()
	defer recorder.Unlock()
	record(Change{Kind: Sync, File: recorder.files[id].name})
	if recorder.files[id].syncDirPending {
		recorder.files[id].syncDirPending = false
		record(Change{Kind: SyncDir})
	}
}

//export brittleDelete
func brittleDelete(name *C.char, dirSynced C.int) {
	recorder.Lock()
	defer recorder.Unlock()
	record(Change{Kind: Delete, File: filepath.Base(C.GoString(name))})
	if dirSynced != 0 {
		record(Change{Kind: SyncDir})
	}
}
