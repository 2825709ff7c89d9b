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
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"asterwell/internal/adminclient"
	"asterwell/internal/sysconfig"
)

// Exit codes, for scripts.
const (
	done      = 0
	wrong     = 1 // the command line or a file is wrong: nothing was sent
	refused   = 2 // a gateway refused for good, or has no such thing
	nobody    = 3 // no gateway took it: nothing has been done
	unknown   = 4 // no clear answer: it may have been done; the same again does no harm
	overtaken = 5 // another configuration or set is in force, or the number has another text
	otherwise = 6 // the rollout has ended the other way: withdrawn, or live before it could be
	differs   = 7 // the two that were compared differ
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr, adminclient.New))
}

// reed is one run of the program.
type reed struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	dial
}

// dial makes a client; tests give one that doesn't wait.
type dial func(at []string, within time.Duration) *adminclient.Client

func run(ctx context.Context, args []string, in io.Reader, out, complaints io.Writer, d dial) int {
	r := &reed{in, out, complaints, d}
	root := r.root()
	err := root.Run(ctx, args)
	if err != nil && err != errDiffers {
		fmt.Fprintln(complaints, "reed:", err)
	}
	return code(err)
}

func code(err error) int {
	var no *adminclient.Refused
	var none *adminclient.NoAnswerError
	var over *adminclient.Overtaken
	var superseded *adminclient.Superseded
	var unread *adminclient.ReadBackError
	var unheard *adminclient.UnreachedError
	var other *adminclient.OutcomeError
	var unsettled *adminclient.UnsettledError
	switch {
	case err == nil:
		return done
	case errors.Is(err, errDiffers):
		return differs
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
	case errors.As(err, &over), errors.As(err, &superseded):
		return overtaken
	}
	return wrong
}

func (r *reed) root() *cli.Command {
	file := []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE (- for standard input)"}}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "as JSON"}
	root := &cli.Command{Name: "reed", Usage: "the operators' calls to the gateways of a system",
		Writer: r.out, ErrWriter: io.Discard, HideVersion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "at", Usage: "control addresses (host:port) of gateways, tried in turn", Sources: cli.EnvVars("REED_AT")},
			&cli.StringFlag{Name: "from", Usage: "a process's settings file: call the gateways in its Bootstrap",
				Sources: cli.EnvVars("ASTERWELL_CONFIG")},
			&cli.DurationFlag{Name: "within", Usage: "for a call with all its tries", Value: 10 * time.Second},
		},
		Commands: []*cli.Command{
			{Name: "put", Usage: "send a configuration", ArgsUsage: "FILE", Arguments: file, Action: r.put, Flags: []cli.Flag{
				&cli.BoolFlag{Name: "unchecked", Usage: "leave the checking to the gateway"}}},
			{Name: "get", Usage: "print the newest configuration", Action: r.get},
			{Name: "diff", Usage: "compare a configuration with the one in force, or two files", ArgsUsage: "FILE | OLD NEW", Action: r.diff,
				Arguments: []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE"}, &cli.StringArg{Name: "new", UsageText: "[NEW]"}},
				Flags:     []cli.Flag{asJSON}},
			r.rolloutCommand(),
			{Name: "status", Usage: "what one gateway knows of the system", Action: r.status, Flags: []cli.Flag{
				&cli.BoolFlag{Name: "json", Usage: "as the gateway sent it"}}},
			{Name: "members", Usage: "the gateways: state, age of the news, who watches whom", Action: r.members, Flags: []cli.Flag{asJSON}},
			{Name: "services", Usage: "the servers by service: phase, warm-up, last beat, home", ArgsUsage: "[SERVICE]", Action: r.services,
				Arguments: []cli.Argument{&cli.StringArg{Name: "service", UsageText: "[SERVICE]"}},
				Flags: []cli.Flag{asJSON, &cli.BoolFlag{Name: "here", Usage: "what the one gateway knows; ask no homes"},
					&cli.BoolFlag{Name: "ended", Usage: "those that have ended, too"}}},
			{Name: "epochs", Usage: "who is primary, backup and witness, and the changes of it", Action: r.epochs, Flags: []cli.Flag{asJSON}},
			{Name: "quotas", Usage: "what one gateway's decisions about quotas went by", Action: r.quotas, Flags: []cli.Flag{asJSON}},
			{Name: "drain", Usage: "send clients of one gateway elsewhere, or take them again", ArgsUsage: "[NAME]", Action: r.drain,
				Arguments: []cli.Argument{&cli.StringArg{Name: "name", UsageText: "[NAME]"}},
				Flags: []cli.Flag{asJSON, &cli.BoolFlag{Name: "stop", Usage: "take clients again"},
					&cli.BoolFlag{Name: "alone", Usage: "even if no other gateway is ready"}}},
			{Name: "log", Usage: "the last lines of one gateway", Action: r.log},
			{Name: "check", Usage: "check a configuration without sending it", ArgsUsage: "FILE", Arguments: file, Action: r.check},
			{Name: "settings", Usage: "check a process's settings file", ArgsUsage: "FILE", Arguments: file, Action: r.settings},
			r.faultCommands(file),
			{Name: "man", Usage: "print the manual page", Action: r.man},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("no such command: %s", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	quietly("", root)
	return root
}

// quietly leaves errors to run, and gives each command below one its page.
func quietly(above string, c *cli.Command) {
	name := strings.TrimSpace(above + " " + c.Name)
	c.Description = pages[name]
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, below := range c.Commands {
		quietly(name, below)
	}
}

// client calls the gateways that the command line names, or a settings file does.
func (r *reed) client(c *cli.Command) (*adminclient.Client, error) {
	at := c.StringSlice("at")
	if path := c.String("from"); len(at) == 0 && path != "" {
		set, err := sysconfig.ReadSettings(path)
		if err != nil {
			return nil, err
		}
		at = set.Bootstrap
	}
	return r.dial(at, c.Duration("within")), nil
}
