package bench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/adminclient"
)

// play is what befalls the processes, in order; it ends early where the time is over.
func (t *trial) play() {
	for _, part := range []struct {
		name string
		do   func()
	}{
		{"all there: one after the other, two at once, a rollback", t.quiet},
		{"too few: withdrawn after its time, and by the operator", t.tooFew},
		{"a third down at the moment of the change", t.thirds},
		{"the primary killed during the change", t.leaderless},
		{"processes stand still while versions follow each other", t.frozen},
		{"all killed during a rollback", t.restart},
	} {
		t.o.Progress(part.name)
		part.do()
		if t.ctx.Err() != nil {
			t.r.Rule(false, "the time was over before the end of: %s", part.name)
			return
		}
	}
	t.back()
	t.await(t.put(rules{pay: "a", key: true}), 10*time.Second)
	time.Sleep(watchEvery * 5) // until all have told how they see it
}

// put sends a version, and returns at once.
func (t *trial) put(r rules) uint32 {
	t.top++
	v := t.top
	t.l.mu.Lock()
	t.l.rules[v], t.l.puts[v] = r, t.l.now()
	t.l.mu.Unlock()
	var at []string
	for _, n := range t.f.nodes[:3] {
		if !t.isDown(n) {
			at = append(at, n.control())
		}
	}
	for _, n := range t.f.nodes[3:] {
		if len(at) == 0 && !t.isDown(n) {
			at = append(at, n.control())
		}
	}
	t.rng.Shuffle(len(at), func(i, j int) { at[i], at[j] = at[j], at[i] })
	t.wg.Go(func() {
		_, err := adminclient.New(at, 10*time.Second).Put(t.ctx, []byte(r.text(v)))
		var over *adminclient.Overtaken
		if err == nil || errors.As(err, &over) {
			for was := t.acks.Load(); was < v && !t.acks.CompareAndSwap(was, v); was = t.acks.Load() {
			}
		}
	})
	return v
}

// await waits until requests go by a version, or it is withdrawn.
func (t *trial) await(v uint32, within time.Duration) (took time.Duration, live bool) {
	for end := t.l.now() + within; t.l.now() < end && t.ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		live, withdrawn := t.l.goes(v)
		if live {
			t.l.mu.Lock()
			defer t.l.mu.Unlock()
			if at, ok := t.l.first[v]; ok {
				return at - t.l.puts[v], true
			}
			return 0, true // overtaken by one that is live
		}
		if withdrawn {
			return 0, false
		}
	}
	if t.ctx.Err() != nil {
		return 0, false
	}
	t.late++
	t.r.Rule(false, "%08x is neither live nor withdrawn after %v", v, within)
	return 0, false
}

const judgeWithin = 8 * time.Second

// rules of the n-th version: payouts move, are split, lose their key.
func (t *trial) vary(n int) rules {
	return rules{pay: []string{"a", "b", "split"}[n%3], key: n%5 != 3, reads: n%4 == 1}
}

func (t *trial) pause(least, most time.Duration) {
	time.Sleep(least + time.Duration(t.rng.Int64N(int64(most-least)+1)))
}

func (t *trial) quiet() {
	for n := range 30 {
		if n == 12 { // as two versions before
			t.l.mu.Lock()
			r := t.l.rules[t.top-1]
			t.l.mu.Unlock()
			t.await(t.put(r), 5*time.Second)
			continue
		}
		if n%4 == 3 {
			t.put(t.vary(n + 1))
			t.pause(0, 15*time.Millisecond)
			t.await(t.put(t.vary(n)), 5*time.Second)
			continue
		}
		if took, live := t.await(t.put(t.vary(n)), 5*time.Second); live && took > 0 {
			t.calm = append(t.calm, took)
		}
		t.pause(20*time.Millisecond, 400*time.Millisecond)
	}
	time.Sleep(watchEvery * 2)
	t.held, t.inTurn, _ = t.l.held()
}

