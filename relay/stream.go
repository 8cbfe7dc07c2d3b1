package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the initial size of the buffer for events.
	streamBufferBytes = 4 << 10
	// eventTimeoutFactor limits the time without a whole event on a stream, as a multiple
	// of the route's GapLimit and of the usual gap on the instance, before the stream
	// resumes on another instance. Shorter pauses occur because engines preempt streams
	// whose memory more urgent ones need, and resume them later.
	eventTimeoutFactor = 4
	// minEventTimeout is the lower limit of that time, also on routes without a GapLimit.
	minEventTimeout = time.Second
	// maxEventTimeoutFactor and maxEventTimeout limit that time on an instance that is
	// slow for all streams, as a multiple of the GapLimit and absolutely. The greater
	// one applies. Callers leave after such a gap.
	maxEventTimeoutFactor = 8
	maxEventTimeout       = 2 * time.Second
)

var eventEnd = []byte("\n\n")

// streamState is the part of a stream that the caller has received.
type streamState struct {
	lastEventID string // ID of the last event forwarded, at first of the one that the caller resumes after.
	forwarded   bool   // At least one event was forwarded.
	lastEventAt time.Time
	events      int           // Forwarded events, comments included.
	longestGap  time.Duration // Longest time between two writes to the caller.
}

// resumeAfter returns the ID of the event after which an instance resumes the
// stream. It is empty before the first event; the caller's own header then applies.
func (s *streamState) resumeAfter() string {
	if s.forwarded {
		return s.lastEventID
	}
	return ""
}

// relayStream forwards the events of a stream as they arrive.
func (a *attempt) relayStream(ctx context.Context) (kumquathitch.SendResult, sendStatus) {
	if !a.headSent {
		header := a.writer.Header()
		a.Dialect.CopyResponseHeader(header, a.response.Header)
		a.headSent = true
		a.writer.WriteHeader(a.response.StatusCode)
	} else {
		a.Metrics.Resumes.Inc()
		a.Logger.Info("stream resumed", zap.String("call", a.call.ID), zap.String("after-event", a.stream.lastEventID),
			zap.String("instance", a.choice.Instance.ID))
	}
	rest, err := a.copyEvents(ctx)
	a.endWatch(err)
	if err == nil && len(rest) > 0 {
		err = &truncatedStreamError{Bytes: len(rest), Closed: a.endsWithConnection()}
	}
	if err == nil {
		a.reusable = !a.response.Close
		a.logSlowStream()
		a.Metrics.countResponse(a.response.StatusCode, "")
		a.Metrics.ResponseTime.Update(a.Clock.Now().Sub(a.received).Seconds())
		return a.sendResult(kumquathitch.SendAnswered), sendStatus{delivered: true, mayHaveRun: true, answered: true}
	}
	if a.watchdog.timedOut() {
		return a.ended(kumquathitch.SendTimedOut, sendStatus{delivered: true, mayHaveRun: true, retryAllowed: true, err: err})
	}
	outcome := a.cancelledOr(ctx, kumquathitch.SendBroken)
	var caller *callerWriteError
	if errors.As(err, &caller) { // The caller left before the context of its request ended.
		outcome = kumquathitch.SendCancelled
	}
	return a.ended(outcome, sendStatus{delivered: true, mayHaveRun: true, err: err})
}

// endsWithConnection reports whether the body of the response has neither a length nor chunks.
func (a *attempt) endsWithConnection() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// truncatedStreamError reports a stream that ended within an event.
type truncatedStreamError struct {
	Bytes  int  // Of the incomplete event.
	Closed bool // The end was that of the connection.
}

func (e *truncatedStreamError) Error() string {
	return fmt.Sprintf("the stream ended within an event of %d bytes", e.Bytes)
}

// callerWriteError reports that events could not be written to the caller.
type callerWriteError struct {
	Cause error
}

func (e *callerWriteError) Error() string {
	return "write to the caller: " + e.Cause.Error()
}

func (e *callerWriteError) Unwrap() error {
	return e.Cause
}

// logSlowStream logs a stream whose first event or longest gap exceeded the limits of its route.
func (a *attempt) logSlowStream() {
	first := a.headAt.Sub(a.received)
	if first <= a.criteria.LatencyObjective && (a.route.GapLimit <= 0 || a.stream.longestGap <= a.route.GapLimit) {
		return
	}
	a.Logger.Info("stream slow", append(a.logFields(), zap.Duration("first", first), zap.Duration("longest-pause", a.stream.longestGap),
		zap.String("instance", a.choice.Instance.ID), zap.Duration("expected", a.choice.ExpectedTTFB), zap.Int64("tokens", a.call.PromptTokens),
		zap.Int64("to-read", a.choice.PrefillTokens), zap.Int("running", a.head.Load.Running), zap.Int("waiting", a.head.Load.Waiting))...)
}

