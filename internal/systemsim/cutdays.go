package systemsim

import (
	"embed"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"strings"
)

//go:embed testdata/control-*.txt
var controlScripts embed.FS

// ControlScripts are the scenarios of long cuts, by their names.
func ControlScripts() map[string]string {
	all := map[string]string{}
	names, _ := fs.Glob(controlScripts, "testdata/*.txt") // the pattern is well formed
	for _, name := range names {
		if text, err := controlScripts.ReadFile(name); err == nil {
			all[strings.TrimSuffix(strings.TrimPrefix(name, "testdata/control-"), ".txt")] = string(text)
		}
	}
	return all
}

// DrawCut writes the script of a day of cuts of some twenty seconds each: of every kind, with
// orders at the machines that are cut off, and with other troubles inside and across them.
func DrawCut(seed uint64) string {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 0xc07)), core: 3, edges: 3 + int(seed%4), servers: 1}
	d.say("start %d zones 3 core %d", d.core+d.edges, d.core)
	n := 8 + d.rng.IntN(4)
	d.say("servers pay %d", n)
	d.servers += n
	d.say("tenant t1 40 40 30")
	d.say("run %s", d.time(0.5, 1.5))
	d.put()
	d.wait(5, 6)
	for range 2 + d.rng.IntN(2) {
		d.cutOff()
		d.wait(9, 10)
	}
	return strings.Join(d.lines, "\n") + "\n"
}

// cutOff is one cut and what happens while it lasts.
func (d *drawer) cutOff() {
	x := d.of(d.edge(), d.member(), d.member())
	long := d.time(17, 23)
	words := []string{
		"cut %s rest for %s",
		"cut %s rest oneway for %s",
		"cut core,edges %s oneway for %s",
		"cut %s core for %s",
		"cut %s leader for %s",
		"cut %s backup oneway for %s",
		"cut %s,edge1 rest for %s",
		"hold %s rest for %s",
		"hold %s rest oneway for %s",
		"hold %s core for %s",
		"hold core,edges %s oneway for %s",
		"cut leader backup for %[2]s ; poll %[1]s 200ms for 3s",
		"cut leader,edge1 core,edges for %[2]s ; poll %[1]s 200ms for 3s",
	}
	at := x // the same machine, whoever leads by then
	d.say(words[d.rng.IntN(len(words))]+" ; poll %[1]s,core 250ms for 26s", at, long)
	for range 2 + d.rng.IntN(4) {
		d.wait(0, 1.5)
		d.order(x)
	}
	switch d.rng.IntN(8) {
	case 0:
		d.say("kill %s for %s", x, d.time(0.3, 2))
	case 1:
		d.say("freeze %s for %s", x, d.time(0.5, 12))
	case 2:
		d.say("step %s %ds", x, 2400*(1-2*d.rng.IntN(2)))
		d.say("kill %s for 1s", x)
	case 3: // another, that begins in the first and outlasts it
		d.wait(4, 9)
		d.say("cut %s rest for %s", d.edge(), long)
	case 4:
		d.say("step all %ds", 30*(1-2*d.rng.IntN(2)))
	case 5:
		if strings.HasPrefix(x, "core") {
			d.say("raise %s %d", x, 1+d.rng.IntN(9))
		}
	}
	d.version++
	d.say("puts %d 24 800ms", d.version)
	d.version += 23
	d.wait(6, 12)
	d.order(x)
	d.wait(12, 13)
}

// order is a call on a machine that may be cut off.
func (d *drawer) order(at string) {
	switch d.rng.IntN(5) {
	case 0:
		d.put()
		d.lines[len(d.lines)-1] += " at " + at
	case 1:
		d.away++ // versions of fault rules
		d.say("rules %d at %s", d.away, at)
	case 2:
		d.say("norules at %s", d.of(at, "edge1"))
	default:
		d.lines = append(d.lines, fmt.Sprintf("leave s%d at %s", d.server(), at))
	}
}
