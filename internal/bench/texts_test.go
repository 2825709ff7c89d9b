package bench

import (
	"testing"

	"asterwell/internal/consensus"
	digest "asterwell/internal/dedup"
	"asterwell/internal/delta"
	"asterwell/internal/sysconfig"
)

// plannedTexts are two configurations of the size to design for, one route apart.
func plannedTexts() (one, two []byte) {
	o := ScaleOptions{Gateways: 490, Routes: 4800, Tenants: 12000, Services: 180, Rate: 265}
	return scaleText(o, 1), scaleText(o, 2)
}

// BenchmarkStages is what each step of a change of one route costs at that size.
func BenchmarkStages(b *testing.B) {
	one, two := plannedTexts()
	c, err := sysconfig.Parse(two)
	if err != nil {
		b.Fatal(err)
	}
	difference, _ := delta.New(one, two)
	whole, _ := delta.NewFull(two)
	disk := consensus.DurableState{DiskID: 1, Committed: consensus.Doc{Version: 1, Body: one}, Pending: consensus.Doc{Version: 2, Body: two}}
	packed, _ := disk.Encode()
	b.Logf("%d bytes; a difference of %d, %d packed, %d on disk", len(two), len(difference.Ops), len(whole.Ops), len(packed))
	for _, s := range []struct {
		name string
		do   func()
	}{
		{"read", func() { _, _ = sysconfig.Parse(two) }},
		{"table", func() { c.Table() }},
		{"rollout", func() { sysconfig.RolloutOf(two) }},
		{"digest", func() { digest.Digest(two) }},
		{"sum", func() { delta.Checksum(two) }},
		{"difference", func() { delta.New(one, two) }},
		{"apply", func() { _, _ = difference.Apply(one) }},
		{"pack", func() { delta.NewFull(two) }},
		{"unpack", func() { _, _ = whole.Apply(nil) }},
		{"disk", func() { _, _ = disk.Encode() }},
		{"compare", func() { sysconfig.Diff(c, c) }},
	} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				s.do()
			}
		})
	}
}
