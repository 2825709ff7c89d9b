package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// WithPolicy returns the settings with a policy in the place of their services, contracts
// and prices. Unlike in the settings object, which others write too, a key that is
// not known is an error: an older program must not take over what it would leave
// out. Errors name the line, and the key where there is one.
func (s Settings) WithPolicy(text []byte) (Settings, error) {
	var r rules
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(&r); err != nil {
		return s, WithLine(text, err)
	}
	if _, err := in.Token(); err != io.EOF {
		return s, fmt.Errorf("line %d: more behind the object", lineOf(text, in.InputOffset()))
	}
	for key, missing := range map[string]bool{"services": len(r.Services) == 0, "contracts": len(r.Contracts) == 0} {
		if missing {
			return s, fmt.Errorf("%s is missing", key)
		}
	}
	if err := r.into(&s); err != nil {
		return s, named(text, err)
	}
	return s, named(text, s.Check())
}

// WithLine makes a decoder's error name the line and, where it knows it, the key.
func WithLine(text []byte, err error) error {
	var syntax *json.SyntaxError
	var typ *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("line %d: %w", lineOf(text, syntax.Offset), err)
	case errors.As(err, &typ):
		return fmt.Errorf("line %d: %s: a %s does not fit", lineOf(text, typ.Offset), typ.Field, typ.Value)
	case strings.Contains(err.Error(), "unknown field "):
		_, key, _ := strings.Cut(err.Error(), "unknown field ")
		if at := bytes.Index(text, []byte(key)); at >= 0 {
			return fmt.Errorf("line %d: unknown key %s", lineOf(text, int64(at)), key)
		}
	}
	return err
}

func lineOf(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:max(0, min(int(offset), len(text)))], []byte("\n"))
}

// named makes an error of services[2] or contracts[0] begin with the line on which
// that element does.
func named(text []byte, err error) error {
	if err == nil {
		return nil
	}
	for _, key := range []string{"services", "contracts"} {
		var i int
		if _, e := fmt.Sscanf(err.Error(), key+"[%d]", &i); e != nil {
			continue
		}
		var all map[string]json.RawMessage
		if json.Unmarshal(text, &all) != nil {
			break
		}
		in := json.NewDecoder(bytes.NewReader(all[key]))
		in.Token()
		for range i {
			var skip json.RawMessage
			if in.Decode(&skip) != nil {
				return err
			}
		}
		if at := bytes.Index(text, all[key]); at >= 0 {
			rest := int(in.InputOffset())
			rest += len(all[key][rest:]) - len(bytes.TrimLeft(all[key][rest:], ", \t\r\n"))
			return fmt.Errorf("line %d: %w", lineOf(text, int64(at+rest)), err)
		}
	}
	return err
}
