package faultrules

// Bug is a defect that tests inject to show that their checks detect it.
type Bug uint8

// The injectable bugs. NoBug injects none.
const (
	NoBug              Bug = iota
	IgnoresExpiry          // rules stay in force after their lease has expired
	PerNode                // each process gets the whole budget
	ActivatesEarly         // a set is activated before every live process has confirmed it
	SkipsRecord            // granted parts are not written to the record
	AcceptsLowerTerms      // members accept records of lower terms
	StrikesUnrecorded      // strikes are applied before they are recorded
	Regrants               // strikes used by a process that has gone are granted again
	AcksUncommitted        // notes are acknowledged before they are committed
	RejectsRetries         // a repeated put of an accepted set is rejected
	IgnoresBody            // a different body with the current version counts as a repeat
	Unconfirmed            // calls that change nothing are answered without a majority round
	Unfenced               // a delayed call overrides later changes
	IgnoresStopVersion     // a stop ends the current set, whatever version it names
)
