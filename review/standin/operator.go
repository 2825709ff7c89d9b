package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names in the operator's configuration.
const (
	host   = "hulo84.example"
	key    = "nn2ctnfzs989anu6wsjn"
	tenant = "cuka620"
)

const configurationWithin = 20 * time.Second

// route is the one of the configuration.
type route struct {
	name, class, prefix, service string
	targetMs, deadlineMs, tries  int
}

// configuration is the text that the operator sends.
func configuration(r route) []byte {
	type object = map[string]any
	text, err := json.Marshal(object{
		"Epoch":      "00000001",
		"BoundsReq":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderReadMs": 3000, "KeepaliveMs": 15000},
		"Principals": []object{{"Name": tenant, "Credentials": []string{key}, "Rank": 1, "RatePerS": 129, "BurstSize": 129}},
		"Sockets": []object{{"Authority": host, "Policy": []object{{"Name": r.name, "RouteClass": r.class, "TargetMs": r.targetMs,
			"Rank": 1, "Anonymous": false, "Predicate": object{"PathPrefix": r.prefix},
			"Effect": object{"Backend": r.service, "DeadlineMs": r.deadlineMs, "Tries": r.tries}}}}},
		"Pools": []object{{"Name": r.service, "ProbePath": "/probe", "MaxConns": 130, "Protocol": "h1", "Encrypted": false}},
	})
	if err != nil {
		panic(err) // it is made of constants
	}
	return text
}

// sendConfiguration repeats the call at one gateway after the other until it is acknowledged.
func sendConfiguration(rec *record, controls []string, text []byte) error {
	c := http.Client{Timeout: time.Second}
	last := "no answer"
	for end, i := time.Now().Add(configurationWithin), 0; time.Now().Before(end); i++ {
		at := controls[i%len(controls)]
		call, err := http.NewRequest(http.MethodPut, "http://"+at+"/api/configuration", bytes.NewReader(text))
		if err != nil {
			return err
		}
		call.Header.Set("Content-Type", "application/json")
		answer, err := c.Do(call)
		if err == nil {
			io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if last = answer.Status; answer.StatusCode == http.StatusOK {
				rec.add("operator: configuration acknowledged by %s", at)
				return nil
			}
		} else {
			last = err.Error()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %s", last)
}
