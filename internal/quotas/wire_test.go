package quotas

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// wireTraffic is the traffic of a fleet's counters in a second, in frames as package daemon makes them: 7 bytes,
// the sender's address, and the message in CBOR.
type wireTraffic struct {
	gateway       float64 // sent and received by a gateway that is no holder (the median)
	messages      float64
	first, second float64 // by the holders
	adds, answers float64 // per gateway
	refused       float64 // part of the requests
}

// fleetSize describes a fleet: requests a second at each gateway, tenants of which the first get most (as in a
// scale run), and each quota as a multiple of what its tenant sends.
type fleetSize struct {
	gateways, tenants int
	rate, quota       float64
}

func (s fleetSize) flows() (flows []*tenantTraffic) {
	sum := 0.0
	for i := range s.tenants {
		sum += 1 / float64(i+1)
	}
	for i := range s.tenants {
		sent := s.rate * float64(s.gateways) / float64(i+1) / sum
		limit := max(5, s.quota*sent)
		flows = append(flows, &tenantTraffic{tenant: fmt.Sprintf("tenant-%05d", i), limit: Limit{limit, limit}, rate: sent})
	}
	return flows
}

func (s fleetSize) run(t *testing.T, seed uint64, warm, span time.Duration) (w wireTraffic) {
	f := newTestFleet(t, s.gateways, seed, s.flows()...)
	f.run(5*time.Second+warm, "")
	for _, l := range f.traffic {
		l.offered, l.refused = 0, 0
	}
	n, sec := float64(s.gateways-2), span.Seconds()
	f.onSend = func(from, to *testMachine, msg any) {
		b, err := cbor.Marshal(msg)
		if err != nil {
			panic(err)
		}
		if from == to {
			return
		}
		bytes := float64(7+len(from.addr)+len(b)) / sec
		for _, x := range []*testMachine{from, to} {
			switch x.addr {
			case f.holders[0]:
				w.first += bytes
			case f.holders[1]:
				w.second += bytes
			default:
				w.gateway, w.messages = w.gateway+bytes/n, w.messages+1/n/sec
				if reflect.TypeOf(msg) == reflect.TypeOf(Add{}) {
					w.adds += bytes / n
				} else {
					w.answers += bytes / n
				}
			}
		}
	}
	f.run(f.now+span, "")
	refused, offered := 0, 0
	for _, l := range f.traffic {
		refused, offered = refused+l.refused, offered+l.offered
	}
	w.refused = float64(refused) / float64(offered)
	return w
}

func (w wireTraffic) String() string {
	return fmt.Sprintf("a gateway %.0f B/s (adds %.0f, answers %.0f) in %.0f messages; holders %.0f, %.0f B/s; %.5f refused",
		w.gateway, w.adds, w.answers, w.messages, w.first, w.second, w.refused)
}

// BenchmarkWire makes the table of docs/results/quota.md: go test -bench Wire -benchtime 1x.
func BenchmarkWire(b *testing.B) {
	for _, s := range []fleetSize{{23, 85, 20, 2}, {23, 85, 100, 2}, {23, 85, 265, 2}, {23, 3000, 265, 2}, {23, 12000, 265, 2},
		{91, 85, 20, 2}, {91, 85, 265, 2}, {91, 12000, 265, 2}, {91, 85, 20, 1.28}, {490, 85, 265, 2}, {490, 12000, 265, 2}} {
		b.Run(fmt.Sprintf("%d gateways, %d tenants of %g times, %g a second", s.gateways, s.tenants, s.quota, s.rate), func(b *testing.B) {
			var w wireTraffic
			for b.Loop() {
				w = s.run(nil, 1, 4*time.Second, 6*time.Second)
			}
			b.ReportMetric(w.gateway, "B/s")
			b.ReportMetric(w.messages, "messages/s")
			b.ReportMetric(w.first, "first-B/s")
			b.ReportMetric(w.second, "second-B/s")
			b.ReportMetric(w.refused*1e6, "refused/M")
		})
	}
}
