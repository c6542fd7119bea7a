package pipeline

import "time"

const (
	// arrivalStep is the precision of the times of arrival of pending bytes.
	arrivalStep = time.Millisecond
	// maxArrivals limits the times that are kept for a connection.
	maxArrivals = 256
)

// pendingBytes are bytes of later requests with the times at which they were read.
type pendingBytes struct {
	data []byte
	// discarded counts the bytes taken from the front so far.
	discarded int64
	arrivals  []arrival
}

// arrival is the time at which the bytes from an offset on were read.
type arrival struct {
	offset int64
	at     time.Time
}

func (b *pendingBytes) len() int { return len(b.data) }

func (b *pendingBytes) bytes() []byte { return b.data }

// add appends bytes read at a time. Beyond maxArrivals they count as read with the bytes
// before them, so that no deadline gets longer.
func (b *pendingBytes) add(data []byte, at time.Time) {
	if n := len(b.arrivals); n == 0 || (n < maxArrivals && at.Sub(b.arrivals[n-1].at) >= arrivalStep) {
		b.arrivals = append(b.arrivals, arrival{b.discarded + int64(len(b.data)), at})
	}
	b.data = append(b.data, data...)
}

// arrival returns when the first byte was read.
func (b *pendingBytes) arrival() time.Time {
	for len(b.arrivals) > 1 && b.arrivals[1].offset <= b.discarded {
		b.arrivals = b.arrivals[1:]
	}
	if len(b.arrivals) == 0 {
		return time.Time{}
	}
	return b.arrivals[0].at
}

// discard removes n bytes from the front.
func (b *pendingBytes) discard(n int) {
	b.discarded += int64(n)
	if n == len(b.data) {
		b.data, b.arrivals = nil, nil
		return
	}
	b.data = b.data[n:]
}
