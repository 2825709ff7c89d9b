package testbed

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"asterwell/internal/cluster"
	"asterwell/internal/policy"
)

// ClusterPlan makes the gateways of a run a cluster.
type ClusterPlan struct {
	Voters   int     `json:"voters"`              // the first of the gateways vote
	Spare    int     `json:"spare,omitempty"`     // those after them have a folder too, and may come to vote
	EveryS   float64 `json:"every_s,omitempty"`   // a change is proposed so often; 0: by faults only
	BadEvery int     `json:"bad_every,omitempty"` // each such one is a policy that gateways refuse; 0: none
	Marks    float64 `json:"marks,omitempty"`     // requests a second that show which policy decides; default 100
	Serve    bool    `json:"serve,omitempty"`     // gateways go on without a majority
	RestS    float64 `json:"rest_s,omitempty"`    // no changes and no marks for so long first: what members cost at rest
}

const clusterPort = 8444

// proposal is one of the run's operators. Policy k has a class mark-k, and no
// other has: whether a request of it is known shows which policy decided it.
type proposal struct {
	k        int
	id       uint64
	from, to time.Duration // proposed; known to have taken hold, or not. 0: never heard
	fate     policy.Fate
	version  int64
}

// mark is a request that shows which policy decided it.
type mark struct {
	k        int
	from, to time.Duration
	known    bool // the class was
	gateway  int
}

// marking is the cluster's part of a run.
type marking struct {
	f      *Field
	client *cluster.Client
	mu     sync.Mutex
	all    []*proposal
	marks  []mark
	wg     sync.WaitGroup
	closed int // marks that no policy decided
	rest   Cluster
	begun  chan struct{}
}

func (s *Schedule) folders() int {
	if s.Cluster == nil {
		return 0
	}
	return s.Cluster.Voters + s.Cluster.Spare
}

func (s *Schedule) checkCluster() error {
	c := s.Cluster
	if c == nil {
		return nil
	}
	orElse(&c.Marks, 100)
	switch {
	case c.Voters < 1 || c.Spare < 0 || c.Voters+c.Spare > s.Gateways:
		return fmt.Errorf("cluster.voters: 1 or more, and with spare no more than the %d gateways, got %d and %d", s.Gateways, c.Voters, c.Spare)
	case c.EveryS < 0:
		return fmt.Errorf("cluster.every_s: must not be negative, got %v", c.EveryS)
	}
	return nil
}

func clusterAddress(i int) string {
	return net.JoinHostPort(address(i).String(), strconv.Itoa(clusterPort))
}

// peers opens the links to those that vote, or may come to: what comes to a link is
// passed on to the process, both ways by the link's terms.
func (f *Field) peers() error {
	for v := range f.plan.folders() {
		ln, err := f.net.Listen(len(f.servers) + v)
		if err != nil {
			return err
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go forward(c.(*Conn), clusterAddress(v))
			}
		}()
	}
	return nil
}

func forward(near *Conn, to string) {
	defer near.Close()
	far, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		near.Reset()
		return
	}
	done := make(chan struct{}, 2)
	go func() { io.Copy(struct{ io.Writer }{far}, struct{ io.Reader }{near}); done <- struct{}{} }()
	go func() { io.Copy(struct{ io.Writer }{near}, struct{ io.Reader }{far}); done <- struct{}{} }()
	select {
	case <-done:
	case <-near.ended:
	}
	far.Close()
}

// clusterFile is a gateway's, in which others are reached by links.
func (f *Field) clusterFile(i int, links bool) *cluster.Config {
	p := f.plan.Cluster
	c := &cluster.Config{Enabled: true, Cluster: "field", Name: "g-" + strconv.Itoa(i), Zone: f.plan.zone(i), Listen: clusterAddress(i), Address: clusterAddress(i),
		Addresses: map[string]string{}, WithoutMajority: cluster.Refuse}
	if p.Serve {
		c.WithoutMajority = cluster.Serve
	}
	if i < f.plan.folders() {
		c.Folder = filepath.Join(f.gateways[i].Dir, "log")
	}
	for v := range f.plan.folders() {
		name := "g-" + strconv.Itoa(v)
		if v < p.Voters {
			c.Voters = append(c.Voters, cluster.Named{Name: name, Address: clusterAddress(v)})
		}
		if c.Addresses[name] = clusterAddress(v); links && v != i {
			c.Addresses[name] = f.net.At(i, len(f.servers)+v)
		}
	}
	return c
}

// writeCluster writes the file, with the defaults left to the program.
func (f *Field) writeCluster(g *gateway) error {
	c := f.clusterFile(g.index, true)
	file := map[string]any{"enabled": true, "cluster": c.Cluster, "name": c.Name, "zone": c.Zone, "listen": c.Listen, "folder": c.Folder,
		"voters": c.Voters, "addresses": c.Addresses, "without_majority": c.WithoutMajority}
	text, err := json.Marshal(file)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(g.Dir, "cluster.json"), text, 0o600)
}

