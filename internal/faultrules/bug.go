package faultrules

// Bug is a defect that tests inject to show that their checks detect it.
type Bug uint8

// The injectable bugs. Sound injects none.
const (
	Sound       Bug = iota
	Outlives        // rules stay in force after their lease has expired
	PerNode         // each process gets the whole budget
	Hasty           // a set is activated before every live process has confirmed it
	Forgets         // granted parts are not written to the record
	Obeys           // members accept records of lower terms
	Early           // strikes are applied before they are recorded
	Regrants        // strikes used by a process that has gone are granted again
	Unkept          // notes are acknowledged before they are committed
	Refuses         // a repeated put of an accepted set is rejected
	Confuses        // a different body with the current version counts as a repeat
	Unconfirmed     // calls that change nothing are answered without a majority round
	Unfenced        // a delayed call overrides later changes
	Numberless      // a stop ends the current set, whatever version it names
)
