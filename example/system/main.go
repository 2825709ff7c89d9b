// Command system is a small system on loopback: three gateways that are also its core,
// two toy servers and a configuration. It runs until Ctrl-C.
package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"asterwell/internal/adminclient"
)

//go:embed configuration.json
var configuration []byte

const (
	comesUp = 30 * time.Second // the whole example, on a busy machine
	grace   = 7 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{Name: "system", Usage: "a small system on loopback, until Ctrl-C", Flags: []cli.Flag{
		&cli.IntFlag{Name: "port", Value: 8040, Usage: "the first of six ports on 127.0.0.1, 127.0.0.2, 127.0.0.3"},
		&cli.StringFlag{Name: "loom", Usage: "the program, if it is built; otherwise it is built first"},
	}, Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c.Int("port"), c.String("loom")) }}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "system:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, port int, loom string) error {
	if err := free(port); err != nil {
		return fmt.Errorf("%w: choose others with --port", err)
	}
	dir, err := os.MkdirTemp("", "asterwell-system-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if loom == "" {
		loom = filepath.Join(dir, "loom")
		fmt.Println("building loom")
		build := exec.CommandContext(ctx, "go", "build", "-o", loom, "./cmd/loom")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return fmt.Errorf("go build (from the root of the repository): %w", err)
		}
	}
	f, err := newFleet(dir, port, loom, "run")
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	defer f.stop(grace)
	if err := f.up(ctx, log); err != nil {
		text, _ := os.ReadFile(log.Name())
		return fmt.Errorf("%w; the processes say:\n%s", err, text)
	}
	fmt.Printf(`a system of three gateways is up; their settings, states and log are in %s. Ask one:

    %s

and look at them all:

    go build -o bin/ ./cmd/reed && export REED_AT=%s
    bin/reed status            # who is there, with which part; reed members tells who watches whom
    bin/reed services          # the two toy servers, and when they last beat
    bin/reed epochs            # kill the primary (its process), and see it change
    bin/reed diff example/system/configuration.json
    bin/reed drain edge-b      # its answers end their connections now; reed drain --stop edge-b

Ctrl-C ends it.
`, dir, f.curl(f.machines[0]), strings.Join(f.controls(), ","))
	<-ctx.Done()
	fmt.Println("ending")
	return nil
}

// up starts all, and returns once a request has been answered by each gateway.
func (f *fleet) up(ctx context.Context, log io.Writer) error {
	for _, m := range f.machines {
		if err := f.start(m, log); err != nil {
			return err
		}
	}
	for _, zone := range []string{"a", "b"} {
		t, err := newToy("toy-"+zone, zone, f.controls())
		if err != nil {
			return err
		}
		go t.beat(ctx)
	}
	if _, err := adminclient.New(f.controls(), comesUp).Put(ctx, configuration); err != nil {
		return err
	}
	for _, m := range f.machines {
		if err := await(ctx, func() error { return f.ask(m, "/hello/example") }); err != nil {
			return err
		}
	}
	return nil
}

// await asks again until the answer is good.
func await(ctx context.Context, ask func() error) error {
	ctx, stop := context.WithTimeout(ctx, comesUp)
	defer stop()
	for every := time.NewTicker(50 * time.Millisecond); ; {
		err := ask()
		if err == nil {
			return nil
		}
		select {
		case <-every.C:
		case <-ctx.Done():
			return err
		}
	}
}

// host and key are in the configuration.
const host, key = "toy.example", "try-key"

var caller = http.Client{Timeout: 3 * time.Second}

func (f *fleet) ask(m *machine, path string) error {
	q, err := http.NewRequest(http.MethodGet, "http://"+m.ingress()+path, nil)
	if err != nil {
		return err
	}
	q.Host = host
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("X-Attempt-Id", fmt.Sprintf("%s-%d", m.Name, time.Now().UnixNano()))
	q.Header.Set("X-Deadline-Ms", "2000")
	a, err := caller.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && (a.StatusCode != http.StatusOK || a.Header.Get("X-Server-Seal") == "") {
		err = fmt.Errorf("%s: %d: %s", m.Name, a.StatusCode, text)
	}
	return err
}

func (f *fleet) curl(m *machine) string {
	return fmt.Sprintf("curl -i %s/hello/world -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'X-Attempt-Id: try-1' "+
		"-H 'X-Deadline-Ms: 2000'", m.ingress(), host, key)
}
