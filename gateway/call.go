package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// chatCall is one chat completion request and its attempts on upstreams. A
// single goroutine runs it and receives the finished attempts.
type chatCall struct {
	server     *Server
	info       *requestInfo
	request    *http.Request
	writer     http.ResponseWriter
	stream     bool
	criteria   kumquathitch.UpstreamCriteria
	usedTokens int64 // Tokens to charge.

	attemptsLeft int
	running      []*attempt // Attempts that were started and not yet received from finished.
	finished     chan *attempt
	relay        streamRelay
}

func newChatCall(s *Server, info *requestInfo, r *http.Request, w http.ResponseWriter, criteria kumquathitch.UpstreamCriteria) *chatCall {
	return &chatCall{
		server: s, info: info, request: r, writer: w, criteria: criteria, attemptsLeft: maxAttempts,
		finished: make(chan *attempt, maxAttempts), // Large enough that no attempt blocks on it.
		relay:    streamRelay{server: s, writer: w, controller: http.NewResponseController(w)},
	}
}

// run obtains a response and writes it to the caller. If it returns an error
// other than an *abortedError, nothing has been written.
func (c *chatCall) run(ctx context.Context) error {
	defer c.stop()
	a, err := c.firstResponse(ctx)
	if err != nil {
		return withCause(ctx, upstreamRefusal(err))
	}
	if !a.stream {
		return c.writeFullResponse(a)
	}
	err = c.relayStream(ctx, a)
	if err == nil || !c.relay.started {
		return withCause(ctx, upstreamRefusal(err))
	}
	c.relay.writeErrorEvent(withCause(ctx, upstreamRefusal(err)))
	return &abortedError{Cause: err}
}

// relayStream copies a stream to the caller and resumes it on another upstream
// if it breaks.
func (c *chatCall) relayStream(ctx context.Context, current *attempt) error {
	for {
		err := c.relay.copy(current)
		c.finishStream(ctx, current, err)
		var caller *callerError
		// A stream resumes after a number of data events, so at least one is needed.
		cannotResume := c.relay.started && c.relay.sentEvents() == 0
		if err == nil || cannotResume || errors.As(err, &caller) || !c.mayRetry(ctx, err) {
			return err
		}
		next, nextErr := c.firstResponse(ctx)
		if nextErr != nil || !next.stream {
			if nextErr == nil {
				c.finish(next)
			}
			return err
		}
		current = next
	}
}

// firstResponse starts attempts until one of them responds. It replaces a
// failed attempt, and starts a hedged one when the first byte is late.
func (c *chatCall) firstResponse(ctx context.Context) (*attempt, error) {
	if err := c.startAttempt(ctx, c.retryKind()); err != nil {
		return nil, err
	}
	hedgeDue, stop := c.startHedgeTimer()
	defer stop()
	for {
		select {
		case <-hedgeDue:
			_ = c.startAttempt(ctx, kindHedge) // Without a second upstream, keep waiting for the first.
		case a := <-c.finished:
			c.running = slices.DeleteFunc(c.running, func(r *attempt) bool { return r == a })
			switch {
			case a.cancelled:
				c.finish(a)
				continue
			case a.err == nil && a.isTurnedAway() && c.hasPending():
				c.finish(a)
				continue
			case a.err == nil:
				c.cancelRunning()
				return a, nil
			}
			c.finish(a)
			c.countFailure(ctx, a.err)
			if c.hasPending() {
				continue
			}
			if !c.mayRetry(ctx, a.err) || c.startAttempt(ctx, kindRetry) != nil {
				return nil, a.err
			}
		}
	}
}

// startAttempt starts an attempt on the upstream that the picker chooses. The
// kind is one of the kind constants, or "" for the first attempt.
func (c *chatCall) startAttempt(ctx context.Context, kind string) error {
	if c.attemptsLeft == 0 {
		return kumquathitch.NewFailure(502, "upstream-failed", "Every upstream that was tried failed.")
	}
	choice, err := c.server.Picker.Pick(c.criteria)
	if err != nil {
		return err
	}
	if kind != "" {
		c.server.counters.Load().countRepeat(kind)
	}
	c.attemptsLeft--
	c.criteria.Exclude = append(c.criteria.Exclude, choice.Upstream.Name)
	attemptCtx, cancel := context.WithCancel(ctx)
	a := &attempt{choice: choice, id: newRequestID(), skipEvents: c.relay.sentEvents(), cancel: cancel}
	c.running = append(c.running, a)
	go func() {
		defer func() {
			// A panic must end this attempt only, not the process.
			if cause := recover(); cause != nil {
				a.err = &attemptError{Upstream: choice.Upstream.Name, Reason: reasonBroken, Cause: fmt.Errorf("panic: %v", cause)}
			}
			c.finished <- a
		}()
		a.err = c.server.send(attemptCtx, c, a)
	}()
	return nil
}

