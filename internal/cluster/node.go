package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
	"asterwell/internal/mesh"
	"asterwell/internal/policy"
)

// Gateway holds the callbacks through which a member applies policies.
type Gateway struct {
	Check func(text []byte) error                // returns an error if the gateway could not adopt this policy
	Adopt func(version int64, text []byte) error // puts a version in force; no text: the gateway's own file
	Lease func(l policy.Lease, holds bool)       // sets the lease to decide by; holds: decisions pause briefly
}

// Node is a cluster member: a gateway's lease holder and, if it has a folder, a voter.
type Node struct {
	cfg          *Config
	world        hostenv.Host
	now          func() time.Duration
	log          *slog.Logger
	gateway      Gateway
	id           uint64 // incarnation of this process
	mesh         *mesh.Mesh[*Frame]
	holder       *policy.Holder
	holderInbox  *mailbox.Box[any]
	store        *Store
	voter        *Voter
	voterInbox   *mailbox.Box[any]
	voterID      uint64
	noVoteReason string // why there is no voter although a folder is configured

	stopping atomic.Bool

	// Used only by Run's goroutine.
	peers          []Peer // latest known voters
	target         string
	peerIndex      int
	publishedLease policy.Lease
	holds          bool
	heldAt         time.Duration

	// Used only by the voter's goroutine.
	members          map[uint64]*memberConn
	voterConns       map[uint64]*conn // connections by which voters have sent messages, by voter ID
	pendingProposals []*pendingProposal
	loggedErr        error
	loggedLeader     string // the leader last logged
}

// memberConn is the connection to a gateway, and the membership change last sent to it.
type memberConn struct {
	p             *conn // nil: this process's own gateway
	sentConfIndex uint64
}

// GrantMessage is a voter's message to a gateway.
type GrantMessage struct {
	policy.Grant
	Leader *Peer  `json:"leader,omitempty"` // send renewals to this voter
	Voters []Peer `json:"voters,omitempty"`
}

// New creates a member and starts listening. name is the gateway's name, digest the
// digest of the policy in its own file.
func New(world hostenv.Host, cfg *Config, name, digest string, now func() time.Duration, log *slog.Logger, g Gateway) (*Node, error) {
	world = hostenv.OrReal(world)
	if cfg.Name == "" {
		cfg.Name = name
	}
	n := &Node{cfg: cfg, world: world, now: now, log: log, gateway: g, id: world.Random() | 1, holderInbox: mailbox.NewBox[any](world),
		voterInbox: mailbox.NewBox[any](world), members: map[uint64]*memberConn{}, voterConns: map[uint64]*conn{}}
	n.holder = policy.NewHolder(cfg.Terms(), cfg.Name, cfg.Zone, digest)
	n.mesh = mesh.New(mesh.Options[*Frame]{Env: world, Codec: codec(clusterNumber(cfg.Cluster)), Handle: n.handle, MaxInbound: cfg.Connections})
	for _, v := range cfg.seeds() {
		n.peers = append(n.peers, Peer{Name: v.Name, Address: v.Address})
	}
	if cfg.Folder != "" {
		if err := n.open(); err != nil {
			// The gateway works without a vote, by leases from the other voters. The damaged
			// folder is left as it is.
			n.noVoteReason = err.Error()
			log.Error("no vote", "folder", cfg.Folder, "error", err)
		}
	}
	if err := n.mesh.Listen(cfg.Listen); err != nil {
		return nil, fmt.Errorf("cluster: listen: %w", err)
	}
	return n, nil
}

func (n *Node) open() (err error) {
	self := Peer{ID: n.world.Random() | 1, Name: n.cfg.Name, Address: n.cfg.Address, Zone: n.cfg.Zone}
	if n.store, err = Open(n.cfg.Folder, n.cfg.Cluster, self); err != nil {
		return err
	}
	if n.voter, err = NewVoter(n.store, n.cfg.Terms(), n.world.Random, n.now()); err != nil {
		n.store.Close()
		n.voter = nil
		return err
	}
	n.voterID = n.voter.Self.ID
	return nil
}

// Run runs the lease holder, and starts the voter, until Stop.
func (n *Node) Run() {
	if n.voter != nil {
		n.world.Go(n.runVoter)
	}
	for !n.stopping.Load() {
		now := n.now()
		for _, m := range n.holderInbox.Take(max(time.Millisecond, min(n.holder.Wait(now), 100*time.Millisecond))) {
			if h, ok := m.(*GrantMessage); ok {
				n.handleGrant(h)
			}
		}
		n.publish()
		n.sendRenewal()
	}
}

