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

// gate is a process with both machines.
type gate struct {
	w     *world
	no    int
	addr  string
	bond  *memberlist.Machine
	lore  *Machine
	silly int // nodes it has reported gone
}

func (g *gate) member(now fsm.Time, o memberlist.Out) []fsm.Send {
	g.silly += len(o.Failed)
	sends := o.Send
	if o.Changed {
		sends = append(sends, g.table(g.lore.SetNodes(now, g.bond.View()))...)
	}
	return sends
}

func (g *gate) table(o Out) []fsm.Send {
	for _, a := range o.Answers {
		g.w.answered(g, a)
	}
	for _, s := range o.Changes {
		g.w.said[s.ID+" "+s.Phase.String()]++
	}
	return o.Send
}

func (g *gate) Tick(now fsm.Time) []fsm.Send {
	return append(g.member(now, g.bond.Tick(now)), g.table(g.lore.Tick(now))...)
}

func (g *gate) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	if strings.HasPrefix(fmt.Sprintf("%T", msg), "memberlist.") {
		return g.member(now, g.bond.Receive(now, from, msg))
	}
	return g.table(g.lore.Receive(now, from, msg))
}

// server beats like one: it goes where it was told, and elsewhere if that fails.
type server struct {
	Heartbeat
	gate int
	next fsm.Time
	over bool
}

type world struct {
	t       *testing.T
	net     *links.Network
	gates   []*gate
	rand    *rand.Rand
	up      map[int]bool // running, not frozen
	ice     map[int]bool // frozen
	seeds   []string
	shut    map[[2]int]bool
	calm    map[int]fsm.Time // since when there's no trouble
	servers map[string]*server
	calls   map[uint64]string
	ok      map[string]fsm.Time // calls answered
	said    map[string]int      // changes told to data planes, by ID and phase
	call    uint64
}

func address(no int) string { return fmt.Sprintf("10.%d.0.%d:7000", no%3, no) }

func (w *world) boot(no int) {
	g := &gate{w: w, no: no, addr: address(no)}
	self := memberlist.Node{Addr: g.addr, Name: fmt.Sprintf("edge-%d", no), Zone: fmt.Sprintf("z%d", no%3),
		Control: fmt.Sprintf("10.%d.0.%d:8042", no%3, no), Member: no < 3, Incarnation: 1}
	g.bond = memberlist.New(self, w.seeds, w.rand.Uint64(), w.net.Now)
	g.lore = New(g.addr, self.Zone, heartbeat, w.rand.Uint64(), w.net.Now)
	if no < len(w.gates) {
		g.silly = w.gates[no].silly
		w.gates[no] = g
	} else {
		w.gates = append(w.gates, g)
	}
	w.up[no], w.calm[no] = true, w.net.Now
	w.net.Start(g.addr, g)
}

// answered checks the promise: who was told yes is known to leave by all in touch.
func (w *world) answered(by *gate, a Answer) {
	id := w.calls[a.Call]
	delete(w.calls, a.Call)
	if !a.OK {
		return
	}
	if s := w.servers[id]; s != nil && a.Target != "" {
		for _, g := range w.gates {
			if fmt.Sprintf("10.%d.0.%d:8042", g.no%3, g.no) == a.Target {
				s.gate = g.no
			}
		}
	}
	name, leaves := strings.CutPrefix(id, "-")
	if !leaves {
		return
	}
	w.ok[name] = w.net.Now
	for _, g := range w.gates {
		if !w.up[g.no] || w.shut[[2]int{by.no, g.no}] || w.shut[[2]int{g.no, by.no}] ||
			w.net.Now-w.calm[g.no] < 3*time.Second || w.net.Now-w.calm[by.no] < 3*time.Second {
			continue
		}
		if it := g.lore.items[name]; it == nil || it.Phase < Quiescing {
			w.t.Errorf("%v: %s was told yes, and gate %d doesn't know it", w.net.Now, name, g.no)
		}
	}
}

func (w *world) beats() {
	for _, id := range slices.Sorted(maps.Keys(w.servers)) {
		if s := w.servers[id]; !s.over && w.net.Now >= s.next {
			w.beat(s)
		}
	}
}

func (w *world) beat(s *server) {
	s.next = w.net.Now + heartbeat
	for try := 0; !w.up[s.gate]; try++ {
		s.gate = (s.gate + 1) % len(w.gates)
		if try > len(w.gates) {
			return
		}
	}
	s.Seq++
	w.call++
	w.calls[w.call] = s.ID
	if s.Quiescing {
		w.calls[w.call] = "-" + s.ID
	}
	g := w.gates[s.gate]
	w.net.Send(g.addr, g.table(g.lore.Heartbeat(w.net.Now, w.call, s.Heartbeat)))
}

