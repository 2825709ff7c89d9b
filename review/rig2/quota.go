package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { plays["quota"] = quota }

const (
	quotaRate, quotaBurst = 20.0, 300.0
	quotaBound            = (quotaRate*5+quotaBurst)*(1+0.1) + 20 // RULES.md, with QuotaWindowS, QuotaExcess and QuotaMargin of the site
)

var quotaConfig = fmt.Sprintf(`{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderReadMs":3000,"KeepaliveMs":15000},
"Principals":[{"Name":"shipper1","Credentials":["key1"],"Rank":1,"RatePerS":%g,"BurstSize":%g}],
"Sockets":[{"Authority":"nomi.example","Policy":[{"Name":"r-nomi","RouteClass":"effectful","TargetMs":800,"Rank":1,"Anonymous":false,"Predicate":{"PathPrefix":"/nomi/"},"Effect":{"Backend":"nomi","DeadlineMs":3000,"Tries":2}}]}],
"Pools":[{"Name":"nomi","ProbePath":"/probe","MaxConns":130,"Protocol":"h1","Encrypted":false}]}`, quotaRate, quotaBurst)

// quota: a tenant sends a batch that takes its burst, and goes on sending. All processes are killed at once and come back within a
// second. In no window of 5 s more of its requests run than its quota allows.
func quota(p *play) ([]string, error) {
	if err := p.serve("nomi", 6, 6, 20*time.Millisecond, nil); err != nil {
		return nil, err
	}
	if err := p.up(quotaConfig); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	const span, clients = 6 * time.Second, 9
	var mu sync.Mutex
	statuses := map[int]int{}
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() {
			for time.Since(began) < span {
				id := newID()
				p.rec.line("client %d sends %s", i, id)
				status, _, _ := ask(p.gateways[i%3].ingress(), request{method: "POST", host: "nomi.example", path: "/nomi/1", key: "key1", body: "nomination", deadline: 3 * time.Second}, id)
				p.rec.line("client %d: %d to %s", i, status, id)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	if p.trouble {
		time.Sleep(1500*time.Millisecond - time.Since(began))
		for _, g := range p.gateways {
			p.signal(g, syscall.SIGKILL)
		}
		for _, g := range p.gateways {
			<-g.ended
		}
		time.Sleep(200 * time.Millisecond)
		for _, g := range p.gateways {
			if err := p.start(g); err != nil {
				return nil, err
			}
		}
	}
	wait.Wait()
	all := p.runs.list()
	most, at := 0, time.Time{}
	for i := range all {
		n := 0
		for _, r := range all[i:] {
			if r.began.Sub(all[i].began) < 5*time.Second && !r.began.Before(all[i].began) {
				n++
			}
		}
		if n > most {
			most, at = n, all[i].began
		}
	}
	p.rec.say("at most %d requests of the tenant ran in 5 s (from %.2f s after the first one was sent); the rule allows %.0f; statuses %v", most, at.Sub(began).Seconds(), quotaBound, statuses)
	if most == 0 {
		return nil, fmt.Errorf("nothing was run")
	}
	if float64(most) > quotaBound {
		return []string{fmt.Sprintf("QUOTA: %d requests in 5 s, where %.0f are allowed", most, quotaBound)}, nil
	}
	return nil, nil
}
