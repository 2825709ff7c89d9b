package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["zero"] = zero }

// zero: the operator numbers configurations from 0. What is acknowledged can be read back, and is obeyed.
func zero(p *play) ([]string, error) {
	if err := p.serve("kapa", 3, 6, 20*time.Millisecond, nil); err != nil {
		return nil, err
	}
	configuration := goneConfig
	if p.trouble {
		configuration = strings.Replace(goneConfig, "00000001", "00000000", 1)
	}
	for _, g := range p.gateways {
		if err := p.start(g); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	if err := p.put(configuration, 10*time.Second); err != nil {
		return nil, err
	}
	acknowledged := time.Now()
	read, answers := false, map[string]int{}
	for time.Since(acknowledged) < 8*time.Second {
		for _, g := range p.gateways {
			status, body, err := call("GET", g.control(), "/api/configuration", "")
			p.rec.line("operator reads at %s: %d %.60q %v", g.name, status, body, err)
			answers[fmt.Sprint("read ", status)]++
			read = read || status == http.StatusOK && body == configuration
			status, _, _ = ask(g.ingress(), request{method: "GET", host: "kapa.example", path: "/kapa/1", deadline: 2 * time.Second}, newID())
			p.rec.line("a client at %s gets %d", g.name, status)
			answers[fmt.Sprint("client ", status)]++
		}
		time.Sleep(500 * time.Millisecond)
	}
	p.rec.say("answers: %v", answers)
	if !read {
		return []string{"CONFIG: the acknowledged configuration can't be read back for 8 s"}, nil
	}
	return nil, nil
}
