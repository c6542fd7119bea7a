package budget

// Totals are the counts over all classes since the start.
type Totals struct {
	Messages uint64
	Bytes    uint64
	Dropped  uint64
}

// Totals returns the counts over all classes.
func (l *Limiter) Totals() Totals {
	var totals Totals
	for class := range l.allowed {
		totals.Messages += l.allowed[class].Load()
		totals.Bytes += l.allowedBytes[class].Load()
		totals.Dropped += l.dropped[class].Load()
	}
	return totals
}

// Rates returns the limits in force on bytes and messages per second.
func (l *Limiter) Rates() (bytes, messages float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes.ratePerSecond, l.messages.ratePerSecond
}
