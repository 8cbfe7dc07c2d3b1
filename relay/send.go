package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

const (
	// maxMismatchedResponses bounds the responses to other calls, and the interim
	// responses (1xx), that are dropped on one connection.
	maxMismatchedResponses = 3
	// maxResponseBytes bounds a response that is not a stream.
	maxResponseBytes = 16 << 20
	// headTimeoutFactor limits the wait for the head of a response, as a multiple of
	// the expected time. A call that may run again then fails over to another instance.
	headTimeoutFactor = 4
	// minHeadTimeoutFraction is the lower limit of that wait, as a fraction of the
	// objective. A response after the objective counts for little, and the other
	// instance needs the remaining time.
	minHeadTimeoutFraction = 0.6
	// rankedPriority is the priority for engines of calls that the scheduler ranks.
	rankedPriority = 4
)

// sendStatus is the result of one send with regard to the caller.
type sendStatus struct {
	answered     bool  // The caller has the whole response.
	delivered    bool  // The call was written to the instance, at least in part.
	retryAllowed bool  // The retry budget has already allowed the next send.
	mayHaveRun   bool  // The instance may have run the call.
	err          error // Reason why the caller has no response.
}

func (s sendStatus) reason() string {
	if s.err == nil {
		return "unknown cause"
	}
	return s.err.Error()
}

// errMismatchedResponse reports that a connection carried only responses to other calls.
var errMismatchedResponse = errors.New("the connection carried responses to other calls")

// errMalformedResponse reports that the response cannot be forwarded as it is.
var errMalformedResponse = errors.New("the response is malformed")

// send sends the call to an instance and forwards the response. If the instance is a successor
// whose response has begun, it only forwards the response.
func (rc *relayedCall) send(ctx context.Context, choice kumquathitch.InstanceChoice) (kumquathitch.SendResult, sendStatus) {
	rc.sends++
	ctx, span := rc.Tracer.Start(ctx, "send")
	defer span.End()
	if next := rc.successor; next != nil {
		rc.successor = nil
		defer next.cancel()
		defer next.endSearch()
		result, status := next.relay(ctx)
		return next.conclude(ctx, result, status)
	}
	a, err := rc.open(ctx, choice, rc.stream.resumeAfter())
	if err != nil {
		return kumquathitch.SendResult{Outcome: rc.cancelledOr(ctx, kumquathitch.SendUnreachable)}, sendStatus{err: err}
	}
	defer a.endSearch()
	result, status := a.roundTrip(ctx)
	return a.conclude(ctx, result, status)
}

// endSearch ends what the watchdog has begun and the call does not use: everything after a panic, and
// otherwise nothing.
func (a *attempt) endSearch() {
	a.watchdog.stop()
	if unused := a.watchdog.takeSuccessor(); unused != nil {
		unused.abandon()
	}
}

// open returns an attempt with a connection to an instance, which closes when ctx ends.
func (rc *relayedCall) open(ctx context.Context, choice kumquathitch.InstanceChoice, resumeAfter string) (*attempt, error) {
	noRetry := rc.route.RetryMode == kumquathitch.RetryNever
	c, err := rc.Pool.acquire(ctx, &choice.Instance, noRetry, rc.Clock.Now())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	return &attempt{relayedCall: rc, connection: c, choice: choice, resumeAfter: resumeAfter, stop: stop}, nil
}

// close returns the connection to the pool, or closes it.
func (a *attempt) close() {
	// If stop reports false, the end of the context closes the connection.
	if a.stop() && a.reusable {
		a.Pool.release(a.connection, a.Clock.Now(), a.head.KeepAliveUntil)
	} else {
		_ = a.connection.Close()
	}
}

