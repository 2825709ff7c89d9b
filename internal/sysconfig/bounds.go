package sysconfig

import (
	"math"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Bounds are the figures of the rules.
type Bounds struct {
	BootstrapLag, Quarantine, Contact, Commit, Sync time.Duration
	Drain, Grace, LossSlack, Converge, Regress      time.Duration
	Stretch, Revoke, RetryWindow, QuotaWindow       time.Duration
	Recovery                                        time.Duration
	RevokedFail                                     bool
	RetryRatio, RetrySlack                          float64
	QuotaExcess, QuotaMargin                        float64
}

// usual has the figures that stand when the file leaves one out: a rule that isn't
// in force needs none, and a process that doesn't start for want of it helps nobody.
func usual() Bounds {
	const s, ms = time.Second, time.Millisecond
	return Bounds{
		BootstrapLag: 3 * s, Quarantine: 2 * s, Contact: 3 * s, Commit: 5 * s, Sync: 4 * s,
		Drain: 2 * s, Grace: 6 * s, LossSlack: 200 * ms, Converge: 2 * s, Regress: 250 * ms,
		Stretch: 8 * s, Revoke: 5 * s, RetryWindow: 10 * s, QuotaWindow: 5 * s, Recovery: 15 * s,
		RetryRatio: 0.2, RetrySlack: 62, QuotaExcess: 0.1, QuotaMargin: 20,
	}
}

// slot finds where a figure goes, by its name and, for times, its unit.
func (b *Bounds) slot(name string) (to any, unit time.Duration) {
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
	if stem, ok := strings.CutSuffix(name, "Ms"); ok && times[stem] != nil {
		return times[stem], time.Millisecond
	}
	if stem, ok := strings.CutSuffix(name, "S"); ok && times[stem] != nil {
		return times[stem], time.Second
	}
	return nil, 0
}

// set takes one text of the form name=value. It returns what is wrong, if anything.
func (b *Bounds) set(text string) string {
	name, value, ok := strings.Cut(text, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !ok || name == "" {
		return "not of the form name=value: " + strconv.Quote(text)
	}
	to, unit := b.slot(name)
	if to == nil {
		return ""
	}
	if flag, ok := to.(*bool); ok {
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
	switch to := to.(type) {
	case *time.Duration:
		*to = time.Duration(v * float64(unit))
	case *float64:
		*to = v
	}
	return ""
}

// bounds reads a list of texts, or one text with commas.
func (r *reader) bounds(b *Bounds) {
	n, _ := r.find("Bounds")
	if n == nil || n.Tag == "!!null" {
		return
	}
	var list []string
	if n.Kind == yaml.ScalarNode {
		list = []string{n.Value}
	} else if !r.may("Bounds", &list) {
		return
	}
	for i, line := range list {
		for text := range strings.SplitSeq(line, ",") {
			if strings.TrimSpace(text) == "" {
				continue
			}
			if why := b.set(text); why != "" {
				r.fault("Bounds["+strconv.Itoa(i)+"]", why)
			}
		}
	}
}
