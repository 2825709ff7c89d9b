package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"asterwell/internal/adminapi"
	"asterwell/internal/adminclient"
)

// shows asks one gateway for something, and prints it as it came or as text.
func shows[T any](ctx context.Context, r *reed, c *cli.Command, ask func(*adminclient.Client, context.Context) (*T, *adminclient.Answer, error),
	write func(io.Writer, *T) error) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	v, a, err := ask(client, ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := r.out.Write(a.Body)
		return err
	}
	return write(r.out, v)
}

func (r *reed) members(ctx context.Context, c *cli.Command) error {
	return shows(ctx, r, c, (*adminclient.Client).Members, adminclient.WriteMembers)
}

func (r *reed) epochs(ctx context.Context, c *cli.Command) error {
	return shows(ctx, r, c, (*adminclient.Client).Epochs, adminclient.WriteEpochs)
}

func (r *reed) quotas(ctx context.Context, c *cli.Command) error {
	return shows(ctx, r, c, (*adminclient.Client).Quotas, adminclient.WriteQuotas)
}

func (r *reed) services(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("services: one SERVICE, not more: %s", c.Args().First())
	}
	client, err := r.client(c)
	if err != nil {
		return err
	}
	s, a, err := client.Services(ctx)
	if err != nil {
		return err
	}
	only := c.StringArg("service")
	s.Servers = slices.DeleteFunc(s.Servers, func(v adminapi.Server) bool {
		return only != "" && v.Service != only || v.Phase == "ended" && !c.Bool("ended")
	})
	if only != "" && len(s.Servers) == 0 {
		return &adminclient.Refused{At: a.At, Status: 404, Why: "no server of service " + only}
	}
	var silent []string
	if !c.Bool("here") {
		silent = adminclient.FillHeartbeatAges(ctx, s, r.dial)
	}
	if c.Bool("json") {
		return r.json(s)
	}
	if err := adminclient.WriteServices(r.out, s); err != nil || len(silent) == 0 {
		return err
	}
	_, err = fmt.Fprintf(r.out, "\nhomes that did not answer: %s\n", strings.Join(silent, ", "))
	return err
}

func (r *reed) json(of any) error {
	body, err := json.MarshalIndent(of, "", "  ")
	if err == nil {
		_, err = fmt.Fprintln(r.out, string(body))
	}
	return err
}

// drain calls one gateway and no other: the one that is named, or the only one of --at.
func (r *reed) drain(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("drain: one NAME, not more: %s", c.Args().First())
	}
	if c.Bool("stop") && c.Bool("alone") {
		return fmt.Errorf("drain: --alone and --stop do not go together")
	}
	client, err := r.client(c)
	if err != nil {
		return err
	}
	name := c.StringArg("name")
	if name != "" {
		at, err := r.named(ctx, client, name)
		if err != nil {
			return err
		}
		client = r.dial([]string{at}, c.Duration("within"))
	} else if len(client.Addresses) > 1 {
		return fmt.Errorf("drain: which one? Give its NAME, or one address with --at, not %d", len(client.Addresses))
	}
	a, err := client.Drain(ctx, !c.Bool("stop"), c.Bool("alone"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return r.json(map[string]any{"At": a.At, "Draining": !c.Bool("stop")})
	}
	if c.Bool("stop") {
		_, err = fmt.Fprintf(r.out, "%s takes clients again\n", cmp.Or(name, a.At))
		return err
	}
	_, err = fmt.Fprintf(r.out, "%s drains: it is not ready, ends connections behind their answers, and serves what still comes\n",
		cmp.Or(name, a.At))
	return err
}

// named finds a gateway's control address by its name.
func (r *reed) named(ctx context.Context, client *adminclient.Client, name string) (string, error) {
	m, a, err := client.Members(ctx)
	if err != nil {
		return "", err
	}
	var found []string
	for _, g := range m.Gateways {
		if g.Name == name && g.State != "gone" && g.Control != "" {
			found = append(found, g.Control)
		}
	}
	switch len(found) {
	case 1:
		return found[0], nil
	case 0:
		return "", &adminclient.Refused{At: a.At, Status: 404, Why: "no gateway " + name + " that can be called"}
	}
	return "", fmt.Errorf("drain: %s is the name of several: use --at with one of %s", name, strings.Join(found, ", "))
}
