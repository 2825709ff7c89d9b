package daemon

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// slowWrite is from when on a write to disk is reported. Nothing is acknowledged while one of consensus is under way.
const slowWrite = time.Second

// DiskStats counts what was written to disk since the start.
type DiskStats struct {
	Writes    int
	Slow      int // that took slowWrite or longer
	LongestMs int64
	UnderWay  int // at present
}

// diskMeter measures writes to disk. It is safe for concurrent use.
type diskMeter struct {
	logger    *log.Logger
	threshold time.Duration // slowWrite; shorter in tests
	mu        sync.Mutex
	stats     DiskStats
}

// measure runs the write of a record, and reports one that is slow, also before it ends: the disk may stand still.
func (m *diskMeter) measure(record string, write func() error) error {
	m.mu.Lock()
	m.stats.UnderWay++
	m.mu.Unlock()
	began := time.Now()
	report := time.AfterFunc(m.threshold, func() { m.logger.WithField("record", record).Warn("a write to disk is slow and still under way") })
	err := write()
	report.Stop()
	took := time.Since(began)
	if took >= m.threshold {
		m.logger.WithFields(log.Fields{"record": record, "took_ms": took.Milliseconds()}).Warn("a write to disk was slow")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.UnderWay--
	m.stats.Writes++
	m.stats.LongestMs = max(m.stats.LongestMs, took.Milliseconds())
	if took >= m.threshold {
		m.stats.Slow++
	}
	return err
}

// snapshot returns the counts.
func (m *diskMeter) snapshot() DiskStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}
