package main

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"asterwell/internal/sysconfig"
	"asterwell/internal/sysconfig/schema"
)

// errDiffers ends the program with its own status; there is nothing more to say.
var errDiffers = errors.New("they differ")

// difference is what diff prints as JSON.
type difference struct {
	Old, New        string // what was compared
	OldEpoch, Epoch string
	WouldTakeEffect bool // the new one's version is above the old one's
	Changes         []sysconfig.Change
}

func (r *reed) diff(ctx context.Context, c *cli.Command) error {
	first, second := c.StringArg("file"), c.StringArg("new")
	if c.Args().Present() {
		return fmt.Errorf("diff: one FILE, or OLD and NEW, not more: %s", c.Args().First())
	}
	if first == "-" && second == "-" {
		return errors.New("diff: standard input can be one of the two only")
	}
	d := difference{}
	var old, next *sysconfig.Configuration
	var err error
	if second == "" {
		if d.New, next, err = r.parsed(first); err != nil {
			return err
		}
		client, err := r.client(c)
		if err != nil {
			return err
		}
		a, err := client.Get(ctx)
		if err != nil {
			return err
		}
		d.Old = "in force at " + a.At
		if old, err = sysconfig.Parse(a.Body); err != nil {
			return fmt.Errorf("%s: the configuration in force: %w", a.At, err)
		}
	} else {
		if d.Old, old, err = r.parsed(first); err != nil {
			return err
		}
		if d.New, next, err = r.parsed(second); err != nil {
			return err
		}
	}
	d.OldEpoch, d.Epoch = fmt.Sprintf("%08x", old.Version()), fmt.Sprintf("%08x", next.Version())
	d.WouldTakeEffect, d.Changes = next.Version() > old.Version(), sysconfig.Diff(old, next)
	if err := r.differs(c, d); err != nil {
		return err
	}
	if len(d.Changes) > 0 {
		return errDiffers
	}
	return nil
}

func (r *reed) parsed(file string) (name string, c *sysconfig.Configuration, err error) {
	name, text, err := r.open("diff", file)
	if err == nil {
		c, err = parse(name, text)
	}
	return name, c, err
}

// parse reads a configuration, and names the file with all that is wrong.
func parse(name string, text []byte) (*sysconfig.Configuration, error) {
	if err := explain(name, text); err != nil {
		return nil, err
	}
	return sysconfig.Parse(text)
}

// explain tells all that is wrong with a configuration, each with the file's name.
func explain(name string, text []byte) error {
	err := schema.Explain(text)
	all := []error{err}
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		all = many.Unwrap()
	}
	for _, e := range all {
		if f := (*sysconfig.Fault)(nil); errors.As(e, &f) && f.File == "" {
			f.File = name
		}
	}
	return err
}

func (r *reed) differs(c *cli.Command, d difference) error {
	if c.Bool("json") {
		return r.json(d)
	}
	fmt.Fprintf(r.out, "old: %s, version %s\nnew: %s, version %s\n", d.Old, d.OldEpoch, d.New, d.Epoch)
	if !d.WouldTakeEffect {
		fmt.Fprintln(r.out, "the new version is not above the old one: \"put\" would change nothing")
	}
	if len(d.Changes) == 0 {
		_, err := fmt.Fprintln(r.out, "no difference")
		return err
	}
	fmt.Fprintln(r.out)
	w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	for _, x := range d.Changes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", x.How, x.Kind, x.Name, x.Key)
		for _, f := range x.Figures {
			fmt.Fprintf(w, "\t\t%s:\t%s → %s\n", f.Key, orNone(f.Old), orNone(f.New))
		}
	}
	return w.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
