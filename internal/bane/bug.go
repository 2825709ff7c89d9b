package bane

// Bug is a fault put in, to show that the tests find it.
type Bug uint8

// The bugs.
const (
	Sound    Bug = iota
	Outlives     // rules go on where nobody renews them
	PerNode      // each process has the whole budget
	Hasty        // in force before all have confirmed
	Forgets      // what was handed out is not in the record
	Obeys        // members take what is of lower terms
	Early        // strikes befall requests before they are on record
	Regrants     // what a process that is gone has used is handed out again
	Unkept       // processes hear that notes are on record before they are
)