// Stop ends the member.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.mesh.Close()
	n.holderInbox.Put(nil)
	n.voterInbox.Put(nil)
}

// handle dispatches a received frame. It runs on the connection's goroutine.
func (n *Node) handle(p *conn, f *Frame) {
	if f.To != 0 && f.To != n.id && f.To != n.voterID {
		n.mesh.Counts.Stale.Add(1)
		return
	}
	switch f.Kind {
	case KindRaft, KindRenew, KindAsk:
		if n.voter != nil {
			n.voterInbox.Put(receivedFrame{p, f})
		} else if f.Kind == KindAsk {
			n.reply(p, f, Reply{Ask: true, Error: "this member has no vote" + map[bool]string{true: ": " + n.noVoteReason}[n.noVoteReason != ""]})
		}
	case KindGrant:
		var h GrantMessage
		if err := json.Unmarshal(f.Body, &h); err != nil {
			n.mesh.Counts.Damaged.Add(1)
			return
		}
		n.holderInbox.Put(&h)
	}
}

// receivedFrame is a frame for the voter with its connection.
type receivedFrame struct {
	p *conn // nil: this process's own gateway
	f *Frame
}

// handleGrant processes a voter's message.
func (n *Node) handleGrant(h *GrantMessage) {
	if len(h.Voters) > 0 {
		n.peers = h.Voters
	}
	if h.Leader == nil && h.Term == 0 {
		n.target = "" // that voter knows no leader
		return
	}
	if h.Leader != nil {
		previous := n.target
		n.target = h.Leader.Name
		if h.Term == 0 { // no grant, only the leader's address
			if n.target != previous {
				n.holder.RenewNow()
			}
			return
		}
	}
	w := n.holder.Grant(n.now(), h.Grant)
	if w.Adopt {
		if err := n.gateway.Adopt(w.Grant.Version, w.Grant.Text); err != nil {
			n.log.Error("cannot adopt policy", "version", w.Grant.Version, "error", err)
			n.holder.AdoptFailed()
		} else {
			n.log.Info("policy", "version", w.Grant.Version)
		}
	}
	if w.Check {
		refusal := ""
		if err := n.gateway.Check(w.Grant.Next); err != nil {
			refusal = err.Error()
		}
		n.holder.Checked(w.Grant.Change, w.Grant.Next, refusal)
	}
}

// publish passes a changed lease to the gateway.
func (n *Node) publish() {
	l, holds := n.holder.Lease()
	if l != n.publishedLease || holds != n.holds {
		if now := n.now(); holds && !n.holds {
			n.heldAt = now
		} else if !holds && n.holds && l.Until > now {
			n.log.Info("held", "ms", float64(now-n.heldAt)/1e6, "version", l.Version)
		}
		n.publishedLease, n.holds = l, holds
		n.gateway.Lease(l, holds)
	}
}

// sendRenewal sends a due renewal to the known leader, or to the voters in turn if the
// leader is unknown or doesn't answer.
func (n *Node) sendRenewal() {
	r := n.holder.Tick(n.now())
	if r == nil || len(n.peers) == 0 {
		return
	}
	if n.holder.Missed() > 1 || n.target == "" {
		n.peerIndex++
		if n.peerIndex == 1 { // start at a random voter to spread the load
			n.peerIndex += int(n.world.Random() % uint64(len(n.peers)))
		}
		n.target = n.peers[n.peerIndex%len(n.peers)].Name
	}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	f := &Frame{Kind: KindRenew, From: n.id, FromName: n.cfg.Name, ToName: n.target, Body: body}
	if n.target == n.cfg.Name {
		if n.voter != nil {
			n.voterInbox.Put(receivedFrame{nil, f})
		}
		return
	}
	i := slices.IndexFunc(n.peers, func(p Peer) bool { return p.Name == n.target })
	if i < 0 {
		n.target = ""
		return
	}
	n.mesh.ConnTo(n.cfg.Reach(n.target, n.peers[i].Address)).Send(f)
}

// Ask is an operator's request.
type Ask struct {
	Do      string          `json:"do"` // propose, withdraw, status, history, show, replace, fate
	ID      uint64          `json:"id,omitempty"`
	Base    int64           `json:"base"`
	Version int64           `json:"version,omitempty"`
	Text    json.RawMessage `json:"text,omitempty"`
	By      string          `json:"by,omitempty"`
	AtMs    int64           `json:"at_ms,omitempty"`
	Old     string          `json:"old,omitempty"`
	New     Peer            `json:"new,omitzero"`
}

