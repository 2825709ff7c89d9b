package sim

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// count is the shared counter.
type count struct {
	w      *World
	proc   *Proc
	host   *Host
	sums   map[string]*counted
	silent bool
	bells  []*bell
	slow   time.Duration
	crowd  float64 // share of calls turned away
}

type counted struct {
	total float64
	until time.Duration
}

const counterAddr = "10.2.0.2:6400"

func (c *count) start() {
	c.proc = c.w.s.NewProc("counter")
	c.host = c.w.net.Host(c.proc, "10.2.0.2", 2)
	c.host.accept(counterAddr, c.serve)
}

// speak ends a silence.
func (c *count) speak() {
	c.silent = false
	for _, b := range c.bells {
		b.Notify()
	}
	c.bells = nil
}

func (c *count) serve(nc *conn) {
	defer nc.Close()
	br := bufio.NewReaderSize(nc, 512)
	number := func(sign byte) (int, error) {
		line, err := br.ReadString('\n')
		if err != nil || line[0] != sign {
			return 0, io.ErrUnexpectedEOF
		}
		return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
	}
	for {
		n, err := number('*')
		if err != nil {
			return
		}
		words := make([]string, n)
		for i := range words {
			size, err := number('$')
			if err != nil {
				return
			}
			buf := make([]byte, size+2)
			if _, err := io.ReadFull(br, buf); err != nil {
				return
			}
			words[i] = string(buf[:size])
		}
		c.host.Sleep(300*time.Microsecond + c.slow)
		reply := "+PONG\r\n"
		if words[0] == "CNT.ADD" {
			reply = c.add(words)
		}
		for c.silent {
			b := &bell{s: c.w.s}
			c.bells = append(c.bells, b)
			b.Wait(-1)
		}
		if _, err := io.WriteString(nc, reply); err != nil {
			return
		}
	}
}

func (c *count) add(words []string) string {
	if c.crowd > 0 && c.w.rng.Float64() < c.crowd {
		c.w.seen("counter busy")
		return "-BUSY\r\n"
	}
	n, _ := strconv.ParseFloat(words[2], 64)
	life, _ := strconv.Atoi(words[3])
	s := c.sums[words[1]]
	if s == nil || c.w.s.now > s.until {
		s = &counted{until: c.w.s.now + time.Duration(life)*time.Millisecond}
		c.sums[words[1]] = s
	}
	s.total += n
	text := strconv.FormatFloat(s.total, 'g', 7, 64)
	return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
}

// agent tells one gateway the list. What changes reaches it late.
type agent struct {
	w       *World
	index   int
	host    *Host
	addr    string
	version int64
	entries map[string]entry
	changed map[string]int64
	silent  bool
	bells   []*bell
	heard   map[string]bool          // nodes that the gateway knows of in this life
	wrote   map[string]time.Duration // started of the node, as written to the gateway

	had        map[string]entry // the list as the gateway last had it, over its lives
	hadVersion int64
}

// tell notes what counts as told: all that the agent has, whether the gateway asks
// for it or not, unless discovery is silent.
func (a *agent) tell() {
	if a.silent {
		return
	}
	for _, n := range a.w.nodes {
		if e, ok := a.entries[n.id]; ok && e.State != "up" && a.heard[n.id] {
			a.w.rules.ServerState(a.index, n.id, false, a.w.s.now)
		}
	}
}

type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
	started   time.Duration
}

func (a *agent) start() {
	proc := a.w.s.NewProc(fmt.Sprint("agent", a.index))
	a.host = a.w.net.Host(proc, "10.3.0."+strconv.Itoa(a.index), 3)
	a.host.accept(a.addr, a.serve)
}

// set takes a change.
func (a *agent) set(e entry) {
	a.version++
	a.entries[e.ID], a.changed[e.ID] = e, a.version
	a.tell()
	a.ring()
}

func (a *agent) ring() {
	for _, b := range a.bells {
		b.Notify()
	}
	a.bells = nil
}

func (a *agent) serve(nc *conn) {
	defer nc.Close()
	br := bufio.NewReaderSize(nc, 1024)
	for {
		m, err := readMessage(nc, br)
		if err != nil {
			return
		}
		u, err := url.Parse(strings.Fields(m.first + " / -")[1])
		if err != nil {
			return
		}
		from, _ := strconv.ParseInt(u.Query().Get("from"), 10, 64)
		hold, _ := strconv.Atoi(u.Query().Get("hold_ms"))
		end := a.w.s.now + time.Duration(hold)*time.Millisecond
		for {
			if !a.silent && (from == 0 || a.version > from || a.w.s.now >= end) {
				break
			}
			if a.w.s.now >= end {
				end = a.w.s.now + 100*time.Millisecond
			}
			b := &bell{s: a.w.s}
			a.bells = append(a.bells, b)
			b.Wait(end - a.w.s.now)
		}
		if _, err := nc.Write(a.answer(from)); err != nil {
			return
		}
	}
}

func (a *agent) answer(from int64) []byte {
	out := struct {
		Version int64   `json:"version"`
		Full    bool    `json:"full"`
		Servers []entry `json:"servers"`
	}{a.version, from == 0, []entry{}}
	for _, n := range a.w.nodes {
		e, ok := a.entries[n.id]
		if ok && from == 0 && e.State == "removed" {
			if a.heard[n.id] { // else this life of the gateway has never heard of it
				a.w.rules.ServerState(a.index, n.id, false, a.w.s.now)
			}
			continue
		}
		if ok && a.changed[n.id] > from {
			out.Servers = append(out.Servers, e)
			a.heard[n.id], a.had[n.id] = true, e
			a.w.rules.ServerState(a.index, n.id, e.State == "up", a.w.s.now)
			a.wrote[n.id] = e.started
			a.w.known(n)
		}
	}
	a.hadVersion = a.version
	text, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
}
