package gateway

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kumquathitch.example/kumquathitch"
)

const (
	// repeatHeader marks a response that repeats the stored outcome of an earlier request.
	repeatHeader = "kumquathitch-repeat"
	// bodyHeader is "dropped" on a repeated response whose body was not stored.
	bodyHeader = "kumquathitch-body"
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
	maxIdempotencyKeyBytes = 255
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	request  *http.Request
	info     *requestInfo
	criteria kumquathitch.UpstreamCriteria
	claim    *kumquathitch.Claim // nil if the call has no idempotency key.
}

// idempotencyKey returns the idempotency key of a request, or "" if it has none
// or the route is idempotent. It returns a *RefusalError with status 400 if the
// key is invalid, or is missing where the route requires one.
func idempotencyKey(h http.Header, route kumquathitch.Route) (string, error) {
	if route.Idempotent {
		return "", nil
	}
	key := strings.TrimSpace(h.Get(idempotencyHeader))
	switch {
	case key == "" && route.RequireIdempotencyKey:
		return "", kumquathitch.NewRefusal(400, "missing-idempotency-key", "The route requires the header Idempotency-Key.")
	case len(key) > maxIdempotencyKeyBytes || len(h.Values(idempotencyHeader)) > 1:
		return "", kumquathitch.NewRefusal(400, "invalid-idempotency-key",
			"The header Idempotency-Key must appear once and have at most 255 bytes.")
	}
	return key, nil
}

// serviceFingerprint hashes the account, method, path, query and body of a call.
func serviceFingerprint(account string, r *http.Request, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{account, r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// recordOutcome records the outcome of a claimed call. The claim is withdrawn
// only on a refusal with NotExecuted, which proves that no byte of the call was sent.
func (s *Server) recordOutcome(call *serviceCall, response serviceResponse, err error) {
	switch {
	case call.claim == nil:
	case err == nil:
		s.Outcomes.Complete(*call.claim, kumquathitch.Outcome{
			Status: response.status, ContentType: response.contentType, Body: response.body,
		})
	case asRefusal(err).Execution == kumquathitch.NotExecuted:
		s.Outcomes.Withdraw(*call.claim)
	default:
		s.Outcomes.Abandon(*call.claim)
	}
}

// writeStoredOutcome answers a repeated request with the outcome of the first one.
func writeStoredOutcome(w http.ResponseWriter, outcome *kumquathitch.Outcome) {
	w.Header().Set(repeatHeader, "true")
	if outcome.BodyDropped {
		w.Header().Set(bodyHeader, "dropped")
	}
	writeServiceResponse(w, serviceResponse{status: outcome.Status, contentType: outcome.ContentType, body: outcome.Body})
}

func writeServiceResponse(w http.ResponseWriter, response serviceResponse) {
	if response.contentType != "" {
		w.Header().Set("Content-Type", response.contentType)
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body) // A write error means that the caller has gone away.
}
