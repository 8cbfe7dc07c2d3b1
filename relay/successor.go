package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
)

// findSuccessor sends the call of a silent attempt to another instance, if one can take it now,
// and returns the new attempt once it has begun to answer. The silent attempt goes on
// meanwhile: it may still answer, and the other instance may turn the call away.
func (a *attempt) findSuccessor(ctx context.Context, s *search) *attempt {
	now := a.Clock.Now()
	if !a.mayHaveSuccessor(now) || !a.Chooser.HasAlternative(a.criteria, a.choice, now) || !a.watchdog.isNeeded(s) {
		return nil
	}
	if a.watchdog.reportSilence() { // Other calls avoid it from now on, whether or not a successor is found.
		a.Chooser.Silent(a.choice, now)
	}
	criteria := a.criteria
	criteria.Exclude = append(slices.Clone(a.criteria.Exclude), a.choice.Instance.ID)
	criteria.FirstByteDeadline = time.Time{}
	if !a.watchdog.allow(func() bool { return a.RetryBudget.Allow(criteria.Service, now) }) {
		return nil
	}
	choice, ok := a.chooseSuccessor(ctx, criteria)
	if !ok {
		return nil
	}
	result := kumquathitch.SendResult{Outcome: kumquathitch.SendCancelled} // Unless the send returns.
	var successor *attempt
	defer func() {
		if successor == nil {
			a.report(criteria, choice, result)
		}
	}()
	if a.watchdog.recordSend(s) {
		successor, result = a.sendToSuccessor(ctx, s, choice)
	}
	if successor != nil {
		a.Logger.Info("instance silent", zap.String("call", a.call.ID), zap.String("instance", a.choice.Instance.ID),
			zap.Duration("silent", a.Clock.Now().Sub(s.silentSince)), zap.String("successor", choice.Instance.ID))
	}
	return successor
}

// mayHaveSuccessor reports whether the call may be sent to another instance, and run there.
func (a *attempt) mayHaveSuccessor(now time.Time) bool {
	sends, runs := a.watchdog.spent()
	return a.route.RetryMode != kumquathitch.RetryNever && a.runs+1+runs < a.route.MaxAttempts && a.sends+sends < a.route.MaxAttempts+maxExtraSends &&
		!a.CrashGuard.Suspected(a.criteria.Content, now) && !a.PromptGuard.Suspected(a.call.Prompt, now)
}

// chooseSuccessor chooses an instance that can take the call now. Unlike choose, it does not wait
// for capacity, a model or a turn.
func (a *attempt) chooseSuccessor(ctx context.Context, criteria kumquathitch.InstanceCriteria) (kumquathitch.InstanceChoice, bool) {
	if !a.Chooser.Scheduled(criteria, a.Clock.Now()) {
		return a.chooseHere(ctx, criteria)
	}
	assignment, err := a.Scheduler.Schedule(ctx, criteria)
	var full *kumquathitch.EnginesFullError
	var blocked *kumquathitch.CallBlockedError
	var deferred *kumquathitch.CallDeferredError
	switch {
	case errors.As(err, &full), errors.As(err, &blocked), errors.As(err, &deferred), ctx.Err() != nil:
		return kumquathitch.InstanceChoice{}, false
	case err != nil:
		return a.chooseHere(ctx, criteria)
	}
	choice, ok := a.Chooser.ChooseAssigned(criteria, assignment, a.Clock.Now())
	if !ok || !a.admitByLimit(ctx, criteria, choice) {
		return kumquathitch.InstanceChoice{}, false
	}
	clock.Pause(ctx, assignment.SendAt.Sub(a.Clock.Now()))
	if ctx.Err() != nil || !a.Chooser.Accepts(choice, a.Clock.Now()) {
		a.report(criteria, choice, kumquathitch.SendResult{Outcome: kumquathitch.SendCancelled})
		return kumquathitch.InstanceChoice{}, false
	}
	return choice, true
}

