package bench

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/daemon"
	"asterwell/internal/fsm"
	"asterwell/internal/mailbox"
	"asterwell/internal/mesh"
	"asterwell/internal/standin/faultproxy"
)

// frameSpeed is how much faster the asker's clock goes: its repeats and its patience, a second,
// are bounds of the machine's own.
const frameSpeed = 8

// frameCase is what happens to one frame of a call between processes, and which of the two ways
// it goes.
type frameCase struct {
	back  bool // the answer's, else the question's
	fault faultproxy.FrameFault
	words string
}

func (c frameCase) String() string {
	way := "question"
	if c.back {
		way = "answer"
	}
	return fmt.Sprintf("frame of the %s: %v at %d %s", way, c.fault.Kind, c.fault.At, c.words)
}

// framePlayed is a case's end.
type framePlayed struct {
	c       frameCase
	answers map[uint64][]string // to each call, in order: the text of the document, or that it was busy
	met     bool
	long    int
	err     error
}

// frameText is what a call is about, and its answer.
func frameText(life string, call uint64) string { return fmt.Sprintf("%s/%d", life, call) }

// frameKind is a message's byte on the wire.
func frameKind(msg any) byte { return daemon.FrameCodec.Encode(&daemon.Frame{From: "x", Msg: msg})[5] }

// formerAnswer is the frame that answers a call of the asker's earlier life.
func formerAnswer(from string, call uint64) []byte {
	return daemon.FrameCodec.Encode(&daemon.Frame{From: from, Msg: consensus.ForwardReply{ID: call, CallerID: 7, Result: consensus.ResultAccepted,
		Doc: &consensus.Doc{Version: uint32(call), Body: []byte(frameText("former", call))}}})
}

// play makes three calls by the asker's real machine, over the real mesh, to one that answers
// each with its own text. The fault meets the second.
func (c frameCase) play(bug consensus.Bug) (p framePlayed) {
	p.c, p.answers = c, map[uint64][]string{}
	host := callerHost()
	here, err := faultproxy.PassFrames(host)
	if err != nil {
		p.err = err
		return p
	}
	defer here.Close()
	there, err := faultproxy.PassFrames(host)
	if err != nil {
		p.err = err
		return p
	}
	defer there.Close()
	listen := func(proxy *faultproxy.FrameProxy, handle func(*daemon.Frame)) *mesh.Mesh[*daemon.Frame] {
		m := mesh.New(mesh.Options[*daemon.Frame]{Codec: daemon.FrameCodec, MaxInbound: 100, Handle: func(_ *mesh.Conn[*daemon.Frame], f *daemon.Frame) { handle(f) }})
		if err := m.Listen(host + ":0"); err != nil {
			p.err = err
			return m
		}
		proxy.Lead(m.Addr())
		return m
	}
	var answerer *mesh.Mesh[*daemon.Frame]
	var ready sync.WaitGroup
	ready.Add(1)
	answerer = listen(there, func(f *daemon.Frame) {
		ready.Wait()
		if q, ok := f.Msg.(consensus.Forward); ok {
			doc := q.Doc
			answerer.ConnTo(f.From).Send(&daemon.Frame{From: there.Addr, Msg: consensus.ForwardReply{ID: q.ID, CallerID: q.CallerID, Result: consensus.ResultAccepted, Doc: &doc}})
		}
	})
	ready.Done()
	defer answerer.Close()
	in := mailbox.NewBox[any](nil)
	asker := listen(here, func(f *daemon.Frame) { in.Put(f) })
	defer asker.Close()
	if p.err != nil {
		return p
	}
	p.ask(c, asker, in, here, there, bug)
	return p
}

