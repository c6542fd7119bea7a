package admission

const (
	// slotShare of a server's slots are used, percent. Servers are commonly slower
	// when nearly full, and a queue before the server costs less than a server past
	// its knee.
	slotShare = 80
	// fewSlots is the number of slots of a server that uses all of them: leaving one
	// of so few free costs more than a knee.
	fewSlots = 2
)

// Concurrency is the number of requests to run at once at a server with that many
// slots.
func Concurrency(slots int) int {
	if slots <= fewSlots {
		return max(slots, 0)
	}
	return slots * slotShare / 100
}
