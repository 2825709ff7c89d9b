package main

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

func init() { plays["names"] = names }

// namesConfig has a route that may not be repeated and, from version 2 on, a further one to the same service that may be.
func namesConfig(version int, second string) string {
	const route = `{"Name":%q,"RouteClass":%q,"TargetMs":500,"Rank":0,"Anonymous":false,"Predicate":{"PathPrefix":%q},"Effect":{"Backend":"renomi","DeadlineMs":2000,"Tries":2}}`
	routes := fmt.Sprintf(route, "renomi", "effectful", "/change/")
	if second != "" {
		routes += "," + fmt.Sprintf(route, second, "pure", "/look/")
	}
	return fmt.Sprintf(`{"Epoch":"%08x","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderReadMs":3000,"KeepaliveMs":15000},
"Principals":[{"Name":"shipper1","Credentials":["key1"],"Rank":0}],
"Sockets":[{"Authority":"renomi.example","Policy":[%s]}],
"Pools":[{"Name":"renomi","ProbePath":"/probe","MaxConns":130,"Protocol":"h1","Encrypted":false}]}`, version, routes)
}

// names: the operator adds a route for looking things up beside the one for changes. Servers work as usual, some requests take longer.
// A request that may not be repeated runs at most once.
func names(p *play) ([]string, error) {
	work := func(id string) time.Duration {
		h := fnv.New32a()
		fmt.Fprint(h, id)
		if n := h.Sum32() % 1000; n < 990 {
			return time.Duration(100+n/10) * time.Millisecond
		}
		return 750 * time.Millisecond
	}
	if err := p.serve("renomi", 6, 6, 0, func(s *server) { s.workOf = work }); err != nil {
		return nil, err
	}
	if err := p.up(namesConfig(1, "")); err != nil {
		return nil, err
	}
	second := "renomi-look"
	if p.trouble {
		second = "renomi"
	}
	if err := p.put(namesConfig(2, second), 5*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // all are in touch, and the new version is in force
	var mu sync.Mutex
	effectful, statuses := map[string]int{}, map[int]int{}
	var wait sync.WaitGroup
	for i := range 18 {
		wait.Go(func() {
			for k := range 25 {
				q := request{method: "PUT", host: "renomi.example", path: fmt.Sprintf("/change/%d", k), key: "key1", body: "renomination", deadline: 2 * time.Second}
				if k%5 == 4 {
					q.method, q.path, q.body = "GET", "/look/1", ""
				}
				id := newID()
				p.rec.line("client %d sends %s %s %s", i, id, q.method, q.path)
				status, _, _ := ask(p.gateways[i%3].ingress(), q, id)
				p.rec.line("client %d: %d to %s", i, status, id)
				mu.Lock()
				if q.method == "PUT" {
					effectful[id] = status
				}
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	count := map[string][]string{}
	for _, r := range p.runs.list() {
		count[r.id] = append(count[r.id], r.server)
	}
	twice := 0
	for id := range effectful {
		if len(count[id]) > 1 {
			twice++
			p.rec.line("TWICE: %s ran at %v", id, count[id])
		}
	}
	p.rec.say("%d requests that may not be repeated, %d of them ran more than once; statuses %v", len(effectful), twice, statuses)
	if statuses[200] == 0 {
		return nil, fmt.Errorf("nothing was served")
	}
	if twice > 0 {
		return []string{fmt.Sprintf("TWICE: %d requests of an effectful route ran more than once", twice)}, nil
	}
	return nil, nil
}
