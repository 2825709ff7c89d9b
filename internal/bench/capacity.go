package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Kept are the results that the page of capacity is made from.
type Kept struct {
	Runs   map[string]map[string]any
	Slopes map[string]Slope
}

// Slope is a straight line through measured points: Y = At0 + By * X.
type Slope struct {
	X, Y    string // what was measured against what, in words
	Runs    []string
	Points  [][2]float64
	At0, By float64
	Spread  float64 // the point that is farthest off the line, as a part of the largest
	of      string
	against string
}

// scaleSlopes are the slopes of the page: what each run is at, and what came out.
var scaleSlopes = map[string]Slope{
	"config_in":      {X: "bytes of a configuration", Y: "bytes in at a gateway for each put", Runs: []string{"r23", "r23a", "r23b"}, of: "storm.hollow.bytes_in_s*storm.span_s/storm.puts", against: "config_bytes"},
	"config_cpu":     {X: "bytes of a configuration", Y: "processor seconds at a gateway for each put", Runs: []string{"r23", "r23a", "r23b"}, of: "storm.hollow.cpu_share*storm.span_s/storm.puts", against: "config_bytes"},
	"config_memory":  {X: "bytes of a configuration", Y: "MB of a gateway at rest", Runs: []string{"r23", "r23a", "r23b"}, of: "rest.hollow.rss_mb", against: "config_bytes"},
	"rest_bytes":     {X: "gateways", Y: "bytes a second at a gateway at rest", Runs: restRuns, of: "rest.hollow.bytes_s", against: "gateways"},
	"rest_cpu":       {X: "gateways", Y: "share of a core of a gateway's control at rest", Runs: bareRuns, of: "rest.hollow.cpu_share", against: "gateways"},
	"primary_rest":   {X: "gateways", Y: "bytes a second at the primary at rest", Runs: restRuns, of: "rest.primary.bytes_s", against: "gateways"},
	"holder_gateway": {X: "gateways", Y: "bytes a second at the first holder in traffic of 20 a second each", Runs: tollRuns, of: "traffic.holder.bytes_s", against: "gateways"},
	"holder_rate":    {X: "requests a second at each of 23 gateways", Y: "bytes a second at the first holder", Runs: []string{"t23", "t23a", "t23b"}, of: "traffic.holder.bytes_s", against: "rate"},
	"servers_memory": {X: "servers", Y: "MB of a gateway at rest", Runs: serverRuns, of: "rest.hollow.rss_mb", against: "servers"},
	"servers_cpu":    {X: "servers", Y: "share of a core of a gateway at rest", Runs: serverRuns, of: "rest.hollow.cpu_share", against: "servers"},
	"services_cpu":   {X: "services", Y: "share of a core of a real gateway at rest", Runs: []string{"s23", "v23a", "v23b"}, of: "rest.gateway.cpu_share", against: "services"},
	"release_cpu":    {X: "servers", Y: "share of a core of a gateway in a release of one server a second", Runs: serverRuns, of: "release.hollow.cpu_share", against: "servers"},
}

var (
	restRuns   = []string{"r11", "r23", "r91", "r300"}
	bareRuns   = []string{"c11", "c23", "c91", "c140", "c200"}
	tollRuns   = []string{"r11", "t23", "r91"}
	serverRuns = []string{"s23", "s23a", "s23b"}
)

// Missing is a figure that no kept run has.
type Missing struct{ Run, Path string }

func (e *Missing) Error() string { return "no kept result has " + e.Run + ": " + e.Path }

// ReadKept reads the kept results; a file that is not there has none.
func ReadKept(path string) (*Kept, error) {
	k := &Kept{Runs: map[string]map[string]any{}, Slopes: map[string]Slope{}}
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return k, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, k); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return k, nil
}

// Add takes a run's figures, and makes the slopes anew. One whose runs are not all there is left out.
func (k *Kept) Add(name, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	run := map[string]any{}
	if err := json.Unmarshal(text, &run); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	k.Runs[name] = run
	k.fit()
	return nil
}

func (k *Kept) fit() {
	k.Slopes = map[string]Slope{}
next:
	for name, s := range scaleSlopes {
		s.Points = nil
		for _, run := range s.Runs {
			x, err1 := k.Figure(run, s.against)
			y, err2 := k.Figure(run, s.of)
			if err1 != nil || err2 != nil {
				continue next
			}
			s.Points = append(s.Points, [2]float64{x, y})
		}
		s.line()
		k.Slopes[name] = s
	}
}

