package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// machine is one of the example's: a loopback address, and the process on it.
type machine struct {
	Name, IP, Zone string
	Port           int // the first of the example's: clients, readiness, control, and those between gateways
	State          string
	Genesis        bool
	Seeds          []string
	cmd            *exec.Cmd
	ended          chan struct{}
}

func (m *machine) ingress() string { return fmt.Sprintf("%s:%d", m.IP, m.Port) }
func (m *machine) control() string { return control(m.IP, m.Port) }

func control(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port+2) }

// used is how many ports a machine has.
const used = 6

// settings are those of docs/settings.md, as short as they can be for a core of three.
var settings = template.Must(template.New("").Parse(`NodeName: "{{.Name}}"
Serves: ["edge", "controller"]
IpAddr: "{{.IP}}"
Zone: "{{.Zone}}"
Region: "loopback"
Zones: {a: "loopback", b: "loopback", c: "loopback"}
Bind:
  Ingress: "{{.IP}}:{{.Port}}"
  Readiness: "{{.IP}}:{{.Ready}}"
  ControlPlane: "{{.IP}}:{{.Control}}"
PortRange: [{{.First}}, {{.Last}}]
Bootstrap:{{range .Seeds}}
  - "{{.}}"{{end}}
Genesis: {{.Genesis}}
QuorumMember: true
BoundsReq: {CpuFraction: 0.5, CpuCount: 1, MemMb: 184, FdLimit: 1000}
StateDir: "{{.State}}"
HeartbeatMs: 300
FaultBudget: {MachineLosses: 1}
FaultRules: {LongestS: 600}
`))

func (m *machine) Ready() int   { return m.Port + 1 }
func (m *machine) Control() int { return m.Port + 2 }
func (m *machine) First() int   { return m.Port + 3 }
func (m *machine) Last() int    { return m.Port + used - 1 }

// fleet is a core of three machines on loopback, below one folder.
type fleet struct {
	dir      string
	loom     []string // the program and its arguments
	machines []*machine
}

func newFleet(dir string, port int, loom ...string) (*fleet, error) {
	f := &fleet{dir: dir, loom: loom}
	var seeds []string
	for i, zone := range []string{"a", "b", "c"} {
		m := &machine{Name: "edge-" + zone, IP: fmt.Sprintf("127.0.0.%d", i+1), Zone: zone, Port: port, Genesis: true}
		m.State = filepath.Join(dir, m.Name)
		seeds = append(seeds, m.control())
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		m.Seeds = seeds
		if err := f.write(m); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// write writes a machine's settings file.
func (f *fleet) write(m *machine) error {
	var text bytes.Buffer
	if err := settings.Execute(&text, m); err != nil {
		return err
	}
	return os.WriteFile(f.settings(m), text.Bytes(), 0o644)
}

func (f *fleet) settings(m *machine) string { return filepath.Join(f.dir, m.Name+".yaml") }

func (f *fleet) controls() (at []string) {
	for _, m := range f.machines {
		at = append(at, m.control())
	}
	return at
}

// start starts a machine's process in a group of its own, so that Ctrl-C in a terminal
// reaches it by way of this program only.
func (f *fleet) start(m *machine, log io.Writer) error {
	m.cmd = exec.Command(f.loom[0], f.loom[1:]...)
	m.cmd.Env = append(os.Environ(), "ASTERWELL_CONFIG="+f.settings(m))
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func() {
		m.cmd.Wait()
		close(m.ended)
	}()
	return nil
}

// stop ends the processes in order, and after the grace without it.
func (f *fleet) stop(grace time.Duration) {
	var all sync.WaitGroup
	for _, m := range f.machines {
		if m.ended == nil {
			continue
		}
		all.Go(func() {
			m.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-m.ended:
			case <-time.After(grace):
				m.kill()
			}
		})
	}
	all.Wait()
}

func (m *machine) kill() {
	m.cmd.Process.Kill()
	<-m.ended
}

// free tells whether all ports from the first can be had on all machines.
func free(port int) error {
	for i := range 3 {
		for p := port; p < port+used; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i+1, p))
			if err != nil {
				return err
			}
			ln.Close()
		}
	}
	return nil
}
