package gateway

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// busyRetryAfter is when a caller may try again after a lack of memory.
const busyRetryAfter = time.Second

// maxBodyBytes is the maximum size of a caller's request body.
const maxBodyBytes = 8 << 20

func routeTimeout(route kumquathitch.Route) time.Duration {
	return time.Duration(route.TimeoutMS) * time.Millisecond
}

func headerCarrier(h http.Header) propagation.HeaderCarrier {
	return propagation.HeaderCarrier(h)
}

// defaultBufferBytes is the memory for bodies and responses of a server without Buffers.
const defaultBufferBytes = 256 << 20

// prepare authenticates the caller, unless the route is open, and reads the
// body into info. It returns a *RefusalError with status 400 or 413 for a body
// that it rejects.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, info *requestInfo) error {
	info.key = presentedKey(r.Header)
	if !info.route.Open {
		caller, err := s.Authenticator.Authenticate(info.key)
		if err != nil {
			return err
		}
		info.caller = caller
	}
	if err := s.readBody(w, r, info); err != nil {
		return err
	}
	return rejectKeyInContent(info.key, info.body, r.URL.RawQuery)
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, info *requestInfo) error {
	err := info.held.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), "body", r.ContentLength, maxBodyBytes)
	var tooLong *http.MaxBytesError
	var tooLarge *intake.TooLargeError
	var full *intake.BuffersFullError
	switch {
	case errors.As(err, &tooLong), errors.As(err, &tooLarge):
		return kumquathitch.NewRefusal(413, "body-too-large", "The request body is larger than 8 MiB.")
	case errors.As(err, &full):
		refusal := kumquathitch.NewRefusal(503, "buffers-full", "The requests that this VM holds take all of its memory for them.")
		refusal.RetryAfter = s.Clock.Now().Add(busyRetryAfter)
		return refusal
	case err != nil:
		return kumquathitch.NewRefusal(400, "body-unreadable", "The request body ended early.")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // The connection may carry further requests.
	info.body = info.held.Data
	return nil
}

// rejectKeyInContent refuses a request whose body or query contains the
// caller's key, because both are forwarded to the upstream.
func rejectKeyInContent(key string, body []byte, query string) error {
	if key == "" {
		return nil
	}
	if bytes.Contains(body, []byte(key)) || strings.Contains(query, key) {
		return kumquathitch.NewRefusal(400, "key-in-content", "The API key must appear only in the Authorization header.")
	}
	return nil
}

// presentedKey returns the bearer token of the Authorization header, or "".
func presentedKey(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
