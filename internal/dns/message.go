package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"github.com/miekg/dns"
)

// udpSize is the largest answer asked for over UDP: what no path fragments (DNS
// flag day 2020; RFC 9715, section 3).
const udpSize = 1232

// question is what is asked. The name is in lower case, with the last dot.
type question struct {
	name string
	kind uint16
}

func (q question) String() string { return q.name + " " + dns.TypeToString[q.kind] }

// Why a message is no answer.
var (
	errForged    = errors.New("answer to another query")
	errMalformed = errors.New("malformed answer")
	errTruncated = errors.New("truncated answer")
	errFormat    = errors.New("EDNS not understood")
)

// rcodeError is an answer that says that the server has failed.
type rcodeError int

func (e rcodeError) Error() string { return "rcode " + dns.RcodeToString[int(e)] }

// pack makes a query (RFC 1035, section 4.1) with EDNS (RFC 6891) unless the
// server has shown that it does not know it.
func (q question) pack(id uint16, edns bool) ([]byte, error) {
	m := new(dns.Msg)
	m.SetQuestion(q.name, q.kind)
	m.Id = id
	if edns {
		m.SetEdns0(udpSize, false)
	}
	return m.Pack()
}

// parse reads a message that came from the server asked. errForged: it answers
// something else, and the true answer may still come. With any other error it is
// the server's answer, and of no use.
func parse(raw []byte, id uint16, q question) (*dns.Msg, error) {
	if len(raw) < 12 {
		return nil, fmt.Errorf("%w: %d bytes", errMalformed, len(raw))
	}
	bits := binary.BigEndian.Uint16(raw[2:])
	if binary.BigEndian.Uint16(raw) != id || bits&0x8000 == 0 || bits>>11&15 != dns.OpcodeQuery {
		return nil, errForged
	}
	rcode := int(bits & 15)
	switch binary.BigEndian.Uint16(raw[4:]) {
	case 0: // some servers refuse with a bare header
		if rcode == dns.RcodeSuccess || rcode == dns.RcodeNameError {
			return nil, fmt.Errorf("%w: no question", errMalformed)
		}
	case 1:
		name, off, err := dns.UnpackDomainName(raw, 12)
		if err != nil || off+4 > len(raw) {
			return nil, fmt.Errorf("%w: question", errMalformed)
		}
		kind, class := binary.BigEndian.Uint16(raw[off:]), binary.BigEndian.Uint16(raw[off+2:])
		if !strings.EqualFold(name, q.name) || kind != q.kind || class != dns.ClassINET {
			return nil, errForged
		}
	default:
		return nil, errForged
	}
	if bits&0x0200 != 0 { // the rest may end anywhere, and says nothing (RFC 2181, section 9)
		return nil, errTruncated
	}
	if err := walk(raw); err != nil {
		return nil, err
	}
	m := new(dns.Msg)
	if err := m.Unpack(raw); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	switch m.Rcode {
	case dns.RcodeSuccess, dns.RcodeNameError:
		return m, nil
	case dns.RcodeFormatError, dns.RcodeBadVers, dns.RcodeNotImplemented:
		return nil, fmt.Errorf("%w: %w", errFormat, rcodeError(m.Rcode))
	}
	return nil, rcodeError(m.Rcode)
}

// fits reports whether a record's data fills its length, for the types that lists
// are made of: the library leaves out what is missing at the end of a record.
func fits(raw []byte, kind uint16, from, to int) bool {
	switch kind {
	case dns.TypeA:
		return to-from == 4
	case dns.TypeAAAA:
		return to-from == 16
	case dns.TypeSRV:
		from += 6
	case dns.TypeCNAME:
	default:
		return true
	}
	if from >= to {
		return false
	}
	_, end, err := dns.UnpackDomainName(raw, from)
	return err == nil && end == to
}

// walk checks that a message holds just the records that its head counts: the
// library takes what it finds for the whole, and a part would pass for a list.
func walk(raw []byte) error {
	off := 12
	var err error
	for i := range 4 {
		for n := binary.BigEndian.Uint16(raw[4+2*i:]); n > 0; n-- {
			if off >= len(raw) {
				return fmt.Errorf("%w: fewer records than counted", errMalformed)
			}
			if _, off, err = dns.UnpackDomainName(raw, off); err != nil {
				return fmt.Errorf("%w: name: %w", errMalformed, err)
			}
			if i == 0 {
				off += 4
			} else if off += 10; off <= len(raw) {
				kind, data := binary.BigEndian.Uint16(raw[off-10:]), off
				if off += int(binary.BigEndian.Uint16(raw[off-2:])); off <= len(raw) && !fits(raw, kind, data, off) {
					return fmt.Errorf("%w: %s with data of another length", errMalformed, dns.TypeToString[kind])
				}
			}
			if off > len(raw) {
				return fmt.Errorf("%w: a record ends behind the message", errMalformed)
			}
		}
	}
	if off != len(raw) {
		return fmt.Errorf("%w: %d bytes behind the last record", errMalformed, len(raw)-off)
	}
	return nil
}
