package dns

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/miekg/dns"
)

const asked = "_noms._tcp.example.org."

// answer makes a message of records; a line that begins with a sign goes to the
// additional (+) or the authority section (-).
func answer(t testing.TB, rcode int, lines ...string) *dns.Msg {
	t.Helper()
	m := new(dns.Msg)
	m.SetQuestion(asked, dns.TypeSRV)
	m.Response, m.RecursionAvailable, m.Rcode, m.Compress = true, true, rcode, true
	for _, l := range lines {
		rr, err := dns.NewRR(strings.TrimLeft(l, "+-"))
		if err != nil {
			t.Fatal(l, err)
		}
		switch l[0] {
		case '+':
			m.Extra = append(m.Extra, rr)
		case '-':
			m.Ns = append(m.Ns, rr)
		default:
			m.Answer = append(m.Answer, rr)
		}
	}
	return m
}

func TestInterpret(t *testing.T) {
	addr := netip.MustParseAddr
	srv := asked + " 60 IN SRV "
	for name, c := range map[string]struct {
		m    *dns.Msg
		want found
		err  string
	}{
		// RFC 2782, "A fictional example".
		"the RFC's own": {answer(t, 0, asked+" 60 IN SRV 0 1 9 old-slow-box.example.org.", asked+" 60 IN SRV 0 3 9 new-fast-box.example.org.",
			asked+" 60 IN SRV 1 0 9 sysadmins-box.example.org.", asked+" 60 IN SRV 1 0 9 server.example.org.",
			"+server.example.org. 30 IN A 172.30.79.10", "+old-slow-box.example.org. 60 IN A 172.30.79.11"),
			found{ttl: 30 * time.Second, srv: []Target{{Host: "new-fast-box.example.org.", Port: 9, Weight: 3},
				{Host: "old-slow-box.example.org.", Port: 9, Weight: 1}, {Host: "server.example.org.", Port: 9, Priority: 1},
				{Host: "sysadmins-box.example.org.", Port: 9, Priority: 1}},
				glue: map[string][]netip.Addr{"server.example.org.": {addr("172.30.79.10")}, "old-slow-box.example.org.": {addr("172.30.79.11")}}}, ""},
		"aliases": {answer(t, 0, asked+" 9 IN CNAME a.example.net.", "A.example.NET. 5 IN CNAME _s._tcp.b.org.",
			"_s._tcp.b.org. 60 IN SRV 1 2 3 H.b.org.", "+h.b.org. 60 IN AAAA ::1", "+h.example.org. 1 IN A 127.0.0.1"),
			found{ttl: 5 * time.Second, srv: []Target{{Host: "h.b.org.", Port: 3, Priority: 1, Weight: 2}},
				glue: map[string][]netip.Addr{"h.b.org.": {addr("::1")}}}, ""},
		"an alias to be asked for":       {answer(t, 0, asked+" 9 IN CNAME x.org."), found{alias: "x.org.", ttl: 9 * time.Second}, ""},
		"aliases in a loop":              {answer(t, 0, asked+" 9 IN CNAME x.org.", "x.org. 9 IN CNAME "+asked), found{}, "loop"},
		"glue out of bailiwick":          {answer(t, 0, srv+"1 1 1 h.evil.net.", "+h.evil.net. 60 IN A 10.0.0.1"), found{ttl: time.Minute, srv: []Target{{Host: "h.evil.net.", Port: 1, Priority: 1, Weight: 1}}}, ""},
		"decidedly no service":           {answer(t, 0, srv+"0 0 0 ."), found{ttl: time.Minute, none: true}, ""},
		"no service beside one":          {answer(t, 0, srv+"0 0 0 .", srv+"0 0 1 h."), found{}, "beside"},
		"port 0":                         {answer(t, 0, srv+"0 0 0 h.example.org."), found{}, "port 0"},
		"weight 0":                       {answer(t, 0, srv+"0 0 1 h.example.org."), found{ttl: time.Minute, srv: []Target{{Host: "h.example.org.", Port: 1}}}, ""},
		"one target twice":               {answer(t, 0, srv+"5 1 1 h.", srv+"2 1 1 h."), found{ttl: time.Minute, srv: []Target{{Host: "h.", Port: 1, Priority: 2, Weight: 1}}}, ""},
		"TTL over 2^31":                  {answer(t, 0, asked+" 2147483648 IN SRV 1 1 1 h."), found{srv: []Target{{Host: "h.", Port: 1, Priority: 1, Weight: 1}}}, ""},
		"NXDOMAIN":                       {answer(t, 3, "-example.org. 600 IN SOA a. b. 1 2 3 4 30"), found{ttl: 30 * time.Second, none: true}, ""},
		"NODATA":                         {answer(t, 0, "-example.org. 20 IN SOA a. b. 1 2 3 4 30"), found{ttl: 20 * time.Second, none: true}, ""},
		"NXDOMAIN without an SOA":        {answer(t, 3), found{none: true}, ""},
		"NXDOMAIN behind an alias":       {answer(t, 3, asked+" 9 IN CNAME x.org.", "-org. 600 IN SOA a. b. 1 2 3 4 30"), found{ttl: 9 * time.Second, none: true}, ""},
		"NXDOMAIN with records":          {answer(t, 3, srv+"1 1 1 h."), found{}, "NXDOMAIN"},
		"another class":                  {answer(t, 0, asked+" 60 CH SRV 1 1 1 h."), found{}, "class"},
		"records of other names":         {answer(t, 0, "_x._tcp.example.org. 1 IN SRV 1 1 1 h."), found{none: true}, ""},
		"glue of what is no target":      {answer(t, 0, srv+"1 1 1 h.example.org.", "+g.example.org. 1 IN A 10.0.0.1"), found{ttl: time.Minute, srv: []Target{{Host: "h.example.org.", Port: 1, Priority: 1, Weight: 1}}}, ""},
		"a target without a port's peer": {answer(t, 0, srv+"1 1 1 h.", srv+"1 1 2 h."), found{ttl: time.Minute, srv: []Target{{Host: "h.", Port: 1, Priority: 1, Weight: 1}, {Host: "h.", Port: 2, Priority: 1, Weight: 1}}}, ""},
	} {
		got, err := interpret(c.m, question{asked, dns.TypeSRV}, map[string]bool{})
		if c.err != "" {
			if err == nil || !errors.Is(err, errMalformed) || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%s: error %v, want %q", name, err, c.err)
			}
			continue
		}
		if d := cmp.Diff(c.want, got, cmp.AllowUnexported(found{}), cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.Addr{})); d != "" || err != nil {
			t.Error(name, err, d)
		}
	}
}

