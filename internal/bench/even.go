package bench

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"asterwell/internal/testbed"
)

// EvenOptions of the measurement of even load.
type EvenOptions struct {
	Binary            string
	Before            string // the program as it was: a binary, or a commit of this repository
	Repo              string
	Gateways, Servers int
	Seconds           float64
	Seed              uint64
	Charts            string // folder; none: no charts
	Progress          func(text string)
}

// evenBefore is the commit at which work on even load began.
const evenBefore = "0aedf12"

// evenSchedule is the load and the faults that all play.
func evenSchedule(o EvenOptions) *testbed.Schedule {
	t := o.Seconds / 40
	list := func(words ...string) []string { return words }
	return &testbed.Schedule{Seed: o.Seed, Gateways: o.Gateways, Servers: o.Servers, Weights: 4, Rate: 10 * float64(o.Servers), WorkMs: 100, Cores: 1,
		Seconds: o.Seconds, Hot: &testbed.Hot{Share: 0.1, Times: 6, EveryS: 8 * t}, Faults: []testbed.Fault{
			{AtS: 0.1, Kind: "list-at-once"},
			{AtS: 7 * t, Kind: "slow", Who: list("servers:0.125"), Much: 3, ForS: 4 * t},
			{AtS: 7 * t, Kind: "fail", Who: list("s-3"), ForS: 4 * t},
			{AtS: 7 * t, Kind: "mute", Who: list("s-4"), ForS: 3 * t},
			{AtS: 12 * t, Kind: "kill", Who: list("gateways:0.7"), ForS: 2}, // and back within 4 s: more at once this machine can't start
			{AtS: 16 * t, Kind: "replace", Who: list("servers:0.6"), OverS: 7 * t},
			{AtS: 27 * t, Kind: "die", Who: list("servers:zone:b"), ForS: 5 * t},
			{AtS: 27 * t, Kind: "cut", From: list("gateways:zone:a"), To: list("list"), ForS: 6 * t},
			{AtS: 33 * t, Kind: "reports-late", Who: list("servers"), Ms: 800, ForS: 5 * t},
			{AtS: 34 * t, Kind: "stop", Who: list("gateways:0.2"), ForS: 3},
		}}
}

