package controlplane

import (
	"bytes"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
	"asterwell/internal/sysconfig"
)

// Parsing a configuration of several MB takes longer than a heartbeat may be delayed, so it is done
// outside the control loop: Output.Parse is for the caller's single worker, and the result of
// ConfigText.Parse comes back as an input. At most one parse is under way; of the texts that wait, only
// the newest of each kind is kept. A text that was parsed for validation is kept until it is in force, or
// another one is prepared.

// ConfigText is a configuration to be parsed.
type ConfigText struct {
	Doc         consensus.Doc
	checkOnly   bool // only validate it: it isn't to be in force yet
	checkConfig func(text []byte) error
}

// ParsedConfig is the result of parsing a ConfigText.
type ParsedConfig struct {
	source  ConfigText
	table   *sysconfig.Table // nil: it can't be put in force here
	roster  *quotas.Roster
	rollout sysconfig.Rollout
	err     error
}

// Parse parses the text, which may take long. It uses no state of the machine.
func (t *ConfigText) Parse() *ParsedConfig {
	parsed := &ParsedConfig{source: *t}
	config, err := sysconfig.Parse(t.Doc.Body)
	if err == nil && t.checkOnly && t.checkConfig != nil {
		err = t.checkConfig(t.Doc.Body)
	}
	if err != nil {
		parsed.err, parsed.rollout = err, sysconfig.RolloutOf(t.Doc.Body)
		return parsed
	}
	if config.Rollout != nil {
		parsed.rollout = *config.Rollout
	}
	parsed.table = config.Table()
	limits := map[string]quotas.Limit{}
	for _, tenant := range parsed.table.Tenants() {
		if tenant.Rate > 0 {
			limits[tenant.Name] = quotas.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
	}
	parsed.roster = quotas.NewRoster(limits)
	return parsed
}

// isFor reports whether r is the result for this document.
func (r *ParsedConfig) isFor(d consensus.Doc) bool {
	return r.source.Doc.Version == d.Version && bytes.Equal(r.source.Doc.Body, d.Body)
}

// parser tracks the configurations that are parsed outside the control loop.
type parser struct {
	busy         bool
	adopt, check *ConfigText
	prepared     *ParsedConfig // validated, and not in force yet
}

// startParse requests the next parse, unless one is under way. Configurations to adopt come first.
func (m *Machine) startParse() {
	next := &m.parser.adopt
	if *next == nil {
		next = &m.parser.check
	}
	if m.parser.busy || *next == nil {
		return
	}
	m.out.Parse, *next, m.parser.busy = *next, nil, true
}

// ConfigParsed handles the result of a parse.
func (m *Machine) ConfigParsed(now fsm.Time, parsed *ParsedConfig) Output {
	m.parser.busy = false
	doc := parsed.source.Doc
	if parsed.source.checkOnly {
		refusal := ""
		if parsed.err != nil {
			refusal = parsed.err.Error()
		} else {
			m.parser.prepared = parsed
		}
		m.applyRollout(now, m.rollout.TextChecked(now, doc.Version, parsed.rollout, refusal))
	} else {
		m.adopting = parsed
		m.applyRollout(now, m.rollout.TextRead(now, doc, parsed.rollout))
		m.adopting = nil
	}
	m.startParse()
	return m.takeOutput()
}

// adopt puts a configuration in force here. Normally it is already parsed; a process that missed the
// preparation parses it now.
func (m *Machine) adopt(now fsm.Time, doc *consensus.Doc) {
	parsed := m.adopting
	switch c := m.parser.prepared; {
	case parsed != nil && parsed.isFor(*doc):
	case c != nil && c.isFor(*doc):
		parsed = c
	default:
		parsed = (&ConfigText{Doc: *doc}).Parse()
	}
	if c := m.parser.prepared; c != nil && c.source.Doc.Version <= doc.Version {
		m.parser.prepared = nil
	}
	m.out.Doc = doc
	if parsed.err != nil {
		m.out.AdoptError = parsed.err
		m.rollout.SetUnable()
		return
	}
	m.meter.SetRoster(now, parsed.roster)
	m.counter.SetRoster(parsed.roster)
	m.members.SetConfigVersion(doc.Version)
	m.version, m.out.Adopt = doc.Version, parsed.table
}
