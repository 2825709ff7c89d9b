// The settings file (DEPLOY.md, "What a process is told"). Unknown fields are
// accepted.
#Address: =~"^[0-9]{1,3}([.][0-9]{1,3}){3}:[0-9]{1,5}$"
#Port:    int & >=1 & <=65535
#Count:   int & >=0

#Settings: {
	NodeName!:     string & !=""
	Role?:         string
	MachineClass?: string
	Serves?: [...string]
	IpAddr!: =~"^[0-9]{1,3}([.][0-9]{1,3}){3}$"
	Zone!:   string & !=""
	Region?: string
	Zones?: [string]: string
	Bind?: {
		Ingress?:      #Address
		Readiness?:    #Address
		ControlPlane?: #Address
		...
	}
	PortRange!: [#Port, #Port]
	Bootstrap?: [...#Address]
	Genesis?:      bool
	QuorumMember?: bool
	BoundsReq?: {
		CpuFraction?:   number & >=0
		CpuCount?:      number & >=0
		MemMb?:         #Count
		FdLimit?:       #Count
		BandwidthMbps?: number & >=0
		StorageMb?:     #Count
		...
	}
	StateDir?:    string
	HeartbeatMs?: int & >0
	Guarantees?: [...string]
	FaultBudget?: {
		MachineLosses?: #Count
		Zones?:         #Count
		Regions?:       #Count
		...
	}
	FaultRules?: {
		LongestS?: number & >=0 & <=86400
		...
	}
	Bounds?: string | [...=~"^[^=]+="]
	...
}
