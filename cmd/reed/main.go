// Command reed is the operators' command line: it calls the system's gateways, and
// checks texts before they go there. It is a program of its own because what explains
// a bad text (CUE) would cost each gateway time and memory at its start.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"asterwell/internal/creed"
	"asterwell/internal/tell"
)

// Exit codes, for scripts.
const (
	done      = 0
	wrong     = 1 // the command line or a file is wrong: nothing was sent
	refused   = 2 // a gateway refused for good, or has no such thing
	nobody    = 3 // no gateway took it: nothing has been done
	unknown   = 4 // no clear answer: it may have been done; the same again does no harm
	overtaken = 5 // acknowledged, but another configuration is in force
	otherwise = 6 // the rollout has ended the other way: withdrawn, or live before it could be
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr, tell.New))
}

// reed is one run of the program.
type reed struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	dial
}

// dial makes a client; tests give one that doesn't wait.
type dial func(at []string, within time.Duration) *tell.Client

func run(ctx context.Context, args []string, in io.Reader, out, complaints io.Writer, d dial) int {
	r := &reed{in, out, complaints, d}
	root := r.root()
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(complaints, "reed:", err)
	}
	return code(err)
}

func code(err error) int {
	var no *tell.Refused
	var none *tell.Nobody
	var over *tell.Overtaken
	var unread *tell.Unread
	var unheard *tell.Unheard
	var other *tell.Otherwise
	var unsettled *tell.Unsettled
	switch {
	case err == nil:
		return done
	case errors.As(err, &other):
		return otherwise
	case errors.As(err, &unsettled):
		return unknown
	case errors.As(err, &unread), errors.As(err, &unheard):
		return unknown
	case errors.As(err, &none):
		if none.Sent {
			return unknown
		}
		return nobody
	case errors.As(err, &no):
		return refused
	case errors.As(err, &over):
		return overtaken
	}
	return wrong
}

func (r *reed) root() *cli.Command {
	file := []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE (- for standard input)"}}
	root := &cli.Command{Name: "reed", Usage: "the operators' calls to the gateways of a system",
		Description: "Exit codes: 0 done; 1 bad command line or file, nothing sent; 2 refused for good, or not there;\n" +
			"3 no gateway took it, nothing done; 4 no clear answer, may have been done; 5 acknowledged, but another\n" +
			"configuration is in force; 6 a rollout has ended the other way.",
		Writer: r.out, ErrWriter: io.Discard, HideVersion: true, HideHelpCommand: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "at", Usage: "control addresses (host:port) of gateways, tried in turn", Sources: cli.EnvVars("REED_AT")},
			&cli.StringFlag{Name: "from", Usage: "a process's settings file: call the gateways in its Bootstrap",
				Sources: cli.EnvVars("ASTERWELL_CONFIG")},
			&cli.DurationFlag{Name: "within", Usage: "for a call with all its tries", Value: 10 * time.Second},
		},
		Commands: []*cli.Command{
			{Name: "put", Usage: "send a configuration", Arguments: file, Action: r.put, Flags: []cli.Flag{
				&cli.BoolFlag{Name: "unchecked", Usage: "leave the checking to the gateway"}}},
			{Name: "get", Usage: "print the newest configuration", Action: r.get},
			{Name: "status", Usage: "what one gateway knows of the system", Action: r.status, Flags: []cli.Flag{
				&cli.BoolFlag{Name: "json", Usage: "as the gateway sent it"}}},
			r.rolloutCommand(),
			{Name: "log", Usage: "the last lines of one gateway", Action: r.log},
			{Name: "check", Usage: "check a configuration without sending it", Arguments: file, Action: r.check},
			{Name: "settings", Usage: "check a process's settings file", Arguments: file, Action: r.settings},
			r.faultCommands(file),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("no such command: %s", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	quiet := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	faults := root.Commands[len(root.Commands)-1]
	rollout := root.Command("rollout")
	for _, c := range slices.Concat(root.Commands, []*cli.Command{root}, faults.Commands, rollout.Commands) {
		c.OnUsageError = quiet
		c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	}
	return root
}

// client calls the gateways that the command line names, or a settings file does.
func (r *reed) client(c *cli.Command) (*tell.Client, error) {
	at := c.StringSlice("at")
	if path := c.String("from"); len(at) == 0 && path != "" {
		set, err := creed.ReadSettings(path)
		if err != nil {
			return nil, err
		}
		at = set.Bootstrap
	}
	return r.dial(at, c.Duration("within")), nil
}
