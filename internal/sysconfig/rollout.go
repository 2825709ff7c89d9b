package sysconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Rollout says how the configuration after this one is taken up: the rules of a
// change are those that everybody goes by when it comes. Left out it is "each".
type Rollout struct {
	Together bool          // else each node takes it up as it gets it
	Confirm  int           // nodes that must have confirmed; 0: all that live
	Within   time.Duration // then it is withdrawn; 0: it waits for as long as it takes
	Reads    bool          // pure routes too go by what is live for certain, or are refused
	bad      *Fault
}

// UnmarshalJSON keeps what is wrong for the check, which names the place.
func (r *Rollout) UnmarshalJSON(text []byte) error {
	*r = Rollout{}
	if bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
		return nil
	}
	bad := func(key, why string) error {
		r.bad = &Fault{Key: "Rollout" + key, Why: why}
		return nil
	}
	var all map[string]json.RawMessage
	if json.Unmarshal(text, &all) != nil {
		return bad("", "not an object")
	}
	keys := make([]string, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		var why error
		switch v := all[k]; k {
		case "Mode":
			r.Together, why = word(v, "each", "together")
		case "Reads":
			r.Reads, why = word(v, "last", "live")
		case "Confirm":
			r.Confirm, why = confirm(v)
		case "WithinMs":
			var ms float64
			if json.Unmarshal(v, &ms) != nil || ms < 0 || ms > 1e9 {
				why = errors.New("must be a number from 0 to 1e9: " + string(v))
			}
			r.Within = time.Duration(ms * float64(time.Millisecond))
		default:
			why = errors.New("unknown; there are Mode, Confirm, WithinMs and Reads")
		}
		if why != nil {
			return bad("."+k, why.Error())
		}
	}
	if r.Reads && !r.Together { // there are no leases to go by
		return bad(".Reads", `"live" needs "Mode": "together"`)
	}
	return nil
}

// word reads one of two, and tells whether it is the second.
func word(v json.RawMessage, first, second string) (bool, error) {
	var s string
	if json.Unmarshal(v, &s) != nil || s != first && s != second {
		return false, fmt.Errorf("must be %q or %q: %s", first, second, v)
	}
	return s == second, nil
}

func confirm(v json.RawMessage) (int, error) {
	var s string
	if json.Unmarshal(v, &s) == nil && s == "all" {
		return 0, nil
	}
	var n float64
	if json.Unmarshal(v, &n) != nil || n < 1 || n > math.MaxInt32 || n != math.Trunc(n) {
		return 0, errors.New(`must be "all" or a whole number above 0: ` + string(v))
	}
	return strconv.Atoi(strconv.FormatFloat(n, 'f', 0, 64))
}

func (c *Configuration) checkRollout() *Fault {
	if c.Rollout == nil {
		return nil
	}
	return c.Rollout.bad
}

// RolloutOf reads that part of a configuration only.
func RolloutOf(body []byte) Rollout {
	if !mayName(body, "rollout") {
		return Rollout{}
	}
	var c struct{ Rollout Rollout }
	if json.Unmarshal(body, &c) != nil || c.Rollout.bad != nil {
		return Rollout{}
	}
	return c.Rollout
}

// mayName says whether a text may have a key of that name, which is in lower case: JSON's keys are read in any, and may be
// written by escapes. Most texts of any length don't, and needn't be read for it.
func mayName(body []byte, name string) bool {
	if bytes.IndexByte(body, '\\') >= 0 {
		return true
	}
	for i := 0; i+len(name) <= len(body); i++ {
		if body[i]|0x20 == name[0] && body[i+1]|0x20 == name[1] && body[i+2]|0x20 == name[2] && strings.EqualFold(string(body[i:i+len(name)]), name) {
			return true
		}
	}
	return false
}
