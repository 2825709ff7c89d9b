// A configuration (PROTOCOL.md, "The operator"). What needs a look at every other
// part (names that are known, host and prefix only once, keys of one principal)
// is left to Go: here it would cost the square of the routes. Nulls count as left out,
// and are taken away before.
#Count: number & >=0

#Configuration: {
	Epoch!: =~"^[0-9a-fA-F]{8}$"
	BoundsReq?: {
		MaxHeaderBytes?: number
		MaxBodyBytes?:   number
		HeaderReadMs?:   number
		KeepaliveMs?:    number
		...
	}
	Principals?: [...{
		Name?: string
		Credentials?: [...string]
		Rank?:      number
		RatePerS?:  number
		BurstSize?: number
		...
	}]
	Sockets?: [...{
		Authority?: string
		Policy?: [...#Route]
		...
	}]
	Pools?: [...{
		Name?:      string
		ProbePath?: string
		MaxConns?:  number
		Protocol?:  string
		Encrypted?: bool
		...
	}]
	Rollout?: {
		Mode?:     "each" | "together"
		Confirm?:  "all" | (number & >=1)
		WithinMs?: number & >=0 & <=1e9
		Reads?:    "last" | "live"
	}
	...
}

#Route: {
	Name?:       string
	RouteClass?: string
	TargetMs?:   number & <(Effect.DeadlineMs+60000)
	Rank?:       number
	Anonymous?:  bool
	Predicate!: {
		PathPrefix!: =~"^/"
		...
	}
	Effect!: {
		Backend?: string
		Partition?: [...{
			Backend!: string
			Share?:   #Count
			...
		}]
		DeadlineMs!: number & >0
		Tries?:      number
		...
	}
	...
}
