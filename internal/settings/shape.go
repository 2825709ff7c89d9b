package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// CheckShape reports the first key, in order of the alphabet, that a file in use has and
// another one lacks, or whose value is of another kind. Elements of a list need what
// all of the list in use have. What is new is not its concern.
func CheckShape(inUse, other []byte) error {
	var a, b any
	if err := json.Unmarshal(inUse, &a); err != nil {
		return err
	}
	if err := json.Unmarshal(other, &b); err != nil {
		return err
	}
	return shape("", a, b)
}

func shape(key string, a, b any) error {
	if fmt.Sprintf("%T", a) != fmt.Sprintf("%T", b) {
		return fmt.Errorf("%s: a %s does not fit", key, kinds[fmt.Sprintf("%T", b)])
	}
	switch a := a.(type) {
	case map[string]any:
		b := b.(map[string]any)
		for _, k := range slices.Sorted(maps.Keys(a)) {
			path := k
			if key != "" {
				path = key + "." + k
			}
			if _, there := b[k]; !there {
				return fmt.Errorf("%s is missing", path)
			}
			if err := shape(path, a[k], b[k]); err != nil {
				return err
			}
		}
	case []any:
		common := shared(a)
		for i, x := range b.([]any) {
			if common == nil {
				break
			}
			if err := shape(fmt.Sprintf("%s[%d]", key, i), common, x); err != nil {
				return err
			}
		}
	}
	return nil
}

// shared is what the objects of a list have in common; nil if they are none.
func shared(list []any) any {
	var common map[string]any
	for i, x := range list {
		o, ok := x.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(o)
		}
		maps.DeleteFunc(common, func(k string, _ any) bool { _, there := o[k]; return !there })
	}
	if common == nil {
		return nil
	}
	return common
}

var kinds = map[string]string{"map[string]interface {}": "object", "[]interface {}": "list", "string": "string",
	"float64": "number", "bool": "bool", "<nil>": "null"}

// CheckPositive reports the first of the numbers that a running gateway takes over and that
// have to be above 0, by its key.
func (s *Settings) CheckPositive() error {
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("services[%d].deadlineMs must be above 0, got %v", i, c.Deadline)
		}
	}
	if s.MaxAttempts <= 0 {
		return fmt.Errorf("caps.tryLimit must be above 0, got %d", s.MaxAttempts)
	}
	return nil
}
