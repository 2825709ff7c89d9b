package sim

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// customer is a shipper.
type customer struct {
	key    string
	pro    bool
	first  int // of the gateways of its set
	width  int
	rate   float64 // tries a second
	within bool    // well under its quota
}

// try is one client try.
type try struct {
	id      string
	cust    *customer
	submit  bool
	gateway int
	timeout time.Duration
	sent    time.Duration
	again   int // client's repeats before it
	due     time.Duration
	upload  *upload       // its body is long; nil: it isn't
	began   time.Duration // when its first byte was sent; sent is when the last one was
}

// clients are all of them: one process, with connections to each gateway.
type clients struct {
	w      *World
	host   *Host
	idle   [][]*clientConn
	last   int
	faulty float64 // share of tries whose client resets, or sends half

	uploading float64 // share of submissions with long bodies
	uploadRng *rand.Rand
}

type clientConn struct {
	*conn
	br   *bufio.Reader
	used bool
}

func (c *clients) start() {
	proc := c.w.s.NewProc("clients")
	c.host = c.w.net.Host(proc, "10.4.0.1", 4)
	c.idle = make([][]*clientConn, len(c.w.gateways))
	c.uploadRng = rand.New(rand.NewPCG(c.w.plan.Seed, 0x0b0d7))
	for _, cu := range c.w.shippers {
		proc.Go(func() { c.shipper(cu) })
	}
}

// shipper sends tries, each at its time, until the load ends.
func (c *clients) shipper(cu *customer) {
	w := c.w
	for {
		c.host.Sleep(time.Duration(w.rng.ExpFloat64() / (cu.rate * w.surge) * float64(time.Second)))
		if w.s.now > w.plan.Load {
			return
		}
		c.begin(cu, 0, w.rng.IntN(2) == 0, w.s.now)
	}
}

func (c *clients) begin(cu *customer, again int, submit bool, due time.Duration) {
	w := c.w
	c.last++
	t := &try{id: fmt.Sprintf("t%d", c.last), cust: cu, submit: submit, again: again, due: due,
		gateway: (cu.first + w.rng.IntN(cu.width)) % len(w.gateways)}
	most := 2500 * time.Millisecond
	if submit {
		most = 1500 * time.Millisecond
	}
	t.timeout = (most/2 + time.Duration(w.rng.Int64N(int64(most/2)))).Truncate(time.Millisecond)
	if submit && c.uploading > 0 && c.uploadRng.Float64() < c.uploading {
		t.upload = drawUpload(c.uploadRng)
		w.bodySizes[t.id] = t.upload.size
	}
	w.customers[t.id] = cu
	w.rules.Request(t.id).Once = submit
	c.host.Go(func() {
		if status, after := c.send(t); status != 200 && again < 2 && w.s.now < w.plan.Load {
			c.host.Sleep(max(after, time.Duration(100+w.rng.IntN(400))*time.Millisecond))
			c.begin(cu, again+1, submit, due)
		}
	})
}

// frontNotices is how long the front in front of the gateways opens connections to
// one that is about to end.
const frontNotices = 400 * time.Millisecond

// conn is one to a gateway: that used last, or a new one.
func (c *clients) conn(gateway int, fresh bool) (*clientConn, error) {
	if idle := c.idle[gateway]; len(idle) > 0 && !fresh {
		k := idle[len(idle)-1]
		c.idle[gateway] = idle[:len(idle)-1]
		if k.Quiet() {
			return k, nil
		}
		if len(k.in) > 0 {
			c.w.rules.Violation("answers", "g%d sent %d bytes that nobody had asked for", gateway, len(k.in))
		}
		k.Close()
		return c.conn(gateway, fresh)
	}
	g := c.w.gateways[gateway]
	if g.termAt > 0 && c.w.s.now > g.termAt+frontNotices {
		return nil, errors.New("the front has taken it out")
	}
	nc, err := c.host.Dial(g.addr, 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: nc.(*conn), br: bufio.NewReaderSize(nc, 2048)}, nil
}

