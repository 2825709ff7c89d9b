package systemsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/drainpermit"
	"asterwell/internal/faultrules"
	"asterwell/internal/quotas"
)

// verb is a command of scripts.
type verb struct {
	form string // for people; the first word is the name
	do   func(w *world, a *args) error
}

var verbs []verb

func init() { // they refer to one another
	verbs = append(kinds(), []verb{
		{"start N zones Z core C [losses L] [sync TIME]", (*world).start},
		{"servers SERVICE N", (*world).doServers},
		{"tenant NAME RATE BURST OFFERED", (*world).doTenant},
		{"run TIME", func(w *world, a *args) error { w.run(a.time()); return a.err }},
		{"put VERSION [at P]", (*world).doPut},
		{"puts VERSION COUNT EVERY", (*world).doPuts},
		{"race VERSION VERSION", (*world).doRace},
		{"operators N EVERY LOST for TIME", (*world).doOperators},
		{"repeat VERSION", (*world).doRepeat},
		{"bad VERSION", func(w *world, a *args) error { w.bad(a.version()); return a.err }},
		{"quota TENANT RATE BURST", (*world).doQuota},
		{"onack COMMAND", func(w *world, a *args) error { w.hook = strings.Join(a.words, " "); a.words = nil; return nil }},
		{"kill P [for TIME]", func(w *world, a *args) error { return w.down(a, false) }},
		{"wipe P [for TIME]", func(w *world, a *args) error { return w.down(a, true) }},
		{"copy P", func(w *world, a *args) error {
			return w.each(a, "", func(p *proc) {
				if p.disk != nil {
					p.disk.save()
				}
			}, nil)
		}},
		{"putback P [for TIME]", (*world).doPutBack},
		{"up P", func(w *world, a *args) error { return w.each(a, "", func(p *proc) { p.boot(); w.hit(p) }, nil) }},
		{"freeze P for TIME", (*world).doFreeze},
		{"cut P Q [oneway] [for TIME]", (*world).doCut},
		{"hold P Q [oneway] for TIME", (*world).doHold},
		{"raise P N", (*world).doRaise},
		{"rules VERSION [at P]", (*world).doRules},
		{"norules [of VERSION] [at P]", func(w *world, a *args) error { return w.doStopRules(a) }},
		{"drain P", func(w *world, a *args) error {
			return w.each(a, "", func(p *proc) { w.drain(p, drainpermit.Start) }, nil)
		}},
		{"undrain P", func(w *world, a *args) error {
			return w.each(a, "", func(p *proc) { w.drain(p, drainpermit.Stop) }, nil)
		}},
		{"readrules P", func(w *world, a *args) error {
			return w.each(a, "", func(p *proc) { w.rule(faultrules.OpGet, 0, p, 1) }, nil)
		}},
		{"prove P", func(w *world, a *args) error { return w.each(a, "", w.prove, nil) }},
		{"poll P EVERY for TIME", (*world).doPoll},
		{"dark P [for TIME]", func(w *world, a *args) error {
			c := &cut{since: w.now}
			return w.each(a, "is dark", func(p *proc) { w.darken(c, p) }, func(p *proc) { w.lighten(c, p) })
		}},
		{"lossy P PART [for TIME]", (*world).doLossy},
		{"slow P TIMES [for TIME]", (*world).doSlow},
		{"busy P SYNC STALLS [shared] [for TIME]", (*world).doBusy},
		{"step P TIME", (*world).doStep},
		{"term P [for TIME]", (*world).doTerm},
		{"replace P [planned [first TIME]]", (*world).doReplace},
		{"seeds P", (*world).doSeeds},
		{"leave S... [at P]", (*world).doLeave},
		{"crash S...", func(w *world, a *args) error { return w.servant(a, (*server).end) }},
		{"reuse S SERVICE", (*world).doReuse},
		{"release SERVICE GAP", (*world).doRelease},
		{"hot TENANT TIMES for TIME", (*world).doHot},
		{"read P", func(w *world, a *args) error { return w.each(a, "", w.read, nil) }},
		{"expect acked V | everywhere V | leader | ended P | listed N | unlisted S | changes N | ready | leads P | same | ruled V | unruled, [within TIME]", (*world).doExpect},
	}...)
}

