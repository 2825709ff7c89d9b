package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

// capacity keeps runs of measure scale, and makes the page from what is kept.
func capacity() *cobra.Command {
	var docs string
	var add []string
	c := &cobra.Command{Use: "capacity", Args: cobra.NoArgs, Short: "Make docs/CAPACITY.md, its slopes and their charts from kept runs of measure scale",
		RunE: func(*cobra.Command, []string) error {
			results := filepath.Join(docs, "results", "scale.json")
			k, err := bench.ReadKept(results)
			if err != nil {
				return err
			}
			slices.Sort(add)
			for _, one := range add {
				name, file, _ := strings.Cut(one, "=")
				if err := k.Add(name, file); err != nil {
					return err
				}
			}
			if err := k.Write(results); err != nil {
				return err
			}
			if err := k.Charts(filepath.Join(docs, "results")); err != nil {
				return err
			}
			text, err := os.ReadFile(filepath.Join(docs, "results", "capacity.tmpl"))
			if err != nil {
				return err
			}
			page, err := k.Page(string(text))
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(docs, "CAPACITY.md"), []byte(page), 0o644)
		}}
	c.Flags().StringVar(&docs, "docs", "docs", "the folder of the pages")
	c.Flags().StringSliceVar(&add, "add", nil, "NAME=FILE: keep what a run of measure scale wrote with --json")
	return c
}
