package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sys/unix"

	"asterwell/internal/adminclient"
	"asterwell/internal/daemon"
)

func TestMain(m *testing.M) {
	if os.Getenv("PROCESS") != "" { // a script has started it as one
		if os.Getenv("FULL") != "" { // no file grows beyond 64 KiB
			signal.Ignore(syscall.SIGXFSZ)
			if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 64 << 10, Max: 64 << 10}); err != nil {
				panic(err)
			}
		}
		if err := daemon.Run(context.Background(), os.Getenv("ASTERWELL_CONFIG")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	testscript.Main(m, map[string]func(){"reed": func() {
		os.Exit(run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr, unhurried))
	}})
}

// unhurried is a client whose clock stands still but for its pauses, which it tells.
func unhurried(at []string, within time.Duration) *adminclient.Client {
	var now time.Time
	return &adminclient.Client{Addresses: at, Timeout: within, Now: func() time.Time { return now },
		Pause: func(_ context.Context, d time.Duration) error {
			now = now.Add(d)
			fmt.Fprintln(os.Stderr, "pause", d)
			return nil
		}}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			e.Values["checks"], e.Values["running"] = new([]func() string), new([]*running)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"gateway": gateway, "exit": exit, "spent": spent,
			"process": process, "pad": pad, "until": until, "beat": beat, "call": call, "texts": twoTexts, "drainAll": drainAll,
			"killPrimary": killPrimary, "drainKilled": drainKilled}})
}

// spent holds the gateways to it that they were asked all they should, and no more.
func spent(ts *testscript.TestScript, _ bool, _ []string) {
	for _, check := range *ts.Value("checks").(*[]func() string) {
		if why := check(); why != "" {
			ts.Fatalf("%s", why)
		}
	}
}

// exit runs reed and holds it to a code: exit CODE ARGS.
func exit(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("reed", args[1:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, not %s", got, args[0])
	}
}

// gateway plays one that is asked what the lines of a file say, in this order, and
// answers as they say: METHOD PATH STATUS [HEADER=VALUE...] [@FILE]. The status "cut"
// closes the connection once the call is read. Its address is then in $NAME.
func gateway(ts *testscript.TestScript, _ bool, args []string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Setenv(args[0], ln.Addr().String())
	var lines []string
	for _, line := range strings.Split(ts.ReadFile(args[1]), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			lines = append(lines, os.Expand(line, ts.Getenv))
		}
	}
	files := map[string][]byte{}
	for _, line := range lines {
		if _, name, ok := strings.Cut(line, "@"); ok {
			files[name] = []byte(os.Expand(ts.ReadFile(name), ts.Getenv))
		}
	}
	var mu sync.Mutex
	var strange []string
	serve := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		asked := r.Method + " " + r.URL.Path
		if len(lines) == 0 || !strings.HasPrefix(lines[0], asked+" ") {
			strange = append(strange, asked)
			w.WriteHeader(http.StatusTeapot)
			return
		}
		words := strings.Fields(lines[0])[2:]
		lines = lines[1:]
		var body []byte
		for _, word := range words[1:] {
			if name, ok := strings.CutPrefix(word, "@"); ok {
				body = files[name]
			} else if name, value, ok := strings.Cut(word, "="); ok {
				w.Header().Set(name, value)
			}
		}
		status, err := strconv.Atoi(words[0])
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		w.Write(body)
	}
	s := &http.Server{Handler: http.HandlerFunc(serve)}
	go s.Serve(ln)
	ts.Defer(func() { s.Close() })
	checks := ts.Value("checks").(*[]func() string)
	*checks = append(*checks, func() string {
		mu.Lock()
		defer mu.Unlock()
		if len(strange) > 0 || len(lines) > 0 {
			return fmt.Sprintf("%s: asked besides: %q; not asked: %q", args[0], strange, lines)
		}
		return ""
	})
}
