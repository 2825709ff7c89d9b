package controlplane

import (
	"bytes"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
	"asterwell/internal/sysconfig"
)

// A configuration of some MB takes longer to read than a beat may wait. So it is read beside the loop: Out.Text is for the
// user's one worker, and what Read makes of it comes back as an input. There is at most one under way; of those that wait the
// newest of each kind is kept. What was read to be checked is kept until it is in force, or another one is prepared.

// Text is one to be read.
type Text struct {
	Doc   consensus.Doc
	check bool // whether it can be taken, not to be in force yet
	judge func(text []byte) error
}

// Reading is what a text says.
type Reading struct {
	text    Text
	table   *sysconfig.Table // nil: it can't be in force here
	roster  *quotas.Roster
	rollout sysconfig.Rollout
	err     error
}

// Read reads it. It needs no machine, and takes long.
func (t *Text) Read() *Reading {
	r := &Reading{text: *t}
	c, err := sysconfig.Parse(t.Doc.Body)
	if err == nil && t.check && t.judge != nil {
		err = t.judge(t.Doc.Body)
	}
	if err != nil {
		r.err, r.rollout = err, sysconfig.RolloutOf(t.Doc.Body)
		return r
	}
	if c.Rollout != nil {
		r.rollout = *c.Rollout
	}
	r.table = c.Table()
	limits := map[string]quotas.Limit{}
	for _, tenant := range r.table.Tenants() {
		if tenant.Rate > 0 {
			limits[tenant.Name] = quotas.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
	}
	r.roster = quotas.NewRoster(limits)
	return r
}

func (r *Reading) of(d consensus.Doc) bool {
	return r.text.Doc.Version == d.Version && bytes.Equal(r.text.Doc.Body, d.Body)
}

// reader is what is read beside the loop.
type reader struct {
	busy         bool
	adopt, check *Text
	checked      *Reading // what is prepared
}

// read has the next text read.
func (k *Knot) read() {
	next := &k.reader.adopt
	if *next == nil {
		next = &k.reader.check
	}
	if k.reader.busy || *next == nil {
		return
	}
	k.out.Text, *next, k.reader.busy = *next, nil, true
}

// Read takes what came of a text.
func (k *Knot) Read(now fsm.Time, r *Reading) Out {
	k.reader.busy = false
	d := r.text.Doc
	if r.text.check {
		refusal := ""
		if r.err != nil {
			refusal = r.err.Error()
		} else {
			k.reader.checked = r
		}
		k.together(now, k.accord.TextChecked(now, d.Version, r.rollout, refusal))
	} else {
		k.taken = r
		k.together(now, k.accord.TextRead(now, d, r.rollout))
		k.taken = nil
	}
	k.read()
	return k.end()
}

// adopt puts a configuration in force here. It has been read, but for one that was missed while others had it prepared.
func (k *Knot) adopt(now fsm.Time, doc *consensus.Doc) {
	r := k.taken
	switch c := k.reader.checked; {
	case r != nil && r.of(*doc):
	case c != nil && c.of(*doc):
		r = c
	default:
		r = (&Text{Doc: *doc}).Read()
	}
	if c := k.reader.checked; c != nil && c.text.Doc.Version <= doc.Version {
		k.reader.checked = nil
	}
	k.out.Doc = doc
	if r.err != nil {
		k.out.Refused = r.err
		k.accord.SetUnable()
		return
	}
	k.meter.SetRoster(now, r.roster)
	k.counter.SetRoster(r.roster)
	k.bond.SetHeld(doc.Version)
	k.version, k.out.Adopt = doc.Version, r.table
}