// form makes the first voters' folders.
func (f *Field) form() error {
	for v := range f.plan.Cluster.Voters {
		if err := cluster.FormFolder(f.clusterFile(v, false)); err != nil {
			return err
		}
	}
	f.marking = &marking{f: f, client: &cluster.Client{Cfg: f.clusterFile(0, false), By: "field"}, begun: make(chan struct{})}
	return nil
}

// policyText is policy k: what the run began with, and the class that shows it.
func (f *Field) policyText(k int, bad bool) []byte {
	set := settings(f.plan, 0)
	services := slices.Clone(set["services"].([]any))
	services = append(services, map[string]any{"name": "mark-" + strconv.Itoa(k), "aimMs": 15 * f.plan.WorkMs, "deadlineMs": 30 * f.plan.WorkMs,
		"effect": "retryable", "lateWorth": 0.2, "value": 1})
	if bad {
		services = append(services, map[string]any{"name": "bad", "aimMs": 1, "effect": "unheard-of"})
	}
	prices := map[string]any{}
	for _, key := range []string{"crossZone", "probe", "waste", "lateFail"} {
		prices[key] = set["prices"].(map[string]any)[key]
	}
	text, err := json.Marshal(map[string]any{"services": services, "contracts": set["contracts"], "prices": prices})
	if err != nil {
		panic(err)
	}
	return text
}

// propose makes a change, and waits for its fate for so long.
func (m *marking) propose(wait time.Duration) *proposal {
	m.mu.Lock()
	c := &proposal{k: len(m.all) + 1, fate: policy.UnderWay, from: m.f.net.Now()}
	c.id = m.f.plan.Seed<<32 | uint64(c.k)<<1 | 1
	m.all = append(m.all, c)
	m.mu.Unlock()
	bad := m.f.plan.Cluster.BadEvery > 0 && c.k%m.f.plan.Cluster.BadEvery == 0
	q := cluster.Ask{Do: "propose", ID: c.id, Base: -1, Text: m.f.policyText(c.k, bad)}
	m.f.history.add(Record{Kind: "change", Who: strconv.Itoa(c.k), What: "propose"})
	end := time.Now().Add(wait)
	heard := false
	for time.Now().Before(end) {
		if !heard {
			r, err := m.client.Ask(q, min(2*time.Second, time.Until(end)))
			heard = err == nil
			if err == nil && r.Change != nil {
				m.note(c, *r.Change)
			}
		} else if r, err := m.client.Ask(cluster.Ask{Do: "fate", ID: c.id}, 500*time.Millisecond); err == nil && r.Change != nil {
			m.note(c, *r.Change)
		}
		m.mu.Lock()
		done := c.fate != policy.UnderWay
		m.mu.Unlock()
		if done {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return c
}

func (m *marking) note(c *proposal, r policy.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Fate == policy.UnderWay {
		return
	}
	if c.fate != policy.UnderWay {
		if c.fate != r.Fate || c.version != r.Version {
			m.f.breaks("outcome", "change %d was %s as version %d, and is %s as %d", c.k, c.fate, c.version, r.Fate, r.Version)
		}
		return
	}
	c.fate, c.version, c.to = r.Fate, r.Version, m.f.net.Now()
	m.f.history.add(Record{Kind: "change", Who: strconv.Itoa(c.k), What: string(c.fate), Detail: r.Why})
}

// start begins proposals and marks.
func (m *marking) start() {
	defer close(m.begun)
	stop := &m.f.stop
	m.measureRest()
	if every := m.f.plan.Cluster.EveryS; every > 0 {
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			for due := time.Now().Add(seconds(every) / 2); !stop.Load(); due = due.Add(seconds(every)) {
				for time.Now().Before(due) && !stop.Load() {
					time.Sleep(10 * time.Millisecond)
				}
				if !stop.Load() {
					m.propose(max(4*time.Second, seconds(every)))
				}
			}
		}()
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		due := time.Now()
		for i := 0; !stop.Load(); i++ {
			due = due.Add(time.Duration(float64(time.Second) / m.f.plan.Cluster.Marks))
			time.Sleep(time.Until(due))
			m.mu.Lock()
			last := len(m.all)
			m.mu.Unlock()
			// Of the newest few, so that the answer says something.
			if k := last - (i*7/3)%4; k > 0 {
				g := m.f.gateways[(i*31)%len(m.f.gateways)]
				m.wg.Add(1)
				go func() {
					defer m.wg.Done()
					m.ask(g, k, i)
				}()
			}
		}
	}()
}

// ask sends a mark.
func (m *marking) ask(g *gateway, k, i int) {
	f := m.f
	if g.down.Load() && !g.stopped.Load() { // one that stands still is asked: what comes then?
		return
	}
	id := fmt.Sprintf("m%x-%d", f.plan.Seed, i)
	f.mu.Lock()
	f.judge.Request(id)
	f.mu.Unlock()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://service.internal/api")
	for key, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "mark-" + strconv.Itoa(k), "X-Tier": "basic",
		"Cookie": fmt.Sprintf("client=%016x", 1<<20+i%50), "X-Timeout": "3.000", "X-Call-Terms": "units=1,spread=1,first=" + strconv.Itoa(g.index)} {
		req.Header.Set(key, v)
	}
	at := f.net.Now()
	err := f.load.clients[g.index].DoTimeout(req, resp, 8*time.Second)
	now := f.net.Now()
	if err != nil {
		return
	}
	status := resp.StatusCode()
	f.mu.Lock()
	f.judge.ClientAnswered(id, status, resp.Body(), 0)
	f.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case status == 200:
		m.marks = append(m.marks, mark{k, at, now, true, g.index})
	case status == 400 && strings.Contains(string(resp.Body()), "unknown class"):
		m.marks = append(m.marks, mark{k, at, now, false, g.index})
	case status == 503:
		m.closed++
	}
}

