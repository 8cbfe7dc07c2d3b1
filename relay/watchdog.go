package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// watchdog ends the wait for a silent instance if another one can take over the
// call. Otherwise the call goes on until its deadline: silence alone is no
// reason to end a response.
type watchdog struct {
	mutex        sync.Mutex
	timer        *time.Timer
	timeout      func() time.Duration
	lastProgress time.Time
	expired      bool
	stopped      bool
}

// start watches an attempt for a silence of the length that timeout returns. A
// timeout of 0 disables the watchdog.
func (w *watchdog) start(a *attempt, timeout func() time.Duration) {
	first := timeout()
	if first <= 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timeout, w.lastProgress, w.stopped = timeout, a.Clock.Now(), false
	w.timer = time.AfterFunc(first, func() { w.check(a) })
}

// recordProgress restarts the timeout after the instance sent a whole event. Single
// bytes do not count: a stalled instance may send one now and then.
func (w *watchdog) recordProgress(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastProgress = now
}

// stop disarms the watchdog.
func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// timedOut reports whether the watchdog ended the wait for the instance.
func (w *watchdog) timedOut() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.expired
}

// check ends the wait, or restarts the timer.
func (w *watchdog) check(a *attempt) {
	defer a.Panics.Recover("relay.watchdog")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := a.Clock.Now()
	silent, timeout := now.Sub(w.lastProgress), w.timeout()
	switch {
	case w.stopped:
		return
	case silent < timeout:
		w.timer.Reset(timeout - silent)
		return
	case !a.Chooser.HasAlternative(a.criteria, a.choice, now) || !a.RetryBudget.Allow(a.criteria.Service, now):
		w.timer.Reset(timeout)
		return
	}
	w.expired = true
	a.Logger.Info("instance silent", zap.String("call", a.call.ID), zap.String("instance", a.choice.Instance.ID), zap.Duration("silent", silent))
	_ = a.connection.SetReadDeadline(now) // Fails only on a closed connection, which ends the wait as well.
}
