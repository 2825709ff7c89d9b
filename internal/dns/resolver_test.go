package dns

import (
	"fmt"
	"io"
	"log"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	standin "asterwell/internal/standin/dns"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// patience is how long anything may take.
const patience = 10 * time.Second

// world is a resolver between scripted name servers.
type world struct {
	t *testing.T
	*Resolver
	opt    Options
	events chan Event
	last   string // expected
}

func resolver(t *testing.T, change func(*Options), servers ...*standin.Server) *world {
	t.Helper()
	w := &world{t: t, events: make(chan Event, 1000), opt: Options{Names: []string{asked}, Families: []uint16{dns.TypeA},
		Timeout: 150 * time.Millisecond, Attempts: 4, PerSec: 10000, Most: 32, Back: 50 * time.Millisecond,
		MostBack: 200 * time.Millisecond, Seed: 1,
		Life:  Life{Min: 20 * time.Millisecond, Max: time.Minute, NegMax: time.Minute, Stale: time.Hour, Retry: 20 * time.Millisecond},
		Guard: Guard{Share: 0.3, Least: 2, Hold: time.Hour}}}
	for _, s := range servers {
		w.opt.Servers = append(w.opt.Servers, s.Addr)
	}
	if change != nil {
		change(&w.opt)
	}
	w.Resolver = NewResolver(w.opt, func(e Event) { w.events <- e })
	t.Cleanup(w.Stop)
	go w.Run()
	return w
}

func standIn(t *testing.T, script string) *standin.Server {
	t.Helper()
	s, err := standin.Listen("127.0.0.1:0", play(t, script))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func play(t *testing.T, script string) *standin.Script {
	t.Helper()
	p, err := standin.Parse(script)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// text is an event in short: its kind, and each target's first label with what is
// known of it.
func text(e Event) string {
	s := e.Kind.String()
	if e.None {
		s += " none"
	}
	for _, t := range e.Targets {
		label, _, _ := strings.Cut(t.Host, ".")
		s += " " + label
		for _, a := range t.Addrs {
			s += "=" + a.String()
		}
	}
	return s
}

// expect waits for an event. Lifetimes are so short here that answers go stale on a
// busy machine, and are told again; that and what is in skip does not matter.
func (w *world) expect(want string, skip ...string) Event {
	w.t.Helper()
	skip = append(skip, "stale", w.last)
	late := time.After(patience)
	for {
		select {
		case e := <-w.events:
			got := text(e)
			if got == want {
				w.last = want
				return e
			}
			ok := false
			for _, s := range skip {
				ok = ok || s == got
			}
			if !ok {
				w.t.Fatalf("%s, want %s", got, want)
			}
		case <-late:
			w.t.Fatalf("no %s", want)
		}
	}
}

// until waits for a condition.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal("never: " + what)
		}
	}
}

// zone is a block that lists targets a, b, ... with their addresses.
func zone(when, targets string, more ...string) string {
	s := "on SRV " + asked + " " + when + "\n"
	for i, c := range targets {
		s += fmt.Sprintf("answer %s 0 IN SRV 1 1 80 %c.example.org.\nadditional %c.example.org. 0 IN A 127.0.0.%d\n", asked, c, c, i+1)
	}
	return s + strings.Join(more, "\n") + "\n"
}

const four = "answered a=127.0.0.1 b=127.0.0.2 c=127.0.0.3 d=127.0.0.4"

