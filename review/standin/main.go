// Command standin plays the cases of the review. It starts the gateways of a small deployment as processes, stands in
// for their clients, servers, operator and platform, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// A scenario plays one case and returns its exit code, or an error where it could not run. Without trouble it does the
// same but for the disruption.
type scenario func(f *fleet, rec *record, trouble bool) (int, error)

var scenarios = map[string]scenario{
	"truncated-body":     truncatedBody,
	"frozen-upload":      frozenUpload,
	"pipelined-shutdown": pipelinedShutdown,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER (from the root of the repository)")
		os.Exit(cannotRun)
	}
	code, err := run(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		code = cannotRun
	}
	os.Exit(code)
}

func run(play scenario, folder string, trouble bool) (int, error) {
	root, err := os.Getwd()
	if err != nil {
		return 0, err
	}
	if _, err := os.Stat(filepath.Join(root, program)); err != nil {
		return 0, fmt.Errorf("the program is not built: %w", err)
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 0, err
	}
	defer rec.close()
	f, err := newFleet(root)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { // what it started ends with it
		<-interrupted
		f.stop()
		os.Exit(cannotRun)
	}()
	rec.add("disruption: %v", trouble)
	code, err := play(f, rec, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
	case code == ruleBroken:
		rec.add("result: the rule was broken")
	default:
		rec.add("result: the rule held")
	}
	return code, err
}
