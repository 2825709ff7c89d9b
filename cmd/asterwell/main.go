// Command asterwell runs a gateway that meters its customers' use of the servers
// behind it. The environment variable LB_CONFIG names its configuration file. With
// arguments it is the command-line tool for operators of a cluster of gateways.
package main

import (
	"os"

	"asterwell/internal/clustercli"
	"asterwell/internal/program"
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(clustercli.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(program.Main())
}
