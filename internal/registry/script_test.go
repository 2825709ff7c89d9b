package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
	"asterwell/internal/memberlist/links"
)

const (
	seed      = 7
	heartbeat = 1500 * time.Millisecond
)

// gateway is a process with its membership and its registry.
type gateway struct {
	w            *world
	number       int
	addr         string
	members      *memberlist.Machine
	registry     *Machine
	reportedGone int // nodes that it has reported gone
}

func (g *gateway) applyMembers(now fsm.Time, o memberlist.Out) []fsm.Send {
	g.reportedGone += len(o.Failed)
	sends := o.Send
	if o.Changed {
		sends = append(sends, g.applyRegistry(g.registry.SetNodes(now, g.members.View()))...)
	}
	return sends
}

func (g *gateway) applyRegistry(o Out) []fsm.Send {
	for _, a := range o.Answers {
		g.w.answered(g, a)
	}
	for _, s := range o.Changes {
		g.w.changes[s.ID+" "+s.Phase.String()]++
	}
	return o.Send
}

func (g *gateway) Tick(now fsm.Time) []fsm.Send {
	return append(g.applyMembers(now, g.members.Tick(now)), g.applyRegistry(g.registry.Tick(now))...)
}

func (g *gateway) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	if strings.HasPrefix(fmt.Sprintf("%T", msg), "memberlist.") {
		return g.applyMembers(now, g.members.Receive(now, from, msg))
	}
	return g.applyRegistry(g.registry.Receive(now, from, msg))
}

// server sends heartbeats: to the gateway that it was told, and to another one if that fails.
type server struct {
	Heartbeat
	gatewayNumber int
	next          fsm.Time
	stopped       bool
}

type world struct {
	t               *testing.T
	net             *links.Network
	gateways        []*gateway
	rand            *rand.Rand
	up              map[int]bool // running, not paused
	frozen          map[int]bool // paused
	seeds           []string
	blocked         map[[2]int]bool
	untroubledSince map[int]fsm.Time // time of the last fault
	servers         map[string]*server
	calls           map[uint64]string
	confirmedAt     map[string]fsm.Time // when a leaving server's call succeeded
	changes         map[string]int      // changes passed to data planes, by ID and phase
	lastCall        uint64
}

func address(number int) string { return fmt.Sprintf("10.%d.0.%d:7000", number%3, number) }

func (w *world) startGateway(number int) {
	g := &gateway{w: w, number: number, addr: address(number)}
	self := memberlist.Node{Addr: g.addr, Name: fmt.Sprintf("edge-%d", number), Zone: fmt.Sprintf("z%d", number%3),
		Control: fmt.Sprintf("10.%d.0.%d:8042", number%3, number), Member: number < 3, Incarnation: 1}
	g.members = memberlist.New(self, w.seeds, w.rand.Uint64(), w.net.Now)
	g.registry = New(g.addr, self.Zone, heartbeat, w.rand.Uint64(), w.net.Now)
	if number < len(w.gateways) {
		g.reportedGone = w.gateways[number].reportedGone
		w.gateways[number] = g
	} else {
		w.gateways = append(w.gateways, g)
	}
	w.up[number], w.untroubledSince[number] = true, w.net.Now
	w.net.Start(g.addr, g)
}

// answered checks that a leaving server's call only succeeds if all gateways in contact know of
// it.
func (w *world) answered(by *gateway, a Answer) {
	id := w.calls[a.Call]
	delete(w.calls, a.Call)
	if !a.OK {
		return
	}
	if s := w.servers[id]; s != nil && a.Target != "" {
		for _, g := range w.gateways {
			if fmt.Sprintf("10.%d.0.%d:8042", g.number%3, g.number) == a.Target {
				s.gatewayNumber = g.number
			}
		}
	}
	name, leaves := strings.CutPrefix(id, "-")
	if !leaves {
		return
	}
	w.confirmedAt[name] = w.net.Now
	for _, g := range w.gateways {
		if !w.up[g.number] || w.blocked[[2]int{by.number, g.number}] || w.blocked[[2]int{g.number, by.number}] ||
			w.net.Now-w.untroubledSince[g.number] < 3*time.Second || w.net.Now-w.untroubledSince[by.number] < 3*time.Second {
			continue
		}
		if it := g.registry.items[name]; it == nil || it.Phase < Quiescing {
			w.t.Errorf("%v: the call of %s succeeded, and gateway %d doesn't know it", w.net.Now, name, g.number)
		}
	}
}

