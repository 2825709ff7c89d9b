// Package dns is a scripted stand-in for a DNS name server (RFC 1035) on loopback.
// Tests and the laboratory use it; the gateway does not.
//
// A script is a list of blocks. Each begins with a line that says to which
// questions it answers, and when; of the blocks that fit, the last one counts.
//
//	on SRV _noms._tcp.example.org                     # for good
//	  answer _noms._tcp.example.org. 1 IN SRV 10 5 8081 s1.example.org.
//	  additional s1.example.org. 1 IN A 127.0.0.1
//	on SRV _noms._tcp.example.org from 2s until 4s over udp
//	  truncate 1                                      # TC, and the first record only
//	on * from 10s
//	  silence
//
// Conditions: from and until (times since the script began), query N or N-M (of
// this block's questions, from 1), over udp or tcp. Times are Go durations.
//
// What a block may do:
//
//	answer RR, authority RR, additional RR   a record as in a zone file
//	repeat A-B answer RR                     $ stands for each number from A to B, and
//	                                         {$/256}, {$%256} for quotient and rest
//	rcode NAME          SERVFAIL, REFUSED, NXDOMAIN, ...
//	truncate N          TC, with the first N records of the answer
//	silence             nothing comes back
//	delay D             before the answer
//	id N                the id is off by N
//	question NAME       the answer is to another question
//	port                the answer comes from another port
//	forge RR            first a forged answer with that record: id and port are wrong
//	count N             the head counts N answers, whatever there are
//	raw HEX             these bytes behind the id, instead of a message
//	tail HEX            these bytes behind the message
//	edns                FORMERR to a query with EDNS, as a server before RFC 6891
//	refuse              over TCP: a reset as soon as the connection is there
//	cut N               over TCP: the connection ends after N bytes of the message
//	drip D              over TCP: a byte every D
//	twice               the answer comes twice
package dns

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// Script is what a server answers.
type Script struct{ blocks []*block }

type block struct {
	line        int
	kind        uint16 // 0: any
	name        string // "": any
	from, until time.Duration
	first, last int // questions; 0: all
	over        string
	asked       int

	answer, authority, additional []dns.RR
	forged                        []dns.RR
	rcode                         int
	truncate                      int // -1: not
	silence, port, edns           bool
	refuse, twice                 bool
	delay, drip                   time.Duration
	id                            uint16
	question                      string
	count                         int // -1: as it is
	raw, tail                     []byte
	cut                           int // -1: not
}

