package upstream

import "time"

// Phase says whether an upstream may get new requests.
type Phase int

// Phases of an upstream.
const (
	Live      Phase = iota
	Leaving         // It gets no new requests, except within the grace after a notice; running requests continue.
	Suspected       // A connection or poll failed; it gets one probe request per probe delay.
	Down            // It failed again while suspected; probes at longer intervals.
)

// String returns the name of the phase in status output.
func (p Phase) String() string {
	return [...]string{"live", "leaving", "suspected", "down"}[p]
}

// HealthEvent is the outcome of a request or poll that affects the health of an upstream.
type HealthEvent int

// Events that change the health of an upstream.
const (
	Success HealthEvent = iota // The upstream responded to a request or a poll.
	Failure                    // A connection broke or a poll got no response.
)

const (
	// probeInterval is the time between two probe requests to a suspected upstream,
	// before any doubling.
	probeInterval = 2 * time.Second
	// maxProbeInterval bounds the exponential backoff of probes, so that a recovered
	// upstream gets requests within about half a minute even when no watcher polls it.
	maxProbeInterval = 32 * time.Second
)

// Health is the circuit breaker of an upstream: failures open it and a success closes it.
type Health struct {
	Phase    Phase     // Live, Suspected or Down.
	Failures int       // Failures since the last success.
	ProbeAt  time.Time // Earliest time of the next probe request; zero when live.
}

// After returns the health after an event.
func (h Health) After(event HealthEvent, now time.Time) Health {
	if event == Success {
		return Health{}
	}
	next := Health{Phase: Suspected, Failures: h.Failures + 1}
	if h.Phase != Live {
		next.Phase = Down
	}
	next.ProbeAt = now.Add(h.probeDelay())
	return next
}

// ProbeSent returns the health after a probe request was sent: the next probe is
// postponed by the probe delay. A live upstream stays unchanged.
func (h Health) ProbeSent(now time.Time) Health {
	if h.Phase != Live {
		h.ProbeAt = now.Add(h.probeDelay())
	}
	return h
}

// Usable reports whether a request may be sent.
func (h Health) Usable(now time.Time) bool {
	return h.Phase == Live || !now.Before(h.ProbeAt)
}

func (h Health) probeDelay() time.Duration {
	const doublings = 4
	return min(probeInterval<<min(h.Failures, doublings), maxProbeInterval)
}
