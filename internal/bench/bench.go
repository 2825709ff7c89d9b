// Package bench runs the laboratory's measurements: real gateways, built and started
// as operators do, between stand-ins on loopback, under load.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// Report is what a measurement found.
type Report struct {
	Name   string
	Seed   uint64
	Rows   [][]string // for people; the first is the heading
	Figure map[string]any
	Broken []string // rules, and what broke them
}

// Row adds a line for people.
func (r *Report) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		if f, ok := c.(float64); ok {
			row[i] = fmt.Sprintf("%.4g", f)
		} else {
			row[i] = fmt.Sprint(c)
		}
	}
	r.Rows = append(r.Rows, row)
}

// Rule notes a rule that broke unless ok.
func (r *Report) Rule(ok bool, format string, args ...any) {
	if !ok {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

// Print writes the table, what broke, and in the last line the figures as JSON.
// The same goes to a file, if one is named.
func (r *Report) Print(out io.Writer, file string) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range r.Rows {
		for _, c := range row {
			fmt.Fprint(tw, c, "\t")
		}
		fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, b := range r.Broken {
		fmt.Fprintln(out, "broken:", b)
	}
	all := map[string]any{"measure": r.Name, "seed": r.Seed, "rules_broken": len(r.Broken)}
	for k, v := range r.Figure {
		all[k] = v
	}
	line, err := json.Marshal(all)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, string(line)); err != nil || file == "" {
		return err
	}
	return os.WriteFile(file, append(line, '\n'), 0o644)
}
