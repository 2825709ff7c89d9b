package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"asterwell/internal/bane"
	"asterwell/internal/tell"
)

// faultCommands are the operators' calls for fault rules (docs/faults.md).
func (r *reed) faultCommands(file []cli.Argument) *cli.Command {
	asJSON := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "as JSON"}}
	return &cli.Command{Name: "fault", Usage: "fault rules for single tenants", Commands: []*cli.Command{
		{Name: "put", Usage: "send a set of rules, all that there shall be", ArgsUsage: "FILE", Arguments: file, Action: r.faultPut},
		{Name: "get", Usage: "print the set", Action: r.faultGet},
		{Name: "stop", Usage: "stop all rules at once", Action: r.faultStop},
		{Name: "status", Usage: "how the rules stand", Action: r.faultStatus, Flags: asJSON},
		{Name: "strikes", Usage: "what was struck, as the gateways named by --at have it on record", Action: r.faultStrikes,
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
	if _, err := bane.Parse(body, 24*time.Hour); err != nil { // the gateway's bound may be lower
		return fmt.Errorf("%s: %w", name, err)
	}
	client, err := r.client(c)
	if err != nil {
		return err
	}
	f, a, err := client.PutFaults(ctx, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "acknowledged by %s\n", a.At)
	return f.Write(r.out)
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
	f, a, err := client.StopFaults(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "acknowledged by %s\n", a.At)
	return f.Write(r.out)
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
	var all []tell.Strike
	for _, at := range client.At {
		some, err := r.dial([]string{at}, c.Duration("within")).Strikes(ctx)
		if err != nil {
			return err
		}
		for _, s := range some {
			if since := c.Duration("since"); since == 0 || time.Since(s.At) <= since {
				all = append(all, s)
			}
		}
	}
	if c.Bool("json") {
		body, err := json.Marshal(all)
		fmt.Fprintln(r.out, string(body))
		return err
	}
	return tell.WriteStrikes(r.out, all)
}