// conclude ends an attempt, and takes its successor and what the search for one has used up.
func (a *attempt) conclude(ctx context.Context, result kumquathitch.SendResult, status sendStatus) (kumquathitch.SendResult, sendStatus) {
	a.close()
	if status.err != nil && (ctx.Err() != nil || a.callerLeft()) {
		result.Outcome = kumquathitch.SendCancelled
	}
	sends, runs := a.watchdog.spent()
	a.sends, a.runs = a.sends+sends, a.runs+runs
	if status.mayHaveRun && !status.answered {
		a.runs++
	}
	a.successor = a.watchdog.takeSuccessor()
	a.recordEnd(result.Outcome, status)
	return result, status
}

// recordEnd records what the end of a send shows of its instance. An instance that crashes before
// it has written anything looks like one that closes an idle connection. One that sends
// bytes that are no response has not crashed.
func (a *attempt) recordEnd(outcome kumquathitch.SendOutcome, status sendStatus) {
	end := kumquathitch.EndSilent
	switch {
	case outcome == kumquathitch.SendAnswered && status.answered:
		end = kumquathitch.EndAnswered
	case !status.mayHaveRun:
		return
	case outcome == kumquathitch.SendCancelled, outcome == kumquathitch.SendTimedOut:
	case outcome == kumquathitch.SendBroken, outcome == kumquathitch.SendStale:
		if !isConnectionClosed(status.err) {
			return
		}
		if !isSilence(status.err) {
			end = kumquathitch.EndClosed
		}
	default:
		return
	}
	a.CrashDetector.RecordEnd(kumquathitch.EndedSend{
		Content: a.criteria.Content, Prompt: a.call.Prompt, Instance: a.choice.Instance, Connected: a.connection.openedAt, Received: a.received, Events: a.events, End: end,
	}, a.Clock.Now())
}

