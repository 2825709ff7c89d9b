// A configuration (PROTOCOL.md, "The operator"). What needs a look at every other
// part (names that are known, host and prefix only once, keys of one principal)
// is left to Go: here it would cost the square of the routes.
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
	Principals?: null | [...{
		Name?: string
		Credentials?: null | [...string]
		Rank?:      null | number
		RatePerS?:  number
		BurstSize?: number
		...
	}]
	Sockets?: null | [...{
		Authority?: string
		Policy?: null | [...#Route]
		...
	}]
	Pools?: null | [...{
		Name?:      string
		ProbePath?: string
		MaxConns?:  number
		Protocol?:  string
		Encrypted?: bool
		...
	}]
	...
}

#Route: {
	Name?:       string
	RouteClass?: string
	TargetMs:    number | *0
	TargetMs:    <(Effect.DeadlineMs + 60000)
	Rank?:       number
	Anonymous?:  bool
	Predicate!: {
		PathPrefix!: =~"^/"
		...
	}
	Effect!: {
		Backend?: string
		Partition?: null | [...{
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
