package once

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of runs of the state machine.
// ONCE_CHECKS and ONCE_SEED override them.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlag("rapid.seed", "ONCE_SEED", "1")
	setFlag("rapid.checks", "ONCE_CHECKS", "20")
	os.Exit(m.Run())
}

func setFlag(name, env, value string) {
	if asked := os.Getenv(env); asked != "" {
		value = asked
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
