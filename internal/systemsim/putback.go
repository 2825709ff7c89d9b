package systemsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// DrawState draws a day of changes, in storms and singly, in which machines of the core go one at a time: killed, wiped or
// with their disk put back behind what they took, for a moment or for hundreds of changes.
func DrawState(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 0x57a7e))
	var b strings.Builder
	line := func(form string, args ...any) { fmt.Fprintf(&b, form+"\n", args...) }
	core := 3 + 3*r.IntN(2)
	line("start %d zones 3 core %d", core+2+r.IntN(4), core)
	line("servers pay 3\ntenant t1 60 60 20\nrun 1s\nput 1\nrun 4s")
	version := 2
	who := func() string {
		if r.IntN(3) == 0 {
			return "leader"
		}
		return fmt.Sprintf("core%d", 1+r.IntN(core))
	}
	for range 3 {
		line("copy all\nrun %dms", 100+r.IntN(2000))
		if r.IntN(2) == 0 {
			line("slow core %d for 12s", 1+r.IntN(3))
		}
		n, every := 1+r.IntN(60), 100
		if r.IntN(5) == 0 {
			n = 300
		}
		line("puts %d %d %dms", version, n, every)
		version += n
		line("run %dms", r.IntN(n*every+500))
		how := []string{"putback", "putback", "kill", "wipe"}[r.IntN(4)]
		line("%s %s for %dms", how, who(), 100+r.IntN(3000))
		line("run %dms", n*every+9000)
		line("expect acked %d within 2s\nexpect everywhere %d within 2s", version-1, version-1)
	}
	return b.String()
}
