package sysconfig

import (
	"math"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Bounds are the time limits and tolerances of the guarantees.
type Bounds struct {
	BootstrapLag, Quarantine, Contact, Commit, Sync time.Duration
	Drain, Grace, LossSlack, Converge, Regress      time.Duration
	Stretch, Revoke, RetryWindow, QuotaWindow       time.Duration
	Recovery                                        time.Duration
	RevokedFail                                     bool
	RetryRatio, RetrySlack                          float64
	QuotaExcess, QuotaMargin                        float64
}

// defaultBounds returns the values for bounds that the settings file omits. A guarantee that
// is disabled needs none, and a missing bound must not keep the process from starting.
func defaultBounds() Bounds {
	const s, ms = time.Second, time.Millisecond
	return Bounds{
		BootstrapLag: 3 * s, Quarantine: 2 * s, Contact: 3 * s, Commit: 5 * s, Sync: 4 * s,
		Drain: 2 * s, Grace: 6 * s, LossSlack: 200 * ms, Converge: 2 * s, Regress: 250 * ms,
		Stretch: 8 * s, Revoke: 5 * s, RetryWindow: 10 * s, QuotaWindow: 5 * s, Recovery: 15 * s,
		RetryRatio: 0.2, RetrySlack: 62, QuotaExcess: 0.1, QuotaMargin: 20,
	}
}

// field returns a pointer to the bound with this name, and the unit of a duration, which
// the suffix of the name gives. It returns nil for an unknown name.
func (b *Bounds) field(name string) (target any, unit time.Duration) {
	switch name {
	case "RevokedFail":
		return &b.RevokedFail, 0
	case "RetryRatio":
		return &b.RetryRatio, 0
	case "RetrySlack":
		return &b.RetrySlack, 0
	case "QuotaExcess":
		return &b.QuotaExcess, 0
	case "QuotaMargin":
		return &b.QuotaMargin, 0
	}
	times := map[string]*time.Duration{
		"BootstrapLag": &b.BootstrapLag, "Quarantine": &b.Quarantine, "Contact": &b.Contact,
		"Commit": &b.Commit, "Sync": &b.Sync, "Drain": &b.Drain, "Grace": &b.Grace,
		"LossSlack": &b.LossSlack, "Converge": &b.Converge, "Regress": &b.Regress,
		"Stretch": &b.Stretch, "Revoke": &b.Revoke, "RetryWindow": &b.RetryWindow,
		"QuotaWindow": &b.QuotaWindow, "Recovery": &b.Recovery,
	}
	if baseName, ok := strings.CutSuffix(name, "Ms"); ok && times[baseName] != nil {
		return times[baseName], time.Millisecond
	}
	if baseName, ok := strings.CutSuffix(name, "S"); ok && times[baseName] != nil {
		return times[baseName], time.Second
	}
	return nil, 0
}

// set applies one setting of the form name=value and ignores unknown names. It returns the
// reason if the setting is invalid, otherwise the empty string.
func (b *Bounds) set(text string) string {
	name, value, ok := strings.Cut(text, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !ok || name == "" {
		return "not of the form name=value: " + strconv.Quote(text)
	}
	target, unit := b.field(name)
	if target == nil {
		return ""
	}
	if flag, ok := target.(*bool); ok {
		v, err := strconv.ParseBool(value)
		if err != nil {
			return name + ": neither true nor false: " + strconv.Quote(value)
		}
		*flag = v
		return ""
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e9 {
		return name + ": not a figure of 0 or more: " + strconv.Quote(value)
	}
	switch target := target.(type) {
	case *time.Duration:
		*target = time.Duration(v * float64(unit))
	case *float64:
		*target = v
	}
	return ""
}

// bounds decodes the Bounds key: a list of settings, or one string with commas between them.
func (r *settingsReader) bounds(b *Bounds) {
	n, _ := r.find("Bounds")
	if n == nil || n.Tag == "!!null" {
		return
	}
	var list []string
	if n.Kind == yaml.ScalarNode {
		list = []string{n.Value}
	} else if !r.optional("Bounds", &list) {
		return
	}
	for i, line := range list {
		for text := range strings.SplitSeq(line, ",") {
			if strings.TrimSpace(text) == "" {
				continue
			}
			if why := b.set(text); why != "" {
				r.addFault("Bounds["+strconv.Itoa(i)+"]", why)
			}
		}
	}
}
