package knot

import (
	"reflect"

	"asterwell/internal/accord"
	"asterwell/internal/bane"
	"asterwell/internal/bond"
	"asterwell/internal/lore"
	"asterwell/internal/pact"
	"asterwell/internal/toll"
)

// Messages lists what each machine takes; the wire numbers them by their places here.
func Messages() [][]any {
	return [][]any{bond.Messages(), lore.Messages(), pact.Messages(), toll.Messages(), {Via{}}, bane.Messages(), accord.Messages()}
}

// The machines' places there.
const (
	ofBond = iota
	ofLore
	ofPact
	ofToll
	ofKnot
	ofBane
	ofAccord
)

var owners = func() map[reflect.Type]int {
	o := map[reflect.Type]int{}
	for i, all := range Messages() {
		for _, m := range all {
			o[reflect.TypeOf(m)] = i
		}
	}
	return o
}()
