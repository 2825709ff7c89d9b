package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"asterwell/internal/adminclient"
)

// twoTexts has all processes of a script asked for two texts under one Epoch at the same moment, over and over:
// texts FILE. The primary is killed before, while and once an answer has come, and all are in the end. Of each
// Epoch one text is confirmed, by whomever is asked and whenever.
func twoTexts(ts *testscript.TestScript, _ bool, args []string) {
	t := &texts{base: ts.ReadFile(args[0]), of: *ts.Value("running").(*[]*running), won: map[uint32]int{},
		http: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	moments := []string{"calm", "before", "while", "answered"}
	for round := range uint32(2 * len(moments)) {
		moment := moments[int(round)%len(moments)]
		ts.Check(t.race(0x10+round, moment))
		ts.Logf("%08x, the primary killed: %s; text %d is confirmed", 0x10+round, moment, t.won[0x10+round])
	}
	for _, p := range t.of {
		p.kill()
	}
	for _, p := range t.of {
		ts.Check(p.again())
	}
	for epoch := range t.won {
		ts.Check(t.ask(epoch, "", 3))
	}
}

type texts struct {
	base string
	of   []*running
	won  map[uint32]int
	http *http.Client
}

func (t *texts) text(epoch uint32, which int) string {
	text := strings.Replace(t.base, `"Epoch": "0000000c"`, fmt.Sprintf(`"Epoch": "%08x"`, epoch), 1)
	return strings.Replace(text, `"DeadlineMs": 500`, fmt.Sprintf(`"DeadlineMs": %d`, 500+which), 1)
}

// race sends two texts to all, sees that one is confirmed, and asks all again.
func (t *texts) race(epoch uint32, moment string) error {
	if err := t.ask(epoch, moment, 1); err != nil {
		return err
	}
	if err := t.ask(epoch, "", 2); err != nil {
		return err
	}
	for _, p := range t.of {
		if p.cmd == nil {
			if err := p.again(); err != nil {
				return err
			}
		}
	}
	return nil
}

// ask sends both texts to all processes, each until there is a clear answer at any.
func (t *texts) ask(epoch uint32, moment string, times int) error {
	primary, err := t.primary()
	if err != nil {
		return err
	}
	if moment == "before" {
		primary.kill()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses, answered := map[int][]int{}, make(chan struct{}, 6*times)
	for i := range t.of {
		for which := 1; which <= 2; which++ {
			wg.Go(func() {
				status := t.put(i, t.text(epoch, which))
				answered <- struct{}{}
				mu.Lock()
				statuses[which] = append(statuses[which], status)
				mu.Unlock()
			})
		}
	}
	switch moment {
	case "while":
		primary.kill()
	case "answered":
		<-answered
		primary.kill()
	}
	wg.Wait()
	if t.won[epoch] == 0 {
		t.won[epoch] = 1
		if slices.Contains(statuses[2], http.StatusOK) {
			t.won[epoch] = 2
		}
	}
	for which, all := range statuses {
		want := http.StatusConflict
		if which == t.won[epoch] {
			want = http.StatusOK
		}
		if slices.ContainsFunc(all, func(status int) bool { return status != want }) {
			return fmt.Errorf("%08x: the texts have the answers %v, and text %d was confirmed", epoch, statuses, t.won[epoch])
		}
	}
	return nil
}

// put sends a text until there is a clear answer, to one process first and then to the others.
func (t *texts) put(first int, text string) int {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); first++ {
		q, _ := http.NewRequest(http.MethodPut, "http://"+t.of[first%len(t.of)].at+"/api/configuration", strings.NewReader(text))
		a, err := t.http.Do(q)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
		if a.StatusCode < 500 {
			return a.StatusCode
		}
	}
	return 0
}

// primary waits for one that says that it is, and runs.
func (t *texts) primary() (*running, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, p := range t.of {
			if p.cmd == nil {
				continue
			}
			if s, _, err := adminclient.New([]string{p.at}, time.Millisecond).Status(context.Background()); err == nil && s.Pact.Role == "primary" {
				return p, nil
			}
		}
	}
	return nil, fmt.Errorf("no process is the primary")
}

// drainAll asks processes at the same moment to drain, over and over: drainAll ADDR... They are all that are ready,
// so that one must go on.
func drainAll(ts *testscript.TestScript, _ bool, args []string) {
	post := func(at, what string) int {
		a, err := http.Post("http://"+at+"/api/drain/"+what, "", nil)
		if err != nil {
			return 0
		}
		a.Body.Close()
		return a.StatusCode
	}
	for range 5 {
		got := make([]int, len(args))
		var wg sync.WaitGroup
		for i, at := range args {
			wg.Go(func() { got[i] = post(at, "start") })
		}
		wg.Wait()
		ts.Logf("asked all to drain: %v", got)
		if !slices.ContainsFunc(got, func(status int) bool { return status != http.StatusOK }) {
			ts.Fatalf("all drain")
		}
		if !slices.Contains(got, http.StatusOK) {
			ts.Fatalf("none drains")
		}
		for i, at := range args {
			if got[i] == http.StatusOK && post(at, "start") != http.StatusOK {
				ts.Fatalf("the same again is refused")
			}
			for range 2 {
				if got := post(at, "stop"); got != http.StatusOK {
					ts.Fatalf("stop: %d", got)
				}
			}
		}
		for _, at := range args {
			await(ts, "all are ready", func() bool {
				s, _, err := adminclient.New([]string{at}, time.Second).Status(context.Background())
				if err != nil {
					return false
				}
				ready := 0
				for _, n := range s.Nodes {
					if n.Ready {
						ready++
					}
				}
				return ready == len(args)
			})
		}
	}
}

// killPrimary ends the script's process that leads, at once.
func killPrimary(ts *testscript.TestScript, _ bool, _ []string) {
	t := &texts{of: *ts.Value("running").(*[]*running)}
	p, err := t.primary()
	ts.Check(err)
	p.kill()
}

// drainKilled has a process drain that doesn't lead, and kills the primary. Then the drain holds, a second copy of the
// order is acknowledged, and the one that is left is refused until the killed one is there again.
func drainKilled(ts *testscript.TestScript, _ bool, _ []string) {
	t := &texts{of: *ts.Value("running").(*[]*running)}
	lead, err := t.primary()
	ts.Check(err)
	var rest []*running
	for _, p := range t.of {
		if p != lead {
			rest = append(rest, p)
		}
	}
	within := func(p *running, on bool) (*adminclient.Answer, error) {
		return adminclient.New([]string{p.at}, 10*time.Second).Drain(context.Background(), on, false)
	}
	_, err = within(rest[0], true)
	ts.Check(err)
	lead.kill()
	_, err = within(rest[0], true)
	ts.Check(err)
	if _, err := within(rest[1], true); err == nil {
		ts.Fatalf("both that are left drain")
	}
	ts.Check(lead.again())
	await(ts, "the last one may drain", func() bool { _, err := within(rest[1], true); return err == nil })
	for _, p := range rest {
		_, err = within(p, false)
		ts.Check(err)
	}
}
