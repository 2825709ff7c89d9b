package bench

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/storage"
	"asterwell/internal/systemsim"
)

// StateOptions of the measurement of what many changes leave.
type StateOptions struct {
	Seed                  uint64
	Changes, LargeChanges []int // saved, of a configuration of 30 routes, and of one of 4,800 routes and 12,000 tenants
	Missed, LargeMissed   []int // by a machine that comes back
	Dir                   string
	Progress              func(text string)
}

const (
	smallRoutes            = 30
	largeRoutes, largeUses = 4800, 12000
	largest                = 16 << 20 // bytes of a configuration that are taken
	largeEvery             = time.Second
)

// MeasureState saves so many changes as a member does, and plays ways back of a machine that missed as many.
func MeasureState(o StateOptions) (*Report, error) {
	r := &Report{Name: "state", Seed: o.Seed, Figure: map[string]any{}}
	r.Row("disk", "changes", "body B", "MB now", "MB most", "open ms", "save ms", "heap MB")
	small, large := systemsim.BodyOf(smallRoutes, 0), systemsim.BodyOf(largeRoutes, largeUses)
	for _, kind := range []struct {
		name    string
		body    []byte
		changes []int
	}{{"30 routes", small, o.Changes}, {"4,800 routes, 12,000 tenants", large, o.LargeChanges},
		{"the largest taken, of chance", chance(largest), []int{3}}} {
		for _, n := range kind.changes {
			g, err := grow(o.Dir, kind.body, n)
			if err != nil {
				return nil, err
			}
			o.Progress(fmt.Sprintf("%s, %d changes saved", kind.name, n))
			r.Row(kind.name, n, len(kind.body), mega(g.now), mega(g.most), g.open.Seconds()*1e3, g.save.Seconds()*1e3, mega(int64(g.heap)))
			r.Figure[fmt.Sprintf("disk_mb_%d_%d", len(kind.body), n)] = mega(g.most)
			r.Rule(g.most <= 64<<20, "%d changes of %d bytes take %.1f MB of disk", n, len(kind.body), mega(g.most))
		}
	}
	o.ways(r, len(large))
	return r, nil
}

// chance is a text that packs badly: drawn, in letters and digits.
func chance(n int) []byte {
	raw := make([]byte, n*3/4)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range raw {
		raw[i] = byte(r.Uint32())
	}
	return []byte(base64.StdEncoding.EncodeToString(raw))
}

func mega(n int64) float64 { return float64(n) / (1 << 20) }

// growth is what a folder came to.
type growth struct {
	now, most  int64 // bytes after the last save, and at any moment
	open, save time.Duration
	heap       uint64
}

// grow saves changes as a backup does: what is appended, then the same as committed.
func grow(in string, body []byte, changes int) (g growth, err error) {
	dir, err := os.MkdirTemp(in, "state-")
	if err != nil {
		return g, err
	}
	defer os.RemoveAll(dir)
	v, err := storage.Open(dir)
	if err != nil {
		return g, err
	}
	most, stop := watchSize(dir)
	began := time.Now()
	seats := []consensus.Member{{Addr: "10.0.0.1:7000", DiskID: 1 << 60}, {Addr: "10.0.0.2:7000", DiskID: 1 << 61}, {Addr: "10.0.0.3:7000", DiskID: 1 << 62}}
	d := consensus.DurableState{DiskID: seats[0].DiskID, Format: consensus.StateFormat, Record: consensus.EpochRecord{ClusterID: 1, Members: seats, OldMembers: seats, Active: true}}
	for _, s := range seats[1:] {
		d.KnownTokens = append(d.KnownTokens, consensus.KnownToken{Addr: s.Addr, DiskID: s.DiskID, Saves: 1 << 20, RunID: 1 << 60})
	}
	for i := range changes {
		doc := consensus.Doc{Version: uint32(i + 1), Body: body}
		for _, next := range []bool{true, false} {
			if d.Pending = (consensus.Doc{}); next {
				d.Pending = doc
			} else {
				d.Committed = doc
			}
			d.Saves++
			data, err := d.Encode()
			if err == nil {
				err = v.Save("pact", data)
			}
			if err != nil {
				return g, err
			}
		}
	}
	g.save = time.Since(began) / time.Duration(2*changes)
	stop()
	g.most, g.now = *most, sizeOf(dir)
	if err := v.Close(); err != nil {
		return g, err
	}
	began = time.Now()
	if v, err = storage.Open(dir); err != nil {
		return g, err
	}
	defer v.Close()
	data, err := v.Load("pact")
	if err != nil {
		return g, err
	}
	kept, err := consensus.DecodeState(data)
	g.open = time.Since(began)
	if err != nil || kept.Committed.Version != uint32(changes) {
		return g, fmt.Errorf("version %d is not read back: %w", changes, err)
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	g.heap = m.HeapAlloc
	runtime.KeepAlive(kept)
	return g, nil
}

func sizeOf(dir string) (n int64) {
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			n += info.Size()
		}
	}
	return n
}

