package soak_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// lastSixth is the time after SIGTERM from which a stopping VM may break off a call that
	// an engine works on, if it was sent until latestCall after the signal.
	lastSixth  = shutdownGrace - shutdownGrace/6
	latestCall = 3 * time.Second
	// lossSlack is how long after its last byte a call that was not passed on may still end
	// with its connection.
	lossSlack = 200 * time.Millisecond
	// deadlineSlack is how long before the deadline VMs end a call.
	deadlineSlack = 30 * time.Millisecond
	// maxRuns is the number of attempts that the route allows, and maxOverlap how long an engine may
	// work on a call after another one has gone on.
	maxRuns    = 2
	maxOverlap = 400 * time.Millisecond
	// oldConnection is the age from which net/http counts a connection without a request as idle.
	oldConnection = 5 * time.Second
)

// verdict is how a call ended.
type verdict string

const (
	verdictAnswered verdict = "answered"
	verdictLeft     verdict = "caller left"
	verdictDeadline verdict = "deadline"
	verdictCrossed  verdict = "crossed the close of its connection"
	verdictGrace    verdict = "broken off at the end of the grace period"
	// verdictQueued is verdictGrace while the call was only in the queue of its last engine, after
	// the VM had left the one that worked on it.
	verdictQueued verdict = "broken off at the end of the grace period, in a queue"
	verdictLost   verdict = "lost"
)

// judge applies the users' rule LOST to a call. Nothing but planned work disturbs the VMs,
// so that each call counts, wherever the signals are.
func (r *roll) judge(call *rollCall) verdict {
	switch {
	case call.err == nil && call.status == 200 && call.body != r.wholeBody(call.id):
		return verdictLost // The end is false.
	case call.err == nil:
		return verdictAnswered
	case call.left:
		return verdictLeft
	case !call.ended.Before(call.sent.Add(stockTimeout-deadlineSlack)) && call.ended.Before(call.sent.Add(hangTimeout)):
		return verdictDeadline
	}
	arrivals := r.arrivals(call.id)
	if len(arrivals) == 0 {
		seen := call.lastByte // The caller sees the end of the connection when it reads.
		if call.readFrom.After(seen) {
			seen = call.readFrom
		}
		if call.ended.After(seen.Add(lossSlack + 2*call.delay)) {
			return verdictLost
		}
		return verdictCrossed
	}
	stop, stopped := r.stopBefore(call.vm, call.ended)
	if !stopped || call.sent.After(stop.Add(latestCall)) {
		return verdictLost
	}
	ended := verdictLost
	for _, run := range arrivals {
		switch atWork := !run.rejected && run.ended.After(stop.Add(lastSixth)) && run.began.Before(stop.Add(shutdownGrace)); {
		case !atWork:
		case run.resumedAfter > 0 && run.events == 0 && planStream(r.profile, r.seed, call.id).queue > 0:
			ended = verdictQueued
		default:
			return verdictGrace
		}
	}
	return ended
}

func (r *roll) wholeBody(call string) string {
	var b strings.Builder
	for n := range planStream(r.profile, r.seed, call).events {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n+1, n+1)
	}
	return b.String()
}

// arrivals returns what the engines saw of a call.
func (r *roll) arrivals(call string) []engineRun {
	var arrivals []engineRun
	for _, engine := range r.engines {
		arrivals = append(arrivals, engine.runsOf(call)...)
	}
	return arrivals
}

// check judges all calls, counts the verdicts and describes the calls that were lost.
func (r *roll) check() {
	r.t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	verdicts, statuses := map[verdict]int{}, map[int]int{}
	for i := range r.calls {
		call := &r.calls[i]
		v := r.judge(call)
		verdicts[v]++
		if v == verdictAnswered {
			statuses[call.status]++
		}
		if v == verdictLost {
			r.t.Errorf("call without a whole answer\n%s", r.describe(call))
		}
		if fault := r.fault(call); fault != "" {
			r.t.Errorf("%s\n%s", fault, r.describe(call))
		}
	}
	r.t.Logf("%d calls: %v, answers by status: %v, crossings: %v", len(r.calls), verdicts, statuses, r.crossings())
	if statuses[200] == 0 {
		r.t.Error("no call succeeded")
	}
}

// fault returns what is wrong with the events or the runs of a call, or an empty string.
func (r *roll) fault(call *rollCall) string {
	if call.status == 200 && !strings.HasPrefix(r.wholeBody(call.id), call.body) {
		return "events missing or repeated"
	}
	runs := slices.DeleteFunc(r.arrivals(call.id), func(run engineRun) bool { return run.rejected })
	if len(runs) > maxRuns {
		return fmt.Sprintf("%d runs", len(runs))
	}
	for _, later := range runs {
		for _, earlier := range runs {
			gone := later.first.Add(maxOverlap)
			if later.resumedAfter > 0 && earlier.resumedAfter == 0 && later.events > 0 && earlier.ended.After(gone) && later.ended.After(gone) {
				return fmt.Sprintf("%s works on after %s has gone on", earlier.engine, later.engine)
			}
		}
	}
	return ""
}

// crossings counts the calls that crossed the close of their connection, by the connection
// and what the caller saw.
func (r *roll) crossings() map[string]int {
	counts := map[string]int{}
	for i := range r.calls {
		if call := &r.calls[i]; r.judge(call) == verdictCrossed {
			kind := "later call"
			if call.first {
				kind = "first call"
			}
			if call.first && call.sent.After(call.opened.Add(oldConnection)) {
				kind += " after 5 s"
			}
			reset := errors.Is(call.err, syscall.ECONNRESET)
			counts[fmt.Sprintf("%s, reset %t", kind, reset)]++
		}
	}
	return counts
}

// describe returns what the caller, the engines and the VM's log say of a call. Times
// are relative to the last SIGTERM of the VM.
func (r *roll) describe(call *rollCall) string {
	stop, stopped := r.stopBefore(call.vm, call.ended)
	if !stopped {
		stop = call.sent
	}
	at := func(t time.Time) string { return fmt.Sprintf("%+.3fs", t.Sub(stop).Seconds()) }
	plan := planStream(r.profile, r.seed, call.id)
	var b strings.Builder
	fmt.Fprintf(&b, "call %s at %s (%s, delay %s): sent %s, last byte %s, ended %s; status %d, %d bytes, %d of %d events, error %v; SIGTERM before: %t at %s\n",
		call.id, call.vm.name, call.kind, call.delay, at(call.sent), at(call.lastByte), at(call.ended), call.status, len(call.body),
		strings.Count(call.body, "data:"), plan.events, call.err, stopped, stop.Format(time.StampMilli))
	fmt.Fprintf(&b, "  plan: %+v\n", plan)
	for _, run := range r.arrivals(call.id) {
		fmt.Fprintf(&b, "  %s: %s to %s, after event %d, sent %d events, rejected %t, complete %t\n",
			run.engine, at(run.began), at(run.ended), run.resumedAfter, run.events, run.rejected, run.complete)
	}
	lines := 0
	for line := range strings.Lines(call.vm.log.String()) {
		if strings.Contains(line, call.id+" ") || strings.Contains(line, "msg=stopping") || strings.Contains(line, "msg=drain") {
			if lines++; lines <= 24 {
				b.WriteString("  log: " + line)
			}
		}
	}
	fmt.Fprintf(&b, "  %d lines of the log\n", lines)
	return b.String()
}