// A truncated answer with half of the targets is never a list, whatever becomes of
// the question over TCP.
func TestTruncatedAnswerIsNoList(t *testing.T) {
	for name, tcp := range map[string]string{
		"refused":  "on SRV * over tcp\nrefuse",
		"cut":      zone("over tcp", "ab", "cut 40"),
		"cut at 0": zone("over tcp", "ab", "cut 0"),
		"slow":     zone("over tcp", "ab", "drip 30ms"),
		"silent":   "on SRV * over tcp\nsilence",
		"TC too":   zone("over tcp", "abcd", "truncate 2"),
		"SERVFAIL": "on SRV * over tcp\nrcode SERVFAIL",
		"other id": zone("over tcp", "ab", "id 1"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standIn(t, zone("", "abcd"))
			w := resolver(t, nil, s)
			w.expect(four)
			s.Play(play(t, zone("over udp", "abcd", "truncate 2")+tcp))
			w.until("truncated answers", func() bool { return w.Counters().CutShort.Load() >= 2 })
			s.Play(play(t, zone("", "abcde")))
			w.expect("answered a=127.0.0.1 b=127.0.0.2 c=127.0.0.3 d=127.0.0.4 e=127.0.0.5")
		})
	}
}

func TestTruncatedAnswerOverTCP(t *testing.T) {
	s := standIn(t, zone("over udp", "abcd", "truncate 2")+zone("over tcp", "abcd"))
	w := resolver(t, nil, s)
	w.expect(four)
	tcp, queries := w.Counters().TCP.Load(), w.Counters().Queries.Load()
	w.until("refreshes", func() bool { return w.Counters().Answers.Load() > 5 })
	if udp := w.Counters().Queries.Load() - queries - (w.Counters().TCP.Load() - tcp); udp > 0 {
		t.Errorf("%d more queries over UDP, whose answers don't fit", udp)
	}
}

// 1,500 records over TCP, whose targets' addresses have to be asked for.
func TestLargeAnswer(t *testing.T) {
	s := standIn(t, "on SRV "+asked+"\nrepeat 1-1500 answer "+asked+" 60 IN SRV 1 1 80 s$.x.net.\n"+
		"on A *\nanswer s1.x.net. 60 IN A 127.0.0.9\n")
	w := resolver(t, func(o *Options) { o.Timeout = patience }, s)
	e := <-w.events
	if len(e.Targets) != 1500 || w.Counters().TCP.Load() == 0 {
		t.Fatalf("%d targets", len(e.Targets))
	}
	known := 0
	for _, t := range e.Targets {
		known += len(t.Addrs)
	}
	if known != 1 { // the others' answers are of another name: decidedly no address
		t.Errorf("%d addresses", known)
	}
}

// Whatever is forged counts for nothing: another id, question or port.
func TestForgedAnswers(t *testing.T) {
	lie := "forge " + asked + " 60 IN SRV 0 0 666 evil.example.org."
	for name, spoil := range map[string]string{"beside the true one": lie, "another port": "port", "another id": "id 1",
		"another question": "question _x._tcp.example.org"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standIn(t, zone("", "ab"))
			w := resolver(t, nil, s)
			w.expect("answered a=127.0.0.1 b=127.0.0.2")
			s.Play(play(t, zone("", "abc", spoil)))
			if spoil == lie {
				w.expect("answered a=127.0.0.1 b=127.0.0.2 c=127.0.0.3")
			}
			w.until("forged answers", func() bool { return w.Counters().Forged.Load() >= 2 })
			s.Play(play(t, zone("", "abd")))
			w.expect("answered a=127.0.0.1 b=127.0.0.2 d=127.0.0.3", "answered a=127.0.0.1 b=127.0.0.2")
		})
	}
}

func TestMalformedAnswers(t *testing.T) {
	for name, spoil := range map[string]string{"counts lie": "count 9", "too few counted": "count 1", "bytes behind": "tail 00",
		"no message": "raw 8180", "64 KiB": "raw 818000010001" + strings.Repeat("ff", 60000),
		"port 0": "answer " + asked + " 60 IN SRV 0 0 0 x.example.org.", "another class": "answer " + asked + " 60 CH SRV 0 0 1 x.",
		"a loop": "answer " + asked + " 60 IN CNAME x.\nanswer x. 60 IN CNAME " + asked} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standIn(t, zone("", "ab"))
			w := resolver(t, nil, s)
			w.expect("answered a=127.0.0.1 b=127.0.0.2")
			s.Play(play(t, zone("", "abc", spoil)))
			w.until("malformed answers", func() bool { return w.Counters().Malformed.Load() >= 2 })
			s.Play(play(t, zone("", "abd")))
			w.expect("answered a=127.0.0.1 b=127.0.0.2 d=127.0.0.3")
		})
	}
}

