package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// Reasons of upstream failures, as labelled in metrics. With reasonConnect no
// byte of the request was sent; with reasonCrossed the response belongs to
// another request; with reasonTruncated a stream broke off before its end marker.
const (
	reasonConnect   = "connect"
	reasonBroken    = "broken"
	reasonStatus    = "status"
	reasonCrossed   = "crossed"
	reasonNoResume  = "cannot-resume"
	reasonTruncated = "truncated"
)

// attemptError reports why an upstream gave no usable response.
type attemptError struct {
	Upstream string
	Reason   string
	Cause    error
}

func (e *attemptError) Error() string {
	return fmt.Sprintf("gateway: upstream %s: %s: %v", e.Upstream, e.Reason, e.Cause)
}

func (e *attemptError) Unwrap() error {
	return e.Cause
}

// attempt is one attempt of a request on one upstream. Its goroutine sends the
// request and ends when it has the first bytes of a stream or a complete response.
type attempt struct {
	choice     kumquathitch.UpstreamChoice
	id         string // Request ID of this attempt.
	skipEvents int64  // Number of data events that the caller already has.
	cancel     context.CancelFunc
	cancelled  bool // Another attempt responded first, or the call has ended.
	response   *http.Response
	buffer     *[]byte         // From the pool buffers; starts with the first bytes of a stream.
	buffered   int             // Number of bytes in buffer.
	readErr    error           // Error of the read that filled buffer.
	body       intake.HeldBody // Complete body, if stream is false.
	stream     bool
	result     kumquathitch.UpstreamResult
	err        error
}

// send sends the request to the upstream of a and stores the response in a.
func (s *Server) send(ctx context.Context, c *chatCall, a *attempt) error {
	ctx, span := s.Tracing.Tracer.Start(ctx, "upstream "+a.choice.Upstream.Name)
	defer span.End()
	url := "http://" + a.choice.Upstream.Address + c.request.URL.Path
	request, err := s.upstreamRequest(ctx, c.request.Method, url, c.request.Header, c.info.body)
	if err != nil {
		return a.fail(kumquathitch.UpstreamResult{Failed: true}, reasonConnect, err)
	}
	request.Header.Set(requestIDHeader, a.id)
	request.Header.Set(priorityHeader, strconv.Itoa(a.choice.Priority))
	if a.skipEvents > 0 {
		request.Header.Set(resumeHeader, strconv.FormatInt(a.skipEvents, 10))
	}
	response, err := do(s.client, request) //nolint:bodyclose // The method release closes it.
	if err != nil {
		result, reason := transportFailure(ctx, err), reasonBroken
		if executionAfter(err) == kumquathitch.NotExecuted {
			result.Unsent, reason = true, reasonConnect
		}
		return a.fail(result, reason, err)
	}
	a.response = response
	s.forwardLoadReport(a.choice.Upstream.Name, response.Header)
	if err := a.checkHeader(c); err != nil {
		return err
	}
	return a.readFirstBytes(ctx, s)
}

// executionAfter returns NotExecuted if err proves that the request did not run
// on the upstream, because no connection could be opened, else ExecutionUnknown.
func executionAfter(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return kumquathitch.NotExecuted
	}
	return kumquathitch.ExecutionUnknown
}

// checkHeader returns an *attemptError if the header shows that the response
// cannot be relayed.
func (a *attempt) checkHeader(c *chatCall) error {
	h := a.response.Header
	failed := kumquathitch.UpstreamResult{Failed: true, PausedUntil: pauseEnd(a.response, c.server.Clock.Now())}
	if echo := h.Get(requestIDHeader); echo != "" && echo != a.id {
		return a.fail(failed, reasonCrossed, fmt.Errorf("the response belongs to request %q", echo))
	}
	status := a.response.StatusCode
	a.stream = c.stream && status == http.StatusOK && strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	switch {
	case status >= http.StatusInternalServerError:
		return a.fail(failed, reasonStatus, fmt.Errorf("status %d", status))
	case a.skipEvents > 0 && (!a.stream || h.Get(resumedHeader) != strconv.FormatInt(a.skipEvents, 10)):
		return a.fail(failed, reasonNoResume, errors.New("the engine does not resume streams"))
	}
	return nil
}

// isTurnedAway reports whether the upstream has turned the request away, which another one may answer.
func (a *attempt) isTurnedAway() bool {
	return a.response.StatusCode == http.StatusTooManyRequests
}

// readFirstBytes reads the first bytes of a stream, or the complete body of any
// other response.
func (a *attempt) readFirstBytes(ctx context.Context, s *Server) error {
	if !a.stream {
		if err := s.readFullBody(a.response, &a.body); err != nil {
			return a.fail(bodyFailure(ctx, err), reasonBroken, err)
		}
		a.result.FirstByte = s.Clock.Now()
		return nil
	}
	a.buffer, _ = buffers.Get().(*[]byte)
	for a.buffered == 0 && a.readErr == nil {
		a.buffered, a.readErr = a.response.Body.Read(*a.buffer)
	}
	if a.buffered == 0 {
		return a.fail(transportFailure(ctx, a.readErr), reasonTruncated, a.readErr)
	}
	a.result.FirstByte, a.result.Stream = s.Clock.Now(), true
	return nil
}

func (a *attempt) fail(result kumquathitch.UpstreamResult, reason string, cause error) error {
	a.result = result
	return &attemptError{Upstream: a.choice.Upstream.Name, Reason: reason, Cause: cause}
}

// release frees the resources of the attempt. Closing a body that was not read
// to its end closes the connection, so a late response cannot be taken for that
// of another request.
func (a *attempt) release() {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	if a.buffer != nil {
		buffers.Put(a.buffer)
		a.buffer = nil
	}
	a.body.Release()
}

func newRequestID() string {
	return strconv.FormatUint(rand.Uint64(), 16) //nolint:gosec // Ids tell attempts apart; they are no secret.
}

// startHedgeTimer returns a channel that receives when the first byte of a
// stream is late, or nil if the request must not be sent to a second upstream.
func (c *chatCall) startHedgeTimer() (due <-chan time.Time, stop func()) {
	if !c.stream || !c.info.route.Idempotent || c.relay.started {
		return nil, func() {}
	}
	timer := time.NewTimer(c.criteria.FirstByteDeadline.Sub(c.server.Clock.Now()))
	return timer.C, func() { timer.Stop() }
}
