package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// folder is where a run keeps its processes' files. It lists each process with the
// time it started at, so that what a killed run has left behind can be ended by its
// id, and nothing else is.
type folder struct {
	path string
	mu   sync.Mutex
	list *os.File
}

const folderPrefix = "asterlab-field-"

// identity is a process: its number may be another's later, but not with that start.
type identity struct {
	PID   int    `json:"pid"`
	Start uint64 `json:"start"` // clock ticks since the machine's start
}

// identify reads when a process started and what it is doing; ok is false if there is none.
func identify(pid int) (id identity, state byte, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return id, 0, false
	}
	i := bytes.LastIndexByte(text, ')') // the name before it may hold anything
	f := strings.Fields(string(text[i+1:]))
	if i < 0 || len(f) < 20 {
		return id, 0, false
	}
	start, err := strconv.ParseUint(f[19], 10, 64)
	return identity{pid, start}, f[0][0], err == nil
}

// alive reports whether that very process is there, and no zombie.
func (id identity) alive() bool {
	now, state, ok := identify(id.PID)
	return ok && now == id && state != 'Z' && state != 'X'
}

// newFolder makes a run's folder below dir, after it has cleaned up behind killed runs.
func newFolder(dir string) (*folder, error) {
	if _, err := cleanUp(dir); err != nil {
		return nil, err
	}
	path, err := os.MkdirTemp(dir, folderPrefix)
	if err != nil {
		return nil, err
	}
	list, err := os.Create(filepath.Join(path, "processes"))
	if err != nil {
		return nil, err
	}
	f := &folder{path: path, list: list}
	return f, f.note(os.Getpid())
}

// note adds a process to the list. The first is the run's own.
func (f *folder) note(pid int) error {
	id, _, ok := identify(pid)
	if !ok {
		return nil // it has ended already
	}
	line, err := json.Marshal(id)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = f.list.Write(append(line, '\n'))
	return err
}

func (f *folder) remove() error {
	f.list.Close()
	return os.RemoveAll(f.path)
}

// cleanUp ends the processes of runs below dir that were killed, and removes their
// folders. It returns how many processes it has ended.
func cleanUp(dir string) (ended int, err error) {
	found, err := filepath.Glob(filepath.Join(dir, folderPrefix+"*"))
	if err != nil {
		return 0, err
	}
	for _, path := range found {
		text, err := os.ReadFile(filepath.Join(path, "processes"))
		if err != nil {
			continue // it is being made, or is no run's
		}
		var ids []identity
		for line := range strings.SplitSeq(strings.TrimSpace(string(text)), "\n") {
			var id identity
			if json.Unmarshal([]byte(line), &id) == nil {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 || ids[0].alive() {
			continue
		}
		for _, id := range ids[1:] {
			if id.alive() {
				syscall.Kill(id.PID, syscall.SIGCONT)
				if syscall.Kill(id.PID, syscall.SIGKILL) == nil {
					ended++
				}
			}
		}
		if err := os.RemoveAll(path); err != nil {
			return ended, err
		}
	}
	return ended, nil
}

// Process is one of the program's, with a folder that lasts over its lives.
type Process struct {
	Name   string
	Dir    string
	binary string
	args   []string
	env    []string
	folder *folder
	log    *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	id    identity
	lives int
	saved string // an older copy of the folder
	fell  bool   // it ended, and nobody had asked for it
	asked bool
}

// newProcess makes the folder. Nothing runs yet.
func (f *folder) newProcess(name, binary string, env []string, args ...string) (*Process, error) {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Dir: filepath.Join(f.path, name), binary: binary, args: args, env: env, folder: f}
	if err := os.Mkdir(p.Dir, 0o700); err != nil {
		return nil, err
	}
	p.log, err = os.OpenFile(filepath.Join(f.path, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return p, err
}

// Start begins a life.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Dir, cmd.Env = p.Dir, append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.lives++
	p.cmd, p.ended, p.asked, p.fell = cmd, make(chan struct{}), false, false
	p.id, _, _ = identify(cmd.Process.Pid)
	ended := p.ended
	go func() {
		cmd.Wait()
		p.mu.Lock()
		p.fell = p.fell || !p.asked
		p.mu.Unlock()
		close(ended)
	}()
	return p.folder.note(cmd.Process.Pid)
}

// Lives is how often it was started.
func (p *Process) Lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// Signal sends one to a process that runs.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	p.asked = p.asked || s == syscall.SIGKILL || s == syscall.SIGTERM
	return syscall.Kill(p.cmd.Process.Pid, s)
}

// Kill ends it at once, and returns when it is gone.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Gone(5 * time.Second)
}

// Gone waits for the end of this life, and checks it.
func (p *Process) Gone(limit time.Duration) error {
	p.mu.Lock()
	ended, id := p.ended, p.id
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended within %v", p.Name, limit)
	}
	if id.alive() {
		return fmt.Errorf("%s, process %d, is still there", p.Name, id.PID)
	}
	return nil
}

// Stop holds it up: it does not die, and does nothing.
func (p *Process) Stop() error { return p.turn(syscall.SIGSTOP, func(s byte) bool { return s == 'T' }) }

// Continue lets it go on.
func (p *Process) Continue() error {
	return p.turn(syscall.SIGCONT, func(s byte) bool { return s != 'T' })
}

// turn sends a signal, and waits until it has bitten.
func (p *Process) turn(s syscall.Signal, done func(state byte) bool) error {
	if err := p.Signal(s); err != nil {
		return err
	}
	state := byte(0)
	for range 200 {
		var ok bool
		if _, state, ok = identify(p.cmd.Process.Pid); !ok {
			return fmt.Errorf("%s has ended", p.Name)
		}
		if done(state) {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("%s is in state %c a second after signal %v", p.Name, state, s)
}

// Running reports whether it is there. Fell reports whether it ended though nobody
// had asked for it.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.id.alive()
}

// Fell reports whether it has ended by itself.
func (p *Process) Fell() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fell
}

// Save keeps a copy of the folder, as a backup would; Restore puts it back: an
// older state than the process had when it ended. Wipe empties the folder: the
// machine was lost with its disk.
func (p *Process) Save() error {
	to := p.Dir + ".saved"
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	if err := os.CopyFS(to, os.DirFS(p.Dir)); err != nil {
		return err
	}
	p.saved = to
	return nil
}

// Restore puts the saved copy back.
func (p *Process) Restore() error {
	if p.saved == "" {
		return fmt.Errorf("%s: no copy of its folder was saved", p.Name)
	}
	if err := p.Wipe(); err != nil {
		return err
	}
	return os.CopyFS(p.Dir, os.DirFS(p.saved))
}

// Wipe empties the folder.
func (p *Process) Wipe() error {
	if err := os.RemoveAll(p.Dir); err != nil {
		return err
	}
	return os.Mkdir(p.Dir, 0o700)
}

// CPU is the time of processors that this life has taken.
func (p *Process) CPU() time.Duration {
	p.mu.Lock()
	pid := p.id.PID
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, ok := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if err != nil || !ok || len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // Linux counts in hundredths
}

// MemoryMB is its resident memory.
func (p *Process) MemoryMB() float64 {
	p.mu.Lock()
	pid := p.id.PID
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(text))
	if err != nil || len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
