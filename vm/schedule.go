package vm

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

const (
	methodSchedule = "fleet.schedule"
	methodAdmit    = "fleet.admit"
	// scheduleTimeout bounds the wait for the scheduler, which answers within
	// milliseconds inside a region. Without an answer the VM chooses an engine itself.
	scheduleTimeout = 40 * time.Millisecond
	// skipTime is how long a VM is not asked after it failed to answer, so that an
	// unreachable one delays few calls.
	skipTime = 100 * time.Millisecond
)

// scheduler asks the VM with that role to choose engines. It implements
// kumquathitch.Scheduler.
type scheduler struct {
	vm        *VM
	mutex     sync.Mutex
	skipUntil map[string]time.Time // VMs that are not asked before a time, by address.
}

// errNoEngineNamed states that no scheduler can be asked, or that it named no engine.
var errNoEngineNamed = errors.New("no engine named by the scheduler")

// maxPartitionsAsked is the number of partitions that are asked for the engine of one call.
// When all engines of the first are full, those of another one may not be.
const maxPartitionsAsked = 2

// Schedule asks the scheduler of a partition for the engine of a call, and that of another
// one when all engines of the first are full. Besides the errors of kumquathitch.Scheduler
// it returns errNoEngineNamed and errors of the call.
func (s *scheduler) Schedule(ctx context.Context, criteria kumquathitch.InstanceCriteria) (kumquathitch.Assignment, error) {
	var full *kumquathitch.EnginesFullError // Of the partition whose engines have capacity first.
	order := s.vm.fleet.PartitionOrder(criteria, len(s.vm.schedulerRole.addresses()))
	for _, partition := range order[:min(len(order), maxPartitionsAsked)] {
		assignment, err := s.scheduleIn(ctx, criteria, partition)
		var refused *kumquathitch.EnginesFullError
		if !errors.As(err, &refused) {
			if err == nil || full == nil {
				return assignment, err
			}
			break
		}
		if full == nil || refused.AvailableAt.Before(full.AvailableAt) {
			full = refused
		}
	}
	return kumquathitch.Assignment{}, full
}

// scheduleIn asks the scheduler of a partition for the engine of a call, or another VM when
// that one has failed to answer.
func (s *scheduler) scheduleIn(ctx context.Context, criteria kumquathitch.InstanceCriteria, partition kumquathitch.Partition) (kumquathitch.Assignment, error) {
	v, now := s.vm, time.Now()
	address, self := s.target(partition.Index, now)
	if address == "" && !self {
		return kumquathitch.Assignment{}, errNoEngineNamed
	}
	request := s.request(&criteria, partition, now)
	authority := address
	if self {
		authority = v.environment.PeerAddress
	}
	request.Limits = v.fleet.TakeLimitsIn(partition, authority, now)
	var response kumquathitch.ScheduleResponse
	if self {
		response = v.schedule(&request, now)
	} else {
		ctx, cancel := context.WithTimeout(ctx, scheduleTimeout)
		defer cancel()
		if err := v.peers.Call(ctx, address, methodSchedule, request, &response); err != nil {
			s.skip(address, now)
			v.fleet.MarkLimitsUnreported(request.Limits)
			v.log.Info("engine not named", zap.String("scheduler", address), zap.String("model", criteria.Model), zap.Error(err))
			return kumquathitch.Assignment{}, err
		}
	}
	sendAt := time.Now().Add(response.Wait)
	switch {
	case response.Blocked > 0:
		return kumquathitch.Assignment{}, &kumquathitch.CallBlockedError{Until: time.Now().Add(response.Blocked), ByContent: response.BlockedByContent}
	case response.Deferred:
		return kumquathitch.Assignment{}, &kumquathitch.CallDeferredError{Service: criteria.Service, Model: criteria.Model, AskAt: sendAt}
	case response.EnginesFull:
		return kumquathitch.Assignment{}, &kumquathitch.EnginesFullError{Service: criteria.Service, Model: criteria.Model, AvailableAt: sendAt}
	case response.Instance == "":
		return kumquathitch.Assignment{}, errNoEngineNamed
	}
	assignment := kumquathitch.Assignment{InstanceID: response.Instance, PrefillTokens: response.PrefillTokens, ExpectedTTFB: response.ExpectedTTFB, Limited: response.Limited, SendAt: sendAt}
	if response.SendWithin > 0 {
		assignment.SendBy = sendAt.Add(response.SendWithin)
	}
	return assignment, nil
}

// request returns the request for a call, without the limits that this VM has learned.
func (s *scheduler) request(criteria *kumquathitch.InstanceCriteria, partition kumquathitch.Partition, now time.Time) kumquathitch.ScheduleRequest {
	v := s.vm
	request := kumquathitch.ScheduleRequest{
		From: v.environment.Name, DataCentre: v.environment.DataCentre, Service: criteria.Service, Model: criteria.Model, Adapter: criteria.Adapter,
		Prompt: criteria.Prompt, Content: criteria.Content, Tokens: criteria.Tokens, OutputTokens: criteria.OutputTokens, Priority: criteria.Priority,
		LatencyObjective: criteria.LatencyObjective, GapLimit: criteria.GapLimit, MaxHold: max(0, criteria.HoldUntil.Sub(now)), FirstByteLimit: firstByteLimit(criteria, now),
		FullEngineRunTime: v.fleet.FullEngineRunTime(criteria.Service), Exclude: v.fleet.AvoidedInstances(*criteria, now),
		Partition: partition, InFlight: v.fleet.LocalLoadsIn(partition), Homes: criteria.Homes,
		Ticket: criteria.Ticket, Waited: max(0, now.Sub(criteria.Received)), Patience: max(0, criteria.LeaveAt.Sub(now)), Observed: v.fleet.TakeResponses(partition),
	}
	if !criteria.ReturnBy.IsZero() {
		request.ReturnIn = max(time.Millisecond, criteria.ReturnBy.Sub(now))
	}
	return request
}