// tooFew asks for all processes, and has one of them down.
func (t *trial) tooFew() {
	x := t.f.nodes[len(t.f.nodes)-1]
	for _, within := range []int{700, 0} {
		t.await(t.put(rules{pay: "b", key: true, confirm: t.o.Processes, within: within}), 5*time.Second)
		t.kill(x)
		v := t.put(rules{pay: "split", key: true})
		if within == 0 {
			time.Sleep(400 * time.Millisecond)
			t.withdraw(v)
		}
		_, live := t.await(v, 5*time.Second)
		t.r.Rule(!live, "%08x is live, and %s could not confirm it", v, x.name)
		t.boot(x)
		t.await(t.put(rules{pay: "a", key: true}), 5*time.Second)
		t.withdraw(v) // the same wish again, with a higher version live
	}
}

func (t *trial) withdraw(v uint32) {
	c := adminclient.New([]string{t.f.nodes[t.rng.IntN(3)].control()}, 3*time.Second)
	_, _, err := c.Withdraw(t.ctx, fmt.Sprintf("%08x", v))
	t.r.Rule(err == nil, "withdraw: %v", err)
}

// thirds takes a third away just before the change: one of the core, the others not; one
// of them stands still instead.
func (t *trial) thirds() {
	for n := range 8 {
		gone := []*faultNode{t.backup()}
		edges := slices.Clone(t.f.nodes[3:])
		t.rng.Shuffle(len(edges), func(i, j int) { edges[i], edges[j] = edges[j], edges[i] })
		gone = append(gone, edges[:t.o.Processes/3-1]...)
		for i, x := range gone {
			if i == 1 && n%2 == 1 {
				t.l.out(x.name, true)
				x.freeze()
			} else {
				t.kill(x)
			}
		}
		if took, live := t.await(t.put(t.vary(n)), 8*time.Second); live && took > 0 {
			t.third = append(t.third, took)
			t.o.Progress(fmt.Sprintf("  %v without %s", took, strings.Join(lo.Map(gone, func(n *faultNode, _ int) string { return n.name }), " ")))
		}
		t.back()
	}
}

// leaderless kills the primary at a moment of the change.
func (t *trial) leaderless() {
	for n, at := range []time.Duration{2 * time.Millisecond, 12 * time.Millisecond, 25 * time.Millisecond, 5 * time.Millisecond, 40 * time.Millisecond} {
		p := t.primary()
		v := t.put(t.vary(n))
		time.Sleep(at)
		t.kill(p)
		if took, live := t.await(v, 10*time.Second); live && took > 0 {
			t.other = append(t.other, took)
		}
		t.boot(p)
	}
}