// Half of the zone is lost at one name server, in a whole and well-formed answer:
// the other one decides.
func TestShrink(t *testing.T) {
	x, y := standIn(t, zone("", "abcd")), standIn(t, zone("", "abcd"))
	w := resolver(t, nil, x, y)
	w.expect(four)
	x.Play(play(t, zone("", "ab")))
	w.until("a refuted shrink", func() bool { return w.Counters().Refuted.Load() >= 2 })
	y.Play(play(t, zone("", "ab")))
	w.expect("answered a=127.0.0.1 b=127.0.0.2")
	x.Play(play(t, "on SRV *\nrcode NXDOMAIN\nauthority org. 0 IN SOA a. b. 1 2 3 4 0"))
	y.Play(play(t, "on SRV *\nanswer "+asked+" 0 IN SRV 0 0 0 ."))
	w.expect("answered none")
	x.Play(play(t, zone("", "a")))
	y.Play(play(t, zone("", "a")))
	w.expect("answered a=127.0.0.1")
}

// One server, so that only time can confirm.
func TestShrinkHeld(t *testing.T) {
	s := standIn(t, zone("", "abcd"))
	w := resolver(t, func(o *Options) { o.Guard.Hold = 300 * time.Millisecond }, s)
	w.expect(four)
	began := time.Now()
	s.Play(play(t, zone("", "ab")))
	w.expect("answered a=127.0.0.1 b=127.0.0.2")
	if took := time.Since(began); took < 300*time.Millisecond {
		t.Error("after", took)
	}
}

// Name servers fail one by one, and then all; the list stands, is told as stale,
// then as lost, and as answered once one is back.
func TestServersFail(t *testing.T) {
	dead := "on *\nsilence"
	x, y, z := standIn(t, zone("", "ab")), standIn(t, zone("", "ab")), standIn(t, zone("", "ab"))
	w := resolver(t, func(o *Options) { o.Life.Stale, o.Life.Min = 400*time.Millisecond, time.Second }, x, y, z)
	list := "answered a=127.0.0.1 b=127.0.0.2"
	w.expect(list)
	x.Play(play(t, dead))
	y.Play(play(t, "on *\nrcode SERVFAIL"))
	z.Play(play(t, zone("", "abc")))
	w.expect("answered a=127.0.0.1 b=127.0.0.2 c=127.0.0.3")
	z.Play(play(t, "on *\nrcode REFUSED"))
	w.expect("stale")
	w.expect("lost")
	if w.Counters().Failed.Load() == 0 || w.Counters().Silent.Load() == 0 {
		t.Error("not counted")
	}
	y.Play(play(t, zone("", "abc")))
	w.expect("answered a=127.0.0.1 b=127.0.0.2 c=127.0.0.3")
}

// TTL 0 and over 2^31 count for the least time, and 2^31-1 for the most.
func TestLifetimes(t *testing.T) {
	for ttl, often := range map[string]bool{"0": true, "2147483648": true, "4294967295": true, "2147483647": false} {
		s := standIn(t, "on SRV *\nanswer "+asked+" "+ttl+" IN SRV 1 1 80 a.example.org.\nadditional a.example.org. 2147483647 IN A 127.0.0.1")
		w := resolver(t, nil, s)
		w.expect("answered a=127.0.0.1")
		if often {
			w.until("asked again", func() bool { return s.Total() >= 4 })
		} else if time.Sleep(200 * time.Millisecond); s.Total() != 1 {
			t.Error(ttl, "asked", s.Total())
		}
	}
}

// A server that does not know EDNS is asked without it (RFC 6891, section 6.2.2).
func TestServerWithoutEDNS(t *testing.T) {
	w := resolver(t, nil, standIn(t, zone("", "ab", "edns")))
	w.expect("answered a=127.0.0.1 b=127.0.0.2")
}

