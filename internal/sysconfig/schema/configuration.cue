// A configuration (PROTOCOL.md, "The operator"). Checks that compare elements with each
// other (known services, unique host and prefix, keys of only one principal) are done in
// Go: here they would take time quadratic in the number of routes. Nulls count as missing
// keys and are removed before validation.
#Count: number & >=0

#Configuration: {
	Epoch!: =~"^[0-9a-fA-F]{8}$" & !="00000000"
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
