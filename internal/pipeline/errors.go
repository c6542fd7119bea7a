package pipeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// plainErrorHeader is the header of net/http's own answers to malformed requests.
const plainErrorHeader = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// replacementAnswer returns the error answer that replaces net/http's own answer in p, to
// a request that no handler was given. It returns nil if p is something else.
func replacementAnswer(p []byte) []byte {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 4")) && !bytes.HasPrefix(p, []byte("HTTP/1.1 5")) {
		return nil
	}
	line, rest, _ := bytes.Cut(p, []byte("\r\n"))
	kind := pb.ErrorKind_ERROR_KIND_BAD_REQUEST
	message, plain := bytes.CutPrefix(rest, []byte(plainErrorHeader))
	switch {
	case bytes.HasPrefix(line, []byte("HTTP/1.1 417")):
		message = []byte("the Expect header has a value other than 100-continue")
	case !plain:
		return nil
	case bytes.HasPrefix(line, []byte("HTTP/1.1 431")):
		kind = pb.ErrorKind_ERROR_KIND_HEADERS_TOO_LARGE
	}
	return errorAnswer(kind, strings.TrimSpace(string(message)))
}

// errorAnswer returns an error answer that closes the connection, as it is sent.
func errorAnswer(kind errkind.Kind, message string) []byte {
	properties := errkind.Of(kind)
	body, _ := json.Marshal(wire.NewErrorBody(properties, message, "")) // strings always marshal
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		properties.Status, http.StatusText(properties.Status), wire.HeaderError, properties.Name, wire.HeaderRun, wire.RunName(properties.Run), len(body), body)
}
