package kumquathitch

import (
	"context"
	"fmt"
	"time"
)

// InstanceCriteria are the properties of a call that decide which instance it goes to.
type InstanceCriteria struct {
	Service           string
	Model             string // Empty for a plain service.
	Adapter           string
	Prompt            PromptParts
	Content           uint64 // Hash of what identifies the call when it is repeated.
	Tokens            int64  // Tokens of the prompt.
	LatencyObjective  time.Duration
	GapLimit          time.Duration // Longest pause between events of a stream; 0 when there is none.
	HoldUntil         time.Time     // Until then the call may wait for an instance that is not saturated.
	FirstByteDeadline time.Time     // A call whose response cannot start by then is refused; zero to accept it in any case.
	OutputTokens      int64         // Most tokens that the response may have; 0 if the call does not say.
	Priority          int           // 0 is the most urgent.
	Ticket            uint64        // Identifies the call while it waits for a turn; 0 if it cannot wait.
	Received          time.Time     // Arrival of the call at this VM.
	LeaveAt           time.Time     // The caller leaves if the response has not started by then.
	ReturnBy          time.Time     // Latest time at which the caller comes back if it is refused; zero if unknown.
	NoRetry           bool          // The call runs at most once; it is not used to probe an instance that has failed.
	Exclude           []string      // Instances that were already tried.
	Homes             Homes         // Regions whose instances may get the call.
}

// InstanceChoice is the instance chosen for one send of a call.
type InstanceChoice struct {
	Instance      Instance
	PrefillTokens int64 // Prompt tokens that the instance is expected not to have in its prefix cache.
	ExpectedTTFB  time.Duration
	Probe         bool      // The instance has failed before; the call tests whether it works again.
	Limited       bool      // The instance names a limit, and the call is not yet counted against it.
	SendBy        time.Time // When the call no longer counts as admitted by the limit of the instance; zero for no bound.
	Sent          time.Time
}

// SendOutcome states how one send of a call to an instance ended.
type SendOutcome int

// Outcomes of sends.
const (
	SendAnswered    SendOutcome = iota // Complete response, including one that reports an error of the caller.
	SendFailed                         // Complete response that reports a failure of the instance.
	SendNotExecuted                    // The instance states that it did not run the call.
	SendMoved                          // Another instance has the address, or the model is not resident.
	SendUnreachable                    // No connection; no byte of the call was sent.
	SendStale                          // A reused connection was closed before the first byte of a response.
	SendBroken                         // The connection broke, or the response cannot be used.
	SendTimedOut                       // No response, or no further event, in time: another instance has taken the call over.
	SendCancelled                      // The caller disconnected, or the deadline was reached.
)

// SendResult is the result of one send.
type SendResult struct {
	Outcome   SendOutcome
	FirstByte time.Time // Arrival of the response head; zero when none arrived.
	Ended     time.Time
	Load      LoadCount
	HasLoad   bool
	Events    int           // Of a stream, as far as they were forwarded.
	Pause     time.Duration // Longest time between two of them.
}

// Chooser chooses instances. Implementations are safe for concurrent use.
type Chooser interface {
	// Choose returns the instance for a call, or a *NoInstanceError when no
	// instance can take it. Done must be called once for each choice.
	Choose(criteria InstanceCriteria, now time.Time) (InstanceChoice, error)
	// Scheduled reports whether the scheduler is asked for the instance of a call first.
	Scheduled(criteria InstanceCriteria, now time.Time) bool
	// ChooseAssigned is Choose for the instance that the leader assigned. It returns
	// false when this VM has seen the instance fail, or may not use it for the call.
	ChooseAssigned(criteria InstanceCriteria, assignment Assignment, now time.Time) (InstanceChoice, bool)
	// HasAlternative reports whether another instance could take the call now.
	HasAlternative(criteria InstanceCriteria, choice InstanceChoice, now time.Time) bool
	// Accepts reports whether the chosen instance still takes the call from this VM. It may
	// have said otherwise since the choice, and the call may have passed SendBy.
	Accepts(choice InstanceChoice, now time.Time) bool
	// ResponseStarted records the head of the response, which shows that the instance has
	// processed the prompt.
	ResponseStarted(choice InstanceChoice, head ResponseHead) ResponseNews
	// Defer records that the limit of the chosen instance admits no call from this VM
	// before a time.
	Defer(choice InstanceChoice, until time.Time)
	// Silent records that the chosen instance has sent nothing for too long. The send goes on.
	Silent(choice InstanceChoice, now time.Time)
	// Done ends a choice and records the result of the send.
	Done(criteria InstanceCriteria, choice InstanceChoice, result SendResult)
	// CapacityFreed returns a channel that is closed when an instance may have capacity again.
	CapacityFreed() <-chan struct{}
}