func (w *world) run(d time.Duration) {
	for end := w.net.Now + d; w.net.Now < end; {
		w.beats()
		w.net.Run(min(10*time.Millisecond, end-w.net.Now))
	}
}

// until lets time pass until it holds.
func (w *world) until(line string, within time.Duration, holds func() string) {
	w.t.Helper()
	why := ""
	for end := w.net.Now + within; w.net.Now <= end; w.run(10 * time.Millisecond) {
		if why = holds(); why == "" {
			w.t.Logf("%s: %v", line, w.net.Now-end+within)
			return
		}
	}
	w.t.Fatalf("%v: %s: %s", w.net.Now, line, why)
}

func (w *world) eachUp(check func(g *gate) string) string {
	for _, g := range w.gates {
		if w.up[g.no] {
			if why := check(g); why != "" {
				return fmt.Sprintf("gate %d %s", g.no, why)
			}
		}
	}
	return ""
}

func numbers(list string) (nos []int) {
	for _, f := range strings.Split(list, ",") {
		from, to, ok := strings.Cut(f, "-")
		a, _ := strconv.Atoi(from)
		b := a
		if ok {
			b, _ = strconv.Atoi(to)
		}
		for ; a <= b; a++ {
			nos = append(nos, a)
		}
	}
	return nos
}

// do runs one line. The scripts in testdata say what each one is for.
func (w *world) do(line string) {
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
	trouble := func(no int) { w.calm[no] = w.net.Now }
	switch f[0] {
	case "seeds":
		w.seeds = nil
		for _, no := range numbers(f[1]) {
			w.seeds = append(w.seeds, address(no))
		}
	case "boot":
		for _, no := range numbers(f[1]) {
			w.boot(no)
			w.net.Run(time.Millisecond)
		}
	case "kill", "freeze", "thaw":
		for _, no := range numbers(f[1]) {
			w.up[no] = f[0] == "thaw"
			trouble(no)
			map[string]func(string){"kill": w.net.Kill, "freeze": w.net.Pause, "thaw": w.net.Resume}[f[0]](address(no))
		}
	case "cut": // cut 0-2 3-10: both ways; cut 0-2 > 3-10: what the first say doesn't arrive
		one := f[2] == ">"
		for _, a := range numbers(f[1]) {
			for _, b := range numbers(f[len(f)-1]) {
				w.shut[[2]int{a, b}] = true
				w.shut[[2]int{b, a}] = w.shut[[2]int{b, a}] || !one
				trouble(a)
				trouble(b)
			}
		}
	case "heal":
		for l := range w.shut {
			trouble(l[0])
			trouble(l[1])
		}
		clear(w.shut)
	case "loss":
		w.net.Loss, _ = strconv.ParseFloat(f[1], 64)
	case "run":
		w.run(span(1))
	case "leave":
		g := w.gates[numbers(f[1])[0]]
		w.net.Send(g.addr, g.member(w.net.Now, g.bond.Leave(w.net.Now)))
	case "held":
		w.gates[numbers(f[1])[0]].bond.SetConfigVersion(uint32(numbers(f[2])[0]))
	case "server": // server ID service zone addr gate
		w.servers[f[1]] = &server{gate: numbers(f[5])[0], next: w.net.Now, Heartbeat: Heartbeat{ID: f[1],
			Service: f[2], Zone: f[3], Addr: f[4], Epoch: "v1", Capacity: 4, WarmMs: 2000}}
	case "servers": // servers N: of nine services, over the zones
		n, _ := strconv.Atoi(f[1])
		for i := range n {
			w.do(fmt.Sprintf("server s%d svc%d z%d 10.9.%d.%d:80 %d", i, i%9, i%3, i/250, i%250, i%len(w.gates)))
			w.run(10 * time.Millisecond)
		}
	case "crash":
		w.servers[f[1]].over = true
	case "quiesce": // quiesce ID [gate]
		s := w.servers[f[1]]
		s.Quiescing = true
		if len(f) > 2 {
			s.gate = numbers(f[2])[0]
		}
		w.beat(s)
	case "delete": // delete ID gate
		w.call++
		w.calls[w.call] = "-" + f[1]
		if s := w.servers[f[1]]; s != nil {
			s.over = true
		}
		g := w.gates[numbers(f[2])[0]]
		w.net.Send(g.addr, g.table(g.lore.Deregister(w.net.Now, w.call, f[1])))
	case "late": // late ID seq gate: an old beat arrives
		s := *w.servers[f[1]]
		s.Quiescing, s.Seq = false, uint64(numbers(f[2])[0])
		g := w.gates[numbers(f[3])[0]]
		w.net.Send(g.addr, g.table(g.lore.Heartbeat(w.net.Now, 0, s.Heartbeat)))
	case "release": // release N D: N of the servers replaced in D
		w.release(numbers(f[1])[0], span(2))
	case "spent": // spent MOST: bytes that one process has sent since last asked
		most := 0
		for _, b := range w.net.BytesSent {
			most = max(most, b)
		}
		clear(w.net.BytesSent)
		w.t.Logf("%s: at most %d bytes by one process", line, most)
		if most > numbers(f[1])[0] {
			w.t.Errorf("%s: %d", line, most)
		}
		w.kinds()
	case "storm": // storm D: anything may happen; then all are well again
		w.storm(span(1))
	case "expect":
		w.expect(line, f)
	case "rest": // rest D MOST: bytes a second and node
		w.rest(line, span(1), numbers(f[2])[0])
	default:
		w.t.Fatalf("%s: what?", line)
	}
}