// line is the one of least squares.
func (s *Slope) line() {
	n, sx, sy, sxx, sxy, top := float64(len(s.Points)), 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range s.Points {
		sx, sy, sxx, sxy, top = sx+p[0], sy+p[1], sxx+p[0]*p[0], sxy+p[0]*p[1], max(top, math.Abs(p[1]))
	}
	s.By = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.At0 = (sy - s.By*sx) / n
	for _, p := range s.Points {
		s.Spread = max(s.Spread, math.Abs(p[1]-s.At0-s.By*p[0])/top)
	}
}

// Figure is a figure of a run: a path such as rest.hollow.bytes_s, which is looked for in the phases
// and then in the run itself, or paths with * and / between them.
func (k *Kept) Figure(run, expression string) (float64, error) {
	r, ok := k.Runs[run]
	if !ok {
		return 0, &Missing{run, expression}
	}
	value, op, rest := 1.0, byte('*'), expression
	for rest != "" {
		path := rest
		next := byte(0)
		if i := strings.IndexAny(rest, "*/"); i >= 0 {
			path, next, rest = rest[:i], rest[i], rest[i+1:]
		} else {
			rest = ""
		}
		v, err := strconv.ParseFloat(path, 64)
		if err != nil {
			var ok bool
			if v, ok = at(r, path); !ok {
				return 0, &Missing{run, path}
			}
		}
		if op == '*' {
			value *= v
		} else {
			value /= v
		}
		op = next
	}
	return value, nil
}

func at(run map[string]any, path string) (float64, bool) {
	phases, _ := run["by_phase"].(map[string]any)
	for _, v := range []any{phases, run} {
		for key := range strings.SplitSeq(path, ".") {
			m, _ := v.(map[string]any)
			v = m[key]
		}
		if f, ok := v.(float64); ok {
			return f, true
		}
		if text, ok := v.(string); ok {
			if f, err := strconv.ParseFloat(text, 64); err == nil {
				return f, true
			}
		}
	}
	return 0, false
}

// Page makes the page of capacity from its text, in which every measured figure is a call: a figure
// that is not among the kept ones is an error.
func (k *Kept) Page(text string) (string, error) {
	slope := func(name string) (Slope, error) {
		s, ok := k.Slopes[name]
		if !ok {
			return s, &Missing{"slopes", name}
		}
		return s, nil
	}
	t, err := template.New("page").Funcs(template.FuncMap{
		"fig": k.Figure,
		"slopes": func() map[string]string {
			names := map[string]string{}
			for name, s := range k.Slopes {
				names[strings.ReplaceAll(name, "_", "-")] = s.Y + ", by " + s.X
			}
			return names
		},
		"slope": slope,
		"at": func(name string, x float64) (float64, error) {
			s, err := slope(name)
			return s.At0 + s.By*x, err
		},
		"mul": func(a, b float64) float64 { return a * b },
		"div": func(a, b float64) float64 { return a / b },
		"add": func(a, b float64) float64 { return a + b },
		"n":   shortened,
		"pct": func(v float64) string { return shortened(100*v) + "%" },
	}).Parse(text)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	err = t.Execute(&out, nil)
	return out.String(), err
}

// shortened writes a figure with three digits that count.
func shortened(v float64) string {
	if v == 0 {
		return "0"
	}
	places := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	text := strconv.FormatFloat(v, 'f', places, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	whole, part, _ := strings.Cut(text, ".")
	for i := len(whole) - 3; i > 0 && whole[i-1] != '-'; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if part != "" {
		return whole + "." + part
	}
	return whole
}

// Write writes the results.
func (k *Kept) Write(path string) error {
	text, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Charts draws each slope into a folder.
func (k *Kept) Charts(dir string) error {
	for name, s := range k.Slopes {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = name, s.X, s.Y
		points, top := plotter.XYs{}, 0.0
		for _, at := range s.Points {
			points, top = append(points, plotter.XY{X: at[0], Y: at[1]}), max(top, at[0])
		}
		marks, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.At0}, {X: top, Y: s.At0 + s.By*top}})
		if err != nil {
			return err
		}
		p.Add(line, marks, plotter.NewGrid())
		p.Y.Min = min(0, p.Y.Min)
		w, err := p.WriterTo(14*vg.Centimeter, 8*vg.Centimeter, "png")
		if err != nil {
			return err
		}
		var b bytes.Buffer
		if _, err := io.Copy(&b, pipe(w)); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, "scale-"+strings.ReplaceAll(name, "_", "-")+".png"), b.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}
