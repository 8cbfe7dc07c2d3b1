package kumquathitch

import "time"

// Quarantine isolates requests that may crash upstreams. Implementations are safe
// for concurrent use.
type Quarantine interface {
	// Admit returns a *RefusalError with status 422 for a fingerprint that is known to crash upstreams.
	Admit(fingerprint uint64, now time.Time) error
	// Begin registers a request on an upstream. When the fingerprint is suspect and
	// another suspect runs on the upstream, it registers nothing and returns false.
	Begin(upstream string, fingerprint uint64, now time.Time) bool
	// End ends a registration. A crash makes every fingerprint that runs on the
	// upstream a suspect; a success clears the suspicion of this fingerprint.
	End(upstream string, fingerprint uint64, result UpstreamResult, now time.Time)
}
