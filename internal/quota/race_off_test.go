//go:build !race

package quota

const raceEnabled = false
