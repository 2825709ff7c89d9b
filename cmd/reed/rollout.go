package main

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"asterwell/internal/adminclient"
)

// rolloutCommand shows how a configuration is taken up, and takes one back.
func (r *reed) rolloutCommand() *cli.Command {
	return &cli.Command{Name: "rollout", Usage: "how the newest configuration is taken up: live, prepared by whom, refused, withdrawn",
		Action: r.rollout, Commands: []*cli.Command{
			{Name: "withdraw", Usage: "never let a version be live; one that is stays so", Action: r.withdraw, ArgsUsage: "VERSION",
				Arguments: []cli.Argument{&cli.StringArg{Name: "version", UsageText: "VERSION (eight hexadecimal digits)"}}},
			{Name: "watch", Usage: "show by zone and node how a version is taken up, until it is live or never will be", Action: r.watch,
				ArgsUsage: "[VERSION]",
				Arguments: []cli.Argument{&cli.StringArg{Name: "version", UsageText: "[VERSION] (left out: the newest)"}},
				Flags:     []cli.Flag{&cli.DurationFlag{Name: "for", Usage: "how long", Value: time.Minute}}},
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
	s, err := r.leader(ctx, c, client)
	if err != nil {
		return err
	}
	return (&adminclient.Rollout{Status: s.Rollout}).Write(r.out)
}

// leader asks the primary how things stand, where one is known.
func (r *reed) leader(ctx context.Context, c *cli.Command, client *adminclient.Client) (*adminclient.Status, error) {
	s, _, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	if at := s.PrimaryControlAddress(); at != "" && s.Rollout.Mode == "together" {
		if of, _, err := r.dial([]string{at}, min(c.Duration("within"), time.Second)).Status(ctx); err == nil {
			s = of
		}
	}
	return s, nil
}

const watchEvery = 200 * time.Millisecond

// watch prints what has changed, until the version's rollout has ended.
func (r *reed) watch(ctx context.Context, c *cli.Command) error {
	name := c.StringArg("version")
	if name != "" && !version.MatchString(name) || c.Args().Present() {
		return fmt.Errorf("rollout watch: one VERSION of eight hexadecimal digits, or none, not %q", name)
	}
	v, _ := strconv.ParseUint(name, 16, 32)
	client, err := r.client(c)
	if err != nil {
		return err
	}
	began, last := client.Now(), ""
	for {
		s, err := r.leader(ctx, c, client)
		if err != nil {
			return err
		}
		if v == 0 {
			v = uint64(s.Rollout.Newest)
		}
		p, at := s.Progress(uint32(v)), client.Now().Sub(began)
		if text := strings.Join(p.Lines, "\n"); text != last && text != "" {
			last = text
			fmt.Fprintf(r.out, "%.1f s: %s\n", at.Seconds(), text)
		}
		if p.Ended {
			return p.Err
		}
		if at >= c.Duration("for") || client.Pause(ctx, watchEvery) != nil {
			return &adminclient.UnsettledError{Version: fmt.Sprintf("%08x", v)}
		}
	}
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
	w, _, err := client.Withdraw(ctx, v)
	if err == nil {
		fmt.Fprintf(r.out, "%s is withdrawn, %s is live\n", v, w.Live)
	}
	return err
}
