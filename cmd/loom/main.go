// Command loom is a process of the system: a gateway that also keeps what all
// gateways share. The environment variable ASTERWELL_CONFIG names its settings.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"asterwell/internal/weave"
)

func main() {
	root := &cli.Command{Name: "loom", Usage: "a process of the gateway's system, and its operators' calls", Commands: []*cli.Command{
		{Name: "run", Usage: "serve, by the settings file that ASTERWELL_CONFIG names", Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings file", Sources: cli.EnvVars("ASTERWELL_CONFIG"), Required: true}},
			Action: func(ctx context.Context, c *cli.Command) error { return weave.Run(ctx, c.String("settings")) }},
	}}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "loom:", err)
		os.Exit(1)
	}
}
