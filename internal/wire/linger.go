package wire

import (
	"io"
	"net/http"
	"time"
)

// LingerTime is the time that a sender gets to stop or finish sending after an early
// answer.
const LingerTime = time.Second

// Linger discards the rest of a request's body for at most LingerTime after the answer was
// written. Closing the connection at once would reset it, and the sender could lose the
// answer.
func Linger(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(LingerTime)) != nil {
		return
	}
	if _, err := Copy(io.Discard, body); err != nil {
		return // the deadline stays set, so that net/http doesn't wait for the rest
	}
	_ = control.SetReadDeadline(time.Time{}) // net/http sets a deadline for the next request
}
