package openapi

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
)

var classes = []choice.Class{
	{Name: "status-read", Target: 4 * time.Second, Deadline: 5 * time.Second, Value: 1},
	{Name: "submit-nom", Target: 4 * time.Second, Deadline: 5 * time.Second, Value: 3, Effect: choice.NonRetryable},
}

// describe returns a description with the given paths.
func describe(paths string) []byte {
	return []byte("openapi: 3.0.3\ninfo: {title: t, version: '1'}\nservers: [{url: 'https://nominations.example/v1'}]\npaths:\n" + paths)
}

const operation = "responses: {'200': {description: ok}}"

func TestParse(t *testing.T) {
	get := func(x string) string {
		return "  /n/{id}:\n    parameters: [{name: id, in: path, required: true, schema: {type: string}}]\n" +
			"    get: {" + x + operation + "}\n"
	}
	read := Operation{Name: "GET /n/{id}", Class: "status-read", Units: 1, Timeout: 5 * time.Second}
	with := func(change func(o *Operation)) *Operation {
		o := read
		change(&o)
		return &o
	}
	never := []Route{{Path: "/n/{other}", Repeat: Never}}
	for name, c := range map[string]struct {
		paths  string
		routes []Route
		want   *Operation
		notes  int
		err    string
	}{
		"a read": {paths: get("x-asterwell-class: status-read, "), want: &read},
		"cost and time": {paths: get("x-asterwell-class: status-read, x-asterwell-units: 2.5, x-asterwell-timeout-ms: 250, "),
			want: with(func(o *Operation) { o.Units, o.Timeout = 2.5, 250*time.Millisecond })},
		"no longer than the class": {paths: get("x-asterwell-class: status-read, x-asterwell-timeout-ms: 99000, "), want: &read},
		"the path item's class":    {paths: get("") + "    x-asterwell-class: status-read\n", want: &read},
		"the operation says never": {paths: get("x-asterwell-class: status-read, x-asterwell-repeat: never, "),
			want: with(func(o *Operation) { o.Class += nonRetryableSuffix })},
		"safe, but the route says never": {paths: get("x-asterwell-class: status-read, x-asterwell-repeat: safe, "),
			routes: never, want: with(func(o *Operation) { o.Class += nonRetryableSuffix }), notes: 1},
		"the route is for another method": {paths: get("x-asterwell-class: status-read, x-asterwell-repeat: safe, "),
			routes: []Route{{Path: "/n/{id}", Methods: []string{"PUT"}, Repeat: Never}}, want: &read},
		"never, and a route that says safe": {paths: get("x-asterwell-class: status-read, x-asterwell-repeat: never, "),
			routes: []Route{{Path: "/n/{id}", Repeat: Safe}}, want: with(func(o *Operation) { o.Class += nonRetryableSuffix }), notes: 1},
		"safe, but the class is fragile": {paths: get("x-asterwell-class: submit-nom, x-asterwell-repeat: safe, "),
			want: with(func(o *Operation) { o.Class = "submit-nom" }), notes: 1},
		"no class":         {paths: get(""), err: "paths./n/{id}.get: x-asterwell-class is missing"},
		"unknown class":    {paths: get("x-asterwell-class: odd, "), err: `unknown class "odd"`},
		"a twin by name":   {paths: get("x-asterwell-class: status-read!once, "), err: "unknown class"},
		"too many units":   {paths: get("x-asterwell-class: status-read, x-asterwell-units: 9, "), err: "x-asterwell-units"},
		"units not number": {paths: get("x-asterwell-class: status-read, x-asterwell-units: many, "), err: "x-asterwell-units"},
		"odd repeat":       {paths: get("x-asterwell-class: status-read, x-asterwell-repeat: perhaps, "), err: "x-asterwell-repeat: must be"},
		"not valid":        {paths: "  /n: {get: {}}\n", err: "responses"},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := Parse(describe(c.paths), Rules{Classes: classes, MaxUnits: 3, Routes: c.routes})
			if c.err != "" {
				if err == nil || !strings.Contains(err.Error(), c.err) {
					t.Errorf("error %v, want %q", err, c.err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			got, err := d.Find("GET", "/v1/n/a%2Fb?x=1")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" || len(d.Notes) != c.notes {
				t.Error(diff, d.Notes)
			}
		})
	}
	for _, text := range []string{"", "{", "openapi: 3.0.3\n"} {
		if _, err := Parse([]byte(text), Rules{Classes: classes}); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

func TestUnmarkedWritesAreNotRepeated(t *testing.T) {
	d, err := Parse(describe("  /n:\n    x-asterwell-class: status-read\n    get: {"+operation+"}\n    post: {"+operation+"}\n"),
		Rules{Classes: classes})
	if err != nil {
		t.Fatal(err)
	}
	for method, want := range map[string]string{"GET": "status-read", "POST": "status-read" + nonRetryableSuffix} {
		if o, err := d.Find(method, "/v1/n"); err != nil || o.Class != want {
			t.Errorf("%s: %v, %v, want %s", method, o, err, want)
		}
	}
}

func TestAddNonRetryableVariants(t *testing.T) {
	want := append(append([]choice.Class(nil), classes...), classes[0])
	want[2].Name, want[2].Effect = "status-read"+nonRetryableSuffix, choice.NonRetryable
	if d := cmp.Diff(want, AddNonRetryableVariants(classes)); d != "" {
		t.Error(d)
	}
}
