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
	"asterwell/internal/sysconfig"
	"asterwell/internal/transport"
)

// listenAll opens the listeners for clients, the platform, servers and operators.
func (p *Process) listenAll() error {
	b := p.settings.Bind
	clients := p.settings.BoundsReq.FdLimit / 3
	if b.Ingress != "" {
		s := transport.NewServer(p.plane.Handle, maxIngressBody)
		s.ReadBufferSize, s.ReadTimeout, s.IdleTimeout, s.WriteTimeout = maxIngressHeader, headerTimeout, idleTimeout, answerTimeout
		if err := p.listenOn("Ingress", b.Ingress, clients, s); err != nil {
			return err
		}
		p.ingress = p.listeners[0]
	}
	if b.Readiness != "" {
		if err := p.listenOn("Readiness", b.Readiness, 64, transport.NewServer(p.readiness, 0)); err != nil {
			return err
		}
	}
	if b.ControlPlane != "" {
		s := transport.NewServer(p.control, maxConfigBody)
		s.IdleTimeout = idleTimeout
		if err := p.listenOn("ControlPlane", b.ControlPlane, 512, s); err != nil {
			return err
		}
	}
	return nil
}

// Limits of what clients may send and how long they may take. The configuration's bounds are at most
// these.
const (
	maxIngressBody   = 64 << 20
	maxIngressHeader = 17 << 10
	maxConfigBody    = 16 << 20
	headerTimeout    = 4 * time.Second
	idleTimeout      = 17 * time.Second
	answerTimeout    = 15 * time.Second
)

// How much longer than the configuration's bounds clients get: what they send is on its way for a while, and a connection is better
// closed late than while a request comes.
const (
	headerMargin    = time.Second
	keepaliveMargin = 2 * time.Second
)

// clientTimeouts returns the timeouts of clients' connections by the configuration's bounds; a bound that is missing leaves the
// default.
func clientTimeouts(b sysconfig.Caps) transport.Timeouts {
	var t transport.Timeouts
	if b.HeaderRead > 0 {
		t.Request = b.HeaderRead + headerMargin
	}
	if b.Keepalive > 0 {
		t.Idle = b.Keepalive + keepaliveMargin
	}
	return t
}

func (p *Process) listenOn(key, addr string, maxConns int, server *fasthttp.Server) error {
	listener, err := transport.Listen(nil, addr, maxConns)
	if err != nil {
		return fmt.Errorf("Bind.%s: %w", key, err)
	}
	p.listeners = append(p.listeners, listener)
	go func() {
		if err := listener.Serve(server); !errors.Is(err, net.ErrClosed) {
			p.logger.WithError(err).WithField("bind", key).Error("does not listen any more")
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

// advanceDeparture takes the next step of a process that leaves, and reports whether it may end.
func (p *Process) advanceDeparture(now time.Time) bool {
	elapsed := now.Sub(p.leavingSince)
	step := p.departure.next(elapsed, p.settings.Bounds.Grace)
	if step == keepServing {
		return false
	}
	p.closing.Store(true)
	open := 0
	if p.ingress != nil { // callers of the other listeners retry at another process
		open = p.ingress.Drain()
	}
	if step == answerAll {
		p.plane.Close()
	}
	idle := open == 0 && p.plane.OpenRequests() == 0
	if urgency := p.departure.notice(elapsed, p.settings.Bounds.Grace, idle); urgency != 0 {
		p.execute(p.machine.AnnounceExit(p.now(), urgency))
	}
	return p.departure.ends(step, idle, p.machine.CanExit())
}

// updateServers passes changed servers to the data plane.
func (p *Process) updateServers(all []registry.Server) {
	current, ended := latestServers(all)
	for _, s := range current {
		if s.State == choice.Up {
			p.servingServers[s.ID] = true
		} else {
			delete(p.servingServers, s.ID)
		}
	}
	for _, id := range ended {
		delete(p.servingServers, id)
	}
	p.serverCount.Store(int64(len(p.servingServers)))
	if !p.controlOnly {
		p.plane.UpdateServers(current, ended)
	}
}

// latestServers returns the last state of each server in a list of changes, and the IDs of those whose
// last state is ended.
func latestServers(all []registry.Server) (current []dataplane.Server, ended []string) {
	seen := make(map[string]bool, len(all))
	for _, s := range slices.Backward(all) {
		switch {
		case seen[s.ID]:
		case s.Phase == registry.Ended:
			ended = append(ended, s.ID)
		default:
			current = append(current, planeServer(s))
		}
		seen[s.ID] = true
	}
	return current, ended
}

// planeServer converts a server to the data plane's form.
func planeServer(s registry.Server) dataplane.Server {
	state := choice.Up
	switch s.Phase {
	case registry.Quiescing:
		state = choice.Draining
	case registry.Silent:
		state = choice.Down
	}
	return dataplane.Server{ID: s.ID, Addr: s.Addr, Service: s.Service, Zone: s.Zone, Capacity: s.Capacity, WarmUntil: s.WarmUntil, State: state}
}
