// Package hotrestart coordinates the processes of one gateway during a hot restart through
// files in a shared directory: which processes are alive, which of them serve clients, and
// the state that one process hands over to the next.
package hotrestart

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// ProcessInfo is what a process publishes about itself.
type ProcessInfo struct {
	ID      string
	Started int64 // Unix nanoseconds
	Serves  bool  // whether it accepts clients
}

// InvalidFileError reports a file that is incomplete, corrupt, of another version, or not
// written by this package.
type InvalidFileError struct {
	File   string
	Reason string
}

func (e *InvalidFileError) Error() string { return fmt.Sprintf("%s: %s", e.File, e.Reason) }

// Process is the calling process as one of the processes of its gateway.
type Process struct {
	pathPrefix string   // common to all files of the gateway
	lock       *os.File // locked exclusively while the process is alive
	info       ProcessInfo
}

// formatVersion covers the header of the files and the JSON after it.
const formatVersion = 1

// Join registers this process. The id must be unique among the gateway's processes.
func Join(dir, gateway, id string, started int64) (*Process, error) {
	p := &Process{pathPrefix: filepath.Join(dir, "asterwell-"+gateway+"."), info: ProcessInfo{ID: id, Started: started}}
	path := p.pathPrefix + id + ".lock"
	for {
		var err error
		if p.lock, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
			return nil, err
		}
		if err := unix.Flock(int(p.lock.Fd()), unix.LOCK_EX); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		opened, _ := p.lock.Stat()
		current, err := os.Stat(path)
		if err == nil && os.SameFile(opened, current) {
			return p, p.Announce(false)
		}
		p.lock.Close() // another process checked the file before it was locked and removed it as that of a dead process
	}
}

// Announce publishes whether this process accepts clients.
func (p *Process) Announce(serves bool) error {
	p.info.Serves = serves
	return write(p.pathPrefix+p.info.ID+".card", p.info)
}

// Leave removes this process's files and releases its lock.
func (p *Process) Leave() {
	for _, kind := range []string{".card", ".state", ".lock"} {
		os.Remove(p.pathPrefix + p.info.ID + kind)
	}
	p.lock.Close()
}

// Others returns the other live processes, the oldest first, and an error for each invalid
// file. It removes the files of dead processes.
func (p *Process) Others() (others []ProcessInfo, fileErrors []error) {
	locks, _ := filepath.Glob(p.pathPrefix + "*.lock")
	for _, lock := range locks {
		id := strings.TrimSuffix(strings.TrimPrefix(lock, p.pathPrefix), ".lock")
		if id == p.info.ID || strings.Contains(id, ".") {
			continue
		}
		if !isAlive(lock, func() {
			for _, kind := range []string{".card", ".state", ".lock"} {
				os.Remove(p.pathPrefix + id + kind)
			}
		}) {
			continue
		}
		info := ProcessInfo{ID: id}
		if err := read(p.pathPrefix+id+".card", &info); err != nil && !errors.Is(err, os.ErrNotExist) {
			fileErrors = append(fileErrors, err)
		}
		if info.ID != id { // the lock shows that the process is alive, whatever its card says
			fileErrors = append(fileErrors, &InvalidFileError{p.pathPrefix + id + ".card", "names " + info.ID})
			info = ProcessInfo{ID: id}
		}
		others = append(others, info)
	}
	slices.SortFunc(others, func(a, b ProcessInfo) int { return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.ID, b.ID)) })
	return others, fileErrors
}

// IsNewer reports whether a process started after this one. The ID breaks ties.
func (p *Process) IsNewer(other ProcessInfo) bool {
	return other.Started > p.info.Started || other.Started == p.info.Started && other.ID > p.info.ID
}

// HandOver writes state to a file for another process.
func (p *Process) HandOver(to ProcessInfo, state any) error {
	return write(p.pathPrefix+to.ID+".state", state)
}

// ReadHandover reads the state handed over to this process. It returns false if there is
// none yet.
func (p *Process) ReadHandover(state any) (bool, error) {
	err := read(p.pathPrefix+p.info.ID+".state", state)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return true, err
}

// isAlive reports whether a process holds the lock, which the kernel releases when the
// process ends. The files of a dead process are removed while the lock is held: otherwise a
// process about to lock the file would keep a lock on a removed file, and no other process
// would see it. With the lock held here first, Join finds that the file is gone and creates
// another.
func isAlive(lock string, removeFiles func()) bool {
	f, err := os.Open(lock)
	if err != nil {
		return false
	}
	defer f.Close()
	if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == unix.EWOULDBLOCK {
		return true
	}
	if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil { // otherwise another process is joining or checking, and the next call decides
		opened, _ := f.Stat()
		if current, err := os.Stat(lock); err == nil && os.SameFile(opened, current) {
			removeFiles()
		}
	}
	return false
}

// headerFormat has the format version, the checksum of the body, and its length in bytes.
const headerFormat = "asterwell %d %016x %d\n"

// write replaces a file atomically.
func write(path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	text := append(fmt.Appendf(nil, headerFormat, formatVersion, xxhash.Sum64(body), len(body)), body...)
	tmp := path + ".new"
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// read decodes a file after checking its version, length and checksum.
func read(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	line, body, _ := strings.Cut(string(text), "\n")
	var version, length int
	var sum uint64
	if _, err := fmt.Sscanf(line+"\n", headerFormat, &version, &sum, &length); err != nil {
		return &InvalidFileError{path, "no file of ours"}
	}
	switch {
	case version != formatVersion:
		return &InvalidFileError{path, fmt.Sprintf("of version %d, not %d", version, formatVersion)}
	case len(body) != length || xxhash.Sum64String(body) != sum:
		return &InvalidFileError{path, "torn"}
	}
	if err := json.Unmarshal([]byte(body), v); err != nil {
		return &InvalidFileError{path, err.Error()}
	}
	return nil
}
