// Command loom runs a gateway process, which also takes part in keeping the state that
// all gateways share. The environment variable ASTERWELL_CONFIG names its settings file.
// Its other commands inspect, copy and restore the state of a stopped process. The
// operator's client is command reed.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"asterwell/internal/buildinfo"
	"asterwell/internal/daemon"
)

func main() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{Name: "loom", Usage: "a process of the gateway's system", Writer: stdout, ErrWriter: io.Discard,
		HideVersion: true, HideHelpCommand: true,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve, by the settings file that ASTERWELL_CONFIG names", Flags: []cli.Flag{
				&cli.StringFlag{Name: "settings", Usage: "the settings file", Sources: cli.EnvVars("ASTERWELL_CONFIG"), Required: true}},
				Action: func(ctx context.Context, c *cli.Command) error { return daemon.Run(ctx, c.String("settings")) }},
			{Name: "version", Usage: "tell which build this is",
				Action: func(context.Context, *cli.Command) error { return version(stdout) }},
			{Name: "status", Usage: "tell what a start would find in a state, and change nothing; the process is stopped", ArgsUsage: "DIR",
				Action: func(_ context.Context, c *cli.Command) error { return status(c.Args().Slice(), stdout) }},
			{Name: "snapshot", Usage: "copy the state of a process that is stopped", ArgsUsage: "DIR FILE",
				Action: func(_ context.Context, c *cli.Command) error { return snapshot(c.Args().Slice(), stdout) }},
			{Name: "restore", Usage: "put a copy in the place of a state; the process is stopped", ArgsUsage: "DIR FILE",
				Flags: []cli.Flag{&cli.BoolFlag{Name: "whole-core", Usage: "all machines of the core are stopped, and " +
					"each is restored: they keep their seats; without it this machine joins as a newcomer"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return restore(c.Args().Slice(), c.Bool("whole-core"), stdout)
				}},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("no such command: %s", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
		c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintln(stderr, "loom:", err)
		return 1
	}
	return 0
}

// version prints the build and the digest of the executable. The log of a process begins with the build, and GET /api/status has it.
func version(out io.Writer) error {
	info, err := buildinfo.ReadWithDigest()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "loom", info)
	return err
}
