package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// WithPolicy returns the settings with their services, contracts and prices replaced by
// those of a policy. An unknown key is an error, unlike in the settings object, which other
// programs write too: an older program must not apply a policy that it would only partly
// understand. Errors name the line, and the key if there is one.
func (s Settings) WithPolicy(text []byte) (Settings, error) {
	var policy rules
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&policy); err != nil {
		return s, WithLine(text, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return s, fmt.Errorf("line %d: more behind the object", lineOf(text, decoder.InputOffset()))
	}
	for key, missing := range map[string]bool{"services": len(policy.Services) == 0, "contracts": len(policy.Contracts) == 0} {
		if missing {
			return s, fmt.Errorf("%s is missing", key)
		}
	}
	if err := policy.applyTo(&s); err != nil {
		return s, withElementLine(text, err)
	}
	return s, withElementLine(text, s.Check())
}

// WithLine adds the line, and the key if it is known, to an error of the JSON decoder.
func WithLine(text []byte, err error) error {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("line %d: %w", lineOf(text, syntax.Offset), err)
	case errors.As(err, &mismatch):
		return fmt.Errorf("line %d: %s: a %s does not fit", lineOf(text, mismatch.Offset), mismatch.Field, mismatch.Value)
	case strings.Contains(err.Error(), "unknown field "):
		_, key, _ := strings.Cut(err.Error(), "unknown field ")
		if at := bytes.Index(text, []byte(key)); at >= 0 {
			return fmt.Errorf("line %d: unknown key %s", lineOf(text, int64(at)), key)
		}
	}
	return err
}

// lineOf returns the number of the line that contains an offset.
func lineOf(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:max(0, min(int(offset), len(text)))], []byte("\n"))
}

// withElementLine prefixes an error about an element such as services[2] or contracts[0] with
// the line on which that element begins.
func withElementLine(text []byte, err error) error {
	if err == nil {
		return nil
	}
	for _, key := range []string{"services", "contracts"} {
		var i int
		if _, e := fmt.Sscanf(err.Error(), key+"[%d]", &i); e != nil {
			continue
		}
		var values map[string]json.RawMessage
		if json.Unmarshal(text, &values) != nil {
			break
		}
		decoder := json.NewDecoder(bytes.NewReader(values[key]))
		decoder.Token()
		for range i {
			var skipped json.RawMessage
			if decoder.Decode(&skipped) != nil {
				return err
			}
		}
		if at := bytes.Index(text, values[key]); at >= 0 {
			start := int(decoder.InputOffset())
			start += len(values[key][start:]) - len(bytes.TrimLeft(values[key][start:], ", \t\r\n"))
			return fmt.Errorf("line %d: %w", lineOf(text, int64(at+start)), err)
		}
	}
	return err
}
