package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"asterwell/internal/adminclient"
	"asterwell/internal/faultrules"
)

// faultCommands are the operators' calls for fault rules (docs/faults.md).
func (r *reed) faultCommands(file []cli.Argument) *cli.Command {
	asJSON := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "as JSON"}}
	return &cli.Command{Name: "fault", Usage: "fault rules for single tenants", Commands: []*cli.Command{
		{Name: "put", Usage: "send a set of rules, all that there shall be", ArgsUsage: "FILE", Arguments: file, Action: r.faultPut},
		{Name: "get", Usage: "print the set", Action: r.faultGet},
		{Name: "stop", Usage: "stop all rules of the set that is there, or of another one, at once", ArgsUsage: "[VERSION]",
			Arguments: []cli.Argument{&cli.StringArg{Name: "version", UsageText: "[VERSION]"}}, Action: r.faultStop},
		{Name: "status", Usage: "how the rules stand", Action: r.faultStatus, Flags: asJSON},
		{Name: "strikes", Usage: "what was struck, as all processes have it on record", Action: r.faultStrikes,
			Flags: append([]cli.Flag{&cli.DurationFlag{Name: "since", Usage: "not older than this (0: all)"}}, asJSON...)},
	}, Action: func(_ context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return fmt.Errorf("fault: no such command: %s", c.Args().First())
		}
		return errors.New("fault: put, get, stop, status or strikes")
	}}
}

func (r *reed) faultPut(ctx context.Context, c *cli.Command) error {
	name, body, err := r.read(c)
	if err != nil {
		return err
	}
	if _, err := faultrules.Parse(body, 24*time.Hour); err != nil { // the gateway's bound may be lower
		return fmt.Errorf("%s: %w", name, err)
	}
	client, err := r.client(c)
	if err != nil {
		return err
	}
	f, a, err := client.PutFaults(ctx, body)
	if f == nil {
		return err
	}
	fmt.Fprintf(r.out, "acknowledged by %s\n", a.At)
	return cmp.Or(f.Write(r.out), err)
}

func (r *reed) faultGet(ctx context.Context, c *cli.Command) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	f, _, err := client.Faults(ctx)
	if err != nil {
		return err
	}
	if len(f.Set) == 0 || string(f.Set) == "null" {
		fmt.Fprintln(r.out, "no fault rules")
		return nil
	}
	_, err = fmt.Fprintln(r.out, string(f.Set))
	return err
}

func (r *reed) faultStop(ctx context.Context, c *cli.Command) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	var f *adminclient.Faults
	var a *adminclient.Answer
	if s := c.StringArg("version"); s != "" {
		v, bad := strconv.ParseUint(s, 10, 32)
		if bad != nil || v == 0 {
			return fmt.Errorf("stop: not a version: %q", s)
		}
		f, a, err = client.StopFaultsOf(ctx, uint32(v))
	} else {
		f, a, err = client.StopFaults(ctx)
	}
	if f == nil {
		return err
	}
	fmt.Fprintf(r.out, "acknowledged by %s\n", a.At)
	return cmp.Or(f.Write(r.out), err)
}

func (r *reed) faultStatus(ctx context.Context, c *cli.Command) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	f, a, err := client.Faults(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := r.out.Write(a.Body)
		return err
	}
	return f.Write(r.out)
}

func (r *reed) faultStrikes(ctx context.Context, c *cli.Command) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	all, err := client.AllStrikes(ctx, func(at string) *adminclient.Client { return r.dial([]string{at}, c.Duration("within")) })
	unheard := (*adminclient.UnreachedError)(nil)
	if err != nil && !errors.As(err, &unheard) {
		return err
	}
	if since := c.Duration("since"); since > 0 {
		all = lo.Filter(all, func(s adminclient.Strike, _ int) bool { return s.AgoMs <= since.Milliseconds() })
	}
	if err := writeStrikes(r.out, all, c.Bool("json")); err != nil {
		return err
	}
	if unheard != nil { // what is there was printed
		return unheard
	}
	return nil
}

func writeStrikes(to io.Writer, all []adminclient.Strike, asJSON bool) error {
	if !asJSON {
		return adminclient.WriteStrikes(to, all)
	}
	body, err := json.Marshal(append([]adminclient.Strike{}, all...))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(to, string(body))
	return err
}
