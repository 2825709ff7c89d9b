//go:build race

package yarn

func init() { days = 10 }
