// Package seeded makes property tests reproducible. Only tests use it.
package seeded

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs a package's tests with a fixed rapid seed and number of checks, unless the
// command line sets others, and returns the exit code.
func Run(m *testing.M, checks int) int {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks)} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
