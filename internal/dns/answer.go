package dns

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// Target is one SRV record (RFC 2782) with what its target resolves to.
type Target struct {
	Host             string // in lower case, with the last dot
	Port             uint16
	Priority, Weight uint16
	Addrs            []netip.Addr // in order; none: not known yet
}

// longestChain bounds the aliases followed from one name.
const longestChain = 8

// found is what one answer says of a question.
type found struct {
	alias string // ask for this next: the chain ends outside this answer
	ttl   time.Duration
	none  bool // decidedly nothing: NXDOMAIN, NODATA or the target "."
	srv   []Target
	addrs []netip.Addr
	glue  map[string][]netip.Addr // addresses of targets, in bailiwick
}

// ttl of a record. One with the highest bit set counts as zero (RFC 2181, section 8).
func ttl(h *dns.RR_Header) time.Duration {
	if h.Ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(h.Ttl) * time.Second
}

// interpret follows the aliases of an answer from the name asked. seen are the
// names already met on the way, which it adds to.
func interpret(m *dns.Msg, q question, seen map[string]bool) (found, error) {
	f := found{ttl: 1<<63 - 1}
	for _, rr := range slices.Concat(m.Answer, m.Ns) {
		if rr.Header().Class != dns.ClassINET {
			return f, fmt.Errorf("%w: class %d", errMalformed, rr.Header().Class)
		}
	}
	name := strings.ToLower(q.name)
	seen[name] = true
	for aliased := true; aliased; {
		aliased = false
		for _, rr := range m.Answer {
			c, ok := rr.(*dns.CNAME)
			if !ok || !strings.EqualFold(c.Hdr.Name, name) {
				continue
			}
			name = strings.ToLower(c.Target)
			if seen[name] {
				return f, fmt.Errorf("%w: aliases in a loop at %s", errMalformed, name)
			}
			if seen[name] = true; len(seen) > longestChain {
				return f, fmt.Errorf("%w: more than %d aliases", errMalformed, longestChain-1)
			}
			f.ttl, aliased = min(f.ttl, ttl(&c.Hdr)), true
			break
		}
	}
	for _, rr := range m.Answer {
		h := rr.Header()
		if !strings.EqualFold(h.Name, name) || h.Rrtype != q.kind {
			continue
		}
		f.ttl = min(f.ttl, ttl(h))
		switch r := rr.(type) {
		case *dns.SRV:
			f.srv = append(f.srv, Target{Host: strings.ToLower(r.Target), Port: r.Port, Priority: r.Priority, Weight: r.Weight})
		case *dns.A:
			if a, ok := netip.AddrFromSlice(r.A.To4()); ok {
				f.addrs = append(f.addrs, a)
			}
		case *dns.AAAA:
			if a, ok := netip.AddrFromSlice(r.AAAA); ok {
				f.addrs = append(f.addrs, a)
			}
		}
	}
	if len(f.srv) == 0 && len(f.addrs) == 0 {
		if name != strings.ToLower(q.name) && m.Rcode == dns.RcodeSuccess && !soa(m, &f) {
			f.alias = name
			return f, nil
		}
		f.none = true
		if soa(m, &f); m.Rcode == dns.RcodeSuccess && delegates(m) {
			return f, fmt.Errorf("%w: a referral", errMalformed)
		}
		return f, nil
	}
	if m.Rcode != dns.RcodeSuccess {
		return f, fmt.Errorf("%w: records with %v", errMalformed, rcodeError(m.Rcode))
	}
	if q.kind == dns.TypeSRV {
		return f, f.services(m, name)
	}
	slices.SortFunc(f.addrs, netip.Addr.Compare) // name servers rotate them; which is used should not
	f.addrs = slices.Compact(f.addrs)
	return f, nil
}

// soa takes the lifetime of a negative answer (RFC 2308, section 5). Without an
// SOA it must not be kept.
func soa(m *dns.Msg, f *found) bool {
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			f.ttl = min(f.ttl, ttl(&s.Hdr), time.Duration(min(s.Minttl, 1<<31-1))*time.Second)
			return true
		}
	}
	if f.ttl == 1<<63-1 {
		f.ttl = 0
	}
	return false
}

// delegates tells a referral (RFC 2308, section 2.2): a server that does not
// recurse, and knows nothing of the name.
func delegates(m *dns.Msg) bool {
	return !m.Authoritative && !m.RecursionAvailable && len(m.Ns) > 0 && m.Ns[0].Header().Rrtype == dns.TypeNS
}

// services checks the SRV records, orders them and adds the addresses that came
// along.
func (f *found) services(m *dns.Msg, owner string) error {
	slices.SortFunc(f.srv, func(a, b Target) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), cmp.Compare(a.Port, b.Port),
			cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Weight, a.Weight))
	})
	f.srv = slices.CompactFunc(f.srv, func(a, b Target) bool { return a.Host == b.Host && a.Port == b.Port })
	for _, t := range f.srv {
		switch {
		case t.Host == "." && len(f.srv) > 1:
			return fmt.Errorf("%w: the target \".\" beside others", errMalformed)
		case t.Host == ".":
			f.srv, f.none = nil, true
			return nil
		case t.Port == 0:
			return fmt.Errorf("%w: port 0 at %s", errMalformed, t.Host)
		}
	}
	zone := bailiwick(owner)
	f.glue = map[string][]netip.Addr{}
	for _, rr := range m.Extra {
		h := rr.Header()
		if h.Class != dns.ClassINET || !dns.IsSubDomain(zone, h.Name) {
			continue
		}
		host := strings.ToLower(h.Name)
		if _, ok := slices.BinarySearchFunc(f.srv, host, func(t Target, h string) int { return strings.Compare(t.Host, h) }); !ok {
			continue
		}
		switch r := rr.(type) {
		case *dns.A:
			if a, ok := netip.AddrFromSlice(r.A.To4()); ok {
				f.glue[host], f.ttl = append(f.glue[host], a), min(f.ttl, ttl(h))
			}
		case *dns.AAAA:
			if a, ok := netip.AddrFromSlice(r.AAAA); ok {
				f.glue[host], f.ttl = append(f.glue[host], a), min(f.ttl, ttl(h))
			}
		}
	}
	for _, addrs := range f.glue {
		slices.SortFunc(addrs, netip.Addr.Compare)
	}
	return nil
}

// bailiwick is the domain for which the owner of an SRV record may tell
// addresses: the name behind the labels of service and protocol.
func bailiwick(owner string) string {
	for strings.HasPrefix(owner, "_") {
		_, rest, ok := strings.Cut(owner, ".")
		if !ok || rest == "" {
			return owner
		}
		owner = rest
	}
	return owner
}
