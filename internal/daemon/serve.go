package daemon

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/dataplane"
	"asterwell/internal/registry"
	"asterwell/internal/transport"
)

// serve begins to listen to clients, the platform, servers and operators.
func (p *Process) serve() error {
	b := p.set.Bind
	clients := p.set.BoundsReq.FdLimit / 3
	if b.Ingress != "" {
		s := transport.NewServer(p.plane.Handle, mostBody)
		s.ReadBufferSize, s.ReadTimeout, s.IdleTimeout, s.WriteTimeout = mostHead, headTime, idleTime, answerTime
		if err := p.listen("Ingress", b.Ingress, clients, s); err != nil {
			return err
		}
		p.clients = p.listeners[0]
	}
	if b.Readiness != "" {
		if err := p.listen("Readiness", b.Readiness, 64, transport.NewServer(p.readiness, 0)); err != nil {
			return err
		}
	}
	if b.ControlPlane != "" {
		s := transport.NewServer(p.control, mostConfiguration)
		s.IdleTimeout = idleTime
		if err := p.listen("ControlPlane", b.ControlPlane, 512, s); err != nil {
			return err
		}
	}
	return nil
}

// What clients may send, and how long they may take. The configuration's bounds are
// at most these.
const (
	mostBody          = 64 << 20
	mostHead          = 17 << 10
	mostConfiguration = 16 << 20
	headTime          = 4 * time.Second
	idleTime          = 17 * time.Second
	answerTime        = 15 * time.Second
)

func (p *Process) listen(key, addr string, most int, s *fasthttp.Server) error {
	ln, err := transport.Listen(nil, addr, most)
	if err != nil {
		return fmt.Errorf("Bind.%s: %w", key, err)
	}
	p.listeners = append(p.listeners, ln)
	go func() {
		if err := ln.Serve(s); !errors.Is(err, net.ErrClosed) {
			p.say.WithError(err).WithField("bind", key).Error("does not listen any more")
		}
	}()
	return nil
}

func (p *Process) readiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/api/readiness" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	} else if !p.ready.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// ended does what is next for a process that leaves, and reports whether it is done.
func (p *Process) ended(now time.Time) bool {
	gone := now.Sub(p.left)
	step := p.leave.next(gone, p.set.Bounds.Grace)
	if step == stay {
		return false
	}
	p.closing.Store(true)
	open := 0
	if p.clients != nil { // who else calls goes elsewhere
		open = p.clients.Drain()
	}
	if step == reply {
		p.plane.Close()
	}
	idle := open == 0 && p.plane.OpenRequests() == 0
	if n := p.leave.notice(gone, p.set.Bounds.Grace, idle); n != 0 {
		p.carry(p.knot.AnnounceExit(p.now(), n))
	}
	return p.leave.ends(step, idle, p.knot.CanExit())
}

// listed tells the data plane of servers that are otherwise than before.
func (p *Process) listed(all []registry.Server) {
	list, gone := lately(all)
	for _, s := range list {
		if s.State == choice.Up {
			p.serving[s.ID] = true
		} else {
			delete(p.serving, s.ID)
		}
	}
	for _, id := range gone {
		delete(p.serving, id)
	}
	p.known.Store(int64(len(p.serving)))
	if !p.bare {
		p.plane.UpdateServers(list, gone)
	}
}

// lately sums up words on servers: of each the last one counts, and who has ended is nobody's any more.
func lately(all []registry.Server) (list []dataplane.Server, gone []string) {
	seen := make(map[string]bool, len(all))
	for _, s := range slices.Backward(all) {
		switch {
		case seen[s.ID]:
		case s.Phase == registry.Ended:
			gone = append(gone, s.ID)
		default:
			list = append(list, served(s))
		}
		seen[s.ID] = true
	}
	return list, gone
}

// served is a server as the data plane sees it.
func served(s registry.Server) dataplane.Server {
	state := choice.Up
	switch s.Phase {
	case registry.Quiescing:
		state = choice.Draining
	case registry.Silent:
		state = choice.Down
	}
	return dataplane.Server{ID: s.ID, Addr: s.Addr, Service: s.Service, Zone: s.Zone, Capacity: s.Capacity, WarmUntil: s.WarmUntil, State: state}
}