// command carries out a line; several are parted by semicolons.
func (w *world) command(line string) error {
	line, _, _ = strings.Cut(line, "#")
	if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "onack "); ok {
		w.hook = rest
		return nil
	}
	for _, part := range strings.Split(line, ";") {
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		i := slices.IndexFunc(verbs, func(v verb) bool { return strings.HasPrefix(v.form, words[0]+" ") })
		if i < 0 {
			return fmt.Errorf("unknown command %q", words[0])
		}
		w.note("> %s", strings.Join(words, " "))
		a := &args{words: words[1:]}
		var err error
		w.change(func() { err = verbs[i].do(w, a) })
		if err == nil && a.err == nil && len(a.words) > 0 {
			a.fail("too much: %v", a.words)
		}
		if err = firstOf(err, a.err); err != nil {
			return fmt.Errorf("%s: %w", verbs[i].form, err)
		}
	}
	return nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// must carries out a command in the midst of a day.
func (w *world) must(line string) {
	if err := w.command(line); err != nil {
		w.breaks("SCRIPT", "%v", err)
	}
}

// who finds processes: names, or words for some, parted by commas.
func (w *world) who(a *args) []*proc {
	var all []*proc
	for _, name := range strings.Split(a.next(), ",") {
		switch name {
		case "all", "core", "edges":
			for _, p := range w.procs {
				if !p.gone && (name == "all" || p.core == (name == "core")) {
					all = append(all, p)
				}
			}
		case "leader":
			if p := w.leader(); p != nil {
				all = append(all, p)
			}
		case "backup", "witness":
			if p := w.does(name); p != nil {
				all = append(all, p)
			}
		case "acker":
			if w.acker != nil && !w.acker.gone {
				all = append(all, w.acker)
			}
		default:
			if p := w.byName[name]; p == nil {
				a.fail("no process %q", name)
			} else if !p.gone {
				all = append(all, p)
			}
		}
	}
	return all
}

// does finds a core machine by what it does in the leader's epoch.
func (w *world) does(duty string) *proc {
	lead := w.leader()
	if lead == nil {
		return nil
	}
	s := lead.k.ConsensusStatus()
	for _, addr := range s.Members {
		if p := w.byAddr[addr]; addr != lead.addr && p != nil && slices.Contains(s.Writers, addr) == (duty == "backup") {
			return p
		}
	}
	return nil
}

// each does something to processes, and undoes it after the time that is said.
func (w *world) each(a *args, what string, do, undo func(*proc)) error {
	d, all := a.span(), w.who(a)
	if a.err != nil {
		return a.err
	}
	w.takeLead(all)
	for _, p := range all {
		if what != "" {
			w.note("%s %s", p.name, what)
		}
		do(p)
	}
	if d > 0 {
		w.after(d, func() {
			w.change(func() {
				for _, p := range all {
					if !p.gone {
						undo(p)
						w.hit(p)
					}
				}
			})
		})
	}
	return nil
}

// takeLead begins to measure a takeover, where the primary goes and most stay.
func (w *world) takeLead(gone []*proc) {
	lead := w.leader()
	if lead == nil || !slices.Contains(gone, lead) {
		return
	}
	stay, core := 0, w.core()
	for _, p := range core {
		if p.up && !p.frozen() && !slices.Contains(gone, p) {
			stay++
		}
	}
	if 2*stay > len(core) {
		w.rules.lostLead, w.rules.lostEpoch = w.now, lead.k.ConsensusStatus().Epoch
	}
}

// start makes the machines and starts them all. The first of them have a disk.
func (w *world) start(a *args) error {
	n := int(a.number())
	zones, _ := a.after("zones")
	core, _ := a.after("core")
	z, c := &args{words: []string{zones}}, &args{words: []string{core}}
	nz, nc := int(z.number()), int(c.number())
	if s, ok := a.after("sync"); ok {
		w.pace = a.parse(s)
	}
	lost, stated := a.after("losses")
	if err := firstOf(a.err, z.err, c.err); err != nil {
		return err
	}
	if nz < 1 || nc < 1 || nc > n {
		return fmt.Errorf("%d zones, %d of %d with a disk", nz, nc, n)
	}
	w.losses = (nc - 1) / 2
	if l := (&args{words: []string{lost}}); stated {
		if w.losses = int(l.number()); l.err != nil || w.losses < 0 || 2*w.losses >= nc {
			return fmt.Errorf("%s of %d can't be lost", lost, nc)
		}
	}
	for i := range n {
		name := fmt.Sprintf("edge%d", i-nc+1)
		if i < nc {
			name = fmt.Sprintf("core%d", i+1)
		}
		p := w.add(name, string(rune('a'+i%nz)), i < nc, true)
		if i < nc {
			w.seeds = append(w.seeds, p.addr)
		}
	}
	for _, p := range w.procs {
		w.after(w.upTo(300*ms), func() { p.boot(); w.hit(p) })
	}
	w.lists = []lagged{{0, slices.Clone(w.procs)}}
	w.every(look, w.check)
	return nil
}

