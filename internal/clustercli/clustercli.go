// Package clustercli implements the operators' commands of the gateway's program, which
// query and change a running cluster.
package clustercli

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/cluster"
	"asterwell/internal/policy"
	"asterwell/internal/program"
	"asterwell/internal/settings"
)

// Exit codes, for scripts.
const (
	Done      = 0
	Wrong     = 1 // bad input, or a request that failed
	Nobody    = 3 // no leader was reached; as far as is known, nothing was done
	Unknown   = 4 // the outcome of the change is not known yet: query it by its ID
	Withdrawn = 5 // the change was withdrawn or refused
)

// exitError is an error with an exit code.
type exitError struct {
	error
	code int
}

// Run executes the command in args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	o := &operator{out: out}
	root := &cobra.Command{Use: "asterwell", Short: "A gateway; without a command: serve", SilenceUsage: true, SilenceErrors: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.PersistentFlags().DurationVar(&o.limit, "timeout", 10*time.Second, "for an answer")
	root.PersistentFlags().BoolVar(&o.json, "json", false, "answer in JSON")
	root.AddCommand(o.policy(), o.cluster())
	err := root.Execute()
	if err == nil {
		return Done
	}
	fmt.Fprintln(errOut, "asterwell:", err)
	var c exitError
	switch {
	case errors.As(err, &c):
		return c.code
	case errors.Is(err, cluster.ErrNoLeader):
		return Nobody
	}
	return Wrong
}

// operator holds the options shared by all commands.
type operator struct {
	out   io.Writer
	limit time.Duration
	json  bool
}

// client returns a client for the cluster's file, which is found as the gateway does it.
func (o *operator) client() (*cluster.Client, error) {
	cfg, err := program.ReadCluster(os.Getenv)
	if err != nil {
		return nil, err
	}
	if !cfg.Enabled {
		return nil, errors.New("the cluster's file is missing or not enabled; ASTERWELL_CLUSTER names it")
	}
	by := os.Getenv("USER")
	if by == "" {
		by = "operator"
	}
	return &cluster.Client{Cfg: cfg, By: by}, nil
}

// ask sends a request to the leader.
func (o *operator) ask(q cluster.Ask) (cluster.Reply, error) {
	c, err := o.client()
	if err != nil {
		return cluster.Reply{}, err
	}
	q.By = c.By
	return c.Ask(q, o.limit)
}

// print writes the reply as JSON, or as text through a tab writer.
func (o *operator) print(r cluster.Reply, text func(w io.Writer)) error {
	if o.json {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func (o *operator) policy() *cobra.Command {
	p := &cobra.Command{Use: "policy", Short: "The policy of all gateways: classes, plans and prices"}
	var base int64
	var wait time.Duration
	propose := &cobra.Command{Use: "propose FILE", Short: "Propose a policy to take the place of the present one", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return o.propose(args[0], base, wait) }}
	propose.Flags().Int64Var(&base, "base", -1, "the version it was made for; another in force: refused (-1: whichever is)")
	propose.Flags().DurationVar(&wait, "wait", 0, "for the outcome (0: come back once it is under way)")
	fate := &cobra.Command{Use: "fate ID", Short: "What has become of a change", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		n, err := strconv.ParseUint(args[0], 16, 64)
		if err != nil {
			return fmt.Errorf("not a change's id: %q", args[0])
		}
		r, err := o.ask(cluster.Ask{Do: "fate", ID: n})
		if err != nil {
			return err
		}
		return o.outcome(r)
	}}
	p.AddCommand(propose, fate,
		&cobra.Command{Use: "status", Short: "The version, who has it, who is fenced and why, what is under way", Args: cobra.NoArgs, RunE: o.status},
		&cobra.Command{Use: "history", Short: "All changes, and what has become of them", Args: cobra.NoArgs, RunE: o.history},
		&cobra.Command{Use: "withdraw", Short: "Withdraw the change under way, if it has not turned", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			r, err := o.ask(cluster.Ask{Do: "withdraw"})
			if err != nil {
				return err
			}
			if r.Change != nil && r.Change.Fate == policy.Withdrawn {
				return o.print(r, func(w io.Writer) { fmt.Fprintf(w, "change %x is withdrawn\n", r.Change.ID) })
			}
			return o.outcome(r)
		}},
		&cobra.Command{Use: "show N", Short: "The policy of a version", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			n, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil || n < 0 {
				return fmt.Errorf("not a version: %q", args[0])
			}
			r, err := o.ask(cluster.Ask{Do: "show", Version: n})
			if err != nil {
				return err
			}
			if n == 0 {
				fmt.Fprintln(o.out, "version 0 is what each gateway's own file says")
				return nil
			}
			_, err = o.out.Write(append(r.Change.Text, '\n'))
			return err
		}})
	return p
}

