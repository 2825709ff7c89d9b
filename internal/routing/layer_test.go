package routing

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// imports returns the imports of a package without its tests.
func imports(t *testing.T, dir string) (paths []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatal("no files in", dir, err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			path, _ := strconv.Unquote(i.Path.Value)
			paths = append(paths, path)
		}
	}
	return paths
}

// Each package may import only lower layers. A path that ends with a star is a prefix,
// "own" stands for all packages of this module, and "!" makes an exception.
func TestLayers(t *testing.T) {
	for dir, bad := range map[string][]string{
		"../routing":      {"net*", "encoding/*", "github.com/*", "own", "!asterwell/internal/mailbox", "!asterwell/internal/hostenv", "!asterwell/choice"},
		"../../choice":    {"net*", "os*", "log*", "encoding/*", "github.com/*", "own", "!asterwell/internal/aperture", "!asterwell/internal/ratecap", "!asterwell/internal/health", "!asterwell/internal/concurrency", "!asterwell/internal/stride", "!asterwell/internal/policy"},
		"../aperture":     {"net*", "os*", "log*", "io*", "time", "encoding/*", "github.com/*", "own"},
		"../backoff":      {"net*", "os*", "log*", "io*", "encoding/*", "github.com/*", "own"},
		"../invariants":   {"net*", "os*", "log*", "io*", "encoding/*", "own"},
		"../ratecap":      {"net*", "os*", "log*", "io*", "encoding/*", "github.com/*", "own"},
		"../concurrency":  {"net*", "os*", "log*", "io*", "encoding/*", "github.com/*", "own"},
		"../policy":       {"net*", "os*", "log*", "io*", "github.com/*", "go.etcd.io/*", "own"},
		"../mesh":         {"net/http", "encoding/*", "github.com/*", "own", "!asterwell/internal/mailbox", "!asterwell/internal/hostenv"},
		"../cluster":      {"net/http", "github.com/valyala/*", "own", "!asterwell/internal/mailbox", "!asterwell/internal/mesh", "!asterwell/internal/hostenv", "!asterwell/internal/policy", "!asterwell/internal/settings"},
		"../clustercli":   {"net*", "github.com/valyala/*", "asterwell/internal/standin*", "asterwell/internal/bench", "testing"},
		"../fsm":          {"net*", "os*", "log*", "io*", "encoding/*", "github.com/*", "own"},
		"../memberlist":   {"net*", "os*", "log*", "io*", "encoding/json", "github.com/valyala/*", "own", "!asterwell/internal/fsm"},
		"../registry":     {"net*", "os*", "log*", "io*", "encoding/json", "github.com/valyala/*", "own", "!asterwell/internal/fsm", "!asterwell/internal/memberlist"},
		"../delta":        {"net*", "os*", "log*", "encoding/json", "own"},
		"../dedup":        {"net*", "os*", "log*", "io*", "encoding/json", "own"},
		"../consensus":    {"net*", "os*", "log*", "io*", "encoding/json", "github.com/valyala/*", "own", "!asterwell/internal/fsm", "!asterwell/internal/delta", "!asterwell/internal/dedup"},
		"../quotas":       {"net*", "os*", "log*", "io*", "encoding/json", "github.com/valyala/*", "own", "!asterwell/internal/fsm"},
		"../controlplane": {"net*", "os*", "log*", "github.com/valyala/*", "asterwell/internal/daemon", "asterwell/internal/dataplane", "asterwell/internal/storage", "asterwell/internal/mesh", "asterwell/internal/hostenv"},
		"../sysconfig":    {"net", "net/http", "log*", "cuelang.org/*", "own"},
		"../storage":      {"net", "net/http", "own"},
		"../adminapi":     {"net*", "os*", "log*", "io*", "encoding/*", "github.com/*", "own"},
		"../adminclient":  {"github.com/valyala/*", "github.com/mattn/*", "cuelang.org/*", "asterwell/internal/daemon", "asterwell/internal/storage", "asterwell/internal/controlplane"},
		"../logring":      {"net*", "own"},
		"../dataplane":    {"asterwell/internal/daemon", "asterwell/internal/controlplane", "asterwell/internal/consensus", "asterwell/internal/registry", "asterwell/internal/memberlist", "asterwell/internal/quotas", "asterwell/internal/storage"},
		"../daemon":       {"asterwell/internal/standin*", "asterwell/internal/bench", "asterwell/internal/systemsim", "cuelang.org/*", "testing"},
		"../stride":       {"net*", "os*", "log*", "io*", "time", "encoding/*", "github.com/*", "own"},
		"../health":       {"net*", "os*", "log*", "io*", "encoding/*", "github.com/*", "own"},
		"../serverset":    {"net*", "os*", "log*", "io*", "encoding/*", "own", "!asterwell/choice"},
		"../dns":          {"encoding/json", "net/http", "own", "!asterwell/internal/mailbox", "!asterwell/internal/hostenv"},
		"../responsehead": {"net*", "os*", "log*", "io*", "encoding/*", "github.com/*", "own"},
		"../transport":    {"own", "!asterwell/internal/mailbox", "!asterwell/internal/hostenv", "!asterwell/internal/responsehead"},
		"../protocol":     {"asterwell/internal/program", "asterwell/internal/standin*", "asterwell/internal/bench", "asterwell/internal/dns"},
		"../program":      {"asterwell/internal/standin*", "asterwell/internal/bench", "github.com/spf13/*", "testing"},
		"../bench":        {"asterwell/internal/program", "testing"},
	} {
		for _, path := range imports(t, dir) {
			broken := false
			for _, b := range bad {
				prefix, star := strings.CutSuffix(b, "*")
				switch {
				case b == "own":
					broken = broken || strings.HasPrefix(path, "asterwell/")
				case b[0] == '!' && path == b[1:]:
					broken = false
				case path == b || star && strings.HasPrefix(path, prefix):
					broken = true
				}
			}
			if broken {
				t.Errorf("%s imports %s", dir, path)
			}
		}
	}
}