// readFirstEvent reads the body until it holds a whole event with data, is at its end, or fills the
// first buffer.
func (a *attempt) readFirstEvent() error {
	a.pending = make([]byte, 0, streamBufferBytes)
	for len(a.pending) < cap(a.pending) {
		n, err := a.response.Body.Read(a.pending[len(a.pending):cap(a.pending)])
		a.pending = a.pending[:len(a.pending)+n]
		if n > 0 {
			a.recordBytes()
		}
		whole := bytes.LastIndex(a.pending, eventEnd)
		if errors.Is(err, io.EOF) || (whole >= 0 && hasData(a.pending[:whole])) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// copyEvents forwards whole events until the stream ends. It returns the bytes
// of an incomplete event at the end. The caller ends the watchdog.
func (a *attempt) copyEvents(ctx context.Context) ([]byte, error) {
	control := http.NewResponseController(a.writer)
	pending := a.pending
	if pending == nil {
		pending = make([]byte, 0, streamBufferBytes)
	}
	reserved := int64(0)
	defer func() { a.Buffers.Release(reserved) }()
	a.watchdog.start(ctx, a, a.stream.resumeAfter(), a.eventTimeout)
	var end error
	for {
		if whole := bytes.LastIndex(pending, eventEnd); whole >= 0 {
			whole += len(eventEnd)
			if failed := a.forwardEvents(control, pending[:whole]); failed != nil {
				return nil, failed
			}
			pending = pending[:copy(pending, pending[whole:])]
		}
		switch {
		case errors.Is(end, io.EOF):
			return pending, nil
		case end != nil:
			return pending, end
		case len(pending) > maxEventBytes:
			return pending, errMalformedResponse
		}
		if size := len(pending); size == cap(pending) {
			if full := a.Buffers.Extend(reserved, int64(size)); full != nil {
				reserved = 0
				return pending, full
			}
			reserved += int64(size)
			pending = append(pending, make([]byte, size)...)[:size]
		}
		var n int
		n, end = a.response.Body.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		if n > 0 {
			a.recordBytes()
		}
	}
}

// forwardEvents writes whole events to the caller, and records the ID of the last one. It returns
// errSuperseded for events that a successor sends too.
func (a *attempt) forwardEvents(control *http.ResponseController, events []byte) error {
	progress, id := hasData(events), "" // Comments keep a connection open, and are no progress of the stream.
	if progress {
		if a.route.RetryMode == kumquathitch.RetryResume {
			id, _ = a.lastID(events)
		}
		if err := a.watchdog.recordProgress(a.Clock.Now(), id, true); err != nil {
			return err
		}
	}
	if _, err := a.writer.Write(events); err != nil {
		return &callerWriteError{Cause: err}
	}
	if err := control.Flush(); err != nil {
		return &callerWriteError{Cause: err}
	}
	if !progress {
		return nil
	}
	now := a.Clock.Now()
	_ = a.watchdog.recordProgress(now, "", false) // No successor takes over during a write.
	if a.stream.forwarded {
		gap := now.Sub(a.stream.lastEventAt)
		a.stream.longestGap = max(a.stream.longestGap, gap)
		a.Pool.paces.record(a.choice.Instance.ID, gap, now)
	}
	a.stream.forwarded, a.stream.lastEventAt = true, now
	count := bytes.Count(events, eventEnd)
	a.events += count
	a.stream.events += count
	if id != "" {
		a.stream.lastEventID = id
	}
	return nil
}

// lastID returns the ID of the last of some events that has one. The events at the end
// may be comments.
func (a *attempt) lastID(events []byte) (string, bool) {
	for len(events) > 0 {
		rest := events[:len(events)-len(eventEnd)]
		start := 0
		if i := bytes.LastIndex(rest, eventEnd); i >= 0 {
			start = i + len(eventEnd)
		}
		if id, ok := a.Dialect.EventID(rest[start:]); ok {
			return id, true
		}
		events = events[:start]
	}
	return "", false
}

// hasData reports whether events contain a data field.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, dataField) || bytes.Contains(events, dataFieldLine)
}

var (
	dataField     = []byte("data")
	dataFieldLine = []byte("\ndata")
)

// eventTimeout returns how long the stream may go without a whole event before it
// resumes on another instance, or 0 if it may not.
func (a *attempt) eventTimeout() time.Duration {
	if a.route.RetryMode != kumquathitch.RetryResume || !a.mayFailOver() {
		return 0
	}
	usual := a.Pool.paces.usual(a.choice.Instance.ID, a.Clock.Now())
	least := max(minEventTimeout, eventTimeoutFactor*a.route.GapLimit)
	most := max(least, maxEventTimeout, maxEventTimeoutFactor*a.route.GapLimit)
	return min(most, max(least, eventTimeoutFactor*usual))
}
