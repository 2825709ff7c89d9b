package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// plays are the cases, by name. Each returns what broke the rule, or an error if it could not run.
var plays = map[string]func(p *play) (broken []string, err error){}

// play is one run of a case.
type play struct {
	*fleet
	rec     *record
	trouble bool
	runs    runs
	servers []*server
}

func main() { os.Exit(realMain()) }

func realMain() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer f.stop()
	p := &play{fleet: f, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	type outcome struct {
		broken []string
		err    error
	}
	done, quit := make(chan outcome, 1), make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGTERM, os.Interrupt)
	go func() {
		broken, err := plays[os.Args[1]](p)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-quit:
		o.err = errors.New("told to end")
	case <-time.After(115 * time.Second):
		o.err = errors.New("it took too long")
	}
	switch {
	case o.err != nil:
		rec.say("could not run: %v", o.err)
		return 2
	case len(o.broken) > 0:
		for _, b := range o.broken {
			rec.say("%s", b)
		}
		rec.say("broken")
		return 1
	}
	rec.say("held")
	return 0
}

// serve starts servers of a service, spread over the zones, and waits until all gateways know them.
func (p *play) serve(service string, count, slots int, work time.Duration, configure func(s *server)) error {
	for i := range count {
		s := &server{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: p.gateways[i%len(p.gateways)].zone, slots: slots, work: work, rec: p.rec, runs: &p.runs}
		if configure != nil {
			configure(s)
		}
		if err := s.serve(p.fleet); err != nil {
			return err
		}
		p.servers = append(p.servers, s)
	}
	return nil
}
