//go:build !race

package wire

// underRace: the race detector is on.
const underRace = false
