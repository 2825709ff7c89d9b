package sim

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"

	"github.com/miekg/dns"
)

const srvName = "_noms._tcp.example.org."

// names is a name server that names all nodes by SRV, and what goes wrong with it.
type names struct {
	w     *World
	index int
	host  *Host
	mode  string // "": well; silent, truncates, half, servfail, forges
}

func (d *names) addr() string { return fmt.Sprintf("10.5.0.%d:53", d.index+1) }

func (d *names) start() {
	proc := d.w.s.NewProc(fmt.Sprint("dns", d.index))
	d.host = d.w.net.Host(proc, fmt.Sprintf("10.5.0.%d", d.index+1), 5)
	proc.Go(func() {
		c, err := d.host.listenUDP(53)
		if err != nil {
			panic(err)
		}
		buf := make([]byte, 4096)
		for {
			n, from, err := c.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			d.udp(c, buf[:n], from)
		}
	})
	d.host.accept(d.addr(), d.tcp)
}

func (d *names) udp(c *packetConn, raw []byte, from netip.AddrPort) {
	q := new(dns.Msg)
	if q.Unpack(raw) != nil || d.mode == "silent" {
		return
	}
	d.w.seen("dns query")
	if d.mode == "forges" { // first an answer that only somebody else can have sent
		lie := new(dns.Msg)
		lie.SetReply(q)
		lie.Id++
		lie.Answer = []dns.RR{&dns.SRV{Hdr: dns.RR_Header{Name: srvName, Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: 60},
			Port: 1, Target: "evil.example.org."}}
		if wire, err := lie.Pack(); err == nil {
			c.WriteToUDPAddrPort(wire, from)
		}
	}
	if wire, err := d.answer(q, false).Pack(); err == nil {
		c.WriteToUDPAddrPort(wire, from)
	}
}

func (d *names) tcp(c *conn) {
	defer c.Close()
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
	wire, err := d.answer(q, true).Pack()
	if err != nil {
		return
	}
	if d.mode == "truncates" { // and cuts it short over TCP
		d.w.seen("dns answer cut short")
		wire = wire[:len(wire)/2]
		c.Write(append([]byte{0xff, 0xff}, wire...))
		return
	}
	c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...))
}

func (d *names) answer(q *dns.Msg, tcp bool) *dns.Msg {
	m := new(dns.Msg)
	m.SetReply(q)
	m.RecursionAvailable = true
	if d.mode == "servfail" {
		m.Rcode = dns.RcodeServerFailure
		return m
	}
	nodes := d.w.nodes
	if d.mode == "half" || d.mode == "truncates" && !tcp {
		nodes = nodes[:len(nodes)/2]
		m.Truncated = d.mode == "truncates"
		d.w.seen("dns answer with half of the nodes")
	}
	for _, n := range nodes {
		host, _, _ := net.SplitHostPort(n.addr)
		name := fmt.Sprintf("n%d.example.org.", n.index)
		m.Answer = append(m.Answer, &dns.SRV{Hdr: dns.RR_Header{Name: srvName, Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: 1},
			Priority: 1, Weight: 1, Port: 8443, Target: name})
		m.Extra = append(m.Extra, &dns.A{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 1},
			A: net.ParseIP(host)})
	}
	return m
}
