package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"asterwell/internal/sysconfig/schema"
)

func (r *reed) put(ctx context.Context, c *cli.Command) error {
	name, body, err := r.read(c)
	if err != nil {
		return err
	}
	if !c.Bool("unchecked") {
		if err := explain(name, body); err != nil {
			return err
		}
	}
	client, err := r.client(c)
	if err != nil {
		return err
	}
	a, err := client.Put(ctx, body)
	if a != nil {
		fmt.Fprintf(r.out, "acknowledged by %s\n", a.At)
	}
	return err
}

func (r *reed) get(ctx context.Context, c *cli.Command) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	a, err := client.Get(ctx)
	if err != nil {
		return err
	}
	_, err = r.out.Write(a.Body)
	return err
}

func (r *reed) status(ctx context.Context, c *cli.Command) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	s, a, err := client.Status(ctx)
	if c.Bool("json") && a != nil {
		_, err := r.out.Write(a.Body)
		return err
	}
	if err != nil {
		return err
	}
	return s.Write(r.out)
}

func (r *reed) log(ctx context.Context, c *cli.Command) error {
	client, err := r.client(c)
	if err != nil {
		return err
	}
	a, err := client.Log(ctx)
	if err != nil {
		return err
	}
	_, err = r.out.Write(a.Body)
	return err
}

func (r *reed) check(_ context.Context, c *cli.Command) error {
	name, body, err := r.read(c)
	if err != nil {
		return err
	}
	conf, err := parse(name, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "%s: valid, version %08x\n", name, conf.Version())
	return nil
}

func (r *reed) settings(_ context.Context, c *cli.Command) error {
	name, text, err := r.read(c)
	if err != nil {
		return err
	}
	if err := schema.CheckSettings(name, text); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "%s: valid\n", name)
	return nil
}

// read takes the one file that a command names.
func (r *reed) read(c *cli.Command) (name string, text []byte, err error) {
	if name = c.StringArg("file"); name != "" && c.Args().Present() {
		return name, nil, fmt.Errorf("%s: one FILE, not more: %s", c.Name, c.Args().First())
	}
	return r.open(c.Name, name)
}

func (r *reed) open(command, name string) (_ string, text []byte, err error) {
	switch name {
	case "":
		return name, nil, errors.New(command + ": FILE is missing")
	case "-":
		name = "standard input"
		text, err = io.ReadAll(r.in)
	default:
		text, err = os.ReadFile(name)
	}
	return name, text, err
}
