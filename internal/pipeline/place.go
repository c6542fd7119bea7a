package pipeline

import (
	"context"
	"net/http"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// place is the place of a request on its connection.
type place interface {
	arrivedAt() time.Time
	ambiguity() string
	awaitTurn(ctx context.Context) error
	closeAfter() bool
	closeIfLast() bool
	hasBehind() bool
}

type placeKey struct{}

func placeOf(r *http.Request) place {
	p, _ := r.Context().Value(placeKey{}).(place)
	return p
}

// ArrivedAt returns when the first byte of the request was read, or the present time if
// the request wasn't served by a Server.
func ArrivedAt(r *http.Request) time.Time {
	if p := placeOf(r); p != nil {
		return p.arrivedAt()
	}
	return time.Now()
}

// CheckFraming refuses a request whose end is ambiguous, for example because it has both
// Content-Length and Transfer-Encoding. net/http accepts some of them, and what one
// program takes for a body may be a request to the next.
func CheckFraming(r *http.Request) error {
	if p := placeOf(r); p != nil {
		if reason := p.ambiguity(); reason != "" {
			return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s", reason)
		}
	}
	return nil
}

// AwaitTurn waits until the answers to the requests before r on its connection are
// written. A request that may not be repeated must not run earlier: a caller sends it
// again if one of those answers closes the connection. It fails if the connection closes.
func AwaitTurn(r *http.Request) error {
	if p := placeOf(r); p != nil {
		return p.awaitTurn(r.Context())
	}
	return nil
}

// HasBehind reports whether requests behind r on its connection are being served. If not,
// none is before r is answered: their answers would be lost if that of r broke off.
func HasBehind(r *http.Request) bool {
	if p := placeOf(r); p != nil {
		return p.hasBehind()
	}
	return false
}

// CloseIfLast reports whether the answer to r may close its connection because nothing was
// read behind r. From then on nothing is. Otherwise what stands behind r is served.
func CloseIfLast(r *http.Request) bool {
	if p := placeOf(r); p != nil {
		return p.closeIfLast()
	}
	return true
}

// CloseAfter reports whether the answer to r may close its connection although something
// may have been read behind r: no request behind r is being served. Requests that weren't
// passed on by now never are. An answer that announces the end of the connection must not
// be written otherwise.
func CloseAfter(r *http.Request) bool {
	if p := placeOf(r); p != nil {
		return p.closeAfter()
	}
	return true
}
