package yarn

import (
	"slices"

	"asterwell/internal/lore"
	"asterwell/internal/toll"
)

// Bug is a fault put into every process, to show that the rules find it.
type Bug uint8

// The bugs.
const (
	Sound Bug = iota
	Early     // a disk says that it has synced before it has
	Mute      // nobody tells others that a server is leaving
	Twice     // what a restarted gateway adds is counted twice
)

var bugNames = [...]string{"sound", "early", "mute", "twice"}

func (b Bug) String() string { return bugNames[b] }

// send is what becomes of a message that a process sends.
func (b Bug) send(p *proc, msg any) []any {
	switch t := msg.(type) {
	case toll.Add:
		if b == Twice && p.life > 1 {
			again := t
			again.Life, again.Read, again.Echo = ^t.Life, false, false
			return []any{again, msg}
		}
	case lore.News:
		t.Rows = b.rows(t.Rows)
		return []any{t}
	case lore.Diff:
		t.Rows = b.rows(t.Rows)
		return []any{t}
	case lore.Whole:
		t.Rows = b.rows(t.Rows)
		return []any{t}
	}
	return []any{msg}
}

func (b Bug) rows(rows []lore.Row) []lore.Row {
	if b != Mute {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(r lore.Row) bool { return r.Phase == lore.Quiescing })
}
