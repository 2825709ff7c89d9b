package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// CheckShape returns an error for the first key, in alphabetical order, that the file in use
// has and the other lacks, or whose value has another JSON type. Each element of a list needs
// the keys that all elements of the list in use have. New keys are accepted.
func CheckShape(inUse, other []byte) error {
	var inUseValue, otherValue any
	if err := json.Unmarshal(inUse, &inUseValue); err != nil {
		return err
	}
	if err := json.Unmarshal(other, &otherValue); err != nil {
		return err
	}
	return compareShapes("", inUseValue, otherValue)
}

// compareShapes compares the values at a key; CheckShape has the rules.
func compareShapes(key string, inUse, other any) error {
	if fmt.Sprintf("%T", inUse) != fmt.Sprintf("%T", other) {
		return fmt.Errorf("%s: a %s does not fit", key, jsonTypeNames[fmt.Sprintf("%T", other)])
	}
	switch inUse := inUse.(type) {
	case map[string]any:
		other := other.(map[string]any)
		for _, k := range slices.Sorted(maps.Keys(inUse)) {
			path := k
			if key != "" {
				path = key + "." + k
			}
			if _, ok := other[k]; !ok {
				return fmt.Errorf("%s is missing", path)
			}
			if err := compareShapes(path, inUse[k], other[k]); err != nil {
				return err
			}
		}
	case []any:
		common := commonKeys(inUse)
		for i, x := range other.([]any) {
			if common == nil {
				break
			}
			if err := compareShapes(fmt.Sprintf("%s[%d]", key, i), common, x); err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys returns the first object of a list reduced to the keys that all its objects
// have, or nil if the list is empty or has an element that is no object.
func commonKeys(list []any) any {
	var common map[string]any
	for i, x := range list {
		o, ok := x.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(o)
		}
		maps.DeleteFunc(common, func(k string, _ any) bool { _, ok := o[k]; return !ok })
	}
	if common == nil {
		return nil
	}
	return common
}

// jsonTypeNames maps the Go type of a decoded JSON value to the name used in errors.
var jsonTypeNames = map[string]string{"map[string]interface {}": "object", "[]interface {}": "list", "string": "string",
	"float64": "number", "bool": "bool", "<nil>": "null"}

// CheckPositive returns an error with the key of the first setting that isn't above 0, of those
// that must be when a running gateway reloads its settings.
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
