package pipeline

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid; EGRETFIELD_RAPID_SEED sets another one, 0 a random
// one.
func TestMain(m *testing.M) {
	seed := os.Getenv("EGRETFIELD_RAPID_SEED")
	if seed == "" {
		seed = "1"
	}
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}
