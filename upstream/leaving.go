package upstream

import (
	"time"

	"kumquathitch.example/kumquathitch"
)

// Source is the origin of a notice.
type Source string

// Sources of notices.
const (
	FromPlatform Source = "platform"      // The platform's list of VMs.
	FromEngine   Source = "engine"        // The engine's own report.
	PlatformLive Source = "platform-live" // Every list of the platform has shown the upstream as live for maxListLag.
)

// Notice tells other VMs that an upstream is leaving, or that older notices from
// the platform's list are void. An upstream that leaves by configuration needs no
// notice, since every VM receives the configuration.
type Notice struct {
	Upstream string `json:"upstream"`
	Source   Source `json:"source"`
	// Since is the time of the evidence. FromPlatform: when the first VM learned that
	// the upstream is leaving. FromEngine: when the report was taken, by the
	// engine's clock. PlatformLive: the time up to which FromPlatform notices are void.
	Since time.Time `json:"since"`
}

// Notices is a list of notices.
type Notices []Notice

// maxListLag is the assumed maximum lag of the platform's list of VMs. Lists that
// show an upstream as live void a notice only when every list of this period did.
const maxListLag = time.Minute

// LeavingState holds the newest evidence of each source that an upstream is
// leaving. Only newer evidence of the same kind, or a restart of the engine, makes
// a notice void.
type LeavingState struct {
	Configured      bool      // The active configuration drains the upstream or evacuates its data centre.
	PlatformSince   time.Time // Notice.Since of the newest FromPlatform notice; zero for none.
	EngineSince     time.Time // Notice.Since of the newest FromEngine notice; zero for none.
	ListedLiveSince time.Time // Start of the period in which every list showed the upstream as live; zero while it is listed as leaving.
	VoidUntil       time.Time // FromPlatform notices up to this time are void.
	LearnedAt       time.Time // When this VM learned that the upstream is leaving, by its own clock; zero while it is not.
}

// WithNotice returns the state with a notice added.
func (l LeavingState) WithNotice(n Notice) LeavingState {
	switch n.Source {
	case FromPlatform:
		l.PlatformSince = later(l.PlatformSince, n.Since)
	case FromEngine:
		l.EngineSince = later(l.EngineSince, n.Since)
	case PlatformLive:
		l.VoidUntil = later(l.VoidUntil, n.Since)
	}
	return l
}

// WithListing returns the state after a list of the platform showed the upstream
// as leaving or live.
func (l LeavingState) WithListing(leaving bool, now time.Time) LeavingState {
	switch {
	case leaving:
		l.ListedLiveSince = time.Time{}
		if l.PlatformSince.IsZero() {
			l.PlatformSince = now
		}
	case l.ListedLiveSince.IsZero():
		l.ListedLiveSince = now
	}
	return l
}

// Evidence is the information that can make notices void.
type Evidence struct {
	Report      kumquathitch.LoadReport // The newest report.
	RestartedAt time.Time               // When the last restart of the engine was noticed; zero for none.
	ClockError  time.Duration
}

// Resolve drops the notices that the evidence makes void, adds the newest report,
// and sets LearnedAt when the upstream begins to leave, or clears it.
func (l LeavingState) Resolve(e Evidence, now time.Time) LeavingState {
	restarted := !e.Report.Leaving && e.RestartedAt.After(l.PlatformSince.Add(e.ClockError))
	if !l.PlatformSince.IsZero() && !l.ListedLiveSince.IsZero() && now.Sub(l.ListedLiveSince) >= maxListLag {
		l.VoidUntil = later(l.VoidUntil, now.Add(-maxListLag))
	}
	if restarted || l.VoidUntil.After(l.PlatformSince.Add(e.ClockError)) {
		l.PlatformSince = time.Time{}
	}
	if !e.Report.Leaving && e.Report.TakenAt.After(l.EngineSince) {
		l.EngineSince = time.Time{}
	}
	if e.Report.Leaving {
		l.EngineSince = later(l.EngineSince, e.Report.TakenAt)
	}
	leaves := l.Configured || !l.PlatformSince.IsZero() || !l.EngineSince.IsZero()
	switch {
	case !leaves:
		l.LearnedAt = time.Time{}
	case l.LearnedAt.IsZero():
		l.LearnedAt = now
	}
	return l
}

// Notices returns the notices about the upstream for other VMs.
func (l LeavingState) Notices(name string) Notices {
	var known Notices
	if !l.PlatformSince.IsZero() {
		known = append(known, Notice{Upstream: name, Source: FromPlatform, Since: l.PlatformSince})
	}
	if !l.EngineSince.IsZero() {
		known = append(known, Notice{Upstream: name, Source: FromEngine, Since: l.EngineSince})
	}
	if !l.VoidUntil.IsZero() {
		known = append(known, Notice{Upstream: name, Source: PlatformLive, Since: l.VoidUntil})
	}
	return known
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
