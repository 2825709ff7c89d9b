package dns

import (
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

func TestBadScriptsNameTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"silence":                      "line 1: \"silence\" before",
		"on":                           "line 1: on: which",
		"on XYZ":                       "line 1: unknown type",
		"on A a.org at 5s":             "line 1: unknown condition",
		"on A a.org from soon":         "line 1: time: invalid",
		"on A a.org over ip":           "line 1: over udp or tcp",
		"on A a.org query 5-1":         "line 1: not a number",
		"on A a.org from":              "line 1: what about",
		"on *\n\n# c\nanswer nonsense": "line 4: answer: not a record",
		"on *\nrcode BAD":              "line 2: unknown rcode",
		"on *\ntruncate -1":            "line 2: truncate: not a number",
		"on *\nraw xx":                 "line 2: raw:",
		"on *\nfly":                    "line 2: unknown",
		"on *\nrepeat 1-x answer .":    "line 2: not a number",
	} {
		if _, err := Parse(text); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

// The last block that fits answers, by time, number of the question and transport.
func TestScriptPicks(t *testing.T) {
	s := MustParse(`
on *
  rcode REFUSED
on A a.org
  answer a.org. 1 IN A 10.0.0.1
on A a.org query 2-3 over udp
  answer a.org. 1 IN A 10.0.0.2
on A * from 5s until 6s
  silence
on SRV s.org
  repeat 250-251 answer s.org. 1 IN SRV 1 1 80 n$.s{$/250}-{$%250}.org.`)
	pick := func(at time.Duration, kind uint16, name, over string) string {
		b := s.pick(at, kind, name, over)
		q := new(dns.Msg)
		q.SetQuestion(dns.Fqdn(name), kind)
		m := new(dns.Msg)
		if b.silence {
			return "silence"
		}
		if err := m.Unpack(b.message(q, 512)); err != nil {
			t.Fatal(err)
		}
		text := dns.RcodeToString[m.Rcode]
		for _, rr := range m.Answer {
			f := strings.Fields(rr.String())
			text += " " + f[len(f)-1]
		}
		return text
	}
	for i, c := range []struct {
		at         time.Duration
		kind       uint16
		name, over string
		want       string
	}{
		{0, dns.TypeA, "a.org.", "udp", "NOERROR 10.0.0.1"},
		{0, dns.TypeA, "A.ORG.", "udp", "NOERROR 10.0.0.2"},
		{0, dns.TypeA, "a.org.", "tcp", "NOERROR 10.0.0.1"},
		{0, dns.TypeA, "a.org.", "udp", "NOERROR 10.0.0.2"},
		{0, dns.TypeA, "a.org.", "udp", "NOERROR 10.0.0.1"},
		{0, dns.TypeA, "b.org.", "udp", "REFUSED"},
		{5 * time.Second, dns.TypeA, "b.org.", "udp", "silence"},
		{6 * time.Second, dns.TypeA, "b.org.", "udp", "REFUSED"},
		{0, dns.TypeSRV, "s.org.", "udp", "NOERROR n250.s1-0.org. n251.s1-1.org."},
	} {
		if got := pick(c.at, c.kind, c.name, c.over); got != c.want {
			t.Errorf("%d: %q, want %q", i, got, c.want)
		}
	}
}

// What does not fit a datagram is cut, with TC.
func TestLongAnswersAreCut(t *testing.T) {
	s := MustParse("on *\nrepeat 1-100 answer s.org. 1 IN SRV 1 1 80 n$.s.org.")
	q := new(dns.Msg)
	q.SetQuestion("s.org.", dns.TypeSRV)
	for limit, cut := range map[int]bool{512: true, 0: false} {
		wire := s.pick(0, dns.TypeSRV, "s.org.", "udp").message(q, limit)
		m := new(dns.Msg)
		if err := m.Unpack(wire); err != nil || m.Truncated != cut || cut && len(wire) > limit {
			t.Error(limit, len(wire), m.Truncated, err)
		}
	}
}