// ask is the asker's loop.
func (p *framePlayed) ask(c frameCase, m *mesh.Mesh[*daemon.Frame], in *mailbox.Box[any], here, there *faultproxy.FrameProxy, bug consensus.Bug) {
	start := time.Now()
	now := func() fsm.Time { return time.Hour + frameSpeed*time.Since(start) }
	a := consensus.New(consensus.Config{Self: here.Addr, Name: "asker", Seeds: []string{there.Addr}, Seed: 5}, nil, now())
	a.SetBug(bug)
	took := func(out consensus.Out) {
		for _, s := range out.Send {
			m.ConnTo(s.To).Send(&daemon.Frame{From: here.Addr, Msg: s.Msg})
		}
		for _, an := range out.Answers {
			text := "busy"
			if an.Result == consensus.ResultAccepted && an.Doc != nil {
				text = string(an.Doc.Body)
			}
			p.answers[an.ID] = append(p.answers[an.ID], text)
		}
	}
	call := func(id uint64) {
		took(a.Put(now(), id, consensus.Doc{Version: uint32(id), Body: []byte(frameText("this", id))}))
	}
	until := func(done func() bool) {
		for end := time.Now().Add(5 * time.Second); !done() && time.Now().Before(end); {
			for _, x := range in.Take(2 * time.Millisecond) {
				f := x.(*daemon.Frame)
				took(a.Receive(now(), f.From, f.Msg))
			}
			took(a.Tick(now()))
		}
	}
	took(a.Receive(now(), there.Addr, consensus.View{Leading: true, Record: consensus.EpochRecord{ClusterID: 1, Ballot: consensus.Ballot{N: 1, By: there.Addr, DiskID: 1},
		Members: []consensus.Member{{Addr: there.Addr, DiskID: 1}}, Writers: []string{there.Addr}, Active: true}}))
	call(1)
	until(func() bool { return len(p.answers[1]) > 0 })
	proxy, kind := there, frameKind(consensus.Forward{})
	if c.back {
		proxy, kind = here, frameKind(consensus.ForwardReply{})
	}
	f := c.fault
	if f.Kind == faultproxy.Before {
		for id := range uint64(3) {
			f.Stale = append(f.Stale, formerAnswer(there.Addr, id+1)...)
		}
	}
	proxy.Arm(f, kind)
	call(2)
	call(3)
	until(func() bool { return len(p.answers[2]) > 0 && len(p.answers[3]) > 0 })
	if p.met, p.long = proxy.Met(); p.met && f.Kind == faultproxy.Twice { // a second answer comes in its own time
		end := time.Now().Add(callerRest)
		until(func() bool { return time.Now().After(end) })
	}
}

// judge: each call has one answer, and its own.
func (p framePlayed) judge(broken func(key, form string, args ...any)) {
	if p.err != nil {
		broken("wrong_caller", "%v: %v", p.c, p.err)
		return
	}
	for id := uint64(1); id <= 3; id++ {
		got := p.answers[id]
		if len(got) != 1 || got[0] != "busy" && got[0] != frameText("this", id) {
			broken("wrong_caller", "%v: call %d was answered %q", p.c, id, got)
		}
	}
}

// frameCases cut both frames of a call at each byte, and bring them twice, and behind those of
// a former life.
func frameCases(step int) (all []frameCase) {
	for _, back := range []bool{false, true} {
		plain := frameCase{back: back, fault: faultproxy.FrameFault{Kind: faultproxy.Twice}, words: "(the frame twice)"}
		all = append(all, plain)
		if back {
			all = append(all, frameCase{back: back, fault: faultproxy.FrameFault{Kind: faultproxy.Before}, words: "(answers to the former life's calls of the same numbers)"})
		}
		long := plain.play(0).long
		for _, k := range []faultproxy.Kind{faultproxy.AskClose, faultproxy.AskReset, faultproxy.AskSilent} {
			for at := 0; at <= long; at++ {
				if at%step == 0 || at == long {
					all = append(all, frameCase{back: back, fault: faultproxy.FrameFault{Kind: k, At: at}})
				}
			}
		}
	}
	return all
}

// frameSweep plays each case until its fault has met a frame: on a busy machine a call's time may be over before it is
// sent. All plays are judged.
func frameSweep(cases []frameCase, width int, bug consensus.Bug) []framePlayed {
	ends := make([][]framePlayed, len(cases))
	side(len(cases), width, func(i int) {
		for range frameTries {
			p := cases[i].play(bug)
			if ends[i] = append(ends[i], p); p.met || p.err != nil {
				return
			}
		}
	})
	return slices.Concat(ends...)
}

const frameTries = 5

// formerCounts plays answers to a former life's calls, with the mark of a life taken out, until one counts: on a busy
// machine a call's own time may be over first, and shows nothing. It returns what showed it.
func formerCounts(cases []frameCase) (found string) {
	for range formerTries {
		for _, c := range cases {
			if c.fault.Kind != faultproxy.Before {
				continue
			}
			if p := c.play(consensus.BugAnyCaller); p.err == nil {
				p.judge(func(_, form string, args ...any) { found = fmt.Sprintf(form, args...) })
			}
			if found != "" {
				return found
			}
		}
	}
	return ""
}

const formerTries = 60
