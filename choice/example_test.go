package choice_test

import (
	"fmt"
	"time"

	"asterwell/choice"
)

// printer is a host that prints the actions.
type printer struct{}

func (printer) Send(id, backend uint32, _ time.Duration) { fmt.Println("send", id, "to", backend) }
func (printer) Refuse(id uint32, after time.Duration) {
	fmt.Println("refuse", id, "retry after", after)
}
func (printer) Fail(id uint32)            { fmt.Println("fail", id) }
func (printer) Cancel(id uint32, try int) { fmt.Println("cancel", id, try) }
func (printer) Probe(backend uint32)      { fmt.Println("probe", backend) }
func (printer) AddToCounter(name string, add float64, _ time.Duration) {
	fmt.Println("count", name, add)
}
func (printer) SetTimer(time.Duration, string) {}
func (printer) Watch(bool)                     {}
func (printer) Log(text string)                { fmt.Println(text) }

// A plan with a burst of two requests, and one request a second after that.
func Example() {
	b, err := choice.New(choice.Settings{
		Gateways: 1, RetryAfter: true,
		Classes: []choice.Class{{Name: "read", Target: time.Second, Deadline: 3 * time.Second, Value: 1}},
		Plans:   []choice.Plan{{Name: "basic", Rate: 1, Burst: 2, ValueFactor: 1, OverrunCost: 1}},
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.HandleRoster(0, choice.RosterUpdate{Whole: true, Members: []choice.Member{{ID: 7}}})
	for id := uint32(1); id <= 3; id++ {
		b.HandleRequest(0, choice.Request{ID: id, Class: "read", Plan: "basic", Customer: "acme", Units: 1, Gateways: 1,
			Deadline: 3 * time.Second})
	}
	// Output:
	// send 1 to 7
	// send 2 to 7
	// refuse 3 retry after 1s
}