func (w *world) sendHeartbeats() {
	for _, id := range slices.Sorted(maps.Keys(w.servers)) {
		if s := w.servers[id]; !s.stopped && w.net.Now >= s.next {
			w.sendHeartbeat(s)
		}
	}
}

func (w *world) sendHeartbeat(s *server) {
	s.next = w.net.Now + heartbeat
	for try := 0; !w.up[s.gatewayNumber]; try++ {
		s.gatewayNumber = (s.gatewayNumber + 1) % len(w.gateways)
		if try > len(w.gateways) {
			return
		}
	}
	s.Seq++
	w.lastCall++
	w.calls[w.lastCall] = s.ID
	if s.Quiescing {
		w.calls[w.lastCall] = "-" + s.ID
	}
	g := w.gateways[s.gatewayNumber]
	w.net.Send(g.addr, g.applyRegistry(g.registry.Heartbeat(w.net.Now, w.lastCall, s.Heartbeat)))
}

func (w *world) run(d time.Duration) {
	for end := w.net.Now + d; w.net.Now < end; {
		w.sendHeartbeats()
		w.net.Run(min(10*time.Millisecond, end-w.net.Now))
	}
}

// waitFor lets time pass until the condition holds.
func (w *world) waitFor(line string, within time.Duration, condition func() string) {
	w.t.Helper()
	problem := ""
	for end := w.net.Now + within; w.net.Now <= end; w.run(10 * time.Millisecond) {
		if problem = condition(); problem == "" {
			w.t.Logf("%s: %v", line, w.net.Now-end+within)
			return
		}
	}
	w.t.Fatalf("%v: %s: %s", w.net.Now, line, problem)
}

func (w *world) eachUp(check func(g *gateway) string) string {
	for _, g := range w.gateways {
		if w.up[g.number] {
			if problem := check(g); problem != "" {
				return fmt.Sprintf("gateway %d %s", g.number, problem)
			}
		}
	}
	return ""
}

func numbers(list string) (result []int) {
	for _, f := range strings.Split(list, ",") {
		from, to, ok := strings.Cut(f, "-")
		first, _ := strconv.Atoi(from)
		last := first
		if ok {
			last, _ = strconv.Atoi(to)
		}
		for ; first <= last; first++ {
			result = append(result, first)
		}
	}
	return result
}

