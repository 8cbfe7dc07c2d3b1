package retry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathitch.example/kumquathitch"
)

// partSuspicion is that of prompt parts. Hardly any part that was never answered is on the
// calls of several engines that lose power together. Streams take seconds until they are
// answered, so that those in flight at the last crash end within the confirmation.
var partSuspicion = suspicion{newSpacing: 20 * time.Millisecond, crashTTL: 10 * time.Minute, confirmation: 2 * time.Second}

// PromptGuard blocks prompt parts that crash engines, whatever else the calls hold. An
// engine may crash at any event of an answer, and takes all of its calls with it. So a
// crash counts against each part of these calls, and only an answer that was complete clears
// one: that of any call with the part, on any VM. A part that was answered before is not
// blocked while one new part was on each of the engines that crashed, nor is any part
// while one new content was: that is blocked by itself. Of several new parts that were on
// each of them, those are not blocked that also come without another one, or whose answers
// got further, until an engine crashes without the other one. The last part of a prompt belongs
// to its call alone and is not considered. It is safe for concurrent use.
type PromptGuard struct {
	*suspectSet
}

// NewPromptGuard returns the guard of a VM, without suspects, beside that of contents. The
// name of the VM must differ from those of the others.
func NewPromptGuard(vm string, contents *CrashGuard) *PromptGuard {
	g := &PromptGuard{suspectSet: newSuspectSet(vm, partSuspicion)}
	g.causes = contents.suspectSet
	return g
}

// BlockedUntil returns the time until which calls with a prompt are blocked, and false
// if they are not.
func (g *PromptGuard) BlockedUntil(prompt kumquathitch.PromptParts, now time.Time) (time.Time, bool) {
	var until time.Time
	parts := sharedParts(prompt)
	for _, part := range parts {
		g.recordCompanions(part, parts)
	}
	for _, part := range parts {
		if end := g.blockedUntil(part, now); end.After(until) {
			until = end
		}
	}
	return until, now.Before(until)
}

// Suspected reports whether calls with a part of the prompt crashed more than one engine
// without an answer. Such calls are not retried.
func (g *PromptGuard) Suspected(prompt kumquathitch.PromptParts, now time.Time) bool {
	return slices.ContainsFunc(sharedParts(prompt), func(part uint64) bool { return g.isSuspected(part, now) })
}

// RecordCrash records an instance whose connection broke before it had answered a call
// completely.
func (g *PromptGuard) RecordCrash(prompt kumquathitch.PromptParts, instance *kumquathitch.Instance, now time.Time) {
	g.record(prompt, instance.Service, crash{instance: instance.Incarnation(), at: now, own: true}, now)
}

// RecordInferredCrash records the crash of an instance that was last known to be up at a
// time, and that sent nothing any more.
func (g *PromptGuard) RecordInferredCrash(prompt kumquathitch.PromptParts, instance *kumquathitch.Instance, at, now time.Time) {
	g.record(prompt, instance.Service, crash{instance: instance.Incarnation(), at: at, own: true, inferredAt: now}, now)
}

func (g *PromptGuard) record(prompt kumquathitch.PromptParts, service string, crashed crash, now time.Time) {
	unanswered := false
	parts := sharedParts(prompt)
	for _, part := range parts {
		g.recordCrash(part, service, crashed, now)
		g.recordCompanions(part, parts)
		unanswered = unanswered || !g.wasAnswered(part)
	}
	if unanswered {
		g.signalCrash()
	}
}

// RecordEvents records how many events of an answer had come when its instance crashed. It is
// called after the crash was recorded.
func (g *PromptGuard) RecordEvents(prompt kumquathitch.PromptParts, events int) {
	for _, part := range sharedParts(prompt) {
		g.recordEvents(part, events)
	}
}

// RecordAnswer records that an instance answered a call completely.
func (g *PromptGuard) RecordAnswer(prompt kumquathitch.PromptParts, now time.Time) {
	for _, part := range sharedParts(prompt) {
		g.recordAnswer(part, now)
	}
}

// sharedParts returns the hashes of all parts of a prompt but the last.
func sharedParts(prompt kumquathitch.PromptParts) []uint64 {
	if len(prompt) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)-1)
	for _, part := range prompt[:len(prompt)-1] {
		hashes = append(hashes, xxhash.Sum64String(part.ID))
	}
	return hashes
}