// ResponseNews states what the head of a response says for the first time.
type ResponseNews struct {
	Withdrawn    bool // The instance leaves, or takes no calls from this VM for longer than it had said.
	LimitChanged bool // It names another limit of calls, or none any more.
}

// Assignment is the engine that the leader assigned to a call.
type Assignment struct {
	InstanceID    string
	PrefillTokens int64         // Prompt tokens that are not in the engine's prefix cache.
	ExpectedTTFB  time.Duration // From SendAt to the first event.
	Limited       bool          // The call was counted against a limit of the engine.
	SendBy        time.Time     // When the call is no longer counted; zero for no bound.
	SendAt        time.Time     // An earlier send would delay the engine's running streams.
}

// Scheduler distributes the calls of all VMs over engines. Implementations are
// safe for concurrent use.
type Scheduler interface {
	// Schedule asks the leader for the engine of a call. It returns an
	// *EnginesFullError when no engine would start the response in time, a
	// *CallDeferredError when the call has to wait for its turn, and a
	// *CallBlockedError when such calls crash engines. After
	// any other error the VM chooses an engine itself.
	Schedule(ctx context.Context, criteria InstanceCriteria) (Assignment, error)
	// Admit counts a call against the limit that an instance names for all VMs together.
	// It returns false and the earliest time of the next call if the limit is reached.
	Admit(ctx context.Context, instance *Instance) (until time.Time, admitted bool)
}

// CallBlockedError reports that calls with the same content, or with a part of the prompt,
// crash instances.
type CallBlockedError struct {
	Until     time.Time // Time at which such calls are tried again.
	ByContent bool
}

// Error implements error.
func (e *CallBlockedError) Error() string {
	if e.ByContent {
		return "the call has crashed several instances"
	}
	return "calls with a part of this prompt have crashed several instances"
}

// EnginesFullError reports that the queue of every engine with the model, or of every
// instance of a plain service, is longer than the call can wait.
type EnginesFullError struct {
	Service     string
	Model       string    // Empty for a plain service.
	AvailableAt time.Time // Expected time at which an engine can start responses in time again.
}

func (e *EnginesFullError) Error() string {
	if e.Model == "" {
		return "the instances of service " + e.Service + " have queues longer than the call can wait"
	}
	return "the engines of service " + e.Service + " that hold model " + e.Model + " have queues longer than the call can wait"
}

// CallDeferredError reports that a call waits for its turn. The VM that holds it asks
// again at AskAt.
type CallDeferredError struct {
	Service string
	Model   string
	AskAt   time.Time
}

func (e *CallDeferredError) Error() string {
	return "more urgent calls need the engines of service " + e.Service + " that hold model " + e.Model
}

// NoInstanceError reports that no instance can take a call now.
type NoInstanceError struct {
	Service string
	Model   string
	Adapter string
	// AdapterNotResident is set when the model is resident on an instance and the
	// adapter on none.
	AdapterNotResident bool
	// ModelNotResident is set when there are live instances and none holds the model.
	ModelNotResident bool
	// Saturated is set when the call would delay the streams of every instance and
	// can still wait.
	Saturated bool
	// Evacuated is set when all instances that could serve the call are in data centres
	// that are being evacuated.
	Evacuated bool
	// OutsideHomes is set when the service has instances, and all of them are outside the
	// regions that the call is bound to.
	OutsideHomes bool
	// PausedUntil is the earliest time at which an instance takes calls again, when all
	// that could take the call have asked this VM for a pause. Otherwise it is zero.
	PausedUntil time.Time
}

