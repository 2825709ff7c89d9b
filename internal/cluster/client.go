package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"asterwell/internal/hostenv"
)

// Client sends operators' queries and commands to the voters.
type Client struct {
	World hostenv.Host
	Cfg   *Config
	By    string
}

// ErrNoLeader means that no leader was reached. There is none without a majority.
var ErrNoLeader = errors.New("no leader was reached")

// Ask sends a request to the leader. It tries one voter after another until it reaches
// the leader or one that knows its address.
func (c *Client) Ask(q Ask, limit time.Duration) (r Reply, err error) {
	world := hostenv.OrReal(c.World)
	end := world.Now().Add(limit)
	peers := c.Cfg.seeds()
	err = ErrNoLeader
	for first := true; first || world.Now().Before(end); first = false {
		for i := 0; i < len(peers) && i < 20; i++ {
			got, e := c.askMember(c.Cfg.Reach(peers[i].Name, peers[i].Address), peers[i].Name, q, min(limit, 7*time.Second))
			switch {
			case e != nil:
				err = fmt.Errorf("%w: %s: %w", ErrNoLeader, peers[i].Name, e)
			case got.Error == ErrNotLeader.Error():
				err = ErrNoLeader
				if p := got.Leader; p != nil && i < 10 {
					peers = append(peers[:i+1:i+1], append([]Named{{p.Name, p.Address}}, peers[i+1:]...)...)
				}
				for _, p := range got.Voters { // the voters may have changed since the file was written
					if !slices.ContainsFunc(peers, func(x Named) bool { return x.Name == p.Name }) {
						peers = append(peers, Named{p.Name, p.Address})
					}
				}
			case got.Ask:
				err = fmt.Errorf("%w: %s: %s", ErrNoLeader, peers[i].Name, got.Error)
			case got.Error != "":
				return got, errors.New(got.Error)
			default:
				return got, nil
			}
		}
		peers = c.Cfg.seeds()
		world.Sleep(50 * time.Millisecond)
	}
	return r, err
}

// Self returns the identity of this file's member, which must be running and have a folder.
func (c *Client) Self(limit time.Duration) (Peer, error) {
	r, err := c.askMember(c.Cfg.Address, c.Cfg.Name, Ask{Do: "identity"}, limit)
	switch {
	case err != nil:
		return Peer{}, fmt.Errorf("this member does not answer: %w", err)
	case r.Error != "":
		return Peer{}, errors.New(r.Error)
	case len(r.Voters) != 1:
		return Peer{}, errors.New("this member has not said who it is")
	}
	return r.Voters[0], nil
}

// askMember sends one request to one member and waits for its reply.
func (c *Client) askMember(addr, name string, q Ask, limit time.Duration) (r Reply, err error) {
	world := hostenv.OrReal(c.World)
	conn, err := world.Dial(addr, min(limit, time.Second))
	if err != nil {
		return r, err
	}
	defer conn.Close()
	body, err := json.Marshal(q)
	if err != nil {
		return r, err
	}
	number := clusterNumber(c.Cfg.Cluster)
	conn.SetDeadline(world.Now().Add(limit))
	me := world.Random() | 1
	if _, err := conn.Write((&Frame{Kind: KindAsk, From: me, FromName: c.By, ToName: name, Body: body}).encode(number)); err != nil {
		return r, err
	}
	in := bufio.NewReader(conn)
	for {
		f, err := readFrame(in, number)
		if err != nil {
			return r, err
		}
		if f.Kind == KindReply && f.To == me {
			return r, json.Unmarshal(f.Body, &r)
		}
	}
}

// FormFolder initializes an empty folder with the first state of a cluster, in which
// the voters are those of the file. It runs once at each initial voter, with the same
// list at all of them.
func FormFolder(c *Config) error {
	if c.Folder == "" {
		return errors.New("folder is missing: a voter needs one")
	}
	var voters []Peer
	var self *Peer
	for _, v := range c.Voters {
		p := Peer{ID: firstID(c.Cluster, v.Name), Name: v.Name, Address: v.Address}
		if voters = append(voters, p); v.Name == c.Name {
			p.Zone = c.Zone
			self = &p
		}
	}
	if self == nil {
		return fmt.Errorf("%s is not among the voters of the file", c.Name)
	}
	s, err := Open(c.Folder, c.Cluster, *self)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Form(voters)
}

// firstID returns the ID of an initial voter. It is derived from names, so that all voters
// know it before any has started.
func firstID(cluster, name string) uint64 { return clusterNumber(cluster+"\x00"+name) | 1 }