// isSilence reports whether a read or write ended because nothing came from the peer.
func isSilence(err error) bool {
	var failed net.Error
	return (errors.As(err, &failed) && failed.Timeout()) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

func (rc *relayedCall) callerLeft() bool {
	return rc.request.Context().Err() != nil
}

func (rc *relayedCall) cancelledOr(ctx context.Context, outcome kumquathitch.SendOutcome) kumquathitch.SendOutcome {
	if ctx.Err() != nil {
		return kumquathitch.SendCancelled
	}
	return outcome
}

// attempt is one send of a call on one connection.
type attempt struct {
	*relayedCall
	connection *connection
	choice     kumquathitch.InstanceChoice
	head       kumquathitch.ResponseHead
	response   *http.Response
	headAt     time.Time
	reusable   bool
	watchdog   watchdog

	events      int                // Events of the response that were forwarded, comments left out.
	pending     []byte             // Bytes of the body that were read and not forwarded.
	resumeAfter string             // Event after which the instance resumes the stream; empty for a call from its beginning.
	stop        func() bool        // Ends the binding of the connection to the context of the call.
	cancel      context.CancelFunc // Of an attempt that was begun by a search; nil otherwise.
}

// roundTrip writes the call, reads the response and forwards it.
func (a *attempt) roundTrip(ctx context.Context) (kumquathitch.SendResult, sendStatus) {
	written, err := a.write()
	if err != nil && written == 0 {
		return a.ended(kumquathitch.SendStale, sendStatus{delivered: false, err: err})
	}
	if err == nil {
		err = a.awaitHead(ctx)
	}
	if err != nil {
		return a.ended(a.headFailed(err))
	}
	a.recordHead()
	return a.relay(ctx)
}

// awaitHead reads the head of the response. While the instance is silent, the watchdog searches for a
// successor.
func (a *attempt) awaitHead(ctx context.Context) error {
	a.watchdog.start(ctx, a, a.resumeAfter, a.headTimeout)
	err := a.readHead()
	a.endWatch(err)
	return err
}

// endWatch ends the watchdog after the response, or a part of it, has been read. If the instance has
// broken off, a successor that has the call already takes over.
func (a *attempt) endWatch(err error) {
	if err != nil && !a.callEnded() {
		a.watchdog.await()
	} else {
		a.watchdog.stop()
	}
}

// recordHead records the head of the response, and what it says of the instance.
func (a *attempt) recordHead() {
	a.headAt = a.Clock.Now()
	news := a.Chooser.ResponseStarted(a.choice, a.head)
	if news.Withdrawn {
		a.logWithdrawal()
	}
	if news.LimitChanged {
		a.Logger.Info("limit of instance changed", zap.String("instance", a.choice.Instance.ID), zap.String("call", a.call.ID),
			zap.Bool("named", a.head.HasLimit), zap.Float64("per-second", a.head.LimitPerSecond))
	}
	a.Metrics.FirstByteTime.Update(a.headAt.Sub(a.received).Seconds())
}

// relay forwards a response that has begun.
func (a *attempt) relay(ctx context.Context) (kumquathitch.SendResult, sendStatus) {
	if a.head.NotExecuted {
		return a.ended(a.rejection(), sendStatus{delivered: true})
	}
	if a.route.Stream && a.response.StatusCode/100 == 2 {
		return a.relayStream(ctx)
	}
	return a.relayBuffered()
}

// rejection returns the outcome of a send that the instance did not run.
func (a *attempt) rejection() kumquathitch.SendOutcome {
	a.reusable = drop(a.response.Body) && !a.response.Close
	if a.head.Moved {
		return kumquathitch.SendMoved
	}
	return kumquathitch.SendNotExecuted
}

// logWithdrawal counts and logs an instance that takes no more calls from this VM, for a
// while or for good.
func (a *attempt) logWithdrawal() {
	a.Metrics.Withdrawals.Inc()
	a.Logger.Info("instance takes no calls", zap.String("instance", a.choice.Instance.ID), zap.String("call", a.call.ID), zap.Int("status", a.response.StatusCode),
		zap.Bool("leaving", a.head.Leaving), zap.Duration("pause", max(0, a.head.PausedUntil.Sub(a.headAt))))
}

// write sends the head and the body of the call. It returns the number of bytes written.
func (a *attempt) write() (int64, error) {
	account := ""
	if a.tenant != nil {
		account = a.tenant.Name
	}
	now := a.Clock.Now()
	header := a.Dialect.ForwardHeader(a.request.Header, kumquathitch.Dispatch{
		Account: account, Instance: a.choice.Instance.ID, Priority: a.enginePriority(),
		Deadline: a.deadline, LastEventID: a.resumeAfter,
	}, now)
	if len(a.body) > 0 || a.request.Method == http.MethodPost || a.request.Method == http.MethodPut {
		header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	var message bytes.Buffer
	message.WriteString(a.request.Method + " " + a.request.RequestURI + " HTTP/1.1\r\nHost: " + a.request.Host + "\r\n")
	if err := header.Write(&message); err != nil {
		return 0, err
	}
	message.WriteString("\r\n")
	if err := a.connection.SetWriteDeadline(a.deadline); err != nil {
		return 0, err
	}
	parts := net.Buffers{message.Bytes(), a.body}
	return parts.WriteTo(a.connection.Conn)
}

// readHead reads the head of the response to this call, and drops responses to other
// calls on the same connection.
func (a *attempt) readHead() error {
	if err := a.connection.SetReadDeadline(a.deadline); err != nil {
		return err
	}
	for range maxMismatchedResponses {
		a.connection.limiter.limit()
		// Close would read a body without end. The connection is closed or read on instead.
		response, err := http.ReadResponse(a.connection.reader, a.request) //nolint:bodyclose // See above.
		a.connection.limiter.unlimit()
		if err != nil {
			return err
		}
		if err := a.watchdog.recordProgress(a.Clock.Now(), "", false); err != nil {
			return err
		}
		a.recordBytes()
		if response.StatusCode/100 == 1 {
			continue
		}
		a.head = a.Dialect.DecodeResponse(response.StatusCode, response.Header, a.Clock.Now())
		if a.isOwnResponse(response) {
			if !kumquathitch.IsFinalStatus(response.StatusCode) {
				return errMalformedResponse
			}
			a.response = response
			return nil
		}
		if a.head.CallID == "" && !a.connection.reused {
			return errMalformedResponse // No earlier call can have caused it, and no other response will follow.
		}
		a.Logger.Info("answer to another call dropped", zap.String("call", a.call.ID),
			zap.String("answered", a.head.CallID), zap.String("instance", a.choice.Instance.ID))
		ended := drop(response.Body)
		if !ended || response.Close {
			return errMismatchedResponse
		}
	}
	return errMismatchedResponse
}

// recordBytes records that the instance has sent bytes.
func (a *attempt) recordBytes() {
	a.CrashDetector.RecordBytes(&a.choice.Instance, a.connection.openedAt, a.Clock.Now())
}

// isOwnResponse reports whether the response that was just decoded is to this call. An
// instance that rejects a call early may leave out its ID. Such a response counts only
// on a new connection, where no response to an earlier call can arrive late, and never
// as a success.
func (a *attempt) isOwnResponse(response *http.Response) bool {
	if a.head.CallID != "" || a.head.Signed {
		return a.head.CallID == a.call.ID
	}
	return !a.connection.reused && response.StatusCode/100 != 2
}

// headTimeout returns how long to wait for the head of the response before the call
// fails over to another instance, or 0 if the call may not fail over.
func (a *attempt) headTimeout() time.Duration {
	if !a.mayFailOver() {
		return 0
	}
	return max(time.Duration(minHeadTimeoutFraction*float64(a.criteria.LatencyObjective)), headTimeoutFactor*a.choice.ExpectedTTFB)
}

// mayFailOver reports whether the route allows another run on another instance.
func (a *attempt) mayFailOver() bool {
	return a.route.RetryMode != kumquathitch.RetryNever && a.runs+1 < a.route.MaxAttempts
}

// headFailed returns the outcome of a send whose response has no readable head.
func (a *attempt) headFailed(err error) (kumquathitch.SendOutcome, sendStatus) {
	status := sendStatus{delivered: true, mayHaveRun: true, err: err}
	switch {
	case a.watchdog.timedOut():
		status.retryAllowed = true
		return kumquathitch.SendTimedOut, status
	case a.callEnded(): // The deadline or the caller's disconnect closed the connection.
		return kumquathitch.SendCancelled, status
	case a.connection.reused && a.connection.reader.Buffered() == 0 && isConnectionClosed(err):
		// The instance closed a reused connection. The call may still have run.
		return kumquathitch.SendStale, status
	}
	return kumquathitch.SendBroken, status
}

func (a *attempt) callEnded() bool {
	return a.callerLeft() || !a.Clock.Now().Before(a.deadline)
}

// isConnectionClosed reports whether the instance closed the connection, or was lost.
func isConnectionClosed(err error) bool {
	var operation *net.OpError
	var truncated *truncatedStreamError
	if errors.As(err, &truncated) {
		return truncated.Closed
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &operation)
}

func (a *attempt) ended(outcome kumquathitch.SendOutcome, status sendStatus) (kumquathitch.SendResult, sendStatus) {
	return a.sendResult(outcome), status
}

func (a *attempt) sendResult(outcome kumquathitch.SendOutcome) kumquathitch.SendResult {
	return kumquathitch.SendResult{Outcome: outcome, FirstByte: a.headAt, Load: a.head.Load, HasLoad: a.head.HasLoad, Events: a.stream.events, Pause: a.stream.longestGap}
}

// relayBuffered reads a response that is not a stream to its end, and forwards it.
func (a *attempt) relayBuffered() (kumquathitch.SendResult, sendStatus) {
	if err := a.connection.SetReadDeadline(a.deadline); err != nil {
		return a.ended(kumquathitch.SendBroken, sendStatus{delivered: true, mayHaveRun: true, err: err})
	}
	content := &intake.HeldBody{Buffers: a.Buffers}
	defer content.Release()
	length := a.response.ContentLength
	if a.response.Body == http.NoBody {
		length = 0 // The response to a HEAD request states the length of a body that it does not have.
	}
	if err := content.ReadAll(a.response.Body, "body of the response", length, maxResponseBytes); err != nil {
		return a.ended(kumquathitch.SendBroken, sendStatus{delivered: true, mayHaveRun: true, err: eris.Wrap(err, "response body")})
	}
	a.reusable = !a.response.Close
	status := a.response.StatusCode
	outcome := kumquathitch.SendAnswered
	if status >= http.StatusInternalServerError {
		outcome = kumquathitch.SendFailed
		if a.route.RetryMode != kumquathitch.RetryNever && a.runs+1 < a.route.MaxAttempts && !a.headSent &&
			a.RetryBudget.Allow(a.criteria.Service, a.Clock.Now()) {
			return a.sendResult(outcome), sendStatus{delivered: true, mayHaveRun: true, retryAllowed: true, err: errors.New("status " + strconv.Itoa(status))}
		}
	}
	if a.headSent {
		return a.ended(kumquathitch.SendBroken, sendStatus{delivered: true, mayHaveRun: true, err: errMalformedResponse})
	}
	if impliesNotRun(status) {
		return a.sendResult(outcome), sendStatus{delivered: true, mayHaveRun: true, err: errors.New("status " + strconv.Itoa(status) + " without a statement that the call did not run")}
	}
	header := a.writer.Header()
	a.Dialect.CopyResponseHeader(header, a.response.Header)
	if a.request.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(content.Data))}
	}
	a.headSent = true
	a.writer.WriteHeader(status)
	_, _ = a.writer.Write(content.Data) // A disconnected caller ends the request's context.
	a.Metrics.countResponse(status, "")
	a.Metrics.ResponseTime.Update(a.Clock.Now().Sub(a.received).Seconds())
	return a.sendResult(outcome), sendStatus{delivered: true, mayHaveRun: true, answered: true}
}

