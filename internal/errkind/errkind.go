// Package errkind provides errors that have a kind. It defines for each error kind what a
// caller or an operator gets: its name, HTTP status, run state (whether a backend server ran
// the request), suggested wait and exit code.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

// Kind is an error kind. The schema lists all kinds.
type Kind = pb.ErrorKind

// Properties are what all errors of a kind have in common.
type Properties struct {
	// Name is the name of the kind in answers, logs and metrics.
	Name string
	// Status is the HTTP status of the answer.
	Status int
	// Run says whether a backend server ran the request. RUN_STATE_NO certifies that none
	// did and none will, so that it can be sent again safely.
	Run pb.RunState
	// Retryable reports whether the system may send the request to another backend
	// server, regardless of its method.
	Retryable bool
	// RetryAfter is the wait suggested to the caller; zero means none.
	RetryAfter time.Duration
	// ExitCode is the exit code of the command-line programs.
	ExitCode int
}

const (
	runNo      = pb.RunState_RUN_STATE_NO
	runUnknown = pb.RunState_RUN_STATE_UNKNOWN

	// statusClientClosedRequest is the customary, non-standard status for a caller that
	// disconnected before the answer.
	statusClientClosedRequest = 499
)

// table has one row for each kind, with the fields of Properties in their order. A test
// checks that it is complete.
var table = map[Kind]Properties{
	pb.ErrorKind_ERROR_KIND_BAD_REQUEST:         {"bad_request", http.StatusBadRequest, runNo, false, 0, 10},
	pb.ErrorKind_ERROR_KIND_HEADERS_TOO_LARGE:   {"headers_too_large", http.StatusRequestHeaderFieldsTooLarge, runNo, false, 0, 11},
	pb.ErrorKind_ERROR_KIND_BODY_TOO_LARGE:      {"body_too_large", http.StatusRequestEntityTooLarge, runNo, false, 0, 12},
	pb.ErrorKind_ERROR_KIND_SLOW_SENDER:         {"slow_sender", http.StatusRequestTimeout, runNo, false, 0, 13},
	pb.ErrorKind_ERROR_KIND_UNKNOWN_SERVICE:     {"unknown_service", http.StatusNotFound, runNo, false, 0, 14},
	pb.ErrorKind_ERROR_KIND_BAD_DEADLINE:        {"bad_deadline", http.StatusBadRequest, runNo, false, 0, 15},
	pb.ErrorKind_ERROR_KIND_TOO_DEEP:            {"too_deep", http.StatusLoopDetected, runNo, false, 0, 16},
	pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN: {"deadline_before_run", http.StatusGatewayTimeout, runNo, false, 0, 17},
	pb.ErrorKind_ERROR_KIND_DEADLINE_AFTER_SEND: {"deadline_after_send", http.StatusGatewayTimeout, runUnknown, false, 0, 18},
	pb.ErrorKind_ERROR_KIND_OVERLOADED:          {"overloaded", http.StatusServiceUnavailable, runNo, true, time.Second, 19},
	pb.ErrorKind_ERROR_KIND_NO_SERVER:           {"no_server", http.StatusServiceUnavailable, runNo, false, time.Second, 20},
	pb.ErrorKind_ERROR_KIND_DRAINING:            {"draining", http.StatusServiceUnavailable, runNo, true, time.Second, 21},
	pb.ErrorKind_ERROR_KIND_QUARANTINED:         {"quarantined", http.StatusUnprocessableEntity, runNo, false, 0, 22},
	pb.ErrorKind_ERROR_KIND_REGION_BUDGET:       {"region_budget", http.StatusServiceUnavailable, runNo, false, time.Second, 23},
	pb.ErrorKind_ERROR_KIND_NOT_READY:           {"not_ready", http.StatusServiceUnavailable, runNo, true, time.Second, 24},
	pb.ErrorKind_ERROR_KIND_SERVER_FAILED:       {"server_failed", http.StatusBadGateway, runUnknown, false, 0, 25},
	pb.ErrorKind_ERROR_KIND_ANSWER_CUT:          {"answer_cut", http.StatusBadGateway, runUnknown, false, 0, 26},
	pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN:     {"outcome_unknown", http.StatusConflict, runUnknown, false, 0, 27},
	pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS:     {"key_in_progress", http.StatusConflict, runUnknown, false, time.Second, 28},
	pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD:         {"key_too_old", http.StatusConflict, runUnknown, false, 0, 29},
	pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE:  {"keeper_unavailable", http.StatusServiceUnavailable, runNo, false, time.Second, 30},
	pb.ErrorKind_ERROR_KIND_KEY_REUSED:          {"key_reused", http.StatusUnprocessableEntity, runNo, false, 0, 31},
	pb.ErrorKind_ERROR_KIND_CANCELLED:           {"cancelled", statusClientClosedRequest, runUnknown, false, 0, 32},
	pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED:     {"unauthenticated", http.StatusUnauthorized, runNo, false, 0, 33},
	pb.ErrorKind_ERROR_KIND_CONFLICT:            {"conflict", http.StatusConflict, runNo, false, 0, 34},
	pb.ErrorKind_ERROR_KIND_INVALID_CONFIG:      {"invalid_config", http.StatusBadRequest, runNo, false, 0, 35},
	pb.ErrorKind_ERROR_KIND_LOG_UNAVAILABLE:     {"log_unavailable", http.StatusServiceUnavailable, runNo, false, time.Second, 36},
	pb.ErrorKind_ERROR_KIND_LOG_OUTCOME_UNKNOWN: {"log_outcome_unknown", http.StatusServiceUnavailable, runUnknown, false, 0, 37},
	pb.ErrorKind_ERROR_KIND_NOT_FOUND:           {"not_found", http.StatusNotFound, runNo, false, 0, 38},
	pb.ErrorKind_ERROR_KIND_INTERNAL:            {"internal", http.StatusInternalServerError, runUnknown, false, 0, 39},
	pb.ErrorKind_ERROR_KIND_TIMEOUT:             {"timeout", http.StatusGatewayTimeout, runUnknown, false, 0, 40},
	pb.ErrorKind_ERROR_KIND_KEY_INVALID:         {"key_invalid", http.StatusBadRequest, runNo, false, 0, 41},
	pb.ErrorKind_ERROR_KIND_OVER_QUOTA:          {"over_quota", http.StatusTooManyRequests, runNo, false, time.Second, 42},
	pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED:  {"region_not_allowed", http.StatusServiceUnavailable, runNo, true, time.Second, 43},
}

// Of returns the properties of kind. An unknown kind has those of the kind internal.
func Of(kind Kind) Properties {
	properties, ok := table[kind]
	if !ok {
		return table[pb.ErrorKind_ERROR_KIND_INTERNAL]
	}
	return properties
}

// Parse returns the kind whose Properties.Name is name.
func Parse(name string) (Kind, bool) {
	for kind, properties := range table {
		if properties.Name == name {
			return kind, true
		}
	}
	return pb.ErrorKind_ERROR_KIND_UNSPECIFIED, false
}

// Error is an error that has a kind.
type Error struct {
	Kind  Kind
	cause error
}

// New returns an error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, cause: eris.Errorf(format, args...)}
}

// Wrap adds a kind and a formatted message to err. It returns nil if err is nil.
func Wrap(kind Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, cause: eris.Wrapf(err, format, args...)}
}

// Error returns the name of the kind and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v", Of(e.Kind).Name, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// KindOf returns the kind of err, or internal if it has none.
func KindOf(err error) Kind {
	var kindErr *Error
	if errors.As(err, &kindErr) {
		return kindErr.Kind
	}
	return pb.ErrorKind_ERROR_KIND_INTERNAL
}
