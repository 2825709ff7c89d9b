package controlplane

import (
	"slices"
	"sync"
)

// ParseCache caches parsed configurations for processes that share a Go runtime: many of them parse the
// same text, and the result is immutable. A nil cache parses each text anew.
type ParseCache struct {
	mu      sync.Mutex
	entries []*ParsedConfig // the newest last
}

// maxCachedParses covers the configuration in force, the previous one, and the one being prepared.
const maxCachedParses = 3

// Parse returns the parsed text, from the cache if it is there. A text that is also validated isn't
// cached, since each process has its own validation.
func (r *ParseCache) Parse(t *ConfigText) *ParsedConfig {
	if r == nil || t.checkOnly {
		return t.Parse()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(r.entries, func(parsed *ParsedConfig) bool { return parsed.isFor(t.Doc) })
	if at < 0 {
		r.entries = append(r.entries, t.Parse())
		if at = len(r.entries) - 1; at == maxCachedParses {
			r.entries, at = slices.Delete(r.entries, 0, 1), at-1
		}
	}
	copied := *r.entries[at]
	copied.source = *t
	return &copied
}