func (c *chatCall) retryKind() string {
	switch {
	case c.relay.started:
		return kindResume
	case c.attemptsLeft < maxAttempts:
		return kindRetry
	}
	return ""
}

// mayRetry reports whether a failed request may be sent to another upstream:
// the route is idempotent, or no byte of the request was sent.
func (c *chatCall) mayRetry(ctx context.Context, err error) bool {
	var failed *attemptError
	notSent := errors.As(err, &failed) && failed.Reason == reasonConnect
	return ctx.Err() == nil && c.attemptsLeft > 0 && (c.info.route.Idempotent || notSent)
}

// hasPending reports whether an attempt that may still respond is running.
func (c *chatCall) hasPending() bool {
	return slices.ContainsFunc(c.running, func(a *attempt) bool { return !a.cancelled })
}

// cancelRunning cancels the running attempts. It does not wait for them, which
// would delay the response; stop receives them.
func (c *chatCall) cancelRunning() {
	for _, a := range c.running {
		a.cancelled = true
		a.cancel()
	}
}

// stop cancels the running attempts and waits for them.
func (c *chatCall) stop() {
	c.cancelRunning()
	for range c.running {
		c.finish(<-c.finished)
	}
	c.running = nil
}

// finish releases an attempt and reports its result to the picker. The result
// of a cancelled attempt says nothing about its upstream.
func (c *chatCall) finish(a *attempt) {
	a.release()
	if a.cancelled {
		a.result = kumquathitch.UpstreamResult{Failed: true}
	}
	c.server.Picker.Done(a.choice, a.result)
}

// finishStream records the tokens and the result of a relayed stream and
// finishes its attempt.
func (c *chatCall) finishStream(ctx context.Context, a *attempt, err error) {
	c.usedTokens = max(c.usedTokens, c.relay.scanner.usedTokens())
	a.result.Tokens = c.relay.scanner.usedTokens()
	var caller *callerError
	switch {
	case err == nil:
	case errors.As(err, &caller):
		a.result.Failed = true
	default:
		a.result.Failed = true
		a.result.Crashed = transportFailure(ctx, err).Crashed
		c.countFailure(ctx, &attemptError{Upstream: a.choice.Upstream.Name, Reason: reasonTruncated, Cause: err})
	}
	c.finish(a)
}

// countFailure counts a failure of an upstream. A cancelled request is not counted.
func (c *chatCall) countFailure(ctx context.Context, err error) {
	var failed *attemptError
	if ctx.Err() == nil && errors.As(err, &failed) {
		c.server.counters.Load().countUpstreamFailure(failed.Reason)
	}
}

// writeFullResponse writes a response that was read to its end.
func (c *chatCall) writeFullResponse(a *attempt) error {
	var usage usageBody
	if json.Unmarshal(a.body.Data, &usage) == nil {
		a.result.Tokens = usage.Usage.TotalTokens
	}
	c.usedTokens = max(c.usedTokens, a.result.Tokens)
	header, status, body := a.response.Header, a.response.StatusCode, a.body
	defer body.Release()
	a.body = intake.HeldBody{} // The end of the attempt comes before the write.
	c.finish(a)
	c.writer.Header().Set("Content-Type", header.Get("Content-Type"))
	if after := header.Get("Retry-After"); after != "" {
		c.writer.Header().Set("Retry-After", after)
	}
	c.relay.extendDeadline(c.server.Clock.Now())
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write(body.Data) // A caller that has gone away needs none.
	return nil
}

// upstreamRefusal returns the refusal that a caller gets for a failed attempt.
// Other errors are returned unchanged.
func upstreamRefusal(err error) error {
	var failed *attemptError
	if !errors.As(err, &failed) {
		return err
	}
	if failed.Reason == reasonConnect {
		return kumquathitch.NewRefusal(503, "upstream-unreachable", "The upstream could not be reached.")
	}
	return kumquathitch.NewFailure(502, "upstream-failed", "The upstream failed while it ran the request.")
}