func (w *world) release(n int, d time.Duration) {
	clear(w.net.BytesSent)
	w.net.TakeMessageCounts()
	each := d / time.Duration(n)
	for i := range n {
		old := w.servers[fmt.Sprintf("s%d", i)]
		id := fmt.Sprintf("n%d", i)
		w.do(fmt.Sprintf("server %s %s %s 10.8.%d.%d:80 %d", id, old.Service, old.Zone, i/250, i%250, i%len(w.gates)))
		w.do("quiesce " + old.ID)
		w.run(each)
		w.do(fmt.Sprintf("delete %s %d", old.ID, old.gate))
	}
	most := 0
	for _, b := range w.net.BytesSent {
		most = max(most, b)
	}
	rate := float64(most) / d.Seconds()
	w.t.Logf("release of %d in %v: at most %.0f bytes a second from one process", n, d, rate)
	if rate > 60_000 {
		w.t.Errorf("that is too much for 2 Mbit/s beside the traffic")
	}
}

func (w *world) storm(d time.Duration) {
	n, made := len(w.gates), 0
	list := func(k int) string { return strconv.Itoa(k) }
	for end := w.net.Now + d; w.net.Now < end; w.run(time.Duration(100+w.rand.IntN(900)) * time.Millisecond) {
		a, b := w.rand.IntN(n), w.rand.IntN(n)
		half := fmt.Sprintf("0-%d %s%d-%d", n/2, [...]string{"", "> "}[w.rand.IntN(2)], n/2+1, n-1)
		switch w.rand.IntN(9) {
		case 0:
			if w.up[a] && !w.ice[a] {
				w.do("kill " + list(a))
			}
		case 1:
			if w.up[a] {
				w.ice[a] = true
				w.do("freeze " + list(a))
			}
		case 2:
			w.well(a)
		case 3:
			w.do("cut " + list(a) + " > " + list(b))
		case 4:
			w.do("cut " + half)
		case 5, 6:
			w.do("heal")
		case 7, 8:
			made++
			w.do(fmt.Sprintf("server r%d svc%d z%d 10.7.0.%d:80 %d", made, made%4, made%3, made%9, a))
			if old := w.servers[fmt.Sprintf("r%d", made-5)]; old != nil {
				w.do("quiesce " + old.ID)
				old.over = true
			}
		}
	}
	w.do("heal")
	for no := range n {
		w.well(no)
	}
}

func (w *world) well(no int) {
	switch {
	case w.ice[no]:
		w.do("thaw " + strconv.Itoa(no))
		delete(w.ice, no)
	case !w.up[no]:
		w.do("boot " + strconv.Itoa(no))
	}
}

func (w *world) kinds() {
	count, length := w.net.TakeMessageCounts()
	for _, k := range slices.Sorted(maps.Keys(count)) {
		w.t.Logf("  %-12s %6d of %4d bytes", k, count[k], length[k]/count[k])
	}
}

func (w *world) rest(line string, d time.Duration, most int) {
	clear(w.net.BytesSent)
	w.net.TakeMessageCounts()
	w.run(d)
	sum, top := 0, 0
	for _, b := range w.net.BytesSent {
		sum += b
		top = max(top, b)
	}
	mean := float64(sum) / d.Seconds() / float64(len(w.gates))
	w.t.Logf("%s: %d processes, %d servers: %.0f bytes a second each (frames counted), most %.0f", line,
		len(w.gates), len(w.servers), mean, float64(top)/d.Seconds())
	w.kinds()
	if int(mean) > most {
		w.t.Errorf("%s: %.0f bytes a second", line, mean)
	}
}

