package upstream

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

// Residency lists the models and adapters that were resident on an upstream when
// a report was taken.
type Residency struct {
	Upstream string    `json:"upstream"`
	Sequence uint64    `json:"sequence"`
	TakenAt  time.Time `json:"taken"`
	Leaving  bool      `json:"leaving,omitempty"`
	Resident []string  `json:"resident"`
}

// Update holds changes that are sent to other VMs without delay.
type Update struct {
	Notices     Notices     `json:"notices,omitempty"`
	Residencies []Residency `json:"placements,omitempty"`
}

// Empty reports whether there is nothing to send.
func (u Update) Empty() bool {
	return len(u.Notices) == 0 && len(u.Residencies) == 0
}

// maxPendingItems bounds each list of the pending update. More changes come together
// only when a data centre fails, and watchers detect that by polling.
const maxPendingItems = 256

type pendingUpdate struct {
	mutex  sync.Mutex
	update Update
}

func (f *Fleet) publish(u Update) {
	if u.Empty() {
		return
	}
	f.pending.mutex.Lock()
	if len(f.pending.update.Notices) < maxPendingItems {
		f.pending.update.Notices = append(f.pending.update.Notices, u.Notices...)
	}
	if len(f.pending.update.Residencies) < maxPendingItems {
		f.pending.update.Residencies = append(f.pending.update.Residencies, u.Residencies...)
	}
	f.pending.mutex.Unlock()
	select {
	case f.UpdateReady <- struct{}{}:
	default: // A signal is pending already; its reader takes this update too.
	}
}

// TakeUpdate returns and clears the changes since the last call.
func (f *Fleet) TakeUpdate() Update {
	f.pending.mutex.Lock()
	defer f.pending.mutex.Unlock()
	taken := f.pending.update
	f.pending.update = Update{}
	return taken
}

// ApplyUpdate applies an update from a peer and returns the changes that were new
// to this VM.
func (f *Fleet) ApplyUpdate(u Update, now time.Time) Update {
	var fresh Update
	for _, notice := range u.Notices {
		fresh = fresh.with(f.update(notice.Upstream, now, func(s *State) { s.Leaving = s.Leaving.WithNotice(notice) }))
	}
	for _, r := range u.Residencies {
		fresh = fresh.with(f.update(r.Upstream, now, func(s *State) { f.applyResidency(s, r, now) }))
	}
	return fresh
}

func (u Update) with(more Update) Update {
	u.Notices = append(u.Notices, more.Notices...)
	u.Residencies = append(u.Residencies, more.Residencies...)
	return u
}

// applyResidency applies a residency like a report that keeps the last known load.
func (f *Fleet) applyResidency(s *State, r Residency, now time.Time) {
	report := s.Report
	report.Sequence, report.TakenAt, report.Leaving, report.Resident = r.Sequence, r.TakenAt, r.Leaving, r.Resident
	f.storeReport(s, report, now)
}

func (s *State) residency() Residency {
	return Residency{
		Upstream: s.Upstream.Name, Sequence: s.Report.Sequence, TakenAt: s.Report.TakenAt,
		Leaving: s.Report.Leaving, Resident: s.Resident,
	}
}

// ApplyVMList applies the platform's list of VMs. The list may lag, so a VM's absence
// changes nothing.
func (f *Fleet) ApplyVMList(listings kumquathitch.VMListings, now time.Time) {
	leaving := map[string]bool{}
	for _, l := range listings {
		leaving[l.Address] = l.Leaving
	}
	f.forEach(func(name string, s *State) {
		listed, ok := leaving[hostOf(s.Upstream.Address)]
		if !ok {
			return
		}
		before := s.Leaving
		s.Leaving = s.Leaving.WithListing(listed, now).Resolve(s.evidence(f.ClockError), now)
		if before.LearnedAt.IsZero() != s.Leaving.LearnedAt.IsZero() {
			f.publish(Update{Notices: s.Leaving.Notices(name)})
		}
	})
}

// forEach calls visit for every upstream, with the lock of its shard held.
func (f *Fleet) forEach(visit func(name string, s *State)) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.Lock()
		for name, state := range s.states {
			visit(name, state)
		}
		s.mutex.Unlock()
	}
}
