package gateway

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

// executionHeader states whether a refused request ran: "not-run" or "unknown".
const executionHeader = "kumquathitch-run"

// errorBody is the body of an error response in the OpenAI format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Execution string `json:"run"`
}

// abortedError reports that a response broke off after its first byte was
// written. The connection is then aborted, so that the caller cannot take the
// response for complete.
type abortedError struct {
	Cause error
}

func (e *abortedError) Error() string {
	return "gateway: response aborted: " + e.Cause.Error()
}

func (e *abortedError) Unwrap() error {
	return e.Cause
}

// writeError writes err as a refusal. For an *abortedError it aborts the
// connection by a panic with http.ErrAbortHandler.
func (s *Server) writeError(w http.ResponseWriter, info *requestInfo, err error) {
	var aborted *abortedError
	if errors.As(err, &aborted) {
		s.counters.Load().forAccount(info.caller.Account).aborted.Inc()
		s.Logger.Warn("answer-aborted", zap.String("account", info.caller.Account), zap.String("route", info.route.Path), zap.Error(err))
		panic(http.ErrAbortHandler) // net/http closes the connection without ending the chunked body.
	}
	refusal := asRefusal(err)
	s.counters.Load().countRefusal(info.caller.Account, refusal.Code)
	s.Logger.Info("refused", zap.String("account", info.caller.Account), zap.String("route", info.route.Path),
		zap.Int("status", refusal.Status), zap.String("code", refusal.Code), zap.String("run", refusal.Execution))
	writeRefusal(w, s.Clock.Now(), refusal)
}

// asRefusal returns the refusal that err wraps. For any other error it returns
// one with ExecutionUnknown.
func asRefusal(err error) *kumquathitch.RefusalError {
	var refusal *kumquathitch.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return kumquathitch.NewFailure(502, "upstream-failed", "The upstream failed while it ran the request.")
}

func writeRefusal(w http.ResponseWriter, now time.Time, refusal *kumquathitch.RefusalError) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(executionHeader, refusal.Execution)
	if !refusal.RetryAfter.IsZero() {
		seconds := math.Ceil(refusal.RetryAfter.Sub(now).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, seconds))))
	}
	body := encodeRefusal(refusal)
	w.Header().Set("Content-Length", strconv.Itoa(len(body))) // Lets the caller see the end of the body before the handler returns.
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(body)
}

func encodeRefusal(refusal *kumquathitch.RefusalError) []byte {
	encoded, _ := json.Marshal(errorBody{Error: errorDetail{ // Encoding strings cannot fail.
		Message:   refusal.Message,
		Type:      refusal.Type(),
		Code:      refusal.Code,
		Execution: refusal.Execution,
	}})
	return encoded
}