// Reply is the answer to an Ask.
type Reply struct {
	Error   string                `json:"error,omitempty"`
	Leader  *Peer                 `json:"leader,omitempty"` // send the request to this voter
	Ask     bool                  `json:"ask,omitempty"`    // this member has no vote: try another
	Version int64                 `json:"version"`
	Change  *policy.Change        `json:"change,omitempty"`
	Changes []policy.Change       `json:"changes,omitempty"`
	Stage   string                `json:"stage,omitempty"`
	Members []policy.MemberStatus `json:"members,omitempty"`
	Voters  []Peer                `json:"voters,omitempty"`
	Votes   []string              `json:"votes,omitempty"`
	Term    uint64                `json:"term,omitempty"`
	Counts  map[string]int64      `json:"counts,omitempty"`
}

// pendingProposal is an operator's proposal whose entry is not yet applied.
type pendingProposal struct {
	p     *conn
	f     *Frame
	id    uint64
	until time.Duration
}

func (n *Node) reply(p *conn, f *Frame, r Reply) {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	p.Send(&Frame{Kind: KindReply, From: n.voterID, To: f.From, FromName: n.cfg.Name, ToName: f.FromName, Body: body})
}

// runVoter runs the voter until Stop.
func (n *Node) runVoter() {
	for !n.stopping.Load() {
		got := n.voterInbox.Take(max(time.Millisecond, n.voter.Wait(n.now())))
		for _, m := range got {
			if a, ok := m.(receivedFrame); ok {
				n.handleVoterFrame(a)
			}
		}
		n.voter.Tick(n.now())
		n.flushVoter()
	}
	n.store.Close()
}

func (n *Node) handleVoterFrame(a receivedFrame) {
	now := n.now()
	switch f := a.f; f.Kind {
	case KindRaft:
		m := &raftpb.Message{}
		if err := proto.Unmarshal(f.Body, m); err != nil || m.GetFrom() != f.From {
			n.mesh.Counts.Damaged.Add(1)
			return
		}
		n.voterConns[f.From] = a.p
		n.voter.Step(now, m)
	case KindRenew:
		var r policy.Renew
		if err := json.Unmarshal(f.Body, &r); err != nil {
			n.mesh.Counts.Damaged.Add(1)
			return
		}
		if m := n.members[f.From]; m == nil {
			n.members[f.From] = &memberConn{p: a.p}
		} else {
			m.p = a.p
		}
		if !n.voter.Renew(now, f.From, r) {
			h := GrantMessage{Voters: n.voter.Peers()}
			if p, ok := n.voter.Leader(); ok {
				h.Leader = &p
			}
			if h.Leader != nil || len(h.Voters) > 0 {
				n.sendGrant(f.From, a.p, &h)
			}
		}
	case KindAsk:
		var q Ask
		if err := json.Unmarshal(f.Body, &q); err != nil {
			n.reply(a.p, f, Reply{Error: "question: " + err.Error()})
			return
		}
		n.answer(now, a, q)
	}
}

func (n *Node) answer(now time.Duration, a receivedFrame, q Ask) {
	v := n.voter
	r := Reply{Version: v.Register().Version, Term: v.Term()}
	if p, ok := v.Leader(); ok && !v.Leads() {
		r.Leader = &p
	}
	r.Voters = v.Peers()
	if err := v.Err(); err != nil {
		r.Ask, r.Error = true, "this member has stepped back: "+err.Error()
		n.reply(a.p, a.f, r)
		return
	}
	if q.Do == "identity" {
		r.Voters = []Peer{v.Self}
		n.reply(a.p, a.f, r)
		return
	}
	if !v.Leads() {
		r.Error = ErrNotLeader.Error()
		n.reply(a.p, a.f, r)
		return
	}
	switch q.Do {
	case "propose", "withdraw":
		c := policy.Command{Kind: policy.Propose, ID: q.ID, Base: q.Base, Text: q.Text, By: q.By, AtMs: q.AtMs}
		if q.Base < 0 {
			c.Base = v.Register().Version
		}
		if q.Do == "withdraw" {
			p := v.Register().Pending()
			if p == nil {
				r.Error = "no change is under way"
				n.reply(a.p, a.f, r)
				return
			}
			c = policy.Command{Kind: policy.Withdraw, ID: p.ID, By: q.By, Why: "withdrawn by " + q.By}
		}
		if err := v.Propose(now, c); err != nil {
			r.Error = err.Error()
			n.reply(a.p, a.f, r)
			return
		}
		n.pendingProposals = append(n.pendingProposals, &pendingProposal{a.p, a.f, c.ID, now + 5*time.Second})
		n.settle(now)
		return
	case "fate":
		if r.Change = v.Register().Find(q.ID); r.Change == nil {
			r.Error = "unknown change"
		}
	case "show":
		text, ok := v.Register().Text(q.Version)
		if !ok || q.Version > v.Register().Version {
			r.Error = fmt.Sprintf("version %d is not kept, or never was", q.Version)
		}
		r.Change = &policy.Change{Version: q.Version, Text: text}
	case "history":
		for _, c := range v.Register().Changes {
			c.Text = nil
			r.Changes = append(r.Changes, c)
		}
	case "status":
		var stage policy.Stage
		stage, r.Members = v.Coordinator().Status(now)
		r.Stage = stage.String()
		if p := v.Register().Pending(); p != nil {
			c := *p
			c.Text = nil
			r.Change = &c
		}
		r.Voters = v.Peers()
		for _, p := range r.Voters {
			if v.Votes(p.ID) {
				r.Votes = append(r.Votes, p.Name)
			}
		}
		r.Leader = &v.Self
		r.Counts = n.mesh.Counts.All()
	case "replace":
		old := uint64(0)
		for _, p := range v.Peers() {
			if p.Name == q.Old && p.ID != q.New.ID && v.Votes(p.ID) {
				old = p.ID
			}
		}
		if err := v.Replace(now, old, q.New); err != nil {
			r.Error = err.Error()
		}
	default:
		r.Error = fmt.Sprintf("unknown question %q", q.Do)
	}
	n.reply(a.p, a.f, r)
}

