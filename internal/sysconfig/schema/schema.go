// Package schema validates settings and configurations against CUE schemas and reports all
// faults at once. It is a separate package because CUE adds a few milliseconds and a
// megabyte to the start of each program that links it. A gateway on a fraction of a core
// avoids that cost: package sysconfig rejects the same texts without CUE.
package schema

import (
	_ "embed"
	"encoding/json"
	stderrors "errors"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"go.yaml.in/yaml/v3"

	"asterwell/internal/sysconfig"
)

var (
	//go:embed settings.cue
	settingsSchema string
	//go:embed configuration.cue
	configurationSchema string
)

// CheckSettings validates the text of a settings file; path is used only in faults. A text
// that passes the schema is also parsed by package sysconfig.
func CheckSettings(path string, text []byte) error {
	var tree map[string]any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return &sysconfig.Fault{File: path, Why: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if err := check(path, settingsSchema, "#Settings", tree); err != nil {
		return err
	}
	_, err := sysconfig.ParseSettings(path, text)
	return err
}

// Explain returns all faults of a configuration that the schema finds. If there are none, it
// returns the first fault of the Go checks, some of which the schema doesn't have.
func Explain(body []byte) error {
	var tree map[string]any
	if json.Unmarshal(body, &tree) == nil {
		if err := check("", configurationSchema, "#Configuration", tree); err != nil {
			return err
		}
	}
	_, err := sysconfig.Parse(body)
	return err
}

// check validates a decoded tree against a definition of a schema and joins the faults.
func check(path, schema, definition string, tree map[string]any) error {
	ctx := cuecontext.New()
	constraint := ctx.CompileString(schema).LookupPath(cue.ParsePath(definition))
	if err := constraint.Err(); err != nil {
		return &sysconfig.Fault{File: definition, Why: err.Error()}
	}
	err := constraint.Unify(ctx.Encode(dropNulls(tree))).Validate(cue.Concrete(true), cue.Final())
	var faults []error
	seen := map[string]bool{}
	for _, e := range errors.Errors(err) {
		key := formatPath(e.Path())
		if seen[key] {
			continue // CUE reports a conflict once for each side
		}
		seen[key] = true
		format, args := e.Msg()
		why := errors.Newf(e.Position(), format, args...).Error()
		faults = append(faults, &sysconfig.Fault{File: path, Key: key, Why: why})
	}
	return stderrors.Join(faults...)
}

// dropNulls removes the nulls from a tree, because a null counts as a missing key.
func dropNulls(tree any) any {
	switch t := tree.(type) {
	case map[string]any:
		for key, v := range t {
			if v == nil {
				delete(t, key)
			} else {
				t[key] = dropNulls(v)
			}
		}
	case []any:
		for i, v := range t {
			t[i] = dropNulls(v)
		}
	}
	return tree
}

// formatPath writes a path in the notation of sysconfig.Fault: Sockets[1].Policy[0].Rank.
func formatPath(path []string) string {
	var b strings.Builder
	for _, part := range path {
		switch {
		case strings.HasPrefix(part, "#"):
		case strings.Trim(part, "0123456789") == "":
			b.WriteString("[" + part + "]")
		case b.Len() > 0:
			b.WriteString("." + part)
		default:
			b.WriteString(part)
		}
	}
	return b.String()
}
