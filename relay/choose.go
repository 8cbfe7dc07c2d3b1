package relay

import (
	"context"
	"errors"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
)

// chooseUnblocked is choose, followed by a check that the call was not blocked during the
// wait, and that the instance still takes calls. Calls wait for capacity, their model or
// their turn for seconds. A successor has been chosen already.
func (rc *relayedCall) chooseUnblocked(ctx context.Context) (kumquathitch.InstanceChoice, error) {
	if rc.successor != nil {
		return rc.successor.choice, nil
	}
	for {
		choice, err := rc.choose(ctx)
		if err != nil {
			return choice, err
		}
		now := rc.Clock.Now()
		refusal := rc.crashRefusal(now)
		if refusal == nil && rc.Chooser.Accepts(choice, now) {
			return choice, nil
		}
		rc.Chooser.Done(rc.criteria, choice, kumquathitch.SendResult{Outcome: kumquathitch.SendCancelled, Ended: now})
		if refusal != nil {
			return choice, refusal
		}
	}
}

// choose returns the instance for the next send. If no instance holds the
// adapter, the call waits for its placement, which takes milliseconds. If no
// instance holds a configured model, the call waits as long as the model may
// still load in time.
func (rc *relayedCall) choose(ctx context.Context) (kumquathitch.InstanceChoice, error) {
	choice, err := rc.chooseScheduled(ctx)
	var full *kumquathitch.EnginesFullError
	var blocked *kumquathitch.CallBlockedError
	var refused *kumquathitch.RefusalError
	var deferred *kumquathitch.CallDeferredError // The call ended while it waited.
	if err == nil || errors.As(err, &full) || errors.As(err, &blocked) || errors.As(err, &refused) || errors.As(err, &deferred) {
		return choice, err
	}
	until := rc.modelWaitEnd()
	placed := false
	for {
		choice, err := rc.Chooser.Choose(rc.criteria, rc.Clock.Now())
		if err == nil && !rc.admitByLimit(ctx, rc.criteria, choice) {
			continue
		}
		var none *kumquathitch.NoInstanceError
		if !errors.As(err, &none) {
			return choice, err
		}
		if rc.Stopping() && !rc.headSent {
			return choice, stoppingRefusal()
		}
		switch {
		case !none.PausedUntil.IsZero():
			if !rc.pauseUntil(ctx, none.PausedUntil) {
				return choice, err
			}
		case none.Saturated:
			if !rc.awaitCapacity(ctx) {
				return choice, err
			}
		case none.AdapterNotResident:
			adapterRequest := kumquathitch.AdapterRequest{Service: rc.criteria.Service, Model: rc.criteria.Model, Adapter: rc.criteria.Adapter, Homes: rc.criteria.Homes}
			// The leader may name an instance that this VM cannot use, so it is not
			// asked twice without a pause.
			if placed = !placed && rc.AdapterPlacer.PlaceAdapter(ctx, adapterRequest); !placed && !rc.pauseForModel(ctx, until) {
				return choice, err
			}
		case none.ModelNotResident && rc.modelListed:
			if !rc.pauseForModel(ctx, until) {
				return choice, err
			}
		default:
			return choice, err
		}
	}
}

// errNotScheduled reports that this VM has to choose the instance itself.
var errNotScheduled = errors.New("the leader assigned no usable engine")

// chooseScheduled asks the leader for an instance, and waits until the call may be sent to it.
func (rc *relayedCall) chooseScheduled(ctx context.Context) (kumquathitch.InstanceChoice, error) {
	if !rc.Chooser.Scheduled(rc.criteria, rc.Clock.Now()) {
		return kumquathitch.InstanceChoice{}, errNotScheduled
	}
	if rc.runs > 0 {
		rc.criteria.FirstByteDeadline = time.Time{}
	}
	assignment, err := rc.scheduleInTurn(ctx)
	if err != nil {
		return kumquathitch.InstanceChoice{}, err
	}
	choice, ok := rc.Chooser.ChooseAssigned(rc.criteria, assignment, rc.Clock.Now())
	if !ok || !rc.admitByLimit(ctx, rc.criteria, choice) {
		return kumquathitch.InstanceChoice{}, errNotScheduled
	}
	clock.Pause(ctx, assignment.SendAt.Sub(rc.Clock.Now())) // If ctx ends meanwhile, the send reports SendCancelled.
	return choice, nil
}

