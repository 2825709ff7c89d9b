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

// Rollout says how nodes apply the configuration that follows this one: a change is rolled
// out by the rules in force when it arrives. The default mode is "each".
type Rollout struct {
	Together bool          // all nodes apply it at once; otherwise each applies it on arrival
	Confirm  int           // number of nodes that must confirm; 0: all live nodes
	Within   time.Duration // time limit after which the change is withdrawn; 0: it waits indefinitely
	Reads    bool          // pure routes too use only a configuration that is certainly in force, or are refused
	fault    *Fault        // found by UnmarshalJSON
}

// UnmarshalJSON keeps a fault for checkRollout, which reports it with its key, instead of
// returning it.
func (r *Rollout) UnmarshalJSON(text []byte) error {
	*r = Rollout{}
	if bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
		return nil
	}
	setFault := func(key, why string) error {
		r.fault = &Fault{Key: "Rollout" + key, Why: why}
		return nil
	}
	var all map[string]json.RawMessage
	if json.Unmarshal(text, &all) != nil {
		return setFault("", "not an object")
	}
	keys := make([]string, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		var err error
		switch v := all[k]; k {
		case "Mode":
			r.Together, err = parseChoice(v, "each", "together")
		case "Reads":
			r.Reads, err = parseChoice(v, "last", "live")
		case "Confirm":
			r.Confirm, err = parseConfirm(v)
		case "WithinMs":
			var ms float64
			if json.Unmarshal(v, &ms) != nil || ms < 0 || ms > 1e9 {
				err = errors.New("must be a number from 0 to 1e9: " + string(v))
			}
			r.Within = time.Duration(ms * float64(time.Millisecond))
		default:
			err = errors.New("unknown; there are Mode, Confirm, WithinMs and Reads")
		}
		if err != nil {
			return setFault("."+k, err.Error())
		}
	}
	if r.Reads && !r.Together { // only mode "together" grants the leases that live reads rely on
		return setFault(".Reads", `"live" needs "Mode": "together"`)
	}
	return nil
}

// parseChoice decodes one of two strings and reports whether it is the second.
func parseChoice(v json.RawMessage, first, second string) (bool, error) {
	var s string
	if json.Unmarshal(v, &s) != nil || s != first && s != second {
		return false, fmt.Errorf("must be %q or %q: %s", first, second, v)
	}
	return s == second, nil
}

// parseConfirm decodes "all" as 0, or a positive integer.
func parseConfirm(v json.RawMessage) (int, error) {
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

// checkRollout returns the fault that UnmarshalJSON found, or nil.
func (c *Configuration) checkRollout() *Fault {
	if c.Rollout == nil {
		return nil
	}
	return c.Rollout.fault
}

// RolloutOf decodes only the rollout of a configuration. It returns the default if that is
// absent or invalid.
func RolloutOf(body []byte) Rollout {
	if !mayContainKey(body, "rollout") {
		return Rollout{}
	}
	var c struct{ Rollout Rollout }
	if json.Unmarshal(body, &c) != nil || c.Rollout.fault != nil {
		return Rollout{}
	}
	return c.Rollout
}

// mayContainKey reports whether a JSON text may have a key with this lower-case name. Keys
// match in any case and can be written with escapes. Most long texts don't have the key, and
// this check avoids decoding them.
func mayContainKey(body []byte, name string) bool {
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