func (w *world) doTenant(a *args) error {
	t := &tenant{name: a.next(), limit: quotas.Limit{Rate: a.number(), Burst: a.number()}, offer: a.number(), hot: 1}
	if a.err == nil && t.offer <= 0 {
		a.fail("it must offer something")
	}
	if a.err == nil {
		w.tenants = append(w.tenants, t)
		w.offers(t)
	}
	return a.err
}

func (w *world) doPut(a *args) error {
	at := w.at(a)
	v := a.version()
	if a.err == nil {
		w.send(w.write(v), at, 100*ms)
	}
	return a.err
}

func (w *world) doRace(a *args) error {
	for range 2 {
		w.send(w.write(a.version()), nil, 100*ms)
	}
	return a.err
}

func (w *world) doRepeat(a *args) error {
	o := w.orders[a.version()]
	if o == nil {
		return fmt.Errorf("nothing to repeat")
	}
	w.send(o, nil, 100*ms)
	return a.err
}

func (w *world) tenant(a *args) *tenant {
	name := a.next()
	for _, t := range w.tenants {
		if t.name == name {
			return t
		}
	}
	a.fail("no tenant %q", name)
	return &tenant{}
}

func (w *world) doQuota(a *args) error {
	w.tenant(a).limit = quotas.Limit{Rate: a.number(), Burst: a.number()}
	return a.err
}

func (w *world) doHot(a *args) error {
	d, t, x := a.span(), w.tenant(a), a.number()
	if a.err == nil {
		t.hot = x
		w.after(d, func() { t.hot, t.cools = 1, w.now })
	}
	return a.err
}

// doPoll asks processes again and again for all that they may promise: the configuration, the
// fault rules, and contact.
func (w *world) doPoll(a *args) error {
	d, all, gap := a.span(), w.who(a), a.time()
	if a.err != nil || gap <= 0 {
		return firstOf(a.err, fmt.Errorf("how often?"))
	}
	for at := time.Duration(0); at < d; at += gap {
		w.after(at, func() {
			for _, p := range all {
				w.read(p)
				w.rule(faultrules.OpGet, 0, p, 1)
				w.prove(p)
			}
		})
	}
	return nil
}

func (w *world) doRaise(a *args) error {
	all, n := w.who(a), a.number()
	if a.err != nil {
		return a.err
	}
	w.led = w.leader()
	for _, p := range all {
		if !p.core {
			return fmt.Errorf("%s has no disk", p.name)
		}
		w.raise(p, uint64(n))
		w.hit(p)
	}
	return nil
}

func (w *world) doRules(a *args) error {
	at, named := a.after("at")
	v := a.version()
	if w.ruling.sent[v] = true; named {
		a.words = append(a.words, "at", at)
	}
	return w.doRule(a, faultrules.OpPut, v)
}

func (w *world) doStopRules(a *args) error {
	v := uint32(0)
	if of, ok := a.after("of"); ok {
		v = (&args{words: []string{of}}).version()
	}
	return w.doRule(a, faultrules.OpStop, v)
}

func (w *world) doRule(a *args, op faultrules.Op, version uint32) error {
	at := w.at(a)
	if a.err != nil {
		return a.err
	}
	if at == nil {
		all := w.listed()
		at = all[w.rng.IntN(len(all))]
	}
	w.rule(op, version, at, 30)
	return nil
}

// at is the process that a call first goes to, if one is named.
func (w *world) at(a *args) *proc {
	if name, ok := a.after("at"); ok {
		if all := w.who(&args{words: []string{name}}); len(all) > 0 {
			return all[0]
		}
	}
	return nil
}

