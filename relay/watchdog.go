package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

// searchInterval is the pause between two searches for a successor. Slots of engines become free
// several times a second.
const searchInterval = 200 * time.Millisecond

// errSuperseded reports that another instance has taken the call over.
var errSuperseded = errors.New("another instance has taken the call over")

// watchdog looks for a successor while an instance is silent, and ends the wait for the
// instance when the successor has begun to answer. Silence alone is no reason to end a
// response: without a successor the call goes on until its deadline.
type watchdog struct {
	mutex        sync.Mutex
	timer        *time.Timer
	timeout      func() time.Duration
	lastProgress time.Time
	lastEventID  string // Of the last event that was passed on.
	writing      bool   // Events are being written to the caller, so that none is read.
	stopped      bool
	reported     bool // The silence has been reported to the chooser.
	allowed      bool // The retry budget has allowed a send that was not made yet. Used by the search only.
	search       *search
	successor    *attempt // Has begun to answer the call; nil if there is none.
	expired      bool     // The wait for the instance was ended for the successor.
	sends        int      // Sends to instances that did not become the successor.
	runs         int      // Those of them that may have run the call.
}

// search is one search for a successor. Its fields are under the lock of the watchdog.
type search struct {
	cancel      context.CancelFunc
	ended       chan struct{}
	silentSince time.Time
	resumeAfter string
	sent        bool // The call was sent to an instance.
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
// send one now and then. It returns errSuperseded if a successor has taken the call over: what the
// instance sent is then not to be used.
func (w *watchdog) recordProgress(now time.Time, eventID string, writing bool) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.successor != nil {
		return errSuperseded
	}
	w.lastProgress, w.reported, w.writing = now, false, writing
	if eventID != "" {
		w.lastEventID = eventID
	}
	return nil
}

// stop disarms the watchdog, and waits for the end of its search.
func (w *watchdog) stop() {
	w.mutex.Lock()
	w.stopped = true
	w.endTimer()
	s := w.search
	w.mutex.Unlock()
	if s != nil {
		s.cancel()
		<-s.ended
	}
}

// await disarms the watchdog after the instance has broken off. If the search has sent the call to
// another instance, it waits for what comes of that.
func (w *watchdog) await() {
	w.mutex.Lock()
	w.endTimer()
	s := w.search
	sent := s != nil && s.sent
	w.mutex.Unlock()
	if sent {
		<-s.ended
	}
	w.stop()
}

// endTimer prevents further searches. The caller holds the lock.
func (w *watchdog) endTimer() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = nil
}

// timedOut reports whether the wait for the instance was ended for a successor.
func (w *watchdog) timedOut() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.expired
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
	defer w.endSearch(s)
	if found := a.findSuccessor(ctx, s); found != nil && !w.succeed(s, a, found) {
		found.abandon()
	}
}

// beginSearch returns a search and its context, or restarts the timer and returns nil.
func (w *watchdog) beginSearch(ctx context.Context, a *attempt) (*search, context.Context) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || w.timer == nil {
		return nil, ctx
	}
	silent, timeout := a.Clock.Now().Sub(w.lastProgress), w.timeout()
	switch {
	case timeout <= 0:
		return nil, ctx
	case w.writing:
		w.timer.Reset(timeout)
		return nil, ctx
	case silent < timeout:
		w.timer.Reset(timeout - silent)
		return nil, ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	w.search = &search{cancel: cancel, ended: make(chan struct{}), silentSince: w.lastProgress, resumeAfter: w.lastEventID}
	return w.search, ctx
}

// succeed ends the wait for the instance if it is still silent, and reports whether it is.
func (w *watchdog) succeed(s *search, a *attempt, successor *attempt) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.isSilentSince(s) {
		w.runs++ // Counted as a send by recordSend.
		return false
	}
	w.successor = successor
	w.sends-- // It counts when the call goes on with it.
	if w.timer != nil {
		w.expired = true
		_ = a.connection.SetReadDeadline(a.Clock.Now()) // Fails only on a closed connection, which ends the wait as well.
	}
	return true
}

// endSearch ends a search, and restarts the timer if the instance is waited for.
func (w *watchdog) endSearch(s *search) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.search = nil
	if w.successor == nil {
		s.cancel()
		if !w.stopped && w.timer != nil {
			w.timer.Reset(searchInterval)
		}
	}
	close(s.ended)
}

// isNeeded reports whether a search is still needed.
func (w *watchdog) isNeeded(s *search) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.isSilentSince(s)
}

// isSilentSince reports whether the instance is still silent. The caller holds the lock.
func (w *watchdog) isSilentSince(s *search) bool {
	return !w.stopped && w.lastProgress.Equal(s.silentSince)
}

// reportSilence reports whether the silence has not been reported to the chooser yet.
func (w *watchdog) reportSilence() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	first := !w.reported
	w.reported = true
	return first
}

// allow reports whether the retry budget allows a send, and asks it once for each. It is called by the
// search only.
func (w *watchdog) allow(ask func() bool) bool {
	w.allowed = w.allowed || ask()
	return w.allowed
}

// recordSend records that the call is sent to an instance, unless the search is not needed any more.
func (w *watchdog) recordSend(s *search) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.isSilentSince(s) || w.timer == nil {
		return false
	}
	s.sent, w.allowed = true, false
	w.sends++
	return true
}

// recordRun records that an instance that did not become the successor may have run the call.
func (w *watchdog) recordRun() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs++
}

// spent returns the sends and runs that searches have used up so far.
func (w *watchdog) spent() (sends, runs int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.sends, w.runs
}
