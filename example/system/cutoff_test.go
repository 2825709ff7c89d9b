package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"asterwell/internal/adminclient"
)

// TestCutOff: the last of three, out of touch with most of the core, promises nothing and refuses
// nothing for good; it goes on serving, and says how old what it shows may be.
func TestCutOff(t *testing.T) {
	ctx, f, _ := three(t)
	last := f.machines[2]
	f.machines[0].kill()
	f.machines[1].kill()

	rules := `{"Version":1,"By":"op","Why":"x","Rules":[{"Name":"r","Tenant":"nobody","Share":1,"Effect":"vanish-before","EndsS":9,"Budget":1}]}`
	beat := `{"Endpoint":"127.0.0.1:9","SelfInfo":{"Backend":"toy","Epoch":"v1","Zone":"a","Capacity":1},
 "HealthState":{"Phase":"%s","Sequence":%d}}`
	second := strings.Replace(string(configuration), "00000001", "00000002", 1)
	var all sync.WaitGroup
	for _, c := range []struct{ method, path, body string }{
		{"GET", "configuration", ""}, {"PUT", "configuration", second}, {"GET", "faults", ""}, {"PUT", "faults", rules},
		{"DELETE", "faults", ""}, {"POST", "drain/start", ""}, {"DELETE", "rollout/00000009", ""},
		{"PUT", "members/one", fmt.Sprintf(beat, "quiescing", 2)}, {"DELETE", "members/two", ""},
	} {
		all.Go(func() {
			q, err := http.NewRequestWithContext(ctx, c.method, "http://"+last.control()+"/api/"+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Error(err)
				return
			}
			a, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Error(err)
				return
			}
			defer a.Body.Close()
			if text, _ := io.ReadAll(a.Body); a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
				t.Errorf("%s %s: %d %s", c.method, c.path, a.StatusCode, text)
			}
		})
	}
	all.Wait()
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+last.control()+"/api/members/three", strings.NewReader(fmt.Sprintf(beat, "serving", 1)))
	check(t, err)
	a, err := http.DefaultClient.Do(q)
	check(t, err)
	a.Body.Close()
	if a.StatusCode != http.StatusOK {
		t.Errorf("a serving beat: %d", a.StatusCode)
	}
	check(t, f.ask(last, "/hello/example"))
	began := time.Now()
	s, _, err := adminclient.New([]string{last.control()}, comesUp).Status(ctx)
	check(t, err)
	if s.ContactS == nil || *s.ContactS < 0.3 || *s.ContactS > time.Since(began).Seconds()+60 {
		t.Errorf("status tells no age: %+v", s.ContactS)
	}
}