func (w *world) doLeave(a *args) error {
	at := w.at(a)
	return w.servant(a, func(s *server) {
		if at != nil {
			s.target = at
		}
		s.leave()
	})
}

func (w *world) doPuts(a *args) error {
	first, n, every := a.version(), a.number(), a.time()
	for i := range int(n) {
		w.after(time.Duration(i)*every, func() { w.send(w.write(first+uint32(i)), nil, 100*ms) })
	}
	return a.err
}

// doTerm: a process that is told to end answers what it has, and ends.
func (w *world) doTerm(a *args) error {
	d, all := a.span(), w.who(a)
	if a.err != nil {
		return a.err
	}
	for _, p := range all {
		w.term(p, func() {
			if d > 0 {
				w.after(d, func() { w.change(func() { p.boot(); w.hit(p) }) })
			}
		})
	}
	return nil
}

func (w *world) term(p *proc, then func()) {
	if !p.up || p.leaving {
		return
	}
	life := p.life
	w.note("%s is told to end", p.name)
	p.leaving = true
	w.hit(p)
	w.relist()
	told := w.now
	if p.core {
		w.watchHandover(p, life)
	}
	p.input(func() controlplane.Output { return p.k.Leave(p.clock()) })
	var ends func()
	ends = func() {
		switch {
		case p.life != life || !p.up:
		case p.frozen():
			w.after(p.thaws-w.now, ends)
		case !p.k.CanExit() && w.now-told < grace-lastWord:
			w.after(tick, ends)
		default:
			if p.core {
				w.stats.Ends.add(w.now - told)
			}
			w.change(func() { p.end(); w.hit(p) })
			then()
		}
	}
	depart := func(n consensus.LeaveUrgency) {
		if p.life == life && p.up {
			p.input(func() controlplane.Output { return p.k.AnnounceExit(p.clock(), n) })
		}
	}
	w.after(grace-departs, func() { depart(consensus.LeaveForced) })
	w.after(2500*ms+w.upTo(grace-2800*ms), func() { // nothing is open any more
		depart(consensus.LeaveWhenSafe)
		ends()
	})
}

func (w *world) doExpect(a *args) error {
	within := time.Duration(0)
	if s, ok := a.after("within"); ok {
		within = a.parse(s)
	}
	var holds func() bool
	all := func(ok func(p *proc) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(w.procs, func(p *proc) bool { return p.up && !p.leaving && !p.frozen() && !ok(p) })
		}
	}
	what := strings.Join(a.words, " ")
	switch kind := a.next(); kind {
	case "acked":
		v := a.version()
		holds = func() bool { o := w.orders[v]; return o != nil && o.acked }
	case "everywhere":
		v := a.version()
		holds = all(func(p *proc) bool { return p.version >= v })
	case "leader":
		holds = func() bool { p := w.leader(); return p != nil && !p.frozen() && w.rules.lostLead == 0 }
	case "ended":
		p := w.byName[a.next()]
		holds = func() bool { return p == nil || !p.up }
	case "changes": // of epoch, at the most, so far
		n := int(a.number())
		holds = func() bool { return w.stats.Epochs <= n }
	case "same": // machine leads as at the last raise
		holds = func() bool { return w.leader() == w.led }
	case "leads":
		name := a.next()
		holds = func() bool { p := w.leader(); return p != nil && p.name == name }
	case "ruled": // the set held; unruled: none, or one that is stopped
		v := a.version()
		holds = all(func(p *proc) bool { _, held, stopped := p.k.HeldFaultRules(); return held == v && !stopped })
	case "unruled":
		holds = all(func(p *proc) bool { _, held, stopped := p.k.HeldFaultRules(); return held == 0 || stopped })
	case "ready":
		holds = all(func(p *proc) bool { return p.k.Ready() })
	case "listed":
		n := int(a.number())
		holds = all(func(p *proc) bool { return len(p.serves) == n })
	case "unlisted":
		id := a.next()
		holds = all(func(p *proc) bool { return !p.uses(id) })
	default:
		a.fail("unknown: %q", kind)
	}
	if a.err != nil {
		return a.err
	}
	for end := w.now + within; w.stats.Broken == ""; w.run(10 * ms) {
		if holds() {
			return nil
		}
		if w.now >= end {
			w.breaks("EXPECT", "%s, within %v", what, within)
		}
	}
	return nil
}
