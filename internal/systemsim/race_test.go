//go:build race

package systemsim

func init() { days = 10 }