// watchSize looks at a folder's size all the time, as its journal is there for moments only.
func watchSize(dir string) (most *int64, stop func()) {
	var wg sync.WaitGroup
	end := make(chan struct{})
	most = new(int64)
	wg.Go(func() {
		for {
			*most = max(*most, sizeOf(dir))
			select {
			case <-end:
				return
			case <-time.After(200 * time.Microsecond):
			}
		}
	})
	return most, func() { close(end); wg.Wait() }
}

// ways plays machines that come back.
func (o StateOptions) ways(r *Report, large int) {
	r.Row("way back", "changes", "body B", "sync ms", "link Mbit/s", "seat s", "newest s", "KB in", "every ms", "ack worst s", "acked meanwhile")
	routes := large / 214
	var all []systemsim.Away
	for _, n := range o.Missed {
		for _, sync := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
			for _, how := range []string{"kill", "wipe", "putback"} {
				all = append(all, systemsim.Away{How: how, Who: "backup", Changes: n, Storm: true, Routes: smallRoutes, Sync: sync})
			}
		}
		all = append(all, systemsim.Away{How: "wipe", Who: "witness", Changes: n, Storm: true, Routes: smallRoutes, Sync: 5 * time.Millisecond, Rate: edgeRate},
			systemsim.Away{How: "kill", Edge: true, Changes: n, Storm: true, Routes: smallRoutes, Sync: 5 * time.Millisecond})
	}
	for _, n := range o.LargeMissed {
		big := systemsim.Away{How: "kill", Who: "backup", Changes: n, Storm: true, Every: largeEvery, ByCore: true, Routes: routes, Sync: 5 * time.Millisecond}
		wiped, back, edge := big, big, big
		wiped.How, back.How, edge.Edge = "wipe", "putback", true
		all = append(all, big, wiped, back, edge)
	}
	found := make([]systemsim.Back, len(all))
	side(len(all), cores(), func(i int) {
		all[i].Seed = o.Seed
		found[i] = systemsim.Return(all[i])
		o.Progress(fmt.Sprintf("%+v: %s", all[i], found[i].Never))
	})
	worst := 0.0
	for i, b := range found {
		name, link := all[i].How+" "+all[i].Who, 100.0
		if all[i].Edge {
			name, link = "edge", 2
		} else if all[i].Rate > 0 {
			link = all[i].Rate * 8 / 1e6
		}
		r.Row(name, all[i].Changes, b.Body, all[i].Sync.Milliseconds(), link, b.Seat.Seconds(), b.Newest.Seconds(), float64(b.Bytes)/1e3,
			max(all[i].Every, 100*time.Millisecond).Milliseconds(), b.AckWorst.Seconds(), b.StormPassed)
		r.Rule(b.Never == "", "way back, %+v: %s", all[i], b.Never)
		worst = max(worst, b.Seat.Seconds(), b.Newest.Seconds())
	}
	r.Figure["ways"], r.Figure["caught_up_s_max"] = len(found), worst
}
