//go:build race

package quota

const raceEnabled = true