// frozen stops processes for longer than a lease while three versions follow each other.
func (t *trial) frozen() {
	for n := range 3 {
		x := t.f.nodes[t.rng.IntN(len(t.f.nodes))]
		t.l.out(x.name, true)
		x.freeze()
		for i := range 3 {
			t.put(t.vary(3*n + i))
			t.pause(0, 150*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		x.thaw()
		t.l.out(x.name, false)
		t.await(t.top, 8*time.Second)
		t.back()
	}
}

// restart kills all in the middle of a rollback.
func (t *trial) restart() {
	t.l.mu.Lock()
	r := t.l.rules[t.top-2]
	t.l.mu.Unlock()
	v := t.put(r)
	time.Sleep(8 * time.Millisecond)
	for _, n := range t.f.nodes {
		t.kill(n)
	}
	t.back()
	if t.acks.Load() >= v {
		t.await(v, 10*time.Second)
	}
}

func (t *trial) isDown(n *faultNode) bool {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	all := t.l.down[n.name]
	return len(all) > 0 && all[len(all)-1].to == 0
}

func (t *trial) kill(n *faultNode) {
	t.l.out(n.name, true)
	n.kill()
}

// boot starts a killed process, and waits until it serves.
func (t *trial) boot(n *faultNode) {
	if err := t.f.start(n); err != nil {
		t.r.Rule(false, "%s does not start: %v", n.name, err)
		return
	}
	t.mustServe(n)
	t.l.out(n.name, false)
}

const backWithin = 12 * time.Second

func (t *trial) mustServe(n *faultNode) {
	ok := t.serves(n, backWithin)
	t.r.Rule(ok || t.ctx.Err() != nil, "%s does not serve %v after it came back", n.name, backWithin)
}

// back lets all go on that are down.
func (t *trial) back() {
	for _, n := range t.f.nodes {
		if t.isDown(n) && n.cmd.ProcessState != nil {
			if err := t.f.start(n); err != nil {
				t.r.Rule(false, "%s does not start: %v", n.name, err)
			}
		} else if t.isDown(n) {
			n.thaw()
		}
	}
	for _, n := range t.f.nodes {
		t.mustServe(n)
		t.l.out(n.name, false)
	}
}

// primary is the process that leads; the first one if nobody says.
func (t *trial) primary() *faultNode {
	for _, n := range t.f.nodes[:3] {
		ctx, stop := context.WithTimeout(t.ctx, time.Second)
		s, _, err := adminclient.New([]string{n.control()}, time.Millisecond).Status(ctx)
		stop()
		if err != nil {
			continue
		}
		if p := t.f.byMesh(s.Pact.Primary); p != nil {
			return p
		}
	}
	return t.f.nodes[0]
}

// backup is one of the core that does not lead.
func (t *trial) backup() *faultNode {
	p := t.primary()
	rest := lo.Without(t.f.nodes[:3], p)
	return rest[t.rng.IntN(len(rest))]
}

func (t *trial) report(on string) {
	r, l := t.r, t.l
	v := l.judge()
	puts, firsts, reads := l.history()
	linear := linear(puts, firsts, reads, judgeWithin)
	withdrawn, live := 0, 0
	_, inTurn, unleased := l.held()
	l.mu.Lock()
	for x := range l.puts {
		if _, ok := l.first[x]; ok || l.fates[x] == "live" {
			live++
		} else if l.fates[x] == "withdrawn" {
			withdrawn++
		}
	}
	split, newest := l.split, l.kept
	l.mu.Unlock()
	r.Row("run", "versions", "live p50 s", "live p99 s")
	r.Row("all there", len(t.calm), quant(t.calm, 0.5), quant(t.calm, 0.99))
	r.Row("a third down", len(t.third), quant(t.third, 0.5), quant(t.third, 0.99))
	r.Row("the primary killed", len(t.other), quant(t.other, 0.5), quant(t.other, 0.99))
	for k, x := range map[string]any{"processes": t.o.Processes, "state": on, "rollouts": int(t.top), "live": live, "withdrawn": withdrawn,
		"overtaken": int(t.top) - live - withdrawn, "mixed_decisions": v.mixed, "stale_served": v.stale, "dead_served": v.dead,
		"doubled": v.doubled, "lost": v.lost, "refused_and_ran": v.refusedRan, "unanswered": v.unanswered, "split_outcomes": split,
		"linearizable": linear, "refused_in_turn": t.inTurn, "refused_in_turn_with_faults": inTurn, "refused_unleased": unleased, "held_ms_max": t.held,
		"live_s_p50": quant(t.calm, 0.5), "live_s_p99": quant(t.calm, 0.99), "live_s_p50_third_down": quant(t.third, 0.5),
		"live_s_p99_third_down": quant(t.third, 0.99), "live_s_primary_killed": allSeconds(t.other), "tries": v.sent, "served": v.served,
		"refused": v.refused, "unclear": v.unclear, "reads": v.reads, "stuck": t.late, "judged_reads": len(reads),
		"seconds": l.now().Seconds()} {
		r.Figure[k] = x
	}
	for _, what := range v.what {
		r.Rule(false, "%s", what)
	}
	r.Rule(split == 0, "%d versions with two outcomes", split)
	r.Rule(linear, "porcupine on the register: not linearizable, or not decided within %v", judgeWithin)
	r.Rule(newest >= t.acks.Load(), "%08x was acknowledged, the newest that anybody holds is %08x", t.acks.Load(), newest)
	r.Rule(t.inTurn == 0, "%d requests were refused as a turn took too long, with nobody down", t.inTurn)
}

func allSeconds(all []time.Duration) []float64 {
	var s []float64
	for _, d := range all {
		s = append(s, float64(d.Milliseconds())/1e3)
	}
	return s
}
