package upstream

import (
	"math"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// runningWeight is the weight of a running request relative to a queued one.
	// Engines batch continuously: running requests delay the first token of a new
	// one, but do not block it.
	runningWeight = 0.125
	// maxPeerLoadAge is the age at which a load from a peer is no longer used. With
	// messages to 2 of 39 VMs every 2 s, a VM receives the load of a given upstream
	// every 20 s on average.
	maxPeerLoadAge = 40 * time.Second
	// initialServiceTime is assumed until the first response of an upstream.
	initialServiceTime = 10 * time.Millisecond
	minServiceTime     = 500 * time.Microsecond
	maxServiceTime     = time.Second
	// serviceTimeSmoothing divides each correction of ServiceTime, which thus
	// follows a change over about this many responses.
	serviceTimeSmoothing = 16
	// byteSteps is the number of steps per doubling in the one-byte load.
	byteSteps = 16
)

// Load is the work ahead of a new request, measured in queued requests.
type Load float64

// LoadOf returns the load according to a report.
func LoadOf(report kumquathitch.LoadReport) Load {
	return Load(report.Queued) + runningWeight*Load(report.Running)
}

// EncodeLoad returns a load as one byte, on a logarithmic scale with steps of about 4%.
func EncodeLoad(load Load) byte {
	return byte(min(math.MaxUint8, math.Round(byteSteps*math.Log2(1+max(0, float64(load))))))
}

// DecodeLoad is the inverse of EncodeLoad, within its rounding.
func DecodeLoad(b byte) Load {
	return Load(math.Exp2(float64(b)/byteSteps) - 1)
}

// LoadAt returns the load of the upstream: that of the newer of its report and
// the peers' messages, plus the requests that this VM has sent since. It is at
// least the load of this VM's own outstanding requests. Reports older than maxAge
// are not used.
func (s *State) LoadAt(now time.Time, maxAge time.Duration) Load {
	own := s.loadOf(s.Outstanding)
	reported := !s.ReportedAt.IsZero() && now.Sub(s.ReportedAt) <= maxAge
	fromPeer := !s.PeerLoadAt.IsZero() && now.Sub(s.PeerLoadAt) <= maxPeerLoadAge
	switch {
	case reported && (!fromPeer || !s.PeerLoadAt.After(s.ReportedAt)):
		return max(own, s.loadOf(s.Report.Queued+s.Report.Running+s.OutstandingChange))
	case fromPeer:
		return max(own, DecodeLoad(s.PeerLoad)+runningWeight*Load(s.OutstandingChange))
	}
	return own
}

// loadOf returns the load of a number of requests. Those beyond the largest batch
// observed while the engine had a queue count as queued.
func (s *State) loadOf(requests int) Load {
	if !s.QueueObserved || requests <= s.MaxRunning {
		return runningWeight * Load(max(0, requests))
	}
	return Load(requests-s.MaxRunning) + runningWeight*Load(s.MaxRunning)
}

const (
	// tickLength and windowTicks give the longest delay of a report that is
	// compensated, 2 s: requests sent since the report was taken add to its load.
	tickLength  = 125 * time.Millisecond
	windowTicks = 16
)

// changeWindow is a ring of the net changes in the number of outstanding requests
// of an upstream, one entry for each of the last ticks.
type changeWindow struct {
	Changes [windowTicks]int16
	Tick    int64 // Newest tick, in multiples of tickLength since the Unix epoch.
}

func (w *changeWindow) add(change int16, now time.Time) {
	w.advance(now)
	w.Changes[w.Tick%windowTicks] += change
}

// since returns the net change since a time, or over the whole window when the
// time lies before it.
func (w *changeWindow) since(taken, now time.Time) int {
	w.advance(now)
	total := 0
	for tick := max(w.Tick-windowTicks+1, taken.UnixNano()/int64(tickLength)+1); tick <= w.Tick; tick++ {
		total += int(w.Changes[tick%windowTicks])
	}
	return total
}

func (w *changeWindow) advance(now time.Time) {
	tick := now.UnixNano() / int64(tickLength)
	for next := max(w.Tick+1, tick-windowTicks+1); next <= tick; next++ {
		w.Changes[next%windowTicks] = 0
	}
	w.Tick = max(w.Tick, tick)
}

// ExpectedTTFB returns the estimated time to the first token of a new request.
// Reports older than maxAge are not used.
func (s *State) ExpectedTTFB(now time.Time, maxAge time.Duration) time.Duration {
	return time.Duration(float64(s.ServiceTime) * (1 + float64(s.LoadAt(now, maxAge))))
}

// adjustServiceTime corrects ServiceTime by the ratio of the actual to the estimated
// time to the first token. The ratio is clamped to between 0.5 and 2, so that
// a single stall does not take an upstream out of use.
func (s *State) adjustServiceTime(estimated, actual time.Duration) {
	if estimated <= 0 || actual <= 0 {
		return
	}
	ratio := min(2, max(0.5, float64(actual)/float64(estimated)))
	s.ServiceTime += time.Duration(float64(s.ServiceTime) * (ratio - 1) / serviceTimeSmoothing)
	s.ServiceTime = min(maxServiceTime, max(minServiceTime, s.ServiceTime))
}
