package budget

import "time"

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

// CreditLeft returns what is left of the start credit; zero once it has expired.
func (l *Limiter) CreditLeft() Credit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !time.Now().Before(l.creditExpires) {
		return Credit{}
	}
	return l.credit
}