// enginePriority returns the priority that the engine is told. Engines preempt running calls
// for more urgent ones, and read their prompts anew, which makes other calls late. Where the
// scheduler ranks calls, engines see one rank only.
func (a *attempt) enginePriority() int {
	if a.ranked {
		return rankedPriority
	}
	return a.criteria.Priority
}

// impliesNotRun reports whether callers conclude from a status that the call did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// logSend counts and logs a send. Calls answered by their first send are logged
// at debug level, to bound the volume of the log, except while the VM shuts down: whether a
// call that its caller found lost was answered must then be known.
func (rc *relayedCall) logSend(choice kumquathitch.InstanceChoice, status sendStatus, result kumquathitch.SendResult) {
	rc.Metrics.countSend(result.Outcome.String())
	if status.answered && rc.sends == 1 && result.Outcome == kumquathitch.SendAnswered {
		level := zap.DebugLevel
		if rc.Draining() {
			level = zap.InfoLevel
		}
		rc.Logger.Log(level, "call answered", append(rc.logFields(), zap.String("instance", choice.Instance.ID), zap.Duration("expected", choice.ExpectedTTFB),
			zap.Duration("took", result.Ended.Sub(choice.Sent)), zap.String("caller", rc.request.RemoteAddr))...)
		return
	}
	fields := append(rc.logFields(), zap.String("outcome", result.Outcome.String()), zap.String("instance", choice.Instance.ID),
		zap.String("address", choice.Instance.Address), zap.Uint64("described-at", choice.Instance.Revision),
		zap.Duration("expected", choice.ExpectedTTFB), zap.Duration("took", result.Ended.Sub(choice.Sent)), zap.Bool("done", status.answered))
	if status.err != nil {
		fields = append(fields, zap.String("cause", status.err.Error()))
	}
	rc.Logger.Info("send ended", fields...)
}
