package kumquathitch

import (
	"fmt"
	"net/http"
	"time"
)

// Values of RefusalError.Execution: whether a refused or failed request ran.
const (
	NotExecuted      = "not-run" // No byte of the request was sent to an upstream.
	ExecutionUnknown = "unknown" // The request may have run.
)

// RefusalError is an error response of kumquathitch itself, in place of an upstream's
// response.
type RefusalError struct {
	Status     int       // HTTP status code.
	Code       string    // Machine-readable reason, kebab case.
	Message    string    // One sentence for people.
	Execution  string    // NotExecuted or ExecutionUnknown.
	RetryAfter time.Time // Earliest time at which a retry is useful; zero when unknown.
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Execution, e.Message)
}

// Type returns the error type that the OpenAI API uses for the status.
func (e *RefusalError) Type() string {
	switch e.Status {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusForbidden:
		return "permission_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	}
	if e.Status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}

// NewRefusal returns the refusal of a request of which no byte was sent to an upstream.
func NewRefusal(status int, code, message string) *RefusalError {
	return &RefusalError{Status: status, Code: code, Message: message, Execution: NotExecuted}
}

// NewFailure returns the failure of a request that may have run.
func NewFailure(status int, code, message string) *RefusalError {
	return &RefusalError{Status: status, Code: code, Message: message, Execution: ExecutionUnknown}
}
