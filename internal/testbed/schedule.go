package testbed

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Schedule is all that a run is to be: what there is, the load, and the faults.
// It can be replayed; what real processes and the kernel make of it can't.
type Schedule struct {
	Seed      uint64       `json:"seed"`
	Gateways  int          `json:"gateways"`
	Servers   int          `json:"servers"`
	Zones     int          `json:"zones,omitempty"`     // default 3
	Weights   int          `json:"weights,omitempty"`   // servers weigh 1 to this, and have as many cores for it; default 1
	Customers int          `json:"customers,omitempty"` // default 4 for each gateway
	Rate      float64      `json:"rate"`                // tries a second in all, repeats of clients left out
	Seconds   float64      `json:"seconds"`             // of load
	WorkMs    float64      `json:"work_ms,omitempty"`   // mean of a read on a warm core; default 100
	Cores     int          `json:"cores,omitempty"`     // of a server of weight 1; default 2
	Hot       *Hot         `json:"hot,omitempty"`
	Quota     float64      `json:"quota,omitempty"`     // units a second of each customer; default: far above all load
	Ceiling   float64      `json:"ceiling,omitempty"`   // of plan pro, in times its quota; default 2
	MemoryMB  int          `json:"memory_mb,omitempty"` // that gateways are told; default 64
	Sockets   int          `json:"sockets,omitempty"`   // default 512
	Cluster   *ClusterPlan `json:"cluster,omitempty"`
	Faults    []Fault      `json:"faults,omitempty"`
}

// Hot are gateways that get more than their part of the load.
type Hot struct {
	Share  float64 `json:"share"`   // of the gateways
	Times  float64 `json:"times"`   // the mean
	EveryS float64 `json:"every_s"` // others become hot; 0: never
}

// Fault is something that goes wrong, at a time or after an event.
type Fault struct {
	AtS    float64  `json:"at_s,omitempty"`
	When   *When    `json:"when,omitempty"`
	AfterS float64  `json:"after_s,omitempty"` // after the event
	Kind   string   `json:"kind"`
	Who    []string `json:"who,omitempty"`  // names with * and ?, or "gateways:0.7", "servers:zone:a", "gateways:zone:b:0.5"
	From   []string `json:"from,omitempty"` // of links: gateways
	To     []string `json:"to,omitempty"`   // of links: servers, list, counter, clients
	Way    string   `json:"way,omitempty"`  // both (default), to: to the gateway, from: from it
	ForS   float64  `json:"for_s,omitempty"`
	OverS  float64  `json:"over_s,omitempty"` // one after the other within that time
	Ms     float64  `json:"ms,omitempty"`
	Rate   int      `json:"bytes_per_s,omitempty"`
	Much   float64  `json:"much,omitempty"`
	Back   string   `json:"back,omitempty"` // with the folder (default), empty, older, never
}

// When is the event that a fault waits for.
type When struct {
	Told    string `json:"told,omitempty"` // the first gateway is told of this server
	State   string `json:"state,omitempty"`
	Answers string `json:"answers,omitempty"` // of this gateway
	Count   int    `json:"count,omitempty"`
}

//go:embed schedule.schema.json
var schemaText string

// kinds are the faults, and whether each is of gateways, servers, links, or of one thing.
var kinds = map[string]string{
	"kill": "gateways", "term": "gateways", "stop": "gateways", "starve": "gateways",
	"drain": "servers", "replace": "servers", "die": "servers", "half-open": "servers", "slow": "servers", "fail": "servers", "mute": "servers", "reports-late": "servers",
	"cut": "links", "reset": "links", "delay": "links", "stall": "links",
	"list-silent": "gateways", "list-late": "gateways", "list-at-once": "",
	"counter-silent": "", "counter-empty": "", "counter-gone": "",
	"disk-full": "gateways", "propose": "cluster", "propose-killed": "cluster", "replace-voter": "cluster",
}

