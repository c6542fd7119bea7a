package admission

const (
	// maxUtilisationPercent is the share of a server's slots that are used, in
	// percent. Servers are commonly slower when nearly full, and a queue in front
	// of the server costs less than a server past the knee of its latency curve.
	maxUtilisationPercent = 80
	// maxFullyUsedSlots is the largest number of slots of a server that uses all of
	// them: leaving one of so few free costs more than running past the knee.
	maxFullyUsedSlots = 2
)

// ConcurrencyLimit returns the number of requests to run at once at a server with
// the given number of slots.
func ConcurrencyLimit(slots int) int {
	if slots <= maxFullyUsedSlots {
		return max(slots, 0)
	}
	return slots * maxUtilisationPercent / 100
}
