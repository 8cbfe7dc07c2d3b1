package relay

import (
	"context"
	"sync"
	"time"
)

// searchInterval is the pause between two searches for a successor. Slots of engines become free
// several times a second.
const searchInterval = 200 * time.Millisecond

// watchdog looks for a successor while an instance is silent, and ends the wait for the
// instance when the successor has begun to answer. Silence alone is no reason to end a
// response: without a successor the call goes on until its deadline.
type watchdog struct {
	mutex        sync.Mutex
	timer        *time.Timer
	timeout      func() time.Duration
	lastProgress time.Time
	lastEventID  string // Of the last event that was passed on.
	stopped      bool
	search       *search
	reported     bool     // The silence has been reported to the chooser.
	successor    *attempt // Nil unless the wait was ended for it.
	sends        int      // Sends to instances that did not become the successor.
	runs         int      // Those of them that may have run the call.
}

// search is one search for a successor.
type search struct {
	cancel       context.CancelFunc
	ended        chan struct{}
	silentSince  time.Time
	resumeAfter  string
	sends, runs  int
	deadlineOver func() // Ends the wait for the silent instance.
}

// start watches an attempt for a silence of the length that timeout returns. A timeout
// of 0 disables the watchdog. resumeAfter is the event that the caller has received last.
func (w *watchdog) start(ctx context.Context, a *attempt, resumeAfter string, timeout func() time.Duration) {
	first := timeout()
	if first <= 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timeout, w.lastProgress, w.lastEventID, w.stopped = timeout, a.Clock.Now(), resumeAfter, false
	w.timer = time.AfterFunc(first, func() { w.check(ctx, a) })
}

// recordProgress restarts the timeout after the instance sent the head of a response or whole
// events, the last of which may have an ID. Single bytes do not count: a stalled instance may
// send one now and then. It returns the successor for which the wait had ended and that is no
// longer needed, or nil.
func (w *watchdog) recordProgress(now time.Time, eventID string) *attempt {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastProgress, w.reported = now, false
	if eventID != "" {
		w.lastEventID = eventID
	}
	outdated := w.successor
	w.successor = nil
	return outdated
}

// stop disarms the watchdog, and waits for the end of its search.
func (w *watchdog) stop() {
	w.mutex.Lock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	s := w.search
	w.mutex.Unlock()
	if s != nil {
		s.cancel()
		<-s.ended
	}
}

// timedOut reports whether the wait for the instance was ended for a successor.
func (w *watchdog) timedOut() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.successor != nil
}

// takeSuccessor returns the successor, if there is one. The watchdog must be stopped.
func (w *watchdog) takeSuccessor() *attempt {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	successor := w.successor
	w.successor = nil
	return successor
}

// check searches for a successor if the instance is silent, or restarts the timer.
func (w *watchdog) check(ctx context.Context, a *attempt) {
	defer a.Panics.Recover("relay.watchdog")
	s, ctx := w.beginSearch(ctx, a)
	if s == nil {
		return
	}
	defer close(s.ended)
	var found *attempt
	defer func() {
		if unused := w.endSearch(s, found); unused != nil {
			unused.abandon()
		}
	}()
	found = a.findSuccessor(ctx, s)
}

// beginSearch returns a search and its context, or restarts the timer and returns nil.
func (w *watchdog) beginSearch(ctx context.Context, a *attempt) (*search, context.Context) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	silent, timeout := a.Clock.Now().Sub(w.lastProgress), w.timeout()
	switch {
	case w.stopped, timeout <= 0:
		return nil, ctx
	case silent < timeout:
		w.timer.Reset(timeout - silent)
		return nil, ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	w.search = &search{
		cancel: cancel, ended: make(chan struct{}), silentSince: w.lastProgress, resumeAfter: w.lastEventID,
		deadlineOver: func() { _ = a.connection.SetReadDeadline(a.Clock.Now()) }, // Fails only on a closed connection, which ends the wait as well.
	}
	return w.search, ctx
}

// endSearch ends the wait for the instance if a successor was found and the instance is still
// silent, and restarts the timer otherwise. It returns a successor that is not needed.
func (w *watchdog) endSearch(s *search, found *attempt) *attempt {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.search = nil
	w.sends, w.runs = w.sends+s.sends, w.runs+s.runs
	if found != nil && w.isSilentSince(s) {
		w.successor = found
		s.deadlineOver()
		return nil
	}
	if found != nil { // It has begun to run the call.
		w.sends, w.runs = w.sends+1, w.runs+1
	} else {
		s.cancel()
	}
	if !w.stopped {
		w.timer.Reset(searchInterval)
	}
	return found
}

// reportSilence reports whether the silence has not been reported to the chooser yet.
func (w *watchdog) reportSilence() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	first := !w.reported
	w.reported = true
	return first
}

// needs reports whether a search is still needed.
func (w *watchdog) needs(s *search) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.isSilentSince(s)
}

// isSilentSince reports whether the instance is still silent. The caller holds the lock.
func (w *watchdog) isSilentSince(s *search) bool {
	return !w.stopped && w.lastProgress.Equal(s.silentSince)
}

// countUnused counts a successor that is not needed. It has begun to run the call.
func (w *watchdog) countUnused() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sends, w.runs = w.sends+1, w.runs+1
}

// spent returns the sends and runs that a search has used up so far.
func (w *watchdog) spent() (sends, runs int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.sends, w.runs
}
