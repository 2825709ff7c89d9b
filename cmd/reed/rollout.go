package main

import (
	"context"
	"fmt"
	"regexp"

	"github.com/urfave/cli/v3"

	"asterwell/internal/tell"
)

// rolloutCommand shows how a configuration is taken up, and takes one back.
func (r *reed) rolloutCommand() *cli.Command {
	return &cli.Command{Name: "rollout", Usage: "how the newest configuration is taken up: live, prepared by whom, refused, withdrawn",
		Action: r.rollout, Commands: []*cli.Command{
			{Name: "withdraw", Usage: "never let a version be live; one that is stays so", Action: r.withdraw, ArgsUsage: "VERSION",
				Arguments: []cli.Argument{&cli.StringArg{Name: "version", UsageText: "VERSION (eight hexadecimal digits)"}}},
		}}
}

func (r *reed) rollout(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("rollout: no such command: %s", c.Args().First())
	}
	client, err := r.client(c)
	if err != nil {
		return err
	}
	s, _, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if at := s.Leader(); at != "" && s.Rollout.Mode == "together" {
		if of, _, err := r.dial([]string{at}, c.Duration("within")).Status(ctx); err == nil {
			s = of
		}
	}
	return (&tell.Rollout{Status: s.Rollout}).Write(r.out)
}

var version = regexp.MustCompile(`^[0-9a-fA-F]{8}$`)

func (r *reed) withdraw(ctx context.Context, c *cli.Command) error {
	v := c.StringArg("version")
	if !version.MatchString(v) || c.Args().Present() {
		return fmt.Errorf("rollout withdraw: needs one VERSION of eight hexadecimal digits, not %q", v)
	}
	client, err := r.client(c)
	if err != nil {
		return err
	}
	a, err := client.Withdraw(ctx, v)
	if a != nil && err == nil {
		fmt.Fprintf(r.out, "passed on by %s; \"reed rollout\" tells how it ended\n", a.At)
	}
	return err
}
