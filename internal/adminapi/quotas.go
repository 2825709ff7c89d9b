package adminapi

// Quotas is the answer of GET /api/quotas: the basis of one gateway's quota decisions since its start.
type Quotas struct {
	Asked, Mesh string
	ContactS    *float64 // as in Members

	Holder        string // holder of the counters that it reads; "": none answers
	HolderChanges uint64 // how often the holder changed
	SharesFor     int    // number of gateways among which a tenant's quota is divided evenly
	InTouch       int    // those of them that are reachable
	UnansweredMs  int64  // since the oldest unanswered read
	Decided       []QuotaDecisions
	BehindUnits   float64 // most units by which a holder's level was above the gateway's estimate
	BehindAnswers uint64  // answers that were at least one unit above the estimate
}

// QuotaDecisions counts the requests that were decided on one basis.
type QuotaDecisions struct {
	Basis           string // first_holder, second_holder, unread, own_share
	Passed, Refused uint64
}
