package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"asterwell/internal/adminapi"
	"asterwell/internal/controlplane"
	"asterwell/internal/daemon"
	"asterwell/internal/mailbox"
	"asterwell/internal/sysconfig"
)

// HollowSpec is what a process of hollow gateways is told in its first line.
type HollowSpec struct {
	Settings []string       // files, one for each gateway
	Regions  map[string]int // of every mesh address
	Real     []string       // mesh addresses of those that delay nothing themselves
	DelayMs  float64        // between regions, one way
	Tenants  int
	Bare     bool // without the data plane
}

// hollowWord is a line that it writes.
type hollowWord struct {
	Held  *hollowHeld       `json:",omitempty"`
	Count []adminapi.Frames `json:",omitempty"`
	Heap  uint64            `json:",omitempty"`
	Spent int64             `json:",omitempty"` // units of quotas that passed
	Short int64             `json:",omitempty"` // and that were refused
}

// hollowHeld says since when a gateway holds a version.
type hollowHeld struct {
	Name    string
	Version uint32
	At      int64 // ns
}

// hollow is a process of them.
type hollow struct {
	spec         HollowSpec
	mu           sync.Mutex
	out          *json.Encoder
	all          []*daemon.Process
	cut          atomic.Int64 // region; -1: none
	rate         atomic.Int64 // requests a second drawn at each
	spent, short atomic.Int64
}

const (
	hollowLook = 50 * time.Millisecond
	hollowDraw = 50 * time.Millisecond
)

// Hollow serves gateways without clients until its input ends. Lines in: the spec, then
// "count", "cut REGION", "join", "rate N"; lines out: hollowWord.
func Hollow(in io.Reader, out io.Writer) error {
	debug.SetGCPercent(25) // as daemon.New does
	runtime.GOMAXPROCS(1)  // as each real one has
	h := &hollow{out: json.NewEncoder(out)}
	h.cut.Store(-1)
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	if !lines.Scan() {
		return lines.Err()
	}
	if err := json.Unmarshal(lines.Bytes(), &h.spec); err != nil {
		return fmt.Errorf("the first line: %w", err)
	}
	readings := &controlplane.ParseCache{}
	for _, path := range h.spec.Settings {
		set, err := sysconfig.ReadSettings(path)
		if err != nil {
			return err
		}
		p, err := daemon.NewShared(path, set, daemon.SharedOptions{Log: io.Discard, ControlOnly: h.spec.Bare, ParseCache: readings, Link: h.link(fmt.Sprintf("%s:%d", set.IpAddr, set.PortRange[0]))})
		if err != nil {
			return err
		}
		h.all = append(h.all, p)
	}
	for _, p := range h.all {
		go p.Serve()
	}
	if len(h.all) > 0 {
		go h.watch()
	}
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		switch {
		case len(words) == 1 && words[0] == "count":
			h.count()
		case len(words) == 1 && words[0] == "join":
			h.cut.Store(-1)
		case len(words) == 2 && (words[0] == "cut" || words[0] == "rate"):
			n, err := strconv.ParseInt(words[1], 10, 64)
			if err != nil {
				return err
			}
			if words[0] == "cut" {
				h.cut.Store(n)
			} else {
				if h.rate.Store(n); n > 0 && h.spec.Tenants > 0 {
					go h.draw(float64(n))
				}
			}
		default:
			return fmt.Errorf("no such word: %q", lines.Text())
		}
	}
	return lines.Err()
}

func (h *hollow) say(w hollowWord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out.Encode(w)
}

// watch tells when each gateway holds another version. It only looks at an atomic.
func (h *hollow) watch() {
	held := make([]uint32, len(h.all))
	for range time.Tick(hollowLook) {
		for i, p := range h.all {
			if v := p.Version(); v != held[i] {
				held[i] = v
				h.say(hollowWord{Held: &hollowHeld{p.Name(), v, time.Now().UnixNano()}})
			}
		}
	}
}

func (h *hollow) count() {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	w := hollowWord{Heap: mem.HeapInuse, Spent: h.spent.Load(), Short: h.short.Load(), Count: []adminapi.Frames{}}
	for _, p := range h.all {
		w.Count = append(w.Count, p.FrameCounts())
	}
	h.say(w)
}

// draw spends tenants' quotas as requests of clients would, a few tenants most, until there
// is another rate.
func (h *hollow) draw(rate float64) {
	rng := rand.New(rand.NewPCG(uint64(rate), uint64(os.Getpid())))
	tenants := newDrawing(h.spec.Tenants)
	owed, last := 0.0, time.Now()
	for now := range time.Tick(hollowDraw) {
		if h.rate.Load() != int64(rate) {
			return
		}
		owed += rate * now.Sub(last).Seconds()
		for last = now; owed >= 1; owed-- {
			for _, p := range h.all {
				if p.TakeQuota(scaleTenant(tenants.next(rng))) {
					h.spent.Add(1)
				} else {
					h.short.Add(1)
				}
			}
		}
	}
}

// link makes frames between regions late, and loses them where one is cut off. A frame from a
// hollow gateway is late when it leaves; one from a real process, which knows no regions, when it comes.
func (h *hollow) link(self string) daemon.Link {
	type held struct {
		at      time.Time
		deliver func()
	}
	box := mailbox.NewBox[held](nil)
	go func() { // the delay is one for all, so that frames stay in their order
		for {
			for _, f := range box.Take(-1) {
				time.Sleep(time.Until(f.at))
				f.deliver()
			}
		}
	}()
	real := map[string]bool{}
	for _, a := range h.spec.Real {
		real[a] = true
	}
	mine, delay := h.spec.Regions[self], time.Duration(h.spec.DelayMs*float64(time.Millisecond))
	return func(peer string, out bool, deliver func()) {
		its := h.spec.Regions[peer]
		if its == mine {
			deliver()
			return
		}
		if cut := int(h.cut.Load()); cut == mine || cut == its {
			return
		}
		if delay == 0 || !out && !real[peer] {
			deliver()
			return
		}
		box.Put(held{time.Now().Add(delay), deliver})
	}
}