// expect checks; "within D" waits for it that long.
func (w *world) expect(line string, f []string) {
	w.t.Helper()
	within := time.Duration(0)
	if n := len(f); f[n-2] == "within" {
		within, _ = time.ParseDuration(f[n-1])
		f = f[:n-2]
	}
	var holds func() string
	switch f[1] {
	case "up": // up NODES: all running ones see exactly these
		var want []string
		for _, no := range numbers(f[2]) {
			want = append(want, address(no))
		}
		slices.Sort(want)
		among := numbers(f[2])
		if len(f) > 4 { // up NODES at NODES
			among = numbers(f[4])
		}
		holds = func() string {
			return w.eachUp(func(g *gate) string {
				var got []string
				for _, n := range g.bond.UpNodes() {
					got = append(got, n.Addr)
				}
				if slices.Contains(among, g.no) && !slices.Equal(got, want) {
					return fmt.Sprintf("sees %d up, not %d: %v", len(got), len(want), got)
				}
				return ""
			})
		}
	case "node": // node NODE life|held N
		holds = func() string {
			return w.eachUp(func(g *gate) string {
				for _, n := range g.bond.View() {
					got := map[string]string{"life": fmt.Sprint(n.Incarnation), "held": fmt.Sprint(n.ConfigVersion)}[f[3]]
					if n.Addr == address(numbers(f[2])[0]) && got != f[4] {
						return "sees " + got
					}
				}
				return ""
			})
		}
	case "gone": // gone N [at NODES]: so many were reported gone, by all together, since last asked
		holds = func() string {
			sum := 0
			for _, g := range w.gates {
				if len(f) < 5 || slices.Contains(numbers(f[4]), g.no) {
					sum += g.silly
				}
				g.silly = 0
			}
			if fmt.Sprint(sum) != f[2] && (f[2] != "some" || sum == 0) {
				return fmt.Sprintf("%d reported gone", sum)
			}
			return ""
		}
	case "server": // server ID PHASE|none
		holds = func() string {
			return w.eachUp(func(g *gate) string {
				got := "none"
				if it := g.lore.items[f[2]]; it != nil {
					got = it.Phase.String()
				}
				if got != f[3] {
					return "has " + got
				}
				return ""
			})
		}
	case "same": // all tables are alike
		holds = func() string {
			want, first := uint64(0), true
			return w.eachUp(func(g *gate) string {
				if first {
					want, first = g.lore.sum, false
				}
				if !g.lore.Complete() {
					return "isn't filled"
				}
				if g.lore.sum != want {
					return "has another table"
				}
				return ""
			})
		}
	case "answered": // answered ID
		holds = func() string {
			if _, ok := w.ok[f[2]]; !ok {
				return "no answer yet"
			}
			return ""
		}
	case "never": // never ID PHASE: nobody has said so since last asked
		holds = func() string {
			n := w.said[f[2]+" "+f[3]]
			clear(w.said)
			if n > 0 {
				return fmt.Sprintf("said %d times", n)
			}
			return ""
		}
	case "home": // home ID: it beats to its home, at most
		holds = func() string {
			s := w.servers[f[2]]
			it := w.gates[s.gate].lore.items[s.ID]
			if h := w.gates[s.gate].lore.home(it.Server); h != address(s.gate) {
				return fmt.Sprintf("beats to gate %d, not %s", s.gate, h)
			}
			return ""
		}
	case "total": // total N servers serving, everywhere
		holds = func() string {
			return w.eachUp(func(g *gate) string {
				if st := g.lore.Status(); fmt.Sprint(st.Serving) != f[2] {
					return fmt.Sprintf("has %+v", st)
				}
				return ""
			})
		}
	default:
		w.t.Fatalf("%s: what?", line)
	}
	w.until(line, within, holds)
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
			w := &world{t: t, up: map[int]bool{}, ice: map[int]bool{}, rand: rand.New(rand.NewPCG(seed, 2)),
				shut: map[[2]int]bool{}, calm: map[int]fsm.Time{},
				servers: map[string]*server{}, calls: map[uint64]string{}, ok: map[string]fsm.Time{},
				said: map[string]int{}}
			w.net = links.New(seed, func(err error) { t.Error(err) })
			w.net.Blocked = func(from, to string) bool {
				var a, b, x int
				fmt.Sscanf(from, "10.%d.0.%d:", &x, &a)
				fmt.Sscanf(to, "10.%d.0.%d:", &x, &b)
				return w.shut[[2]int{a, b}]
			}
			for line := range strings.Lines(string(text)) {
				line, _, _ = strings.Cut(strings.TrimSpace(line), "#")
				if line != "" {
					w.do(line)
				}
			}
		})
	}
}
