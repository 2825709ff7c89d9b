package controlplane

import (
	"slices"
	"sync"
)

// Readings are what texts say, for processes that share a runtime: many of them read one text, and what comes of it
// never changes. nil reads each anew, as a process of its own does.
type ParseCache struct {
	mu   sync.Mutex
	kept []*ParsedConfig // the newest last
}

// mostReadings: the text in force, the one before, and one that is about to be.
const mostReadings = 3

// Read reads a text, or finds it read. One that is judged besides is always read: judges differ.
func (r *ParseCache) Parse(t *ConfigText) *ParsedConfig {
	if r == nil || t.check {
		return t.Parse()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.kept, func(k *ParsedConfig) bool { return k.of(t.Doc) })
	if i < 0 {
		r.kept = append(r.kept, t.Parse())
		if i = len(r.kept) - 1; i == mostReadings {
			r.kept, i = slices.Delete(r.kept, 0, 1), i-1
		}
	}
	mine := *r.kept[i]
	mine.text = *t
	return &mine
}
