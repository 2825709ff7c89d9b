package hostenv

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// Functions that the gateway's packages may call only through a Host.
var forbidden = map[string]string{
	"time": "Now After Sleep Since Until NewTimer NewTicker AfterFunc Tick",
	"net":  "Dial DialTimeout DialTCP DialUDP Listen ListenTCP ListenUDP ListenPacket",
	"rand": "Int IntN Int64 Int64N Uint32 Uint64 Float64 ExpFloat64 NormFloat64 Perm Shuffle N",
}

// Exceptions, each with its reason.
var allowed = map[string]string{
	"../transport/client_conn.go time.Until": "translates the HTTP library's deadlines, which use the system clock",
	"../program/program.go select":           "Main receives operating system signals, outside of any Host",
}

// The simulator runs the gateway's own code on a virtual host, so nothing may bypass
// it: clocks, goroutines, connections, channels and random numbers come from a Host.
func TestGatewayUsesOnlyHost(t *testing.T) {
	for _, dir := range []string{"../mailbox", "../dns", "../serverset", "../policy", "../cluster", "../routing", "../protocol", "../protocol/openapi",
		"../transport", "../program", "../../choice"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal("no files in", dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			f, err := parser.ParseFile(set, file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			wrong := func(n ast.Node, what string) {
				if allowed[file+" "+what] == "" {
					t.Errorf("%v: %s", set.Position(n.Pos()), what)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					wrong(n, "go")
				case *ast.SelectStmt:
					wrong(n, "select")
				case *ast.UnaryExpr:
					if n.Op == token.ARROW {
						if _, ok := n.X.(*ast.Ident); !ok || file != "../program/program.go" {
							wrong(n, "receive")
						}
					}
				case *ast.SelectorExpr:
					x, ok := n.X.(*ast.Ident)
					if !ok {
						return true
					}
					for _, name := range strings.Fields(forbidden[x.Name]) {
						if n.Sel.Name == name {
							wrong(n, x.Name+"."+name)
						}
					}
				}
				return true
			})
		}
	}
}
