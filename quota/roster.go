package quota

import (
	"sync"
	"time"
)

const (
	// goneMemberTTL is how long a VM whose record is gone still counts, as an issuer holds back its
	// share. Its lease may have run out while the store was away, or it may be cut off from the
	// store alone and go on serving.
	goneMemberTTL = memberTTL
	// settleTime is the time after the first list of members until a VM relies on it if all
	// records may have run out before. VMs write theirs again within a second or two.
	settleTime = 4 * time.Second
)

// Roster knows the VMs that share the rates, the retries and the limits of instances. The
// records of all VMs may be gone at once, and those who still serve must not each take the
// whole of a rate. So members leave it long after their records. It is safe for concurrent use.
type Roster struct {
	mutex      sync.Mutex
	goneAt     map[string]time.Time // By name; zero for a member that is listed.
	settledAt  time.Time            // When the members are known for certain; zero before the first list.
	reported   int                  // Number of VMs that an issuer reported.
	reportedAt time.Time
}

// NewRoster returns a roster without members.
func NewRoster() *Roster {
	return &Roster{goneAt: map[string]time.Time{}}
}

// SetListed sets the names of the members that the store lists. The list is intact if it has
// records from before this VM started, so that not all can have run out.
func (r *Roster) SetListed(names []string, intact bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.settledAt.IsZero() {
		r.settledAt = now.Add(settleTime)
	}
	if intact && now.Before(r.settledAt) {
		r.settledAt = now
	}
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		r.goneAt[name] = time.Time{}
	}
	for name, gone := range r.goneAt {
		if !listed[name] && gone.IsZero() {
			r.goneAt[name] = now
		}
	}
}

// SetReported sets the number of VMs that an issuer reported.
func (r *Roster) SetReported(count int, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reported, r.reportedAt = count, now
}

// Count returns the number of VMs, at least 1. It reports false while VMs may be missing from
// it, so that a share would be too large.
func (r *Roster) Count(now time.Time) (count int, settled bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	count = max(1, len(r.goneAt))
	if now.Sub(r.reportedAt) < goneMemberTTL {
		count = max(count, r.reported)
	}
	return count, !r.settledAt.IsZero() && !now.Before(r.settledAt)
}

// Names returns the names of the VMs.
func (r *Roster) Names(now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	names := make([]string, 0, len(r.goneAt))
	for name := range r.goneAt {
		names = append(names, name)
	}
	return names
}

// expire drops the members that are gone for good. The caller holds the lock.
func (r *Roster) expire(now time.Time) {
	for name, gone := range r.goneAt {
		if !gone.IsZero() && now.Sub(gone) >= goneMemberTTL {
			delete(r.goneAt, name)
		}
	}
}