// Admit counts a call against the limit that an instance names. The scheduler counts the
// calls of all VMs; while none answers, each VM keeps to an equal share.
func (s *scheduler) Admit(ctx context.Context, instance *kumquathitch.Instance) (time.Time, bool) {
	v, now := s.vm, time.Now()
	address, self := s.target(kumquathitch.ShardOf(instance.ID, max(1, len(v.schedulerRole.addresses()))), now)
	if address == "" && !self {
		return v.fleet.AdmitByShare(instance, now)
	}
	request := kumquathitch.AdmitRequest{
		ID: instance.ID, Service: instance.Service, Incarnation: instance.Incarnation(), Cold: v.fleet.MayBeCold(instance, now),
	}
	if limit, ok := v.fleet.Limit(instance.ID, now); ok {
		request.Limits = append(request.Limits, limit)
	}
	var response kumquathitch.AdmitResponse
	if self {
		response = v.globalScheduler.Admit(&request, now)
	} else {
		ctx, cancel := context.WithTimeout(ctx, scheduleTimeout)
		defer cancel()
		if err := v.peers.Call(ctx, address, methodAdmit, request, &response); err != nil {
			s.skip(address, now)
			v.log.Info("call not counted against the limit of an instance", zap.String("scheduler", address), zap.String("instance", instance.ID), zap.Error(err))
			return v.fleet.AdmitByShare(instance, now)
		}
	}
	return time.Now().Add(response.Wait), response.Admitted
}

// handleAdmit answers the request of another VM to count a call.
func (v *VM) handleAdmit(_ context.Context, request kumquathitch.AdmitRequest) (kumquathitch.AdmitResponse, error) {
	v.roleLoad.addSchedule()
	return v.globalScheduler.Admit(&request, time.Now()), nil
}

// firstByteLimit returns the time within which the response must start for the call to be
// admitted, or 0 when the call is admitted in any case.
func firstByteLimit(criteria *kumquathitch.InstanceCriteria, now time.Time) time.Duration {
	if criteria.FirstByteDeadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, criteria.FirstByteDeadline.Sub(now))
}

// target returns the address of the VM to ask for engines of a partition, or self when that
// is this one. While its scheduler does not answer, that of the next partition takes its
// place, or the leader when there is only one. It returns neither when no VM can be asked. No
// third VM is asked: the calls to cold instances are bounded for two VMs that count at a time.
func (s *scheduler) target(partition int, now time.Time) (address string, self bool) {
	v := s.vm
	schedulers := v.schedulerRole.addresses()
	for i := range min(2, len(schedulers)) {
		address = schedulers[(partition+i)%len(schedulers)]
		if address == v.environment.PeerAddress {
			return "", true
		}
		if !s.skips(address, now) {
			return address, false
		}
	}
	if len(schedulers) > 1 {
		return "", false
	}
	if _, leading := v.candidate.CurrentTerm(); leading {
		return "", true
	}
	leader, known := v.candidate.Leader()
	if !known || leader.Name == v.environment.Name || s.skips(leader.Address, now) {
		return "", false
	}
	return leader.Address, false
}

func (s *scheduler) skips(address string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Before(s.skipUntil[address])
}

// skip stops requests to a VM for skipTime.
func (s *scheduler) skip(address string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.skipUntil == nil {
		s.skipUntil = map[string]time.Time{}
	}
	maps.DeleteFunc(s.skipUntil, func(_ string, until time.Time) bool { return now.After(until) })
	s.skipUntil[address] = now.Add(skipTime)
}

// handleSchedule answers the request of another VM for an engine. The VM that asks
// knows the scheduler from the leader, possibly before this one does.
func (v *VM) handleSchedule(_ context.Context, request kumquathitch.ScheduleRequest) (kumquathitch.ScheduleResponse, error) {
	v.roleLoad.addSchedule()
	return v.schedule(&request, time.Now()), nil
}

// schedule chooses the engine of a call. It also blocks calls that crash engines, since a
// crash is known to the scheduler before it is known to the VM that has the call.
func (v *VM) schedule(request *kumquathitch.ScheduleRequest, now time.Time) kumquathitch.ScheduleResponse {
	if until, blocked := v.crashGuard.BlockedUntil(request.Content, now); blocked {
		return kumquathitch.ScheduleResponse{Blocked: until.Sub(now), BlockedByContent: true}
	}
	if until, blocked := v.promptGuard.BlockedUntil(request.Prompt, now); blocked {
		return kumquathitch.ScheduleResponse{Blocked: until.Sub(now)}
	}
	return v.globalScheduler.Schedule(request, now)
}
