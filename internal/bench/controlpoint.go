package bench

// ControlPoint is what the scenarios, drawn days and mutants of one point of the control side came to.
type ControlPoint struct {
	Name    string
	Days    int
	Broken  map[string]int     // by the key of the report, such as stale_answers; keys that were judged stand there with 0
	Worst   map[string]float64 // seconds, by the key of the report, such as handover_s_max
	Mutants int                // guards that were taken out
	Found   int                // of them, those that a scenario or day met
	Apart   map[string]int     // days that broke a rule which is known to break, by its name; they don't count
	Lines   []string           // what broke: the seed or the scenario, and in words
}

// ControlPlayer plays one point for so many drawn days from a seed on.
type ControlPlayer func(days int, seed uint64) (ControlPoint, error)