func TestAliasesAreBounded(t *testing.T) {
	var lines []string
	name := asked
	for i := range longestChain + 1 {
		next := strings.Repeat("x", i+1) + ".org."
		lines = append(lines, name+" 9 IN CNAME "+next)
		name = next
	}
	if _, err := interpret(answer(t, 0, lines...), question{asked, dns.TypeSRV}, map[string]bool{}); !errors.Is(err, errMalformed) {
		t.Error(err)
	}
}

func packed(t testing.TB, m *dns.Msg) []byte {
	t.Helper()
	m.Id = 7
	wire, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return wire
}

// Whatever spoils a message, it is counted as what it is, and never a list.
func TestSpoiltMessages(t *testing.T) {
	good := func() []byte {
		return packed(t, answer(t, 0, asked+" 60 IN SRV 1 1 1 h.example.org.", asked+" 60 IN SRV 1 1 2 i.example.org.",
			"+h.example.org. 60 IN A 127.0.0.1"))
	}
	put := func(at int, v uint16) []byte {
		w := good()
		binary.BigEndian.PutUint16(w[at:], v)
		return w
	}
	whole := good()
	loop := append(append([]byte{}, whole[:len(whole)-16]...), 0xc0, byte(len(whole)-16)) // a name that points at itself
	long := packed(t, answer(t, 0))
	binary.BigEndian.PutUint16(long[6:], 1)
	for range 5 {
		long = append(append(long, 63), strings.Repeat("a", 63)...)
	}
	long = append(long, 0, 0, 33, 0, 1, 0, 0, 0, 1, 0, 0)
	for name, c := range map[string]struct {
		raw  []byte
		want error
	}{
		"good":                     {whole, nil},
		"nothing":                  {nil, errMalformed},
		"half a head":              {whole[:7], errMalformed},
		"another id":               {put(0, 8), errForged},
		"a query":                  {put(2, 0x0100), errForged},
		"another opcode":           {put(2, 0xa180), errForged},
		"TC":                       {put(2, 0x8380), errTruncated},
		"TC and cut":               {append([]byte{0, 7, 0x83, 0x80, 0, 1, 0, 9}, whole[8:50]...), errTruncated},
		"SERVFAIL":                 {put(2, 0x8182), rcodeError(2)},
		"a bare REFUSED":           {[]byte{0, 7, 0x81, 0x85, 0, 0, 0, 0, 0, 0, 0, 0}, rcodeError(5)},
		"a bare NOERROR":           {[]byte{0, 7, 0x81, 0x80, 0, 0, 0, 0, 0, 0, 0, 0}, errMalformed},
		"FORMERR":                  {put(2, 0x8181), errFormat},
		"two questions":            {put(4, 2), errForged},
		"more counted than come":   {put(6, 3), errMalformed},
		"fewer counted than come":  {put(6, 1), errMalformed},
		"65,535 counted":           {put(6, 65535), errMalformed},
		"cut in a record":          {whole[:len(whole)-3], errMalformed},
		"cut between records":      {whole[:len(whole)-16], errMalformed},
		"bytes behind it":          {append(good(), 0), errMalformed},
		"a name that is a loop":    {loop, errMalformed},
		"a name of 320 bytes":      {long, errMalformed},
		"64 KiB of zeros":          {append(whole[:12:12], make([]byte, 65523)...), errForged},
		"the question cut":         {whole[:20], errMalformed},
		"RDATA shorter than it is": {shortRdata(t), errMalformed},
	} {
		m, err := parse(c.raw, 7, question{asked, dns.TypeSRV})
		if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) || (m == nil) != (err != nil) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	other := answer(t, 0)
	other.Question[0].Name = "_noms._tcp.example.com."
	if _, err := parse(packed(t, other), 7, question{asked, dns.TypeSRV}); !errors.Is(err, errForged) {
		t.Error("another question:", err)
	}
	shout := answer(t, 0)
	shout.Question[0].Name = strings.ToUpper(asked)
	if _, err := parse(packed(t, shout), 7, question{asked, dns.TypeSRV}); err != nil {
		t.Error("the question in capitals:", err)
	}
}