// execute runs one line. The scripts in testdata say what each one is for.
func (w *world) execute(line string) {
	f := strings.Fields(line)
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	span := func(i int) time.Duration {
		d, err := time.ParseDuration(arg(i))
		if err != nil {
			w.t.Fatalf("%s: %v", line, err)
		}
		return d
	}
	trouble := func(number int) { w.untroubledSince[number] = w.net.Now }
	switch f[0] {
	case "seeds":
		w.seeds = nil
		for _, number := range numbers(f[1]) {
			w.seeds = append(w.seeds, address(number))
		}
	case "boot":
		for _, number := range numbers(f[1]) {
			w.startGateway(number)
			w.net.Run(time.Millisecond)
		}
	case "kill", "freeze", "thaw":
		for _, number := range numbers(f[1]) {
			w.up[number] = f[0] == "thaw"
			trouble(number)
			map[string]func(string){"kill": w.net.Kill, "freeze": w.net.Pause, "thaw": w.net.Resume}[f[0]](address(number))
		}
	case "cut": // cut 0-2 3-10: both ways; cut 0-2 > 3-10: messages of the first group are lost
		oneWay := f[2] == ">"
		for _, a := range numbers(f[1]) {
			for _, b := range numbers(f[len(f)-1]) {
				w.blocked[[2]int{a, b}] = true
				w.blocked[[2]int{b, a}] = w.blocked[[2]int{b, a}] || !oneWay
				trouble(a)
				trouble(b)
			}
		}
	case "heal":
		for l := range w.blocked {
			trouble(l[0])
			trouble(l[1])
		}
		clear(w.blocked)
	case "loss":
		w.net.Loss, _ = strconv.ParseFloat(f[1], 64)
	case "run":
		w.run(span(1))
	case "leave":
		g := w.gateways[numbers(f[1])[0]]
		w.net.Send(g.addr, g.applyMembers(w.net.Now, g.members.Leave(w.net.Now)))
	case "held":
		w.gateways[numbers(f[1])[0]].members.SetConfigVersion(uint32(numbers(f[2])[0]))
	case "server": // server ID service zone addr gateway
		w.servers[f[1]] = &server{gatewayNumber: numbers(f[5])[0], next: w.net.Now, Heartbeat: Heartbeat{ID: f[1],
			Service: f[2], Zone: f[3], Addr: f[4], Epoch: "v1", Capacity: 4, WarmMs: 2000}}
	case "servers": // servers N: of nine services, over the zones
		n, _ := strconv.Atoi(f[1])
		for i := range n {
			w.execute(fmt.Sprintf("server s%d svc%d z%d 10.9.%d.%d:80 %d", i, i%9, i%3, i/250, i%250, i%len(w.gateways)))
			w.run(10 * time.Millisecond)
		}
	case "crash":
		w.servers[f[1]].stopped = true
	case "quiesce": // quiesce ID [gateway]
		s := w.servers[f[1]]
		s.Quiescing = true
		if len(f) > 2 {
			s.gatewayNumber = numbers(f[2])[0]
		}
		w.sendHeartbeat(s)
	case "delete": // delete ID gateway
		w.lastCall++
		w.calls[w.lastCall] = "-" + f[1]
		if s := w.servers[f[1]]; s != nil {
			s.stopped = true
		}
		g := w.gateways[numbers(f[2])[0]]
		w.net.Send(g.addr, g.applyRegistry(g.registry.Deregister(w.net.Now, w.lastCall, f[1])))
	case "late": // late ID seq gateway: an old heartbeat arrives
		s := *w.servers[f[1]]
		s.Quiescing, s.Seq = false, uint64(numbers(f[2])[0])
		g := w.gateways[numbers(f[3])[0]]
		w.net.Send(g.addr, g.applyRegistry(g.registry.Heartbeat(w.net.Now, 0, s.Heartbeat)))
	case "release": // release N D: N of the servers replaced in D
		w.replaceServers(numbers(f[1])[0], span(2))
	case "spent": // spent MOST: bytes that one process has sent since last asked
		maxBytes := 0
		for _, b := range w.net.BytesSent {
			maxBytes = max(maxBytes, b)
		}
		clear(w.net.BytesSent)
		w.t.Logf("%s: at most %d bytes by one process", line, maxBytes)
		if maxBytes > numbers(f[1])[0] {
			w.t.Errorf("%s: %d", line, maxBytes)
		}
		w.logMessageCounts()
	case "storm": // storm D: random faults, then all recover
		w.storm(span(1))
	case "expect":
		w.expect(line, f)
	case "rest": // rest D MOST: bytes per second and process while idle
		w.measureIdle(line, span(1), numbers(f[2])[0])
	default:
		w.t.Fatalf("%s: unknown command", line)
	}
}

func (w *world) replaceServers(n int, d time.Duration) {
	clear(w.net.BytesSent)
	w.net.TakeMessageCounts()
	each := d / time.Duration(n)
	for i := range n {
		old := w.servers[fmt.Sprintf("s%d", i)]
		id := fmt.Sprintf("n%d", i)
		w.execute(fmt.Sprintf("server %s %s %s 10.8.%d.%d:80 %d", id, old.Service, old.Zone, i/250, i%250, i%len(w.gateways)))
		w.execute("quiesce " + old.ID)
		w.run(each)
		w.execute(fmt.Sprintf("delete %s %d", old.ID, old.gatewayNumber))
	}
	maxBytes := 0
	for _, b := range w.net.BytesSent {
		maxBytes = max(maxBytes, b)
	}
	rate := float64(maxBytes) / d.Seconds()
	w.t.Logf("replacement of %d in %v: at most %.0f bytes/s from one process", n, d, rate)
	if rate > 60_000 {
		w.t.Errorf("more than 60 kB/s from one process, which 2 Mbit/s with traffic can't carry")
	}
}