// settle answers proposals whose entry is applied, or whose outcome can't be learned here.
func (n *Node) settle(now time.Duration) {
	n.pendingProposals = slices.DeleteFunc(n.pendingProposals, func(w *pendingProposal) bool {
		r := Reply{Version: n.voter.Register().Version, Term: n.voter.Term(), Change: n.voter.Register().Find(w.id)}
		switch {
		case r.Change != nil && n.voter.Err() == nil:
			c := *r.Change
			c.Text, r.Change = nil, &c
		case now > w.until || !n.voter.Leads():
			r.Error = "the leader has changed, or lost its majority: what has become of it is not known here"
		default:
			return false
		}
		n.reply(w.p, w.f, r)
		return true
	})
}

// flushVoter logs the voter's state changes and sends its messages and grants.
func (n *Node) flushVoter() {
	if err := n.voter.Err(); err != nil && n.loggedErr == nil {
		n.loggedErr = err
		n.log.Error("stepped back", "error", err, "damaged", errors.Is(err, ErrDamaged))
	}
	if p, _ := n.voter.Leader(); p.Name != n.loggedLeader {
		n.loggedLeader = p.Name
		n.log.Info("leader", "name", p.Name, "term", n.voter.Term())
	}
	messages, grants := n.voter.Out()
	peers := n.voter.Peers()
	for _, m := range messages {
		body, err := proto.Marshal(m)
		if err != nil {
			n.log.Error("cannot encode Raft message", "error", err)
			continue
		}
		f := &Frame{Kind: KindRaft, From: n.voterID, To: m.GetTo(), FromName: n.cfg.Name, Body: body}
		if i := slices.IndexFunc(peers, func(p Peer) bool { return p.ID == m.GetTo() }); i >= 0 {
			f.ToName = peers[i].Name
			n.mesh.ConnTo(n.cfg.Reach(peers[i].Name, peers[i].Address)).Send(f)
		} else if p := n.voterConns[m.GetTo()]; p != nil { // a new voter doesn't have the list of voters yet
			p.Send(f)
		}
	}
	for _, g := range grants {
		m, ok := n.members[g.To]
		if !ok {
			continue
		}
		h := &GrantMessage{Grant: g.Grant}
		if m.sentConfIndex != n.voter.confIndex {
			h.Voters, m.sentConfIndex = peers, n.voter.confIndex
		}
		n.sendGrant(g.To, m.p, h)
	}
	if len(n.pendingProposals) > 0 {
		n.settle(n.now())
	}
	if len(n.members) > 4*n.cfg.Connections { // mostly members that are gone; live ones return with their next renewal
		clear(n.members)
	}
}

// sendGrant sends a message to a gateway, directly if it is in this process.
func (n *Node) sendGrant(member uint64, p *conn, h *GrantMessage) {
	if p == nil {
		n.holderInbox.Put(h)
		return
	}
	body, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	p.Send(&Frame{Kind: KindGrant, From: n.voterID, To: member, FromName: n.cfg.Name, Body: body})
}
