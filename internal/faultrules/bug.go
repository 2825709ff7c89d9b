package faultrules

// Bug is a fault put in, to show that the tests find it.
type Bug uint8

// The bugs.
const (
	Sound       Bug = iota
	Outlives        // rules go on where nobody renews them
	PerNode         // each process has the whole budget
	Hasty           // in force before all have confirmed
	Forgets         // what was handed out is not in the record
	Obeys           // members take what is of lower terms
	Early           // strikes befall requests before they are on record
	Regrants        // what a process that is gone has used is handed out again
	Unkept          // processes hear that notes are on record before they are
	Refuses         // a set that was accepted is refused when it comes again
	Confuses        // another text under the number held counts as the one accepted
	Unconfirmed     // calls that change nothing are answered without asking the members
	Unfenced        // a call that was held up changes what has come since
	Numberless      // a stop ends whatever set is there
)