// MeasureEven plays the same load and faults with the program, the program as it
// was, and policies that stand in for gateways.
func MeasureEven(o EvenOptions) (*Report, error) {
	r := &Report{Name: "even", Seed: o.Seed, Figure: map[string]any{}}
	before, done, err := built(o)
	if err != nil {
		return nil, err
	}
	defer done()
	type player struct {
		name   string
		opt    testbed.Options
		report *testbed.Report
	}
	players := []*player{{name: "program", opt: testbed.Options{Binary: o.Binary}}, {name: "before", opt: testbed.Options{Binary: before}}}
	for _, p := range testbed.Policies {
		players = append(players, &player{name: string(p), opt: testbed.Options{Policy: p}})
	}
	if before == "" {
		players = append(players[:1], players[2:]...)
	}
	by := map[string]*testbed.Report{}
	r.Row("policy", "spread 1 s", "by capacity", "peak 100 ms", "herd 200 ms", "by capacity", "idle", "cold over bound", "served", "p50 ms", "p99 ms", "connections", "lateness ms")
	for _, p := range players {
		p.opt.Progress = func(text string) {
			if o.Progress != nil {
				o.Progress(p.name + ": " + text)
			}
		}
		s := evenSchedule(o)
		if err := s.Check(); err != nil {
			return nil, err
		}
		f, err := testbed.New(s, p.opt)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		if p.report, err = f.Run(); err == nil {
			err = f.Close()
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		by[p.name] = p.report
		e := p.report.Even
		r.Row(p.name, e.CV, e.CVCapacity, e.Peak100, e.HerdMax, e.HerdCapacity, e.IdleMax, p.report.ColdOver, float64(p.report.Served)/float64(p.report.Tries),
			p.report.P50.Milliseconds(), p.report.P99.Milliseconds(), p.report.Accepted, p.report.LateMost.Milliseconds())
		if o.Charts != "" {
			if err := heat(p.report, o, p.name); err != nil {
				return nil, err
			}
		}
	}
	figures := func(p *testbed.Report) map[string]any {
		random, seeing := by[string(testbed.Random)], by[string(testbed.Seeing)]
		return map[string]any{"rules_broken": len(p.Broken), "void": len(p.Void) > 0, "idle_servers_max": p.Even.IdleMax,
			"cv_over_random": p.Even.CV / random.Even.CV, "peak_100ms_over_random": p.Even.Peak100 / random.Even.Peak100,
			"herd_max": p.Even.HerdMax, "cv_by_capacity_over_random": p.Even.CVCapacity / random.Even.CVCapacity,
			"cv_by_capacity_over_limit": p.Even.CVCapacity / seeing.Even.CVCapacity, "herd_by_capacity_max": p.Even.HerdCapacity, "p99_over_limit": float64(p.P99) / float64(seeing.P99), "cold_work_over_bound_max": p.ColdOver,
			"served_share": float64(p.Served) / float64(p.Tries), "connections": p.Accepted}
	}
	for k, v := range figures(by["program"]) {
		r.Figure[k] = v
	}
	r.Figure["gateways"], r.Figure["servers"] = o.Gateways, o.Servers
	if by["before"] != nil {
		r.Figure["before"] = figures(by["before"])
	}
	for _, b := range by["program"].Broken {
		r.Rule(false, "after %v: %s: %s", b.At.Round(time.Millisecond), b.Rule, b.Detail)
	}
	for _, p := range players {
		for _, v := range p.report.Void {
			r.Row("void:", p.name, v)
		}
	}
	return r, nil
}

// built is the binary of the program as it was.
func built(o EvenOptions) (binary string, done func(), err error) {
	done = func() {}
	if o.Before == "none" {
		return "", done, nil
	}
	if _, err := os.Stat(o.Before); err == nil && o.Before != "" {
		return o.Before, done, nil
	}
	commit := o.Before
	if commit == "" {
		commit = evenBefore
	}
	dir, err := os.MkdirTemp("", "asterlab-before-")
	if err != nil {
		return "", done, err
	}
	done = func() { os.RemoveAll(dir) }
	archive := exec.Command("git", "archive", commit)
	archive.Dir = o.Repo
	unpack := exec.Command("tar", "-x", "-C", dir)
	if unpack.Stdin, err = archive.StdoutPipe(); err != nil {
		return "", done, err
	}
	if err = unpack.Start(); err == nil {
		if err = archive.Run(); err == nil {
			err = unpack.Wait()
		}
	}
	if err != nil {
		done()
		return "", func() {}, fmt.Errorf("--before: no binary and no commit %q of the repository %s: %w", commit, o.Repo, err)
	}
	binary = filepath.Join(dir, "asterwell-before")
	build := exec.Command("go", "build", "-o", binary, "./cmd/asterwell")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		done()
		return "", func() {}, fmt.Errorf("build of %s: %w: %s", commit, err, out)
	}
	return binary, done, nil
}

// heat draws requests by server over time.
func heat(p *testbed.Report, o EvenOptions, name string) error {
	if err := os.MkdirAll(o.Charts, 0o755); err != nil {
		return err
	}
	g := grid{p.Heat(500 * time.Millisecond)}
	c := plot.New()
	c.Title.Text = fmt.Sprintf("requests in 0.5 s by server over its weight: %s, %d gateways, %d servers", name, o.Gateways, o.Servers)
	c.X.Label.Text, c.Y.Label.Text = "seconds", "server"
	h := plotter.NewHeatMap(g, palette.Heat(24, 1))
	h.Min, h.Max = 0, 5
	c.Add(h)
	w, err := c.WriterTo(20*vg.Centimeter, 10*vg.Centimeter, "png")
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(o.Charts, "even-"+name+".png"))
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = io.Copy(file, pipe(w))
	return err
}

func pipe(w io.WriterTo) io.Reader {
	r, out := io.Pipe()
	go func() {
		_, err := w.WriteTo(out)
		out.CloseWithError(err)
	}()
	return r
}

// grid is a heat map's cells: by half second, and by server.
type grid struct{ cells [][]float64 }

func (g grid) Dims() (c, r int) {
	if len(g.cells) == 0 {
		return 0, 0
	}
	return len(g.cells), len(g.cells[0])
}
func (g grid) Z(c, r int) float64 { return min(g.cells[c][r], 5) }
func (g grid) X(c int) float64    { return float64(c) / 2 }
func (g grid) Y(r int) float64    { return float64(r) }
