package adminapi

// Quotas is what one gateway's decisions about tenants' quotas went by since its start.
type Quotas struct {
	Asked, Mesh string
	ContactS    *float64 // as in Members

	Holder        string // of the counters that it reads; "": none answers
	HolderChanges uint64 // how often that was another one
	SharesFor     int    // gateways that a tenant's even share is made for
	InTouch       int    // of these, in sight
	UnansweredMs  int64  // since the oldest read without an answer
	Decided       []QuotaDecisions
	BehindUnits   float64 // by which a holder's level was above what the gateway reckoned with, at the most
	BehindAnswers uint64  // that were a unit or more above it
}

// Decision counts requests that were decided on one basis.
type QuotaDecisions struct {
	Basis           string // first_holder, second_holder, unread, own_share
	Passed, Refused uint64
}
