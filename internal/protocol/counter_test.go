package protocol

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/scenario"
)

func encodedAdd(name, amount string) string {
	return fmt.Sprintf("*4\r\n$7\r\nCNT.ADD\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$4\r\n4000\r\n", len(name), name, len(amount), amount)
}

// Each script acts as the counter. "add close" makes a call; "ends close" waits until all
// calls made so far have ended.
func TestCounter(t *testing.T) {
	for name, c := range map[string]struct {
		limit  time.Duration
		script string
		want   []string
	}{
		"answers come in order": {time.Minute, `
			add close
			add close
			counter1 expect "$a$b"
			counter1 send "$4\r\n12.5\r\n$1"
			wait 20ms
			counter1 send "\r\n7\r\n"
			ends close`, []string{"a 0 12.5", "b 0 7"}},
		"turned away and not known": {time.Minute, `
			add close
			counter1 expect "$a"
			counter1 send "-BUSY line is full\r\n"
			ends close
			add close
			counter1 expect "$b"
			counter1 send "-ERR no such call\r\n"
			ends close
			add close
			counter1 expect "$a"
			counter1 send "$1\r\n0\r\n"
			ends close`, []string{"a 2 0", "b 4 0", "a 0 0"}},
		"a late answer is consumed, not taken for the next": {500 * time.Millisecond, `
			add close
			counter1 expect "$a"
			ends close
			add close
			counter1 expect "$b"
			counter1 send "$1\r\n1\r\n$1\r\n2\r\n"
			ends close`, []string{"a 3 0", "b 0 2"}},
		"a break leaves open whether it was added, and nothing is written again": {time.Minute, `
			add close
			counter1 expect "$a"
			counter1 close
			ends close
			counter2 expect nothing
			add close
			counter2 expect "$b"
			counter2 send "$1\r\n5\r\n"
			ends close`, []string{"a 3 0", "b 0 5"}},
		"silence ends the connection": {500 * time.Millisecond, `
			add close
			counter1 expect "$a"
			ends close
			counter1 expect closed
			add close
			counter2 expect "$b"
			counter2 send "$1\r\n5\r\n"
			ends close`, []string{"a 3 0", "b 0 5"}},
		"an idle connection is kept alive": {time.Minute, `
			counter1 expect "*1\r\n$4\r\nPING\r\n"
			counter1 send "+PONG\r\n"
			add close
			counter1 expect "$a"
			counter1 send "$1\r\n5\r\n"
			ends close`, []string{"a 0 5"}},
		"nonsense ends the connection": {time.Minute, `
			add close
			counter1 expect "$a"
			counter1 send "what?\r\n"
			ends close
			counter1 expect closed`, []string{"a 1 0"}},
		"a move repeats nothing, and the old answers are read out": {time.Minute, `
			add close
			counter1 expect "$a"
			moved close
			tally1 expect nothing
			add close
			tally1 expect "$b"
			tally1 send "$1\r\n7\r\n"
			counter1 send "$1\r\n5\r\n"
			ends close
			counter1 expect closed
			tally1 expect nothing`, []string{"b 0 7", "a 0 5"}},
		"the old address breaks the connection off": {time.Minute, `
			add close
			counter1 expect "$a"
			moved close
			add close
			counter1 close
			tally1 expect "$b"
			tally1 send "$1\r\n7\r\n"
			ends close
			tally1 expect nothing`, []string{"a 3 0", "b 0 7"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			tally, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer tally.Close()
			ends := make(chan string, 10)
			counter := NewCounter(nil, ln.Addr().String(), c.limit, func(name string, s choice.Status, total float64) {
				ends <- fmt.Sprint(name, " ", int(s), " ", total)
			})
			go counter.Run()
			defer counter.Stop()
			var got []string
			made := 0
			stage := scenario.Stage{Accept: map[string]net.Listener{"counter": ln, "tally": tally},
				Vars: map[string]string{"a": encodedAdd("a", "-2.5"), "b": encodedAdd("b", "1000000000")},
				Close: map[string]func(){
					"add": func() {
						if made++; made%2 == 1 {
							counter.Add("a", -2.5, 4*time.Second)
						} else {
							counter.Add("b", 1e9, 4*time.Second)
						}
					},
					"moved": func() { counter.SetAddr(tally.Addr().String()) },
					"ends": func() {
						for len(got) < made {
							select {
							case e := <-ends:
								got = append(got, e)
							case <-time.After(scenario.Patience):
								t.Fatalf("only %v of %d ended", got, made)
							}
						}
					}}}
			stage.Vars["1"], stage.Vars["4"] = "$1", "$4" // RESP's own
			stage.Play(t, c.script)
			slices.Sort(c.want) // the order of results across two connections is undefined
			slices.Sort(got)
			if d := cmp.Diff(c.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// Only known replies prove anything. After any other, the amount counts as added, and the
// connection is closed.
func TestReplies(t *testing.T) {
	for text, want := range map[string]counterReply{
		"$4\r\n12.5\r\n":               {total: 12.5},
		"$2\r\n-3\r\n":                 {total: -3},
		":7\r\n":                       {total: 7},
		"+PONG\r\n":                    {kind: replyPong},
		"-BUSY\r\n":                    {kind: replyBusy},
		"-BUSY later\r\n":              {kind: replyBusy},
		"-ERR no such call\r\n":        {kind: replyRefused},
		"+OK\r\n":                      {kind: replyInvalid},
		"-LOADING\r\n":                 {kind: replyInvalid},
		"-BUSYBODY\r\n":                {kind: replyInvalid},
		"-\r\n":                        {kind: replyInvalid},
		":nan\r\n":                     {kind: replyInvalid},
		"$3\r\nNaN\r\n":                {kind: replyInvalid},
		"$4\r\n+Inf\r\n":               {kind: replyInvalid},
		"$5\r\n1e999\r\n":              {kind: replyInvalid},
		"$2\r\n12.5\r\n":               {kind: replyInvalid},
		"$-1\r\n":                      {kind: replyInvalid},
		"$0\r\n\r\n":                   {kind: replyInvalid},
		"$99999999\r\n":                {kind: replyInvalid},
		"\r\n":                         {kind: replyInvalid},
		"what?\r\n":                    {kind: replyInvalid},
		strings.Repeat("1", 2*maxLine): {kind: replyInvalid},
		":7":                           {kind: replyConnLost},
		"$4\r\n12":                     {kind: replyConnLost},
	} {
		got := readReply(bufio.NewReaderSize(strings.NewReader(text), maxLine))
		if got.err = nil; got != want {
			t.Errorf("%.20q: %+v, want %+v", text, got, want)
		}
	}
}

// If the connection is refused, nothing was added, and the result says so.
func TestCounterRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	ends := make(chan choice.Status, 1)
	c := NewCounter(nil, addr, time.Second, func(_ string, s choice.Status, _ float64) { ends <- s })
	go c.Run()
	c.Add("a", 1, time.Second)
	if s := <-ends; s != choice.ConnectFailed {
		t.Errorf("status %d, want %d", s, choice.ConnectFailed)
	}
}

// When a connection is lost during a write, calls written completely may have been added,
// and the others were not.
func TestCounterLostWhileWriting(t *testing.T) {
	here, there := net.Pipe()
	got := map[string]choice.Status{}
	c := &Counter{host: hostenv.Real, timeout: time.Minute, onResult: func(name string, s choice.Status, _ float64) { got[name] = s }}
	c.current = &counterConn{nc: here}
	for _, name := range []string{"a", "b", "c"} {
		c.add(&counterCall{name: name, wire: []byte(encodedAdd(name, "1")), deadline: time.Now().Add(time.Minute)})
	}
	go func() {
		io.ReadFull(there, make([]byte, len(encodedAdd("a", "1"))+5))
		there.Close()
	}()
	c.flush()
	want := map[string]choice.Status{"a": choice.Timeout, "b": choice.ConnectFailed, "c": choice.ConnectFailed}
	if d := cmp.Diff(want, got); d != "" || c.current != nil {
		t.Error(d)
	}
}

// A silent connection delays calls for a few timeouts at most, since customers are not
// metered meanwhile. Until then its late replies count.
func TestSilentConnectionIsClosed(t *testing.T) {
	here, _ := net.Pipe()
	now := time.Now()
	c := &Counter{host: hostenv.Real, timeout: 50 * time.Millisecond, onResult: func(string, choice.Status, float64) {}}
	c.current = &counterConn{nc: here, lastReply: now}
	c.current.pending = []*counterCall{{name: "a", deadline: now.Add(c.timeout)}}
	if c.expire(now.Add(150 * time.Millisecond)); c.current == nil || !c.current.pending[0].finished {
		t.Error("given up too soon, or the call is still open")
	}
	if c.expire(now.Add(250 * time.Millisecond)); c.current != nil {
		t.Error("still in use")
	}
}
