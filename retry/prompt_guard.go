package retry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathitch.example/kumquathitch"
)

// partSuspicion is that of prompt parts. Hardly any part that was never answered is on the
// calls of several engines that lose power together.
var partSuspicion = suspicion{newSpacing: 20 * time.Millisecond, crashTTL: 20 * time.Second, shareCleared: true}

// PromptGuard blocks prompt parts that crash engines, whatever else the calls hold. An
// engine that crashes takes all of its calls with it, so crashes count only against calls
// that had no answer yet, and any answer to a call with a part clears the part. A part that
// was answered before is not blocked while a new part of the same calls explains all of
// its crashes, nor is any part while one new content does: that is blocked by itself. The last part of a prompt belongs to its call alone and is not considered.
// It is safe for concurrent use.
type PromptGuard struct {
	*suspectSet
	contents *CrashGuard
}

// NewPromptGuard returns the guard of a VM, without suspects, beside that of contents. The
// name of the VM must differ from those of the others.
func NewPromptGuard(vm string, contents *CrashGuard) *PromptGuard {
	g := &PromptGuard{suspectSet: newSuspectSet(vm, partSuspicion), contents: contents}
	g.isCause = contents.isNewSuspect
	return g
}

// BlockedUntil returns the time until which calls with a prompt are blocked, and false
// if they are not.
func (g *PromptGuard) BlockedUntil(prompt kumquathitch.PromptParts, now time.Time) (time.Time, bool) {
	var until time.Time
	for _, part := range sharedParts(prompt) {
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

// RecordCrash records an instance whose connection broke before it answered a call. A
// content of 0 is unknown.
func (g *PromptGuard) RecordCrash(prompt kumquathitch.PromptParts, content uint64, instance *kumquathitch.Instance, now time.Time) {
	parts := sharedParts(prompt)
	var unanswered []uint64
	if content != 0 && !g.contents.wasAnswered(content) {
		unanswered = append(unanswered, content)
	}
	for _, part := range parts {
		if !g.wasAnswered(part) && len(unanswered) <= maxCompanions {
			unanswered = append(unanswered, part)
		}
	}
	for _, part := range parts {
		companions := slices.DeleteFunc(slices.Clone(unanswered), func(other uint64) bool { return other == part })
		g.recordCrash(part, instance.Incarnation(), companions, now)
	}
	if len(unanswered) > 0 {
		g.signalCrash()
	}
}

// RecordAnswer records that an instance answers a call.
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