// ReadSchedule reads and checks one. An error names the file, and line or key.
func ReadSchedule(file string) (*Schedule, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := ParseSchedule(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// ParseSchedule reads and checks a schedule, and fills in what it leaves out.
func ParseSchedule(text []byte) (*Schedule, error) {
	read, err := jsonschema.UnmarshalJSON(strings.NewReader(string(text)))
	if err != nil {
		var at *json.SyntaxError
		if errors.As(json.Unmarshal(text, new(map[string]any)), &at) {
			return nil, fmt.Errorf("line %d: %w", 1+strings.Count(string(text[:min(int(at.Offset), len(text))]), "\n"), err)
		}
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(schemaText))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schedule.schema.json", doc); err != nil {
		return nil, err
	}
	schema, err := c.Compile("schedule.schema.json")
	if err != nil {
		return nil, err
	}
	if err := schema.Validate(read); err != nil {
		return nil, err
	}
	s := &Schedule{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func orElse[T int | float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Check fills in what is left out, and reports the first key that makes no sense.
func (s *Schedule) Check() error { return s.check() }

// check fills in what is left out, and reports the first key that makes no sense.
func (s *Schedule) check() error {
	orElse(&s.Zones, 3)
	orElse(&s.Weights, 1)
	orElse(&s.Customers, 4*s.Gateways)
	orElse(&s.WorkMs, 100)
	orElse(&s.Cores, 2)
	orElse(&s.Quota, 100000)
	orElse(&s.Ceiling, 2)
	orElse(&s.MemoryMB, 64)
	orElse(&s.Sockets, 512)
	switch {
	case s.Gateways < 1 || s.Gateways > mostParties:
		return fmt.Errorf("gateways: must be 1 to %d, as many as loopback has addresses, got %d", mostParties, s.Gateways)
	case s.Servers < 1 || s.Servers > 5000:
		return fmt.Errorf("servers: must be 1 to 5000, got %d", s.Servers)
	case !(s.Rate > 0):
		return fmt.Errorf("rate: must be above 0, got %v", s.Rate)
	case !(s.Seconds > 0):
		return fmt.Errorf("seconds: must be above 0, got %v", s.Seconds)
	}
	if err := s.checkCluster(); err != nil {
		return err
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("faults[%d]", i)
		of, ok := kinds[f.Kind]
		switch {
		case !ok:
			return fmt.Errorf("%s.kind: unknown fault %q", at, f.Kind)
		case f.AtS < 0 || f.AfterS < 0 || f.ForS < 0 || f.OverS < 0:
			return fmt.Errorf("%s: at_s, after_s, for_s and over_s must not be negative", at)
		case f.Way != "" && f.Way != "both" && f.Way != "to" && f.Way != "from":
			return fmt.Errorf("%s.way: must be both, to or from, got %q", at, f.Way)
		case f.Back != "" && !slices.Contains([]string{"folder", "empty", "older", "never"}, f.Back):
			return fmt.Errorf("%s.back: must be folder, empty, older or never, got %q", at, f.Back)
		case f.When != nil && f.When.Answers == "" && f.When.Told == "":
			return fmt.Errorf("%s.when: told or answers must be there", at)
		}
		if w := f.When; w != nil {
			if _, err := s.pick(nil, "servers", w.Told); w.Told != "" && err != nil {
				return fmt.Errorf("%s.when.told: %w", at, err)
			}
			if _, err := s.pick(nil, "gateways", w.Answers); w.Answers != "" && err != nil {
				return fmt.Errorf("%s.when.answers: %w", at, err)
			}
		}
		var err error
		switch of {
		case "cluster":
			if s.Cluster == nil {
				err = fmt.Errorf("%s.kind: %s needs a cluster", at, f.Kind)
			} else if f.Kind == "replace-voter" {
				if _, err = s.all(nil, "gateways", f.Who, at+".who"); err == nil {
					_, err = s.all(nil, "gateways", f.To, at+".to")
				}
			}
		case "gateways", "servers":
			_, err = s.all(nil, of, f.Who, at+".who")
		case "links":
			if _, err = s.all(nil, "gateways", f.From, at+".from"); err == nil {
				_, err = s.far(nil, f.To, at+".to")
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Schedule) zone(i int) string { return string(rune('a' + i%s.Zones)) }

// pick is the numbers of those that a word names. Shares are drawn from rng; nil
// checks the word only.
func (s *Schedule) pick(rng *rand.Rand, of, word string) ([]int, error) {
	count, letter := s.Gateways, "g-"
	if of == "servers" {
		count, letter = s.Servers, "s-"
	}
	var all []int
	rest, group := strings.CutPrefix(word, of)
	if of == "gateways" && s.Cluster != nil {
		if word == "leader" { // whoever it is then
			return []int{0}, nil
		}
		for name, some := range map[string][2]int{"voters": {0, s.Cluster.Voters}, "followers": {s.Cluster.Voters, count}} {
			if after, ok := strings.CutPrefix(word, name); ok {
				all, rest, group = all[:0], after, true
				for i := some[0]; i < some[1]; i++ {
					all = append(all, i)
				}
			}
		}
	}
	if !group {
		if _, err := path.Match(word, ""); err != nil {
			return nil, fmt.Errorf("%q is no name: %w", word, err)
		}
		for i := range count {
			if ok, _ := path.Match(word, letter+strconv.Itoa(i)); ok {
				all = append(all, i)
			}
		}
		if len(all) == 0 {
			return nil, fmt.Errorf("nothing is called %q among %d %s, %s0 to %s%d", word, count, of, letter, letter, count-1)
		}
		return all, nil
	}
	if of == "servers" || strings.HasPrefix(word, of) {
		for i := range count {
			all = append(all, i)
		}
	}
	parts := strings.Split(strings.TrimPrefix(rest, ":"), ":")
	for i := 0; i < len(parts); i++ {
		switch share, err := strconv.ParseFloat(parts[i], 64); {
		case parts[i] == "":
		case parts[i] == "zone" && i+1 < len(parts):
			i++
			all = slices.DeleteFunc(all, func(n int) bool { return s.zone(n) != parts[i] })
			if len(all) == 0 {
				return nil, fmt.Errorf("%q: nothing is in zone %q", word, parts[i])
			}
		case err == nil && share > 0 && share <= 1:
			if rng != nil {
				rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				all = all[:max(1, int(share*float64(len(all))+0.5))]
				slices.Sort(all)
			}
		default:
			return nil, fmt.Errorf("%q: unknown group; there are %s, %s:0.5 and %s:zone:a", word, of, of, of)
		}
	}
	return all, nil
}

func (s *Schedule) all(rng *rand.Rand, of string, words []string, at string) ([]int, error) {
	if len(words) == 0 {
		return nil, fmt.Errorf("%s: names nobody", at)
	}
	var all []int
	for _, w := range words {
		some, err := s.pick(rng, of, w)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", at, err)
		}
		all = append(all, some...)
	}
	slices.Sort(all)
	return slices.Compact(all), nil
}

// far is the numbers of far ends of links.
func (s *Schedule) far(rng *rand.Rand, words []string, at string) ([]int, error) {
	var far []int
	var servers []string
	for _, w := range words {
		if members, err := s.pick(rng, "gateways", w); s.Cluster != nil && err == nil {
			for _, m := range members {
				if m < s.folders() {
					far = append(far, s.Servers+m)
				}
			}
		} else if n, ok := map[string]int{"list": farList, "counter": farCounter, "clients": farClients}[w]; ok {
			far = append(far, n)
		} else {
			servers = append(servers, w)
		}
	}
	if len(servers) > 0 || len(far) == 0 {
		some, err := s.all(rng, "servers", servers, at)
		if err != nil {
			return nil, err
		}
		far = append(far, some...)
	}
	return far, nil
}

// Draw is the schedule that a seed means: a small fleet with two to four faults.
func Draw(seed uint64) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0xf1e1d))
	s := &Schedule{Seed: seed, Gateways: 12 + rng.IntN(13), Servers: 8 + rng.IntN(13), Seconds: 14, Weights: 1 + rng.IntN(4)}
	if rng.IntN(2) == 0 {
		s.Hot = &Hot{Share: 0.1, Times: 6, EveryS: 4}
	}
	for _, f := range []Fault{
		{Kind: "kill", Who: []string{"gateways:0.7"}, ForS: 0.3}, {Kind: "stop", Who: []string{"gateways:0.3"}, ForS: 3},
		{Kind: "term", Who: []string{"gateways:0.5"}, OverS: 3}, {Kind: "replace", Who: []string{"servers:0.6"}, OverS: 6},
		{Kind: "die", Who: []string{"servers:zone:b"}, ForS: 4}, {Kind: "slow", Who: []string{"servers:0.125"}, Much: 4, ForS: 4},
		{Kind: "fail", Who: []string{"servers:0.1"}, ForS: 4}, {Kind: "mute", Who: []string{"servers:0.1"}, ForS: 3},
		{Kind: "half-open", Who: []string{"servers:0.2"}, ForS: 0.5}, {Kind: "reports-late", Who: []string{"servers"}, Ms: 800, ForS: 6},
		{Kind: "cut", From: []string{"gateways:zone:a"}, To: []string{"list"}, ForS: 4},
		{Kind: "cut", From: []string{"gateways:0.3"}, To: []string{"servers:zone:c"}, ForS: 3},
		{Kind: "cut", Way: "to", From: []string{"gateways:0.3"}, To: []string{"servers:0.2"}, ForS: 3},
		{Kind: "reset", From: []string{"gateways:0.5"}, To: []string{"servers:0.3"}, ForS: 1},
		{Kind: "delay", From: []string{"gateways"}, To: []string{"servers:zone:b"}, Ms: 60, ForS: 4},
		{Kind: "stall", From: []string{"gateways:0.3"}, To: []string{"servers:0.2"}, Rate: 40, ForS: 3},
		{Kind: "list-late", Who: []string{"gateways:0.3"}, Ms: 1500, ForS: 6}, {Kind: "counter-silent", ForS: 4},
		{Kind: "counter-empty"}, {Kind: "counter-gone", ForS: 3}, {Kind: "drain", Who: []string{"servers:0.3"}, ForS: 3},
	} {
		if rng.IntN(7) == 0 {
			f.AtS = 2 + float64(rng.IntN(50))/10
			s.Faults = append(s.Faults, f)
		}
	}
	more := rand.New(rand.NewPCG(seed, 0xc1a5)) // of its own: older seeds mean what they meant
	for _, f := range []Fault{{Kind: "list-silent", Who: []string{"gateways:0.3"}, ForS: 3}, {Kind: "starve", Who: []string{"gateways:0.1"}, ForS: 3}} {
		if more.IntN(12) == 0 {
			f.AtS = 2 + float64(more.IntN(50))/10
			s.Faults = append(s.Faults, f)
		}
	}
	if more.IntN(3) == 0 {
		s.Cluster = &ClusterPlan{Voters: 3 + 2*more.IntN(2), Spare: 1, EveryS: 0.4, BadEvery: 5 + more.IntN(5)}
		spare, at := "g-"+strconv.Itoa(s.Cluster.Voters), 2.0
		for _, f := range []Fault{
			{Kind: "kill", Who: []string{"leader"}, ForS: 0.4}, {Kind: "stop", Who: []string{"leader"}, ForS: 2.5},
			{Kind: "cut", Way: "from", From: []string{"leader"}, To: []string{"voters"}, ForS: 2}, {Kind: "cut", From: []string{"gateways:0.5"}, To: []string{"voters"}, ForS: 2},
			{Kind: "delay", From: []string{"gateways"}, To: []string{"voters"}, Ms: 40, ForS: 2}, {Kind: "disk-full", Who: []string{"g-1"}},
			{Kind: "propose"}, {Kind: "propose-killed", Ms: float64(more.IntN(40))}, {Kind: "kill", Who: []string{"g-1"}, Back: "older", ForS: 0.3},
			{Kind: "replace-voter", Who: []string{"g-0"}, To: []string{spare}},
		} {
			// One after the other, and one vote lost for good at the most: cuts of one link that overlap
			// end together, and without a majority nothing is to be seen.
			if more.IntN(4) == 0 && at < 11 {
				f.AtS = at
				at += 2.6
				s.Faults = append(s.Faults, f)
			}
		}
	}
	cores := 0
	for i := range s.Servers {
		cores += 2 * s.weight(i)
	}
	s.Rate = float64(int(float64(cores) * (4 + 2*rng.Float64()))) // half of what the fleet can do
	if err := s.check(); err != nil {
		panic(err) // nothing that is drawn is bad
	}
	return s
}

// weight is a server's.
func (s *Schedule) weight(i int) int { return 1 + i*7%s.Weights }
