// Package schema checks settings and configurations against schemas in CUE, and tells
// everything that is wrong at once. It is a package of its own because CUE costs each
// program that links it some milliseconds and a megabyte at its start, which a gateway
// on a part of a core does without: package sysconfig refuses the same texts by itself.
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
	settings string
	//go:embed configuration.cue
	configuration string
)

// CheckSettings checks the text of a settings file; path is only named in faults.
// A file that passes the schema is read by package sysconfig as well.
func CheckSettings(path string, text []byte) error {
	var tree map[string]any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return &sysconfig.Fault{File: path, Why: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if err := check(path, settings, "#Settings", tree); err != nil {
		return err
	}
	_, err := sysconfig.ParseSettings(path, text)
	return err
}

// Explain tells an operator all that is wrong with a configuration: first by the
// schema, and where that is content, by what only the Go checks look at.
func Explain(body []byte) error {
	var tree map[string]any
	if json.Unmarshal(body, &tree) == nil {
		if err := check("", configuration, "#Configuration", tree); err != nil {
			return err
		}
	}
	_, err := sysconfig.Parse(body)
	return err
}

// check returns the faults of a tree, joined.
func check(path, schema, name string, tree map[string]any) error {
	ctx := cuecontext.New()
	want := ctx.CompileString(schema).LookupPath(cue.ParsePath(name))
	if err := want.Err(); err != nil {
		return &sysconfig.Fault{File: name, Why: err.Error()}
	}
	err := want.Unify(ctx.Encode(bare(tree))).Validate(cue.Concrete(true), cue.Final())
	var faults []error
	seen := map[string]bool{}
	for _, e := range errors.Errors(err) {
		key := spell(e.Path())
		if seen[key] {
			continue // one disagreement is told once for each side of it
		}
		seen[key] = true
		format, args := e.Msg()
		why := errors.Newf(e.Position(), format, args...).Error()
		faults = append(faults, &sysconfig.Fault{File: path, Key: key, Why: why})
	}
	return stderrors.Join(faults...)
}

// bare is a tree without its nulls, which count as left out.
func bare(tree any) any {
	switch t := tree.(type) {
	case map[string]any:
		for key, v := range t {
			if v == nil {
				delete(t, key)
			} else {
				t[key] = bare(v)
			}
		}
	case []any:
		for i, v := range t {
			t[i] = bare(v)
		}
	}
	return tree
}

// spell writes a path as the rest of the system does: Sockets[1].Policy[0].Rank.
func spell(path []string) string {
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
