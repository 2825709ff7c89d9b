package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"asterwell/internal/adminclient"
	"asterwell/internal/daemon"
)

// TestMain is a process of the system where the test starts it as one.
func TestMain(m *testing.M) {
	if path := os.Getenv("ASTERWELL_CONFIG"); path != "" {
		if err := daemon.Run(context.Background(), path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// three is a real system that is up; its processes, which write that log, end with the test.
func three(t *testing.T) (context.Context, *fleet, *os.File) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	port := 12000 + os.Getpid()%1000*10
	for free(port) != nil {
		port += used
	}
	self, err := os.Executable()
	check(t, err)
	f, err := newFleet(t.TempDir(), port, self)
	check(t, err)
	log, err := os.Create(filepath.Join(f.dir, "log"))
	check(t, err)
	t.Cleanup(func() {
		for _, m := range f.machines {
			if m.ended != nil {
				m.kill()
			}
		}
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("%s", text)
		}
	})
	check(t, f.up(ctx, log))
	return ctx, f, log
}

// A real system of three: it comes up and serves; its primary is killed, and the other
// two take a change; the killed one comes back without its disk, gets a seat and the change.
func TestLosesPrimary(t *testing.T) {
	ctx, f, log := three(t)

	operator := adminclient.New(f.controls(), comesUp)
	s, _, err := operator.Status(ctx)
	check(t, err)
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return strings.HasPrefix(s.Pact.Primary, m.IP+":") })
	if i < 0 {
		t.Fatalf("no machine is the primary: %+v", s.Pact)
	}
	lost := f.machines[i]
	lost.kill()

	second := bytes.Replace(bytes.Replace(configuration, []byte("00000001"), []byte("00000002"), 1), []byte("/hello/"), []byte("/again/"), 1)
	_, err = operator.Put(ctx, second)
	check(t, err)
	for _, m := range f.machines {
		if m != lost {
			check(t, await(ctx, func() error { return f.ask(m, "/again/example") }))
			if f.ask(m, "/hello/example") == nil {
				t.Errorf("%s serves a route that is gone", m.Name)
			}
		}
	}

	check(t, os.RemoveAll(lost.State))
	lost.Genesis = false
	check(t, f.write(lost))
	check(t, f.start(lost, log))
	back := adminclient.New([]string{lost.control()}, comesUp)
	check(t, await(ctx, func() error { return seated(ctx, back) }))
	check(t, await(ctx, func() error { return f.ask(lost, "/again/example") }))
	if a, err := back.Get(ctx); err != nil || !bytes.Equal(a.Body, second) {
		t.Errorf("read back: %v, %v", a, err)
	}
}

// seated: the gateway itself says that it has a part in agreement.
func seated(ctx context.Context, c *adminclient.Client) error {
	s, _, err := c.Status(ctx)
	if err != nil {
		return err
	}
	for _, n := range s.Nodes {
		if duty := s.Role(n); n.Addr == s.Mesh && slices.Contains([]string{"primary", "backup", "witness"}, duty) {
			return nil
		}
	}
	return fmt.Errorf("%s has no seat: %+v", s.Name, s.Pact)
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