func (e *NoInstanceError) Error() string {
	if !e.PausedUntil.IsZero() {
		return "all instances of service " + e.Service + " that hold model " + e.Model + " adapter " + e.Adapter +
			" want no calls from this VM, the first of them until " + e.PausedUntil.UTC().Format(time.RFC3339Nano)
	}
	if e.OutsideHomes {
		return "service " + e.Service + " has no instance in the regions that the call is bound to"
	}
	if e.Evacuated {
		return "all instances of service " + e.Service + " that could serve model " + e.Model + " adapter " + e.Adapter + " are in data centres that are being evacuated"
	}
	return "no instance of service " + e.Service + " can take a call for model " + e.Model + " adapter " + e.Adapter
}

// TokenBuckets holds this VM's share of the rate limits of client accounts.
// Implementations are safe for concurrent use.
type TokenBuckets interface {
	// Take removes tokens from an account's bucket, waiting for them until a time
	// at most. It returns a *RefusalError with status 429 when there are too few.
	Take(ctx context.Context, tenant *Tenant, tokens float64, until time.Time) error
	// Refund returns the tokens of a call that did not run.
	Refund(account string, tokens float64)
}

// RetryBudget limits the retries of calls over all VMs. Implementations are safe
// for concurrent use.
type RetryBudget interface {
	// RecordCall counts a call for a service.
	RecordCall(service string, now time.Time)
	// Allow reports whether a call may be retried now. If so, it counts the retry.
	Allow(service string, now time.Time) bool
}

// CrashGuard blocks calls whose content crashes instances. Implementations are safe for
// concurrent use.
type CrashGuard interface {
	// BlockedUntil returns the time until which calls with the content are blocked, and
	// false if they are not.
	BlockedUntil(content uint64, now time.Time) (time.Time, bool)
	// Suspected reports whether a retry of a call with the content may crash an instance.
	Suspected(content uint64, now time.Time) bool
}

// PromptGuard blocks calls with a prompt part that crashes instances. Implementations are
// safe for concurrent use.
type PromptGuard interface {
	// BlockedUntil returns the time until which calls with the prompt are blocked, and
	// false if they are not.
	BlockedUntil(prompt PromptParts, now time.Time) (time.Time, bool)
	// Suspected reports whether a retry of a call with the prompt may crash an instance.
	Suspected(prompt PromptParts, now time.Time) bool
}

// SendEnd is what the end of a send shows of its instance.
type SendEnd int

// Ends of sends.
const (
	EndAnswered SendEnd = iota // It answered completely.
	EndClosed                  // It closed the connection before that, or reset it.
	EndSilent                  // It sent nothing more: it may be slow, cut off or lost.
)

// EndedSend is a send that its instance may have run, and that has ended.
type EndedSend struct {
	Content   uint64 // Hash of what identifies the call when it is repeated.
	Prompt    PromptParts
	Instance  Instance
	Connected time.Time // Start of the dial of its connection.
	Received  time.Time // Arrival of the call at this VM.
	Events    int       // Events of the response that arrived.
	End       SendEnd
}

// CrashDetector concludes which calls crash instances. Implementations are safe for
// concurrent use.
type CrashDetector interface {
	// RecordBytes records that an instance sent bytes on a connection that was opened at a time.
	RecordBytes(instance *Instance, connected, now time.Time)
	// RecordEnd records the end of a send.
	RecordEnd(send EndedSend, now time.Time)
}

// AdapterPlacer has adapters loaded on demand. Implementations are safe for
// concurrent use.
type AdapterPlacer interface {
	// PlaceAdapter asks for an adapter that no instance is known to hold. It
	// reports whether an instance holds the adapter now.
	PlaceAdapter(ctx context.Context, request AdapterRequest) bool
}

// String returns the name of an outcome in logs and metrics.
func (o SendOutcome) String() string {
	names := []string{"answered", "failed", "not-run", "moved", "unreachable", "stale", "broken", "silent", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome-%d", int(o))
}
