package peer

import (
	"context"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// Errors of Call other than the receiver's, for use with errors.Is.
var (
	// ErrUnreachable is returned when no connection could be opened, so the call
	// certainly did not run. Its kind is no server, or unauthenticated if the
	// authentication failed.
	ErrUnreachable = eris.New("node unreachable")
	// ErrLost is returned when the connection was lost after the call was sent, so
	// the call may have run. Its kind is timeout.
	ErrLost = eris.New("control connection lost")
)

// notFoundPrefix is the prefix of net/rpc's errors for unknown services and methods.
const notFoundPrefix = "rpc: can't find "

// remoteError reconstructs a receiver's error from its text. The first part between
// colons that names a kind becomes the kind; without one the kind is internal.
func remoteError(text string) error {
	if strings.HasPrefix(text, notFoundPrefix) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "%s", text)
	}
	remaining := text
	for remaining != "" {
		part, after, _ := strings.Cut(remaining, ": ")
		if kind, ok := errkind.Parse(part); ok {
			outer := strings.TrimSuffix(text, remaining)
			return errkind.New(kind, "%s%s", outer, after)
		}
		remaining = after
	}
	return errkind.New(pb.ErrorKind_ERROR_KIND_INTERNAL, "%s", text)
}

// contextError returns the error of a call whose context is done: of kind cancelled
// or timeout.
func contextError(err error, addr, method string) error {
	kind := pb.ErrorKind_ERROR_KIND_TIMEOUT
	if errors.Is(err, context.Canceled) {
		kind = pb.ErrorKind_ERROR_KIND_CANCELLED
	}
	return errkind.Wrap(kind, err, "call %s at %s", method, addr)
}

// unreachableError returns ErrUnreachable joined with its cause. A failed
// authentication keeps its kind.
func unreachableError(err error, addr string) error {
	kind := errkind.KindOf(err)
	if kind != pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED {
		kind = pb.ErrorKind_ERROR_KIND_NO_SERVER
	}
	return errkind.Wrap(kind, errors.Join(ErrUnreachable, err), "open control connection to %s", addr)
}
