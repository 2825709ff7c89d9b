package main

import (
	"os"
	"runtime"
	"runtime/pprof"

	"github.com/spf13/cobra"
)

// profiles lets any command write what pprof reads: where its processor time goes, and
// what it allocates. The function returned ends both.
func profiles(root *cobra.Command) (end func() error) {
	var cpu, heap string
	var out *os.File
	root.PersistentFlags().StringVar(&cpu, "profile", "", "write a profile of the processor to this file")
	root.PersistentFlags().StringVar(&heap, "allocs", "", "write a profile of what is allocated to this file")
	root.PersistentPreRunE = func(*cobra.Command, []string) (err error) {
		if cpu == "" {
			return nil
		}
		if out, err = os.Create(cpu); err != nil {
			return err
		}
		return pprof.StartCPUProfile(out)
	}
	return func() error {
		if out != nil {
			pprof.StopCPUProfile()
			if err := out.Close(); err != nil {
				return err
			}
		}
		if heap == "" {
			return nil
		}
		f, err := os.Create(heap)
		if err != nil {
			return err
		}
		defer f.Close()
		runtime.GC() // what was freed last counts too
		return pprof.Lookup("allocs").WriteTo(f, 0)
	}
}
