package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathitch.example/kumquathitch"
)

// chatRequest is what the server needs to read of a chat completion request.
type chatRequest struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	Messages            []json.RawMessage `json:"messages"`
}

const (
	defaultMaxTokens = 1024
	// bytesPerToken is the usual estimate for English text in byte-pair encodings.
	bytesPerToken = 4
	// prefixBytes is how much of the prompt decides which upstream's prefix cache fits best.
	prefixBytes = 1024
	// maxAttempts bounds how many upstreams one request may try.
	maxAttempts = 3
)

// parseChat reads a chat completion request, or returns a *RefusalError with status 400.
func parseChat(body []byte) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, kumquathitch.NotRun(400, "malformed-body", "The body is not a chat completion request: "+err.Error()+".")
	}
	switch {
	case chat.Model == "":
		return chat, kumquathitch.NotRun(400, "missing-model", "The field model is required.")
	case len(chat.Messages) == 0:
		return chat, kumquathitch.NotRun(400, "missing-messages", "The field messages needs at least one message.")
	case chat.allowedOutput() <= 0:
		return chat, kumquathitch.NotRun(400, "invalid-max-tokens", "The field max_tokens must be above 0.")
	}
	return chat, nil
}

func (c *chatRequest) allowedOutput() int64 {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	}
	return defaultMaxTokens
}

// promptTokens estimates the tokens of the prompt from its bytes.
func (c *chatRequest) promptTokens() int64 {
	var size int64
	for _, m := range c.Messages {
		size += int64(len(m))
	}
	return (size + bytesPerToken - 1) / bytesPerToken
}

func (c *chatRequest) prefixHash() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	left := prefixBytes
	for _, m := range c.Messages {
		part := m[:min(left, len(m))]
		_, _ = digest.Write(part)
		left -= len(part)
	}
	return digest.Sum64()
}

// serveChat admits a chat completion request and relays the answer of an upstream.
func (s *Server) serveChat(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error {
	chat, err := parseChat(x.body)
	if err != nil {
		return err
	}
	if err := s.Accounts.Authorize(x.caller, chat.Model); err != nil {
		return err
	}
	demand := s.chatDemand(ctx, x, &chat)
	charge, err := s.Limits.Admit(ctx, x.caller.Account, float64(demand.Tokens))
	if err != nil {
		return err
	}
	s.Demand.Add(chat.Model, demand.Tokens, s.Clock.Now())
	used := int64(0)
	defer func() { s.Limits.Settle(charge, float64(used)) }()
	return s.attemptChat(ctx, w, r, x, demand, chat.Stream, &used)
}

func (s *Server) chatDemand(ctx context.Context, x *exchange, chat *chatRequest) kumquathitch.Demand {
	deadline, _ := ctx.Deadline()
	return kumquathitch.Demand{
		Account:     x.caller.Account,
		Model:       chat.Model,
		Class:       x.route.Class,
		PrefixHash:  chat.prefixHash(),
		Tokens:      chat.promptTokens() + chat.allowedOutput(),
		Fingerprint: fingerprint(x.caller.Account, x.body),
		FirstToken:  s.Clock.Now().Add(time.Duration(x.route.FirstTokenMS) * time.Millisecond),
		Deadline:    deadline,
	}
}

func fingerprint(account string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(account)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// attemptChat tries upstreams until one begins to answer. Chat completions are
// idempotent, so that a failure before the first byte is tried elsewhere.
func (s *Server) attemptChat(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange,
	demand kumquathitch.Demand, stream bool, used *int64,
) error {
	var last error
	for range maxAttempts {
		choice, err := s.Upstreams.Pick(demand)
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		result, err := s.sendChat(ctx, w, r, x, choice, stream)
		*used = max(*used, result.Tokens)
		s.Upstreams.Done(choice, result)
		var aborted *abortedError
		if err == nil || errors.As(err, &aborted) || ctx.Err() != nil {
			return withCause(ctx, err)
		}
		last = err
		demand.Exclude = append(demand.Exclude, choice.Upstream.Name)
	}
	return last
}

// withCause replaces an error by the refusal that cancelled the context, if any.
func withCause(ctx context.Context, err error) error {
	var aborted *abortedError
	if err == nil || errors.As(err, &aborted) {
		return err
	}
	var refusal *kumquathitch.RefusalError
	if errors.As(context.Cause(ctx), &refusal) {
		return refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kumquathitch.Unknown(504, "deadline-exceeded", "The upstream did not answer in time.")
	}
	return err
}

// sendChat sends the request to one upstream and relays its answer.
func (s *Server) sendChat(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange,
	choice kumquathitch.Choice, stream bool,
) (kumquathitch.Result, error) {
	ctx, span := s.Tracing.Tracer.Start(ctx, "upstream "+choice.Upstream.Name)
	defer span.End()
	request, err := s.upstreamRequest(ctx, r.Method, "http://"+choice.Upstream.Address+r.URL.Path, r.Header, x.body)
	if err != nil {
		return kumquathitch.Result{Failed: true}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return failure(ctx, err), kumquathitch.Unknown(502, "upstream-failed", "The upstream did not answer.")
	}
	defer func() { _ = response.Body.Close() }()
	s.takeReport(choice.Upstream.Name, response.Header)
	if response.StatusCode >= http.StatusInternalServerError {
		return kumquathitch.Result{Failed: true},
			kumquathitch.Unknown(502, "upstream-failed", "The upstream answered with a server error.")
	}
	if stream && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return s.relayStream(ctx, w, x, response)
	}
	return s.relayWhole(ctx, w, response)
}

// failure classifies a transport error. A cancelled request says nothing about the upstream.
func failure(ctx context.Context, err error) kumquathitch.Result {
	if ctx.Err() != nil {
		return kumquathitch.Result{Failed: true}
	}
	var timeout net.Error
	crashed := !errors.As(err, &timeout) || !timeout.Timeout()
	return kumquathitch.Result{Failed: true, Crashed: crashed}
}

// relayWhole reads a complete answer before it writes the first byte, so that
// a broken answer can still be replaced by another upstream's.
func (s *Server) relayWhole(ctx context.Context, w http.ResponseWriter, response *http.Response) (kumquathitch.Result, error) {
	body, err := readWhole(response.Body)
	if err != nil {
		return failure(ctx, err), err
	}
	result := kumquathitch.Result{First: s.Clock.Now()}
	var answer usageBody
	if json.Unmarshal(body, &answer) == nil {
		result.Tokens = answer.Usage.TotalTokens
	}
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // A caller that has gone away needs no answer.
	return result, nil
}

// usageBody is the part of an answer or stream event that tells the tokens used.
type usageBody struct {
	Usage struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
}
