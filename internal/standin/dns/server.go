package dns

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// Server answers by a script, over UDP and TCP on one port.
type Server struct {
	Addr string

	udp    *net.UDPConn
	tcp    net.Listener
	mu     sync.Mutex
	script *Script
	began  time.Time
	asked  map[string]int // by type and name
	ended  chan struct{}
	wg     sync.WaitGroup
}

// Listen starts a server. Port 0 takes a free one.
func Listen(addr string, script *Script) (*Server, error) {
	var err error
	for range 20 { // the port must be free for both
		s := &Server{asked: map[string]int{}, ended: make(chan struct{})}
		if s.tcp, err = net.Listen("tcp", addr); err != nil {
			return nil, err
		}
		s.Addr = s.tcp.Addr().String()
		var at *net.UDPAddr
		if at, err = net.ResolveUDPAddr("udp", s.Addr); err == nil {
			s.udp, err = net.ListenUDP("udp", at)
		}
		if err != nil {
			s.tcp.Close()
			continue
		}
		s.Play(script)
		s.wg.Add(2)
		go s.serveUDP()
		go s.serveTCP()
		return s, nil
	}
	return nil, err
}

// Play goes on with another script, whose time begins now.
func (s *Server) Play(script *Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.began = script, time.Now()
}

// Asked is how often a question came.
func (s *Server) Asked(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[kind+" "+strings.ToLower(dns.Fqdn(name))]
}

// Total is how many questions came.
func (s *Server) Total() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.asked {
		n += c
	}
	return n
}

// Close ends the server.
func (s *Server) Close() {
	close(s.ended)
	s.udp.Close()
	s.tcp.Close()
	s.wg.Wait()
}

// block finds what a question gets; nil: nothing.
func (s *Server) block(q *dns.Msg, over string) *block {
	if len(q.Question) != 1 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	one := q.Question[0]
	s.asked[dns.TypeToString[one.Qtype]+" "+strings.ToLower(one.Name)]++
	return s.script.pick(time.Since(s.began), one.Qtype, one.Name, over)
}

func (s *Server) serveUDP() {
	defer s.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		q := new(dns.Msg)
		if q.Unpack(buf[:n]) != nil {
			continue
		}
		b := s.block(q, "udp")
		if b == nil || b.silence {
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.answerUDP(b, q, from)
		}()
	}
}

func (s *Server) answerUDP(b *block, q *dns.Msg, to *net.UDPAddr) {
	if !s.sleep(b.delay) {
		return
	}
	out := s.udp
	if b.port || b.forged != nil {
		other, err := net.ListenUDP("udp", &net.UDPAddr{IP: s.udp.LocalAddr().(*net.UDPAddr).IP})
		if err != nil {
			return
		}
		defer other.Close()
		if b.port {
			out = other
		}
		if b.forged != nil {
			lie := new(dns.Msg)
			lie.SetReply(q)
			lie.Answer = b.forged
			for _, from := range []struct {
				conn *net.UDPConn
				id   uint16
			}{{s.udp, q.Id + 1}, {other, q.Id}} {
				lie.Id = from.id
				if wire, err := lie.Pack(); err == nil {
					from.conn.WriteToUDP(wire, to)
				}
			}
		}
	}
	limit := dns.MinMsgSize
	if opt := q.IsEdns0(); opt != nil {
		limit = max(limit, int(opt.UDPSize()))
	}
	wire := b.message(q, limit)
	out.WriteToUDP(wire, to)
	if b.twice {
		out.WriteToUDP(wire, to)
	}
}

// message is the answer as it goes out; over UDP none is longer than the limit
// that the client has stated, unless it is raw.
func (b *block) message(q *dns.Msg, limit int) []byte {
	if b.raw != nil {
		return append(binary.BigEndian.AppendUint16(nil, q.Id+b.id), b.raw...)
	}
	m := new(dns.Msg)
	m.SetReply(q)
	m.Id += b.id
	m.Compress, m.RecursionAvailable = true, true
	m.Rcode = b.rcode
	if opt := q.IsEdns0(); opt != nil && b.edns {
		m.Rcode = dns.RcodeFormatError
	} else {
		m.Answer, m.Ns, m.Extra = b.answer, b.authority, b.additional
		if opt != nil {
			m.Extra = append(append([]dns.RR{}, m.Extra...), &dns.OPT{Hdr: dns.RR_Header{Name: ".", Rrtype: dns.TypeOPT,
				Class: opt.UDPSize()}})
		}
	}
	if b.question != "" {
		m.Question = []dns.Question{{Name: b.question, Qtype: q.Question[0].Qtype, Qclass: dns.ClassINET}}
	}
	if b.truncate >= 0 {
		m.Truncated = true
		m.Answer = m.Answer[:min(b.truncate, len(m.Answer))]
		m.Extra = nil
	}
	wire, err := m.Pack()
	if limit > 0 && err == nil && len(wire) > limit {
		m.Truncated, m.Answer, m.Ns, m.Extra = true, m.Answer[:len(m.Answer)/4], nil, nil
		for wire, err = m.Pack(); err == nil && len(wire) > limit; wire, err = m.Pack() {
			m.Answer = m.Answer[:len(m.Answer)/2]
		}
	}
	if err != nil { // too long for any message: the server fails
		m.Answer, m.Ns, m.Extra, m.Rcode = nil, nil, nil, dns.RcodeServerFailure
		wire, _ = m.Pack()
	}
	if b.count >= 0 && len(wire) >= 8 {
		binary.BigEndian.PutUint16(wire[6:], uint16(b.count))
	}
	return append(wire, b.tail...)
}

// sleep reports false if the server ends meanwhile.
func (s *Server) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-s.ended:
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Server) serveTCP() {
	defer s.wg.Done()
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			left := make(chan struct{})
			defer close(left)
			go func() {
				select {
				case <-s.ended:
				case <-left:
				}
				c.Close()
			}()
			s.converse(c.(*net.TCPConn))
		}()
	}
}

// refuses tells whether connections are reset whatever they would ask.
func (s *Server) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Since(s.began)
	for _, b := range s.script.blocks {
		if b.refuse && b.over == "tcp" && since >= b.from && since < b.until {
			return true
		}
	}
	return false
}

func (s *Server) converse(c *net.TCPConn) {
	if s.refuses() {
		c.SetLinger(0)
		return
	}
	c.SetDeadline(time.Now().Add(30 * time.Second))
	for {
		var size [2]byte
		if _, err := io.ReadFull(c, size[:]); err != nil {
			return
		}
		raw := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(c, raw); err != nil {
			return
		}
		q := new(dns.Msg)
		if q.Unpack(raw) != nil {
			return
		}
		b := s.block(q, "tcp")
		if b == nil || b.silence { // the client gives up, or the server ends
			io.Copy(io.Discard, c)
			return
		}
		if !s.sleep(b.delay) {
			return
		}
		wire := b.message(q, 0)
		out := append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...)
		if b.cut >= 0 {
			c.Write(out[:min(len(out), 2+b.cut)])
			return
		}
		if b.drip > 0 {
			for i := range out {
				if _, err := c.Write(out[i : i+1]); err != nil || !s.sleep(b.drip) {
					return
				}
			}
			continue
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}
