package sysconfig

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Checks that Diff reports a change of any field of a configuration and shows no tenant's
// key. It guards against a new field that Diff leaves out.
func TestDiffReportsEveryField(t *testing.T) {
	body, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	base, err := Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	if d := Diff(base, base); len(d) != 0 {
		t.Fatalf("differs from itself: %+v", d)
	}
	const secret = "a-new-key-0123456789"
	tried := 0
	var walk func(path string, v reflect.Value, unchanged func() bool)
	walk = func(path string, v reflect.Value, unchanged func() bool) {
		original := reflect.New(v.Type()).Elem()
		original.Set(v)
		switch v.Kind() {
		case reflect.Struct:
			for i := range v.NumField() {
				if f := v.Type().Field(i); f.IsExported() && f.Name != "Epoch" {
					walk(path+"."+f.Name, v.Field(i), unchanged)
				}
			}
			return
		case reflect.Slice:
			if v.Len() > 0 {
				walk(path+"[0]", v.Index(0), unchanged)
			}
			return
		case reflect.Pointer:
			if !v.IsNil() {
				walk(path, v.Elem(), unchanged)
			}
			return
		case reflect.String:
			v.SetString(secret)
		case reflect.Float64:
			v.SetFloat(v.Float() + 1)
		case reflect.Int, reflect.Int64:
			v.SetInt(v.Int() + 1e6)
		case reflect.Bool:
			v.SetBool(!v.Bool())
		}
		if tried++; unchanged() {
			t.Errorf("%s: change not reported", path)
		}
		v.Set(original)
	}
	changed, err := Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	changed.Rollout = &Rollout{Together: true}
	base.Rollout = &Rollout{Together: true}
	walk("", reflect.ValueOf(changed).Elem(), func() bool {
		d := Diff(base, changed)
		for _, c := range d {
			for _, f := range c.Figures {
				if strings.HasPrefix(f.Key, "Credentials") && (strings.Contains(f.New, secret[:8]) || len(f.Old) == 0 && len(f.New) == 0) {
					t.Errorf("%s: %+v", c.Name, f)
				}
			}
		}
		return len(d) == 0
	})
	if tried < 20 {
		t.Errorf("only %d fields tried, want 20 or more", tried)
	}
}