// Parse reads a script. An error names the line.
func Parse(text string) (*Script, error) {
	s := &Script{}
	in := bufio.NewScanner(strings.NewReader(text))
	in.Buffer(nil, 1<<20)
	var b *block
	for n := 1; in.Scan(); n++ {
		line := strings.TrimSpace(in.Text())
		if i := strings.IndexByte(line, '#'); i >= 0 {
			line = strings.TrimSpace(line[:i])
		}
		if line == "" {
			continue
		}
		verb, rest, _ := strings.Cut(line, " ")
		rest = strings.TrimSpace(rest)
		var err error
		switch {
		case verb == "on":
			if b, err = parseOn(rest); err == nil {
				b.line = n
				s.blocks = append(s.blocks, b)
			}
		case b == nil:
			err = fmt.Errorf("%q before the first block", verb)
		default:
			err = b.do(verb, rest)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	return s, in.Err()
}

// MustParse is Parse for scripts that are part of the program.
func MustParse(text string) *Script {
	s, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return s
}

func parseOn(text string) (*block, error) {
	b := &block{truncate: -1, count: -1, cut: -1, until: 1<<63 - 1}
	words := strings.Fields(text)
	if len(words) == 0 {
		return nil, fmt.Errorf("on: which question?")
	}
	if words[0] != "*" {
		if b.kind = dns.StringToType[strings.ToUpper(words[0])]; b.kind == 0 {
			return nil, fmt.Errorf("unknown type %q", words[0])
		}
	}
	words = words[1:]
	if len(words) > 0 && b.kind != 0 {
		if words[0] != "*" {
			b.name = strings.ToLower(dns.Fqdn(words[0]))
		}
		words = words[1:]
	}
	for ; len(words) >= 2; words = words[2:] {
		var err error
		switch word, arg := words[0], words[1]; word {
		case "from":
			b.from, err = time.ParseDuration(arg)
		case "until":
			b.until, err = time.ParseDuration(arg)
		case "query":
			b.first, b.last, err = span(arg)
		case "over":
			if b.over = arg; arg != "udp" && arg != "tcp" {
				err = fmt.Errorf("over udp or tcp, not %q", arg)
			}
		default:
			err = fmt.Errorf("unknown condition %q", word)
		}
		if err != nil {
			return nil, err
		}
	}
	if len(words) > 0 {
		return nil, fmt.Errorf("what about %q?", words[0])
	}
	return b, nil
}

// span reads N or N-M.
func span(text string) (from, to int, err error) {
	lo, hi, both := strings.Cut(text, "-")
	if !both {
		hi = lo
	}
	if from, err = strconv.Atoi(lo); err == nil {
		to, err = strconv.Atoi(hi)
	}
	if err != nil || from < 0 || to < from {
		return 0, 0, fmt.Errorf("not a number or a span: %q", text)
	}
	return from, to, nil
}

func (b *block) do(verb, rest string) (err error) {
	number := func(to *int) {
		if *to, err = strconv.Atoi(rest); err != nil || *to < 0 {
			err = fmt.Errorf("%s: not a number: %q", verb, rest)
		}
	}
	bytes := func(to *[]byte) {
		if *to, err = hex.DecodeString(strings.ReplaceAll(rest, " ", "")); err != nil {
			err = fmt.Errorf("%s: %w", verb, err)
		}
	}
	switch verb {
	case "answer", "authority", "additional", "forge":
		to := map[string]*[]dns.RR{"answer": &b.answer, "authority": &b.authority, "additional": &b.additional,
			"forge": &b.forged}[verb]
		rr, err := dns.NewRR(rest)
		if err != nil || rr == nil {
			return fmt.Errorf("%s: not a record: %q: %v", verb, rest, err)
		}
		*to = append(*to, rr)
	case "repeat":
		numbers, what, _ := strings.Cut(rest, " ")
		from, to, err := span(numbers)
		if err != nil {
			return err
		}
		verb, record, _ := strings.Cut(strings.TrimSpace(what), " ")
		for i := from; i <= to; i++ {
			if err := b.do(verb, number4(record, i)); err != nil {
				return err
			}
		}
	case "rcode":
		code, ok := dns.StringToRcode[strings.ToUpper(rest)]
		if b.rcode = code; !ok {
			return fmt.Errorf("unknown rcode %q", rest)
		}
	case "truncate":
		number(&b.truncate)
	case "count":
		number(&b.count)
	case "cut":
		number(&b.cut)
	case "id":
		n := 0
		number(&n)
		b.id = uint16(n)
	case "silence":
		b.silence = true
	case "port":
		b.port = true
	case "edns":
		b.edns = true
	case "refuse":
		b.refuse = true
	case "twice":
		b.twice = true
	case "delay":
		b.delay, err = time.ParseDuration(rest)
	case "drip":
		b.drip, err = time.ParseDuration(rest)
	case "question":
		b.question = dns.Fqdn(rest)
	case "raw":
		bytes(&b.raw)
	case "tail":
		bytes(&b.tail)
	default:
		return fmt.Errorf("unknown: %q", verb)
	}
	return err
}

var expression = regexp.MustCompile(`\{\$([/%])(\d+)\}|\$`)

// number4 puts a number into a record.
func number4(text string, n int) string {
	return expression.ReplaceAllStringFunc(text, func(m string) string {
		v := n
		if p := expression.FindStringSubmatch(m); p[1] != "" {
			if by, _ := strconv.Atoi(p[2]); by > 0 && p[1] == "/" {
				v = n / by
			} else if by > 0 {
				v = n % by
			}
		}
		return strconv.Itoa(v)
	})
}

// pick finds the block that answers, and counts the question for each that fits.
func (s *Script) pick(since time.Duration, kind uint16, name, over string) *block {
	var hit *block
	for _, b := range s.blocks {
		if b.kind != 0 && b.kind != kind || b.name != "" && !strings.EqualFold(b.name, name) ||
			b.over != "" && b.over != over || since < b.from || since >= b.until {
			continue
		}
		b.asked++
		if b.first == 0 || b.asked >= b.first && b.asked <= b.last {
			hit = b
		}
	}
	return hit
}
