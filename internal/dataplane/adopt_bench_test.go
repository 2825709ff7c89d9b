package dataplane

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"asterwell/internal/sysconfig"
)

// largeTable is a configuration of the size planned for in two years.
func largeTable(b testing.TB, version int) *sysconfig.Table {
	var t strings.Builder
	fmt.Fprintf(&t, `{"Epoch": "%08x", "Principals": [`, version)
	for i := range 12000 {
		fmt.Fprintf(&t, `%s{"Name": "t-%d", "Credentials": ["k-%d"], "Rank": %d, "RatePerS": 5, "BurstSize": 5}`, strings.Repeat(",", min(i, 1)), i, i, i%2)
	}
	t.WriteString(`], "Sockets": [{"Authority": "a.example", "Policy": [`)
	for i := range 4800 {
		fmt.Fprintf(&t, `%s{"Name": "r-%d", "RouteClass": "pure", "Predicate": {"PathPrefix": "/%d/"}, "Effect": {"Backend": "s-%d", "DeadlineMs": 800}}`,
			strings.Repeat(",", min(i, 1)), i, i, i%180)
	}
	t.WriteString(`]}], "Pools": [{"Name": "s-0"}`)
	for i := range 179 {
		fmt.Fprintf(&t, `,{"Name": "s-%d"}`, i+1)
	}
	t.WriteString(`]}`)
	c, err := sysconfig.Parse([]byte(t.String()))
	if err != nil {
		b.Fatal(err)
	}
	return c.Table()
}

// BenchmarkAdopt measures the adoption of a configuration of that size, and of a change in the number of
// gateways.
func BenchmarkAdopt(b *testing.B) {
	start := time.Now()
	p := New(Options{Now: func() time.Duration { return time.Hour + time.Since(start) }, TakeQuota: func(string, float64) (bool, time.Duration) { return true, 0 },
		Leaving: func() bool { return false }, MaxServerConns: 100, Seed: 1})
	defer p.Stop()
	tables := []*sysconfig.Table{largeTable(b, 1), largeTable(b, 2)}
	for n := 0; b.Loop(); n++ {
		p.Adopt(tables[n%2])
		p.SetGateways(490+n%2, 7)
	}
}

// BenchmarkChange measures the change of one of 5,200 servers.
func BenchmarkChange(b *testing.B) {
	start := time.Now()
	p := New(Options{Now: func() time.Duration { return time.Hour + time.Since(start) }, MaxServerConns: 100, Seed: 1})
	defer p.Stop()
	p.Adopt(largeTable(b, 1))
	var all []Server
	for i := range 5200 {
		all = append(all, Server{ID: fmt.Sprint("srv-", i), Addr: fmt.Sprint("a-", i), Service: fmt.Sprint("s-", i%180), Capacity: 50})
	}
	p.SetServers(all)
	for _, whole := range []bool{true, false} {
		b.Run(fmt.Sprint("whole=", whole), func(b *testing.B) {
			for n := 0; b.Loop(); n++ {
				one := &all[n%len(all)]
				one.Capacity = 51 - one.Capacity%2
				if whole {
					p.SetServers(all)
				} else {
					p.UpdateServers([]Server{*one}, nil)
				}
			}
		})
	}
}
