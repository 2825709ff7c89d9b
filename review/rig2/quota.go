package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { plays["quota"] = quota }

const (
	quotaRate, quotaBurst = 20.0, 300.0
	quotaBound            = (quotaRate*5+quotaBurst)*(1+0.1) + 20 // RULES.md, with QuotaWindowS, QuotaExcess and QuotaMargin of the site
)

// quotaConfig has a tenant with that quota for each round.
var quotaConfig = fmt.Sprintf(`{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderReadMs":3000,"KeepaliveMs":15000},
"Principals":[{"Name":"shipper1","Credentials":["key1"],"Rank":1,"RatePerS":%[1]g,"BurstSize":%[2]g},{"Name":"shipper2","Credentials":["key2"],"Rank":1,"RatePerS":%[1]g,"BurstSize":%[2]g},
{"Name":"shipper3","Credentials":["key3"],"Rank":1,"RatePerS":%[1]g,"BurstSize":%[2]g}],
"Sockets":[{"Authority":"nomi.example","Policy":[{"Name":"r-nomi","RouteClass":"effectful","TargetMs":800,"Rank":1,"Anonymous":false,"Predicate":{"PathPrefix":"/nomi/"},"Effect":{"Backend":"nomi","DeadlineMs":3000,"Tries":2}}]}],
"Pools":[{"Name":"nomi","ProbePath":"/probe","MaxConns":130,"Protocol":"h1","Encrypted":false}]}`, quotaRate, quotaBurst)

// quota: a tenant sends a batch that takes its burst, and goes on sending. Meanwhile one process is killed and comes back. In no
// window of 5 s more of the tenant's requests run than its quota allows. Two rounds, each with another tenant.
func quota(p *play) ([]string, error) {
	if err := p.serve("nomi", 9, 40, 10*time.Millisecond, nil); err != nil {
		return nil, err
	}
	if err := p.up(quotaConfig); err != nil {
		return nil, err
	}
	var broken []string
	for round := 1; round <= 2; round++ {
		time.Sleep(8 * time.Second) // all are in touch, and none counts as lost
		most, err := p.quotaRound(fmt.Sprint(round))
		if err != nil {
			return nil, err
		}
		if float64(most) > quotaBound {
			broken = append(broken, fmt.Sprintf("QUOTA: %d requests of shipper%d ran in 5 s, where %.0f are allowed", most, round, quotaBound))
		}
	}
	return broken, nil
}

// quotaRound returns the most requests of a tenant that ran within 5 s.
func (p *play) quotaRound(number string) (most int, err error) {
	began := time.Now()
	const span, clients = 5 * time.Second, 24
	var mu sync.Mutex
	statuses := map[int]int{}
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() {
			for time.Since(began) < span {
				id := newID()
				p.rec.line("client %d sends %s", i, id)
				status, _, _ := ask(p.gateways[i%3].ingress(), request{method: "POST", host: "nomi.example", path: "/nomi/1", key: "key" + number, body: "nomination", deadline: 3 * time.Second}, id)
				p.rec.line("client %d: %d to %s", i, status, id)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if status != 200 {
					time.Sleep(40 * time.Millisecond)
				}
			}
		})
	}
	if p.trouble {
		time.Sleep(500*time.Millisecond - time.Since(began))
		g := p.gateways[0]
		p.signal(g, syscall.SIGKILL)
		<-g.ended
		time.Sleep(100 * time.Millisecond)
		if err := p.start(g); err != nil {
			return 0, err
		}
	}
	wait.Wait()
	var all []time.Time
	for _, r := range p.runs.list() {
		if r.tenant == "shipper"+number {
			all = append(all, r.began)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	for i, from := range all {
		for most < len(all)-i && all[i+most].Sub(from) < 5*time.Second {
			most++
		}
	}
	p.rec.say("round %s: at most %d requests of the tenant ran in 5 s, the rule allows %.0f; statuses %v", number, most, quotaBound, statuses)
	if most == 0 {
		return 0, fmt.Errorf("nothing was run")
	}
	return most, nil
}
