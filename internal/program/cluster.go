package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/cluster"
	"asterwell/internal/policy"
	"asterwell/internal/routing"
	"asterwell/internal/settings"
)

const clusterFile = "deploy/cluster.json"

// ReadCluster reads the operator's file, gives it its defaults and checks it. Without
// a file the gateway talks to no others.
func ReadCluster(env func(string) string) (*cluster.Config, error) {
	path := env("ASTERWELL_CLUSTER")
	if path == "" {
		path = clusterFile
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			return &cluster.Config{}, nil
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ASTERWELL_CLUSTER: %w", err)
	}
	c, err := cluster.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// gate is what the core may decide by.
type gate struct {
	state atomic.Pointer[gateState]
	serve bool // goes on without a lease, by the last version
	core  *routing.Core
}

type gateState struct {
	lease policy.Lease
	holds bool
	last  int64 // version of the last lease; -1: there was none
}

// May reads the lease before the clock: a process that stood still in between finds
// that it has run out.
func (g *gate) Version(now func() time.Duration) (version int64, ok, soon bool) {
	s := g.state.Load()
	switch {
	case now() < s.lease.Until:
		return s.lease.Version, true, false
	case s.holds:
		return 0, false, true
	case g.serve && s.last >= 0:
		return s.last, true, false
	}
	return 0, false, false
}

// open reports whether requests are decided here, or will be in a moment.
func (g *gate) open(now func() time.Duration) bool {
	if g == nil {
		return true
	}
	_, ok, soon := g.Version(now)
	return ok || soon
}

// Lease takes what the cluster grants.
func (g *gate) Lease(l policy.Lease, holds bool) {
	s := &gateState{lease: l, holds: holds, last: g.state.Load().last}
	if l.Until > 0 {
		s.last = l.Version
	}
	g.state.Store(s)
	g.core.RecheckGate()
}

// join puts the gateway's side of a cluster together. The core has to be there when
// the part runs.
func (g *Gateway) join(cfg *cluster.Config, now func() time.Duration) (*cluster.Node, *gate, error) {
	own := g.cfg.Settings
	gt := &gate{serve: cfg.WithoutMajority == cluster.Serve}
	gt.state.Store(&gateState{last: -1})
	with := func(text []byte) (settings.Settings, error) {
		if len(text) == 0 {
			return own, nil
		}
		return own.WithPolicy(text)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", g.cfg.Name, "part", "cluster")
	node, err := cluster.New(g.world, cfg, g.cfg.Name, digest(own), now, log, cluster.Gateway{
		Check: func(text []byte) error { _, err := with(text); return err },
		Adopt: func(version int64, text []byte) error {
			set, err := with(text)
			if err == nil {
				gt.core.ApplyPolicy(version, set.Settings)
			}
			return err
		},
		Lease: gt.Lease,
	})
	return node, gt, err
}

// digest stands for what a policy would take the place of.
func digest(s settings.Settings) string {
	text, err := json.Marshal([]any{s.Classes, s.Plans, s.CrossZone, s.ProbePrice, s.WastePrice, s.LateFailPrice})
	if err != nil {
		panic(err)
	}
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}
