package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

func init() { plays["pause"] = pause }

const pauseConfig = `{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderReadMs":3000,"KeepaliveMs":15000},
"Principals":[{"Name":"shipper1","Credentials":["key1"],"Rank":1}],
"Sockets":[{"Authority":"nomi.example","Policy":[{"Name":"r-nomi","RouteClass":"effectful","TargetMs":1500,"Rank":1,"Anonymous":false,"Predicate":{"PathPrefix":"/nomi/"},"Effect":{"Backend":"nomi","DeadlineMs":3000,"Tries":2}}]}],
"Pools":[{"Name":"nomi","ProbePath":"/probe","MaxConns":130,"Protocol":"h1","Encrypted":false}]}`

// pause: servers work for 0.3 s, send the head of their answer and its first half, work for another 0.7 s, and send the rest. A gateway is
// told to end while it has requests at the servers. Each of them gets its server's answer.
func pause(p *play) ([]string, error) {
	const first, second = 300 * time.Millisecond, 700 * time.Millisecond
	if err := p.serve("nomi", 6, 6, first, func(s *server) { s.pause = second }); err != nil {
		return nil, err
	}
	if err := p.up(pauseConfig); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	type asked struct {
		id     string
		sent   time.Time
		status int
	}
	var mu sync.Mutex
	var all []asked
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			c, err := dial(p.gateways[0].ingress())
			if err != nil {
				p.rec.line("client %d: %v", i, err)
				return
			}
			defer c.Close()
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			q := request{method: "POST", host: "nomi.example", path: fmt.Sprintf("/nomi/%d", i), key: "key1", body: "nomination", deadline: 3 * time.Second}
			a := asked{id: newID(), sent: time.Now()}
			p.rec.line("client %d sends %s to %s", i, a.id, p.gateways[0].name)
			io.WriteString(c, q.wire(a.id))
			a.status, _, _ = c.answer("POST", time.Now().Add(4*time.Second))
			p.rec.line("client %d: %d to %s", i, a.status, a.id)
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		})
	}
	var told time.Time
	if p.trouble {
		time.Sleep(450 * time.Millisecond)
		p.signal(p.gateways[0], syscall.SIGTERM)
		told = time.Now()
	}
	wait.Wait()
	if p.trouble {
		<-p.gateways[0].ended
		p.rec.line("gateway %s has ended", p.gateways[0].name)
	}
	byID := map[string]run{}
	for _, r := range p.runs.list() {
		byID[r.id] = r
	}
	answers, lost := map[int]int{}, 0
	for _, a := range all {
		answers[a.status]++
		r, ran := byID[a.id]
		// Around planned work only: the request's end lies behind the SIGTERM, and its server was at work when it came.
		if p.trouble && ran && a.status != 200 && r.dropped && r.ended.After(told) {
			lost++
			p.rec.line("LOST: %s got %d, while %s was at work", a.id, a.status, r.server)
		}
	}
	p.rec.say("%d requests, %d runs, answers %v", len(all), len(byID), answers)
	if len(byID) == 0 {
		return nil, fmt.Errorf("nothing was run")
	}
	if lost > 0 {
		return []string{fmt.Sprintf("LOST: %d requests were broken off behind a SIGTERM while their servers were at work, and got an answer of the gateway's own", lost)}, nil
	}
	return nil, nil
}