func (w *world) storm(d time.Duration) {
	n, started := len(w.gateways), 0
	list := func(k int) string { return strconv.Itoa(k) }
	for end := w.net.Now + d; w.net.Now < end; w.run(time.Duration(100+w.rand.IntN(900)) * time.Millisecond) {
		a, b := w.rand.IntN(n), w.rand.IntN(n)
		half := fmt.Sprintf("0-%d %s%d-%d", n/2, [...]string{"", "> "}[w.rand.IntN(2)], n/2+1, n-1)
		switch w.rand.IntN(9) {
		case 0:
			if w.up[a] && !w.frozen[a] {
				w.execute("kill " + list(a))
			}
		case 1:
			if w.up[a] {
				w.frozen[a] = true
				w.execute("freeze " + list(a))
			}
		case 2:
			w.recoverGateway(a)
		case 3:
			w.execute("cut " + list(a) + " > " + list(b))
		case 4:
			w.execute("cut " + half)
		case 5, 6:
			w.execute("heal")
		case 7, 8:
			started++
			w.execute(fmt.Sprintf("server r%d svc%d z%d 10.7.0.%d:80 %d", started, started%4, started%3, started%9, a))
			if old := w.servers[fmt.Sprintf("r%d", started-5)]; old != nil {
				w.execute("quiesce " + old.ID)
				old.stopped = true
			}
		}
	}
	w.execute("heal")
	for number := range n {
		w.recoverGateway(number)
	}
}

func (w *world) recoverGateway(number int) {
	switch {
	case w.frozen[number]:
		w.execute("thaw " + strconv.Itoa(number))
		delete(w.frozen, number)
	case !w.up[number]:
		w.execute("boot " + strconv.Itoa(number))
	}
}

func (w *world) logMessageCounts() {
	count, length := w.net.TakeMessageCounts()
	for _, k := range slices.Sorted(maps.Keys(count)) {
		w.t.Logf("  %-12s %6d of %4d bytes", k, count[k], length[k]/count[k])
	}
}

func (w *world) measureIdle(line string, d time.Duration, limit int) {
	clear(w.net.BytesSent)
	w.net.TakeMessageCounts()
	w.run(d)
	sum, maxBytes := 0, 0
	for _, b := range w.net.BytesSent {
		sum += b
		maxBytes = max(maxBytes, b)
	}
	mean := float64(sum) / d.Seconds() / float64(len(w.gateways))
	w.t.Logf("%s: %d processes, %d servers: %.0f bytes/s each (with frame overhead), at most %.0f", line,
		len(w.gateways), len(w.servers), mean, float64(maxBytes)/d.Seconds())
	w.logMessageCounts()
	if int(mean) > limit {
		w.t.Errorf("%s: %.0f bytes/s", line, mean)
	}
}