// send plays one try to its end, and returns its status; 0: none.
func (c *clients) send(t *try) (status int, after time.Duration) {
	w, g := c.w, c.w.gateways[t.gateway]
	for fresh := false; ; fresh = true {
		k, err := c.conn(t.gateway, fresh || t.upload != nil)
		if err != nil {
			w.seen("client: no connection")
			w.end(t, 0)
			return 0, 0
		}
		life := g.life
		t.began, t.sent = w.s.now, w.s.now
		if t.upload != nil {
			return c.sendUpload(t, k)
		}
		if c.faulty > 0 && w.rng.Float64() < c.faulty {
			c.misbehave(t, k)
			return 200, 0 // nobody is left to try again
		}
		if _, err := k.Write(t.wire()); err != nil {
			k.Close()
			if k.used {
				continue
			}
			w.end(t, 0)
			return 0, 0
		}
		w.note("try %s by %s at g%d within %v", t.id, t.cust.key, t.gateway, t.timeout)
		k.SetReadDeadline(c.host.Now().Add(t.timeout + answerLate + 200*time.Millisecond))
		m, err := readMessage(k.conn, k.br)
		if err != nil {
			k.Close()
			same := g.life == life && !g.host.dead // the gateway has not been killed
			switch {
			case !same:
				w.seen("client: gateway died")
			case errors.Is(err, io.EOF) || !k.late(k.until):
				if k.used && !k.taken() { // the gateway closed before it came
					w.seen("client: closing crossed the request")
					continue
				}
				if k.taken() {
					w.rules.RequestLost(t.id, t.gateway, fmt.Sprintf("its connection ended: %v", err))
				}
				w.seen("client: connection ended")
			case w.heldUp(t):
				w.seen("client: no answer, gateway held up")
			default:
				w.rules.RequestLost(t.id, t.gateway, "not answered in time")
			}
			w.end(t, 0)
			return 0, 0
		}
		status, _ = strconv.Atoi(strings.Fields(m.first + " 0 0")[1])
		w.rules.answered(t, status, m.body)
		w.note("answer %s %d", t.id, status)
		k.used = true
		if k.SetReadDeadline(time.Time{}); k.br.Buffered() > 0 {
			w.rules.Violation("answers", "%s was answered with more than one answer", t.id)
		}
		if strings.EqualFold(m.headers["connection"], "close") {
			k.Close()
		} else {
			c.idle[t.gateway] = append(c.idle[t.gateway], k)
		}
		if s, err := strconv.ParseFloat(m.headers["retry-after"], 64); err == nil {
			after = time.Duration(s * float64(time.Second))
		}
		w.end(t, status)
		return status, after
	}
}

// taken reports whether the gateway has read all that was sent.
func (k *clientConn) taken() bool { return k.under == 0 }

func (t *try) wire() []byte {
	method, class, body, plan := "GET", "status-read", "", "basic"
	if t.submit {
		method, class, body = "POST", "submit-nom", "Content-Length: 24\r\n\r\n{\"point\":\"e4\",\"kwh\":120}"
	}
	if t.cust.pro {
		plan = "pro"
	}
	head := fmt.Sprintf("%s /api?x=1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tier: %s\r\nCookie: client=%s\r\n"+
		"X-Timeout: %.3f\r\nX-Call-Terms: units=1,spread=%d,first=%d\r\n", method, t.id, class, plan, t.cust.key, t.timeout.Seconds(),
		t.cust.width, t.cust.first)
	if body == "" {
		body = "\r\n"
	}
	return []byte(head + body)
}

// misbehave is what clients do that are no good.
func (c *clients) misbehave(t *try, k *clientConn) {
	wire := t.wire()
	switch c.w.rng.IntN(5) {
	case 0:
		c.w.seen("client resets at once")
		k.Write(wire)
		k.abort()
	case 1:
		c.w.seen("client resets while it waits")
		k.Write(wire)
		c.host.Sleep(time.Duration(c.w.rng.IntN(200)) * time.Millisecond)
		k.abort()
	case 2:
		c.w.seen("client sends half")
		k.Write(wire[:len(wire)/2])
		c.host.Sleep(3 * time.Second)
		k.Close()
	case 3:
		c.w.seen("client sends two lengths")
		k.Write([]byte(strings.Replace(string(wire), "\r\n\r\n", "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 1)))
		c.host.Sleep(time.Second)
		k.Close()
	case 4:
		c.w.seen("client drips")
		for i := range wire {
			if _, err := k.Write(wire[i : i+1]); err != nil {
				break
			}
			if i%16 == 0 {
				c.host.Sleep(time.Millisecond)
			}
		}
		c.host.Sleep(time.Second)
		k.Close()
	}
}
