package wire

import (
	"bytes"
	"net/http"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// CheckFraming refuses a request with both Content-Length and Transfer-Encoding, since its
// end is ambiguous. net/http drops the former header, so the check reads the request head
// as it was sent. It also refuses a chunked request that was pipelined, since its head is
// not recorded.
func CheckFraming(r *http.Request) error {
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return nil
	}
	head, _, _ := bytes.Cut(c.requestHead(), headEnd)
	line := r.Method + " " + r.RequestURI + " "
	if !bytes.HasPrefix(bytes.TrimLeft(head, "\r\n"), []byte(line)) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "chunked request pipelined behind a request that isn't answered yet")
	}
	for field := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(field, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "request has both Content-Length and Transfer-Encoding")
		}
	}
	return nil
}