// expect checks a condition; with "within D" it waits for it at most that long.
func (w *world) expect(line string, f []string) {
	w.t.Helper()
	within := time.Duration(0)
	if n := len(f); f[n-2] == "within" {
		within, _ = time.ParseDuration(f[n-1])
		f = f[:n-2]
	}
	var condition func() string
	switch f[1] {
	case "up": // up NODES: all running ones see exactly these
		var want []string
		for _, number := range numbers(f[2]) {
			want = append(want, address(number))
		}
		slices.Sort(want)
		among := numbers(f[2])
		if len(f) > 4 { // up NODES at NODES
			among = numbers(f[4])
		}
		condition = func() string {
			return w.eachUp(func(g *gateway) string {
				var got []string
				for _, n := range g.members.UpNodes() {
					got = append(got, n.Addr)
				}
				if slices.Contains(among, g.number) && !slices.Equal(got, want) {
					return fmt.Sprintf("sees %d up, not %d: %v", len(got), len(want), got)
				}
				return ""
			})
		}
	case "node": // node NODE life|held N
		condition = func() string {
			return w.eachUp(func(g *gateway) string {
				for _, n := range g.members.View() {
					got := map[string]string{"life": fmt.Sprint(n.Incarnation), "held": fmt.Sprint(n.ConfigVersion)}[f[3]]
					if n.Addr == address(numbers(f[2])[0]) && got != f[4] {
						return "sees " + got
					}
				}
				return ""
			})
		}
	case "gone": // gone N [at NODES]: number of nodes reported gone, by all together, since the last check
		condition = func() string {
			sum := 0
			for _, g := range w.gateways {
				if len(f) < 5 || slices.Contains(numbers(f[4]), g.number) {
					sum += g.reportedGone
				}
				g.reportedGone = 0
			}
			if fmt.Sprint(sum) != f[2] && (f[2] != "some" || sum == 0) {
				return fmt.Sprintf("%d reported gone", sum)
			}
			return ""
		}
	case "server": // server ID PHASE|none
		condition = func() string {
			return w.eachUp(func(g *gateway) string {
				got := "none"
				if it := g.registry.items[f[2]]; it != nil {
					got = it.Phase.String()
				}
				if got != f[3] {
					return "has " + got
				}
				return ""
			})
		}
	case "same": // all tables are equal
		condition = func() string {
			want, first := uint64(0), true
			return w.eachUp(func(g *gateway) string {
				if first {
					want, first = g.registry.tableDigest, false
				}
				if !g.registry.Complete() {
					return "has no complete table"
				}
				if g.registry.tableDigest != want {
					return "has another table"
				}
				return ""
			})
		}
	case "answered": // answered ID
		condition = func() string {
			if _, ok := w.confirmedAt[f[2]]; !ok {
				return "no answer yet"
			}
			return ""
		}
	case "never": // never ID PHASE: no gateway has reported it since the last check
		condition = func() string {
			n := w.changes[f[2]+" "+f[3]]
			clear(w.changes)
			if n > 0 {
				return fmt.Sprintf("reported %d times", n)
			}
			return ""
		}
	case "home": // home ID: its heartbeats go to its home
		condition = func() string {
			s := w.servers[f[2]]
			it := w.gateways[s.gatewayNumber].registry.items[s.ID]
			if h := w.gateways[s.gatewayNumber].registry.homeOf(it.Server); h != address(s.gatewayNumber) {
				return fmt.Sprintf("sends heartbeats to gateway %d, not %s", s.gatewayNumber, h)
			}
			return ""
		}
	case "total": // total N servers serving, everywhere
		condition = func() string {
			return w.eachUp(func(g *gateway) string {
				if st := g.registry.Status(); fmt.Sprint(st.Serving) != f[2] {
					return fmt.Sprintf("has %+v", st)
				}
				return ""
			})
		}
	default:
		w.t.Fatalf("%s: unknown command", line)
	}
	w.waitFor(line, within, condition)
}

func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scripts")
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			w := &world{t: t, up: map[int]bool{}, frozen: map[int]bool{}, rand: rand.New(rand.NewPCG(seed, 2)),
				blocked: map[[2]int]bool{}, untroubledSince: map[int]fsm.Time{},
				servers: map[string]*server{}, calls: map[uint64]string{}, confirmedAt: map[string]fsm.Time{},
				changes: map[string]int{}}
			w.net = links.New(seed, func(err error) { t.Error(err) })
			w.net.Blocked = func(from, to string) bool {
				var a, b, x int
				fmt.Sscanf(from, "10.%d.0.%d:", &x, &a)
				fmt.Sscanf(to, "10.%d.0.%d:", &x, &b)
				return w.blocked[[2]int{a, b}]
			}
			for line := range strings.Lines(string(text)) {
				line, _, _ = strings.Cut(strings.TrimSpace(line), "#")
				if line != "" {
					w.execute(line)
				}
			}
		})
	}
}
