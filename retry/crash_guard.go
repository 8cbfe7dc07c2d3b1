package retry

import (
	"time"

	"kumquathitch.example/kumquathitch"
)

// contentSuspicion is that of contents. Each upstream that crashes under a content that was
// never answered counts, since a call that is retried crashes the next one within
// milliseconds. Callers may repeat a call minutes later. Answers that other VMs saw arrive
// within two exchanges, which come twice a second.
var contentSuspicion = suspicion{crashTTL: 10 * time.Minute, confirmation: time.Second}

// CrashGuard blocks calls whose content crashes upstreams: callers repeat a call at any VM.
// An answer to a call with the content on any VM clears it. It is safe for concurrent use.
type CrashGuard struct {
	*suspectSet
}

// NewCrashGuard returns the guard of a VM, without suspects. The name of the VM must
// differ from those of the others.
func NewCrashGuard(vm string) *CrashGuard {
	return &CrashGuard{suspectSet: newSuspectSet(vm, contentSuspicion)}
}

// BlockedUntil returns the time until which calls with a content are blocked, and false if
// they are not.
func (g *CrashGuard) BlockedUntil(content uint64, now time.Time) (time.Time, bool) {
	until := g.blockedUntil(content, now)
	return until, now.Before(until)
}

// Suspected reports whether calls with the content crashed more than one upstream without
// an answer. Such calls are not retried.
func (g *CrashGuard) Suspected(content uint64, now time.Time) bool {
	return g.isSuspected(content, now)
}

// RecordCrash records an instance that closed a connection, which had been opened at a
// time, before it answered a call. An instance that closes several connections at once
// counts once. One that accepted a connection after a crash has started again, even if
// its description does not say so yet.
func (g *CrashGuard) RecordCrash(content uint64, instance *kumquathitch.Instance, connected, now time.Time) {
	start := instance.Incarnation()
	for g.crashedBefore(content, start, connected) {
		start += nextStartMark
	}
	g.record(content, instance.Service, crash{instance: start, at: now, own: true}, now)
}

// RecordInferredCrash records the crash of an instance that was last known to be up at a
// time, and that sent nothing any more.
func (g *CrashGuard) RecordInferredCrash(content uint64, instance *kumquathitch.Instance, at, now time.Time) {
	g.record(content, instance.Service, crash{instance: instance.Incarnation(), at: at, own: true, inferredAt: now}, now)
}

func (g *CrashGuard) record(content uint64, service string, crashed crash, now time.Time) {
	g.recordCrash(content, service, crashed, now)
	if !g.wasAnswered(content) {
		g.signalCrash()
	}
}

// RecordAnswer records that an instance answered a call.
func (g *CrashGuard) RecordAnswer(content uint64, now time.Time) {
	g.recordAnswer(content, now)
}