// propose reads a policy file and validates it locally before it is sent, so that typing
// errors don't reach the cluster. It then waits up to wait for the outcome.
func (o *operator) propose(file string, base int64, wait time.Duration) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	own := settings.Settings{}
	own.Gateways = 1
	if _, err := own.WithPolicy(text); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var id [8]byte
	rand.Read(id[:])
	n := binary.BigEndian.Uint64(id[:]) | 1
	begun := time.Now()
	r, err := o.ask(cluster.Ask{Do: "propose", ID: n, Base: base, Text: text, AtMs: begun.UnixMilli()})
	for end := begun.Add(wait); ; {
		if err == nil && r.Change != nil && r.Change.Fate != policy.UnderWay {
			return o.outcome(r)
		}
		if !time.Now().Before(end) {
			break
		}
		time.Sleep(20 * time.Millisecond)
		if next, e := o.ask(cluster.Ask{Do: "fate", ID: n}); e == nil {
			r, err = next, nil
		} else if errors.Is(err, cluster.ErrNoLeader) { // the proposal may not have arrived: send the same change again
			r, err = o.ask(cluster.Ask{Do: "propose", ID: n, Base: base, Text: text, AtMs: begun.UnixMilli()})
		}
	}
	if err != nil {
		return exitError{fmt.Errorf("change %x: %w", n, err), Unknown}
	}
	return o.outcome(r)
}

// outcome prints the fate of a change and turns it into an exit code.
func (o *operator) outcome(r cluster.Reply) error {
	c := r.Change
	if c == nil {
		return exitError{errors.New("nothing is known of it"), Unknown}
	}
	if err := o.print(r, func(w io.Writer) {
		switch c.Fate {
		case policy.Committed:
			fmt.Fprintf(w, "change %x is version %d\n", c.ID, c.Version)
		case policy.UnderWay:
			fmt.Fprintf(w, "change %x is under way\n", c.ID)
		}
	}); err != nil {
		return err
	}
	if c.Fate == policy.Withdrawn || c.Fate == policy.Refused {
		return exitError{fmt.Errorf("change %x is %s: %s", c.ID, c.Fate, c.Why), Withdrawn}
	}
	return nil
}

func (o *operator) status(*cobra.Command, []string) error {
	r, err := o.ask(cluster.Ask{Do: "status"})
	if err != nil {
		return err
	}
	return o.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, term %d, led by %s, votes: %v\n", r.Version, r.Term, r.Leader.Name, r.Votes)
		if c := r.Change; c != nil {
			fmt.Fprintf(w, "change %x by %s is under way: %s\n", c.ID, c.By, r.Stage)
		}
		fmt.Fprintln(w, "gateway\tversion\theard\tlease\tfenced\town file")
		for _, m := range r.Members {
			fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%s\t%s\n", m.Name, m.Version, m.Ago.Round(time.Millisecond), m.Leased, m.Fenced, m.Digest)
		}
	})
}

func (o *operator) history(*cobra.Command, []string) error {
	r, err := o.ask(cluster.Ask{Do: "history"})
	if err != nil {
		return err
	}
	return o.print(r, func(w io.Writer) {
		fmt.Fprintln(w, "change\tbase\tfate\tversion\tby\tat\twhy")
		for _, c := range r.Changes {
			fmt.Fprintf(w, "%x\t%d\t%s\t%d\t%s\t%s\t%s\n", c.ID, c.Base, c.Fate, c.Version, c.By, time.UnixMilli(c.AtMs).UTC().Format(time.RFC3339), c.Why)
		}
	})
}

func (o *operator) cluster() *cobra.Command {
	c := &cobra.Command{Use: "cluster", Short: "The members that vote"}
	c.AddCommand(
		&cobra.Command{Use: "form", Short: "Give this member's empty folder the first state of a new cluster (once, at each of its first voters)", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				client, err := o.client()
				if err != nil {
					return err
				}
				if r, err := client.Ask(cluster.Ask{Do: "status"}, 2*time.Second); err == nil {
					return fmt.Errorf("the cluster runs already, led by %s: a member that has lost its folder is put in its own place by cluster replace", r.Leader.Name)
				}
				return cluster.FormFolder(client.Cfg)
			}},
		&cobra.Command{Use: "replace OLD", Short: "Make this member a voter in the place of OLD, which may be its own name with a lost folder", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				client, err := o.client()
				if err != nil {
					return err
				}
				self, err := client.Self(o.limit)
				if err != nil {
					return err
				}
				_, err = client.Ask(cluster.Ask{Do: "replace", Old: args[0], New: self, By: client.By}, o.limit)
				return err
			}})
	return c
}
