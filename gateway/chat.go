package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathitch.example/kumquathitch"
)

// chatRequest holds the fields of a chat completion request that the server reads.
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
	// prefixBytes is the length of the prompt prefix whose hash selects an
	// upstream that may have it in its prefix cache.
	prefixBytes = 1024
	// maxAttempts bounds the attempts of one request, including hedges and resumes.
	maxAttempts = 3
)

// parseChat reads a chat completion request, or returns a *RefusalError with status 400.
func parseChat(body []byte) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, kumquathitch.NewRefusal(400, "malformed-body", "The body is not a chat completion request: "+err.Error()+".")
	}
	switch {
	case chat.Model == "":
		return chat, kumquathitch.NewRefusal(400, "missing-model", "The field model is required.")
	case len(chat.Messages) == 0:
		return chat, kumquathitch.NewRefusal(400, "missing-messages", "The field messages needs at least one message.")
	case chat.maxOutputTokens() <= 0:
		return chat, kumquathitch.NewRefusal(400, "invalid-max-tokens", "The field max_tokens must be above 0.")
	}
	return chat, nil
}

func (c *chatRequest) maxOutputTokens() int64 {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	}
	return defaultMaxTokens
}

// promptTokens estimates the number of prompt tokens from the size of the messages.
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
	remaining := prefixBytes
	for _, m := range c.Messages {
		part := m[:min(remaining, len(m))]
		_, _ = digest.Write(part)
		remaining -= len(part)
	}
	return digest.Sum64()
}

// serveChat admits a chat completion request and relays the response of an upstream.
func (s *Server) serveChat(ctx context.Context, w http.ResponseWriter, r *http.Request, info *requestInfo) error {
	chat, err := parseChat(info.body)
	if err != nil {
		return err
	}
	if err := s.Authenticator.Authorize(info.caller, chat.Model); err != nil {
		return err
	}
	received := s.Clock.Now()
	criteria := s.chatCriteria(ctx, info, &chat)
	charge, err := s.Limiter.Admit(ctx, info.caller.Account, float64(criteria.Tokens))
	if err != nil {
		return err
	}
	s.Demand.Add(chat.Model, criteria.Tokens, s.Clock.Now())
	call := newChatCall(s, info, r, w, criteria)
	call.stream = chat.Stream
	defer func() { s.Limiter.Settle(charge, float64(call.usedTokens)) }()
	err = call.run(ctx)
	s.observeLatency(call, received)
	return err
}

func (s *Server) chatCriteria(ctx context.Context, info *requestInfo, chat *chatRequest) kumquathitch.UpstreamCriteria {
	deadline, _ := ctx.Deadline()
	return kumquathitch.UpstreamCriteria{
		Account:           info.caller.Account,
		Model:             chat.Model,
		Class:             info.route.Class,
		PrefixHash:        chat.prefixHash(),
		Tokens:            chat.promptTokens() + chat.maxOutputTokens(),
		Fingerprint:       chatFingerprint(info.caller.Account, info.body),
		FirstByteDeadline: s.Clock.Now().Add(time.Duration(info.route.FirstTokenMS) * time.Millisecond),
		Deadline:          deadline,
	}
}

func chatFingerprint(account string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(account)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// withCause replaces err by the refusal that cancelled ctx, if any, or by a
// refusal with status 504 if the deadline of ctx has passed. An *abortedError
// is returned unchanged.
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
		return kumquathitch.NewFailure(504, "deadline-exceeded", "The upstream did not answer in time.")
	}
	return err
}

// transportFailure classifies a transport error. A cancelled request and a
// timeout do not count as a crash of the upstream.
func transportFailure(ctx context.Context, err error) kumquathitch.UpstreamResult {
	if ctx.Err() != nil {
		return kumquathitch.UpstreamResult{Failed: true}
	}
	var invalid *invalidStatusError
	if errors.As(err, &invalid) { // An upstream that has written a response has not crashed.
		return kumquathitch.UpstreamResult{Failed: true}
	}
	var netErr net.Error
	crashed := !errors.As(err, &netErr) || !netErr.Timeout()
	return kumquathitch.UpstreamResult{Failed: true, Crashed: crashed}
}

// usageBody is the part of a response or stream event that states the tokens used.
type usageBody struct {
	Usage struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
}