// leader is the gateway that leads now.
func (f *Field) leader() (int, error) {
	if f.marking == nil {
		return 0, errors.New("the run has no cluster")
	}
	r, err := f.marking.client.Ask(cluster.Ask{Do: "status"}, 3*time.Second)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimPrefix(r.Leader.Name, "g-"))
}

// leads puts the leader's name where a fault says leader.
func (f *Field) leads(words []string) ([]string, error) {
	if !slices.Contains(words, "leader") {
		return words, nil
	}
	i, err := f.leader()
	if err != nil {
		return nil, err
	}
	words = slices.Clone(words)
	for n, w := range words {
		if w == "leader" {
			words[n] = "g-" + strconv.Itoa(i)
		}
	}
	return words, nil
}

// onCluster carries out a fault of the cluster's operators.
func (f *Field) onCluster(fault *Fault) error {
	switch fault.Kind {
	case "propose":
		go f.marking.propose(10 * time.Second)
	case "propose-killed": // at a command line, which is killed so long after its start
		m := f.marking
		m.mu.Lock()
		c := &proposal{k: len(m.all) + 1, fate: policy.UnderWay, from: f.net.Now()}
		m.all = append(m.all, c)
		m.mu.Unlock()
		file := filepath.Join(f.folder.path, fmt.Sprintf("policy-%d.json", c.k))
		if err := os.WriteFile(file, f.policyText(c.k, false), 0o600); err != nil {
			return err
		}
		cmd := exec.Command(f.opt.Binary, "policy", "propose", file, "--wait", "5s")
		cmd.Env = append(os.Environ(), "ASTERWELL_CLUSTER="+filepath.Join(f.gateways[0].Dir, "cluster.json"))
		if err := cmd.Start(); err != nil {
			return err
		}
		f.folder.note(cmd.Process.Pid)
		time.Sleep(time.Duration(fault.Ms * float64(time.Millisecond)))
		cmd.Process.Kill()
		cmd.Wait()
		go m.adopt(c)
	case "replace-voter":
		old, err := f.leads(fault.Who)
		if err != nil {
			return err
		}
		i, err := strconv.Atoi(strings.TrimPrefix(fault.To[0], "g-"))
		if err != nil {
			return err
		}
		self, err := (&cluster.Client{Cfg: f.clusterFile(i, false)}).Self(3 * time.Second)
		if err != nil {
			return err
		}
		_, err = f.marking.client.Ask(cluster.Ask{Do: "replace", Old: old[0], New: self}, 5*time.Second)
		if err != nil {
			return err
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			r, err := f.marking.client.Ask(cluster.Ask{Do: "status"}, time.Second)
			if err == nil && slices.ContainsFunc(r.Voters, func(p cluster.Peer) bool { return p.ID == self.ID }) && slices.Contains(r.Votes, self.Name) {
				return nil
			}
		}
		return fmt.Errorf("%s has not become a voter in the place of %s", self.Name, old[0])
	}
	return nil
}

// adopt finds out, by its text, which change a killed proposer has made, if any.
func (m *marking) adopt(c *proposal) {
	want := fmt.Sprintf("mark-%d\"", c.k)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		h, err := m.client.Ask(cluster.Ask{Do: "history"}, time.Second)
		if err != nil {
			continue
		}
		for _, x := range h.Changes {
			if x.Fate != policy.Committed {
				continue
			}
			if s, err := m.client.Ask(cluster.Ask{Do: "show", Version: x.Version}, time.Second); err == nil && strings.Contains(string(s.Change.Text), want) {
				c.id = x.ID
				m.note(c, x)
				return
			}
		}
	}
}

// diskFull lets a gateway's log grow no more.
func (g *gateway) diskFull(fault *Fault) error {
	info, err := os.Stat(filepath.Join(g.Dir, "log", "log.db"))
	if err != nil {
		return err
	}
	g.mu.Lock()
	pid := g.id.PID
	g.mu.Unlock()
	var before unix.Rlimit
	now := unix.Rlimit{Cur: uint64(info.Size())}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &before); err != nil {
		return err
	}
	now.Max = before.Max
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &now, nil); err != nil {
		return err
	}
	g.f.then(fault, func() { unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil) })
	return nil
}
