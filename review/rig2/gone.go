package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

func init() { plays["gone"] = gone }

const goneConfig = `{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderReadMs":3000,"KeepaliveMs":15000},
"Sockets":[{"Authority":"kapa.example","Policy":[{"Name":"r-kapa","RouteClass":"pure","TargetMs":2500,"Rank":2,"Anonymous":true,"Predicate":{"PathPrefix":"/kapa/"},"Effect":{"Backend":"kapa","DeadlineMs":10000,"Tries":2}}]}],
"Pools":[{"Name":"kapa","ProbePath":"/probe","MaxConns":130,"Protocol":"h1","Encrypted":false}]}`

// gone: clients send a pure request, and a second one before the first is answered. Then they close their connections. Half a
// second later no server should be at work for them, and no request of theirs should come to one.
func gone(p *play) ([]string, error) {
	const clients, rounds, work, stay = 12, 3, 2500 * time.Millisecond, 200 * time.Millisecond
	if err := p.serve("kapa", 9, 6, work, nil); err != nil {
		return nil, err
	}
	if err := p.up(goneConfig); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // all are in touch
	type left struct {
		ids []string
		at  time.Time
	}
	var mu sync.Mutex
	var all []left
	for round := range rounds {
		var wait sync.WaitGroup
		for i := range clients {
			wait.Go(func() {
				g := p.gateways[i%len(p.gateways)]
				c, err := dial(g.ingress())
				if err != nil {
					p.rec.line("client %d: %v", i, err)
					return
				}
				q := request{method: "GET", host: "kapa.example", path: fmt.Sprintf("/kapa/%d", i), deadline: 10 * time.Second}
				ids := []string{newID(), newID()}
				p.rec.line("client %d of round %d sends %s to %s", i, round, ids[0], g.name)
				io.WriteString(c, q.wire(ids[0]))
				time.Sleep(50 * time.Millisecond)
				p.rec.line("client %d of round %d sends %s behind it", i, round, ids[1])
				io.WriteString(c, q.wire(ids[1]))
				if p.trouble {
					time.Sleep(stay)
					c.Close()
					now := time.Now()
					p.rec.line("client %d of round %d closes its connection", i, round)
					mu.Lock()
					all = append(all, left{ids, now})
					mu.Unlock()
					return
				}
				for _, id := range ids {
					status, header, _ := c.answer("GET", time.Now().Add(12*time.Second))
					p.rec.line("client %d of round %d: %d to %s", i, round, status, header.Get("X-Attempt-Id"))
					if status != 200 || header.Get("X-Attempt-Id") != id {
						p.rec.line("client %d expected an answer to %s", i, id)
					}
				}
				c.Close()
			})
		}
		wait.Wait()
		time.Sleep(7 * time.Second)
	}
	const grace = 500 * time.Millisecond
	late, lasting, working := 0, 0, 0
	byID := map[string][]run{}
	for _, r := range p.runs.list() {
		byID[r.id] = append(byID[r.id], r)
	}
	served := 0
	for _, l := range all {
		for _, id := range l.ids {
			for _, r := range byID[id] {
				switch {
				case r.began.After(l.at.Add(grace)):
					late++
					p.rec.line("%s came to %s %.2f s after its client had closed", id, r.server, r.began.Sub(l.at).Seconds())
				case r.began.Add(work).After(l.at.Add(grace)):
					lasting++
					if r.ended.IsZero() || r.ended.After(l.at.Add(grace)) {
						working++
						p.rec.line("%s was at work for %s until %.2f s after its client had closed", r.server, id, r.ended.Sub(l.at).Seconds())
					}
				}
			}
		}
	}
	for _, runs := range byID {
		served += len(runs)
	}
	if served == 0 {
		return nil, fmt.Errorf("no request came to a server")
	}
	p.rec.say("%d clients closed; %d requests came to a server more than 0.5 s after that; of %d runs that would have lasted so long, %d were still at work", len(all), late, lasting, working)
	var broken []string
	if late > 5 {
		broken = append(broken, fmt.Sprintf("GONE: %d requests reached a server over half a second after their client had closed", late))
	}
	if 4*working > lasting && lasting > 0 {
		broken = append(broken, fmt.Sprintf("GONE: servers were still at work half a second later on %d of %d requests", working, lasting))
	}
	return broken, nil
}