// scheduleInTurn asks the scheduler for an engine. While the call has to wait for its turn,
// it waits here, and asks again at the time that the scheduler names. It returns a
// *CallDeferredError if the call ends meanwhile.
func (rc *relayedCall) scheduleInTurn(ctx context.Context) (kumquathitch.Assignment, error) {
	for {
		assignment, err := rc.Scheduler.Schedule(ctx, rc.criteria)
		var deferred *kumquathitch.CallDeferredError
		if !errors.As(err, &deferred) {
			return assignment, err
		}
		if !clock.Pause(ctx, deferred.AskAt.Sub(rc.Clock.Now())) {
			return assignment, err
		}
		if refusal := rc.waitRefusal(); refusal != nil {
			return assignment, refusal
		}
	}
}

// waitRefusal returns the refusal of a call that may no longer wait for its turn, or nil.
func (rc *relayedCall) waitRefusal() *kumquathitch.RefusalError {
	if rc.Stopping() && !rc.headSent {
		return stoppingRefusal()
	}
	if snapshot := rc.Deployments.Snapshot(); rc.tenant != nil && snapshot.RequiresKey() && snapshot.Tenant(rc.call.Key) == nil {
		return unknownKeyRefusal()
	}
	return rc.crashRefusal(rc.Clock.Now())
}

// admitByLimit counts the call against the limit of the chosen instance. It ends the choice
// and reports false if the limit is reached.
func (rc *relayedCall) admitByLimit(ctx context.Context, criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice) bool {
	if !choice.Limited {
		return true
	}
	until, admitted := rc.Scheduler.Admit(ctx, &choice.Instance)
	if !admitted {
		now := rc.Clock.Now()
		if least := now.Add(minDeferral); until.Before(least) {
			until = least
		}
		rc.Chooser.Defer(choice, until)
		rc.Chooser.Done(criteria, choice, kumquathitch.SendResult{Outcome: kumquathitch.SendCancelled, Ended: now})
	}
	return admitted
}

// awaitCapacity waits until an instance may have capacity again. It reports false
// if the caller disconnected or the deadline was reached.
func (rc *relayedCall) awaitCapacity(ctx context.Context) bool {
	freed := rc.Chooser.CapacityFreed()
	timer := time.NewTimer(capacityPollInterval)
	defer timer.Stop()
	select {
	case <-freed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// modelWaitEnd returns the time at which the call stops waiting for its model.
func (rc *relayedCall) modelWaitEnd() time.Time {
	now := rc.Clock.Now()
	return now.Add(min(modelWaitFactor*rc.criteria.LatencyObjective, rc.deadline.Sub(now)/2))
}

// pauseUntil waits until an instance takes calls again. It reports false at once if the
// call could not start within its objective then, and if ctx ends.
func (rc *relayedCall) pauseUntil(ctx context.Context, until time.Time) bool {
	if !until.Before(rc.received.Add(rc.criteria.LatencyObjective)) {
		return false
	}
	return clock.Pause(ctx, until.Sub(rc.Clock.Now()))
}

// pauseForModel waits for modelPollInterval. It reports false if that would
// exceed until, or if ctx ends.
func (rc *relayedCall) pauseForModel(ctx context.Context, until time.Time) bool {
	if !rc.Clock.Now().Add(modelPollInterval).Before(until) {
		return false
	}
	return clock.Pause(ctx, modelPollInterval)
}