// Addresses that don't come along are asked for; one that can't be had does not
// take away what was known, and the first list is told whole.
func TestAddresses(t *testing.T) {
	srv := "on SRV *\nanswer " + asked + " 60 IN SRV 1 1 80 a.x.net.\nanswer " + asked + " 60 IN SRV 1 1 80 b.x.net.\n" +
		"additional a.x.net. 60 IN A 10.9.9.9\n" // out of bailiwick
	addrs := "on A a.x.net\nanswer a.x.net. 0 IN A 127.0.0.2\nanswer a.x.net. 0 IN A 127.0.0.1\n" +
		"on A b.x.net\ndelay 50ms\nanswer b.x.net. 0 IN CNAME c.y.net.\non A c.y.net\nanswer c.y.net. 0 IN A 127.0.0.3\n"
	s := standIn(t, srv+addrs)
	w := resolver(t, nil, s)
	w.expect("answered a=127.0.0.1=127.0.0.2 b=127.0.0.3")
	s.Play(play(t, srv+addrs+"on A a.x.net\nrcode SERVFAIL\non A c.y.net\nanswer c.y.net. 0 IN A 127.0.0.4\n"))
	w.expect("answered a=127.0.0.1=127.0.0.2 b=127.0.0.4")
	s.Play(play(t, srv+addrs+"on A c.y.net\nrcode NXDOMAIN\n"))
	w.expect("answered a=127.0.0.1=127.0.0.2 b")
}

// Other names are asked for at once, and those that are gone told.
func TestConfigure(t *testing.T) {
	other := "_other._tcp.example.org."
	s := standIn(t, zone("", "a")+strings.ReplaceAll(zone("", "bc"), asked, other))
	w := resolver(t, nil, s)
	w.expect("answered a=127.0.0.1")
	w.opt.Names = []string{other}
	w.Configure(w.opt)
	w.expect("dropped")
	if e := w.expect("answered b=127.0.0.1 c=127.0.0.2"); e.Name != other {
		t.Error(e.Name)
	}
}

// Queries a second are bounded, and one question is under way only once.
func TestQueriesAreBounded(t *testing.T) {
	s := standIn(t, "on SRV *\nrepeat 1-300 answer "+asked+" 60 IN SRV 1 1 {$%300} s{$%3}.x.net.\non A *\nanswer q. 60 IN A 127.0.0.1")
	w := resolver(t, func(o *Options) { o.PerSec = 20 }, s)
	time.Sleep(500 * time.Millisecond)
	if n := w.Counters().Queries.Load(); n > 31 {
		t.Errorf("%d queries in half a second", n)
	}
}

// A resolver that can't do anything sleeps: it once turned without a pause while its
// answer was stale, and took the core's time.
func TestNoBusyLoop(t *testing.T) {
	s := standIn(t, zone("", "ab"))
	w := resolver(t, nil, s)
	w.expect("answered a=127.0.0.1 b=127.0.0.2")
	s.Play(play(t, "on *\nsilence"))
	w.until("stale", func() bool { return w.Counters().Stale.Load() > 0 })
	from := w.steps.Load()
	time.Sleep(300 * time.Millisecond)
	if n := w.steps.Load() - from; n > 200 {
		t.Errorf("%d turns in 300 ms", n)
	}
}

func TestHurry(t *testing.T) {
	s := standIn(t, strings.ReplaceAll(zone("", "a"), " 0 IN", " 60 IN"))
	w := resolver(t, nil, s)
	w.expect("answered a=127.0.0.1")
	s.Play(play(t, zone("", "b")))
	w.Hurry()
	w.expect("answered a=127.0.0.1 b=127.0.0.1") // held until it is confirmed
}

func TestHostPort(t *testing.T) {
	got := Target{Port: 80}.HostPort(netip.MustParseAddr("::1")) + " " + Target{Port: 81}.HostPort(netip.MustParseAddr("127.0.0.1"))
	if got != "[::1]:80 127.0.0.1:81" {
		t.Error(got)
	}
}