// shortRdata is an SRV record whose length says four bytes: priority and weight.
func shortRdata(t testing.TB) []byte {
	wire := packed(t, answer(t, 0))
	binary.BigEndian.PutUint16(wire[6:], 1)
	return append(wire, 0xc0, 12, 0, 33, 0, 1, 0, 0, 0, 60, 0, 4, 0, 1, 0, 1)
}

// An answer as RFC 2782 wants it, with an uncompressed target, and with an OPT record.
func TestForeignMessage(t *testing.T) {
	raw, err := hex.DecodeString("0007818000010001000000010c5f786d70702d736572766572045f746370076578616d706c65036f7267" +
		"0000210001c00c002100010000038400180005000014950468656d700764656d6f6e7374036f7267" + "00" + "0000290200000000000000")
	if err != nil {
		t.Fatal(err)
	}
	q := question{"_xmpp-server._tcp.example.org.", dns.TypeSRV}
	m, err := parse(raw, 7, q)
	if err != nil {
		t.Fatal(err)
	}
	f, err := interpret(m, q, map[string]bool{})
	want := []Target{{Host: "hemp.demonst.org.", Port: 5269, Priority: 5}}
	if d := cmp.Diff(want, f.srv, cmpopts.EquateComparable(netip.Addr{})); d != "" || err != nil || f.ttl != 15*time.Minute {
		t.Error(d, err, f.ttl)
	}
}

// Whatever comes in, reading it ends, and what it takes for a list is one.
func FuzzAnswer(f *testing.F) {
	f.Add(packed(f, answer(f, 0, asked+" 60 IN SRV 1 1 1 h.example.org.", "+h.example.org. 60 IN A 127.0.0.1")))
	f.Add(packed(f, answer(f, 0, asked+" 60 IN CNAME a.org.", "a.org. 60 IN SRV 0 0 9 b.org.")))
	f.Add(packed(f, answer(f, 3, "-example.org. 600 IN SOA a. b. 1 2 3 4 30")))
	f.Add(shortRdata(f))
	f.Fuzz(func(t *testing.T, raw []byte) {
		q := question{asked, dns.TypeSRV}
		m, err := parse(raw, 7, q)
		if (m == nil) == (err == nil) {
			t.Fatal(m, err)
		}
		if err != nil {
			return
		}
		if n := int(binary.BigEndian.Uint16(raw[6:])); n != len(m.Answer) {
			t.Errorf("%d of %d records", len(m.Answer), n)
		}
		got, err := interpret(m, q, map[string]bool{})
		if err != nil {
			return
		}
		for _, s := range got.srv {
			if s.Port == 0 || s.Host == "." || s.Host == "" {
				t.Errorf("target %v", s)
			}
		}
		if got.ttl < 0 || got.none && len(got.srv) > 0 {
			t.Errorf("%+v", got)
		}
	})
}
