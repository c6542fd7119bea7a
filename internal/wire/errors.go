package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// ErrorBody is the JSON body of an answer made by the system.
type ErrorBody struct {
	Kind      string `json:"kind"`
	Run       string `json:"run"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
}

// RunName returns the value of HeaderRun for a run state.
func RunName(state pb.RunState) string {
	switch state {
	case pb.RunState_RUN_STATE_NO:
		return "no"
	case pb.RunState_RUN_STATE_YES:
		return "yes"
	default:
		return "unknown"
	}
}

// WriteError writes an error answer of the given kind: status, headers and a JSON body.
func WriteError(w http.ResponseWriter, kind errkind.Kind, message, requestID string) {
	ErrorAnswer(kind, message).WriteError(w, HeaderRequestID, requestID)
}

// WriteError writes an error answer made by the system: status, headers and a JSON body.
// The request's id goes into the header named idHeader.
func (a *Answer) WriteError(w http.ResponseWriter, idHeader, requestID string) {
	kind, message := a.Kind, a.Message
	properties := errkind.Of(kind)
	body, _ := json.Marshal(NewErrorBody(properties, message, requestID)) // strings always marshal
	header := w.Header()
	header[HeaderError] = []string{properties.Name}
	header[HeaderRun] = []string{RunName(properties.Run)}
	header["Content-Type"] = []string{"application/json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	if requestID != "" {
		header[idHeader] = []string{requestID}
	}
	if a.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}
	} else if wait := a.SuggestedWait(); wait > 0 {
		header["Retry-After"] = []string{strconv.Itoa(int(wait / time.Second))}
	}
	w.WriteHeader(properties.Status)
	_, _ = w.Write(body) // fails only if the caller disconnected
}

// SuggestedWait returns the wait in the answer's Retry-After header; zero: it has none. The
// default of a kind is in whole seconds.
func (a *Answer) SuggestedWait() time.Duration {
	if a.RetryAfter > 0 {
		return a.RetryAfter
	}
	return (errkind.Of(a.Kind).RetryAfter + time.Second - 1) / time.Second * time.Second
}

// NewErrorBody returns the body of an answer made by the system.
func NewErrorBody(properties errkind.Properties, message, requestID string) ErrorBody {
	return ErrorBody{Kind: properties.Name, Run: RunName(properties.Run), Message: message, RequestID: requestID}
}
