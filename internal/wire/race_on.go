//go:build race

package wire

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
