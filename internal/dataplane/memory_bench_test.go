package dataplane

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkMemory measures the memory of the data plane for 5,200 servers of 180 services, without
// requests.
func BenchmarkMemory(b *testing.B) {
	start := time.Now()
	heap := func() float64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	}
	table := largeTable(b, 1)
	var all []Server
	for i := range 5200 {
		all = append(all, Server{ID: fmt.Sprintf("i-%08x", i*2654435761), Addr: fmt.Sprintf("10.1%02d.%d.%d:8080", i%10, i/200, i%200),
			Service: fmt.Sprint("s-", i%180), Zone: fmt.Sprint("zone-", i/180%10), Capacity: 6})
	}
	for b.Loop() {
		p := New(Options{Now: func() time.Duration { return time.Hour + time.Since(start) }, MaxServerConns: 100, Seed: 1, Zone: "zone-0"})
		p.Adopt(table)
		time.Sleep(200 * time.Millisecond)
		before := heap()
		p.SetServers(all)
		time.Sleep(500 * time.Millisecond) // until the lanes have applied it
		b.ReportMetric((heap()-before)/float64(len(all)), "bytes/server")
		p.Stop()
	}
}
