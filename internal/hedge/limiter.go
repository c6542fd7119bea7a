package hedge

import "sync"

// MaxPercent is the largest limit of hedged attempts in percent of the requests. Servers
// at eight tenths of their capacity have no room for more.
const MaxPercent = 20

// minSavedTokens is the smallest number of tokens that an entry may save. One is needed to
// send a hedged attempt at all. With one, tokens are lost between slow requests: where 3 of
// 100 requests are slow and the limit is 10 percent, 28 of 100 of them found no token, with
// two 6 of 100.
const minSavedTokens = 2

// Limiter limits the hedged attempts of a service at one entry. Each request adds a share
// of a token and each hedged attempt takes one. In every window of any length, the entry
// sends at most percent/100 hedged attempts for each request in the window, plus the
// saved tokens. It starts without tokens, so that a restart allows none. It is safe for
// concurrent use.
type Limiter struct {
	mu       sync.Mutex
	perCall  float64
	maxSaved float64
	tokens   float64
}

// SetLimits sets the limit in percent of the requests and this entry's part of the
// fleet's slack, the number of tokens that it may save, at least minSavedTokens. While the
// number of entries is unknown (zero), none is sent.
func (l *Limiter) SetLimits(percent uint32, fleetSlack float64, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perCall, l.maxSaved = float64(percent)/100, 0
	if percent > 0 && entries > 0 {
		l.maxSaved = max(fleetSlack/float64(entries), minSavedTokens)
	}
	l.tokens = min(l.tokens, l.maxSaved)
}

// RecordRequest counts a request, whatever its outcome.
func (l *Limiter) RecordRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+l.perCall, l.maxSaved)
}

// oneToken is one token less the rounding errors of adding up its shares.
const oneToken = 1 - 1e-9

// Available reports whether a hedged attempt would be allowed now.
func (l *Limiter) Available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens >= oneToken
}

// Take reports whether a hedged attempt is allowed, and counts it if so.
func (l *Limiter) Take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens < oneToken {
		return false
	}
	l.tokens = max(l.tokens-1, 0)
	return true
}