// chooseHere chooses an instance by what this VM knows.
func (a *attempt) chooseHere(ctx context.Context, criteria kumquathitch.InstanceCriteria) (kumquathitch.InstanceChoice, bool) {
	choice, err := a.Chooser.Choose(criteria, a.Clock.Now())
	return choice, err == nil && a.admitByLimit(ctx, criteria, choice)
}

// report reports the end of a send to the chooser.
func (rc *relayedCall) report(criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, result kumquathitch.SendResult) {
	result.Ended = rc.Clock.Now()
	rc.Chooser.Done(criteria, choice, result)
}

// sendToSuccessor sends the call to another instance. It returns the new attempt, or the result
// if the instance did not begin to answer.
func (a *attempt) sendToSuccessor(ctx context.Context, s *search, choice kumquathitch.InstanceChoice) (*attempt, kumquathitch.SendResult) {
	_, span := a.Tracer.Start(ctx, "send to successor")
	defer span.End()
	mayHaveRun := true // Unless the send returns.
	defer func() {
		if mayHaveRun {
			a.watchdog.recordRun()
		}
	}()
	next, err := a.open(ctx, choice, s.resumeAfter)
	if err != nil {
		mayHaveRun = false
		return nil, kumquathitch.SendResult{Outcome: a.cancelledOr(ctx, kumquathitch.SendUnreachable)}
	}
	next.cancel = s.cancel
	begun := false
	defer func() {
		if !begun {
			next.close()
		}
	}()
	outcome, status := next.begin()
	if status.answered {
		begun, mayHaveRun = true, false
		return next, kumquathitch.SendResult{}
	}
	mayHaveRun = status.mayHaveRun
	if ctx.Err() != nil {
		outcome = kumquathitch.SendCancelled
	}
	next.recordEnd(outcome, status)
	return nil, kumquathitch.SendResult{Outcome: outcome, FirstByte: next.headAt, Load: next.head.Load, HasLoad: next.head.HasLoad}
}

// begin writes the call and reads the response up to the first event, or the head if it is no
// stream. The status is answered if the instance can take the call over.
func (a *attempt) begin() (kumquathitch.SendOutcome, sendStatus) {
	written, err := a.write()
	if err == nil {
		err = a.readHead()
	}
	switch {
	case err != nil && written == 0:
		return kumquathitch.SendStale, sendStatus{err: err}
	case err != nil:
		return a.headFailed(err)
	}
	a.recordHead()
	if !a.takesOver() {
		return a.refusal()
	}
	if a.route.Stream && a.response.StatusCode/100 == 2 {
		if err := a.readFirstEvent(); err != nil {
			return kumquathitch.SendBroken, sendStatus{delivered: true, mayHaveRun: true, err: err}
		}
	}
	return kumquathitch.SendAnswered, sendStatus{answered: true}
}

// takesOver reports whether the response that has begun can replace that of a silent instance.
func (a *attempt) takesOver() bool {
	if a.head.NotExecuted {
		return false
	}
	if a.headSent || a.route.Stream {
		return a.response.StatusCode/100 == 2
	}
	return a.response.StatusCode/100 < 5 && !impliesNotRun(a.response.StatusCode)
}

// refusal returns the outcome of a send whose response cannot replace that of a silent instance.
func (a *attempt) refusal() (kumquathitch.SendOutcome, sendStatus) {
	if a.head.NotExecuted {
		return a.rejection(), sendStatus{delivered: true}
	}
	return kumquathitch.SendFailed, sendStatus{delivered: true, mayHaveRun: true}
}

// abandon ends an attempt that has begun to answer and is not needed.
func (a *attempt) abandon() {
	a.close()
	a.recordEnd(kumquathitch.SendCancelled, sendStatus{mayHaveRun: true})
	a.report(a.criteria, a.choice, kumquathitch.SendResult{Outcome: kumquathitch.SendCancelled, FirstByte: a.headAt})
	a.cancel()
}
