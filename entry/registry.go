// Package entry is the aggregate of entry VMs: which of them are live, and which
// of them are responsible for a task.
//
// # Usage
//
//	registry := entry.NewRegistry(self, entry.Settings{Heartbeat: time.Second, SuspectAfter: 3 * time.Second, DeadAfter: 10 * time.Second})
//	for _, o := range registry.NextHeartbeats(now) {
//		// Send o.Heartbeat to o.To; pass the response to registry.HandleResponse.
//	}
//	response := registry.HandleHeartbeat(heartbeat, now)
//	watchers := registry.Ranked("configuration", "montreal-1", 2, now)
//
// Each VM numbers its heartbeats. VMs pass on by gossip, in digests, the highest
// sequence number that they know of each VM, with the age of that heartbeat.
// Passing an entry on does not reduce the age. A VM is suspected, and later dead,
// by the age of its last heartbeat. Dead VMs are kept for some hours and probed from
// time to time, which ends partitions.
//
// Registry implements kumquathitch.Membership. It keeps the members in shards by
// name, each under its own lock.
package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 16 // A power of two: the low bits of a tag are the number of the shard.
	// deadRetention is how long dead VMs are kept, which must suffice for a partition
	// to end. It is below half of the 18 hours after which the 16-bit sequence number
	// wraps around, at one heartbeat a second.
	deadRetention = 6 * time.Hour
)

// Settings holds the timing of failure detection.
type Settings struct {
	Heartbeat    time.Duration   // Interval between heartbeats.
	SuspectAfter time.Duration   // Age of the last heartbeat from which a VM is suspected.
	DeadAfter    time.Duration   // Age of the last heartbeat from which a VM is dead.
	Random       func(n int) int // Uniform in [0, n); math/rand/v2 when nil.
}

// Registry is this VM's view of the entry VMs. It is safe for concurrent use.
type Registry struct {
	settings Settings
	shards   [shardCount]shard

	mutex    sync.Mutex // Guards self and sequence.
	self     kumquathitch.EntryVM
	sequence uint16
}

// shard holds the members whose names hash to it.
type shard struct {
	mutex  sync.Mutex
	byName map[string]*member
	byTag  map[uint32]*member
}

// member is the state of another VM, as known by this one.
type member struct {
	vm       kumquathitch.EntryVM
	sequence uint16
	tag      uint32
}

// NewRegistry returns a registry that knows only this VM.
func NewRegistry(self kumquathitch.EntryVM, settings Settings) *Registry {
	if settings.Random == nil {
		settings.Random = rand.IntN
	}
	r := &Registry{settings: settings, self: self}
	for i := range r.shards {
		r.shards[i].byName = map[string]*member{}
		r.shards[i].byTag = map[uint32]*member{}
	}
	return r
}

// Self returns this VM.
func (r *Registry) Self() kumquathitch.EntryVM {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.self
}

// Apply records the generation in force, which heartbeats carry.
func (r *Registry) Apply(config kumquathitch.Configuration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.self.Generation = max(r.self.Generation, config.Generation)
}

// Leave marks this VM as leaving in all later heartbeats. From then on it is
// responsible for no task.
func (r *Registry) Leave() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.self.Leaving = true
}

// SetAddress replaces the address of this VM, for a listener on a port that the
// operating system chose.
func (r *Registry) SetAddress(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.self.Address = address
}

// RaiseIncarnation raises the incarnation of this VM above one that was seen for its
// name. It reports whether that was necessary.
func (r *Registry) RaiseIncarnation(seen uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if seen < r.self.Incarnation {
		return false
	}
	r.self.Incarnation = seen + 1
	return true
}

// Live returns the other VMs of a data centre that are neither dead nor leaving,
// sorted by name; an empty data centre selects all of them.
func (r *Registry) Live(dataCentre string, now time.Time) kumquathitch.EntryVMs {
	return r.liveWithin(dataCentre, now, r.settings.DeadAfter)
}

// Ranked returns up to n live VMs of a data centre, this VM included, with the
// highest rendezvous weights for a key, highest first.
func (r *Registry) Ranked(key, dataCentre string, n int, now time.Time) kumquathitch.EntryVMs {
	return r.rank(key, dataCentre, n, r.Live(dataCentre, now))
}

// IsAssigned reports whether this VM is among the n that rank highest for a key in
// its data centre. It skips suspected VMs, and a task is therefore taken over before
// it is certain that they are dead. Use it only for tasks that are harmless when
// more than n VMs perform them for a while.
func (r *Registry) IsAssigned(key string, n int, now time.Time) bool {
	self := r.Self()
	ranked := r.rank(key, self.DataCentre, n, r.liveWithin(self.DataCentre, now, r.settings.SuspectAfter))
	return slices.ContainsFunc(ranked, func(vm kumquathitch.EntryVM) bool { return vm.Name == self.Name })
}

// rank returns the n highest ranking of the given VMs and, if it belongs to the data
// centre and is not leaving, of this VM.
func (r *Registry) rank(key, dataCentre string, n int, ranked kumquathitch.EntryVMs) kumquathitch.EntryVMs {
	self := r.Self()
	if !self.Leaving && (dataCentre == "" || dataCentre == self.DataCentre) {
		ranked = append(ranked, self)
	}
	slices.SortFunc(ranked, func(a, b kumquathitch.EntryVM) int {
		return cmp.Compare(kumquathitch.RendezvousWeight(key, b.Name), kumquathitch.RendezvousWeight(key, a.Name))
	})
	return ranked[:min(n, len(ranked))]
}

// liveWithin returns the other VMs that are not leaving and whose last heartbeat is
// younger than an age, sorted by name.
func (r *Registry) liveWithin(dataCentre string, now time.Time, age time.Duration) kumquathitch.EntryVMs {
	return r.filter(func(m *member) bool {
		return !m.vm.Leaving && now.Sub(m.vm.LastHeartbeat) < age && (dataCentre == "" || dataCentre == m.vm.DataCentre)
	})
}

// filter returns the VMs of the members for which keep returns true, sorted by name.
func (r *Registry) filter(keep func(m *member) bool) kumquathitch.EntryVMs {
	var found kumquathitch.EntryVMs
	r.forEach(func(m *member) {
		if keep(m) {
			found = append(found, m.vm)
		}
	})
	slices.SortFunc(found, func(a, b kumquathitch.EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// forEach calls visit for every member, under the lock of the member's shard.
func (r *Registry) forEach(visit func(m *member)) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mutex.Lock()
		for _, m := range s.byName {
			visit(m)
		}
		s.mutex.Unlock()
	}
}

// Merge merges records that came from other VMs. A record of this VM's name raises its
// incarnation if it has a higher one, or the same one but was not created by this process.
func (r *Registry) Merge(records MemberRecords, now time.Time) {
	for _, record := range records {
		if r.isSelf(record.EntryVM) {
			continue
		}
		r.shard(record.Name).merge(record, now.Add(-record.Age()))
	}
}

// AddListed adds VMs that the store lists. As their records can be minutes old, such
// a VM counts as dead, and is only probed, until there is evidence of a heartbeat.
func (r *Registry) AddListed(listed kumquathitch.EntryVMs, now time.Time) {
	for _, vm := range listed {
		if vm.Leaving || r.isSelf(vm) {
			continue
		}
		vm.Generation = 0 // Only heartbeats carry the generation that is in force now.
		r.shard(vm.Name).merge(MemberRecord{EntryVM: vm}, now.Add(-r.settings.DeadAfter))
	}
}

// isSelf reports whether a record has the name of this VM. If this process did not
// create the record, its incarnation was used before and this VM takes a higher one.
func (r *Registry) isSelf(vm kumquathitch.EntryVM) bool {
	self := r.Self()
	if vm.Name != self.Name {
		return false
	}
	foreign := vm.Address != self.Address || (vm.Leaving && !self.Leaving)
	if vm.Incarnation > self.Incarnation || (vm.Incarnation == self.Incarnation && foreign) {
		r.RaiseIncarnation(vm.Incarnation)
	}
	return true
}

func (r *Registry) shard(name string) *shard {
	return &r.shards[kumquathitch.ShardOf(name, shardCount)]
}

// merge merges a record. A higher incarnation replaces a lower one. Within one
// incarnation leaving is final, and only a higher sequence number shows that the VM
// is live.
func (s *shard) merge(record MemberRecord, heartbeatAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.byName[record.Name]
	if known != nil && record.Incarnation < known.vm.Incarnation {
		return
	}
	if known == nil || record.Incarnation > known.vm.Incarnation {
		fresh := &member{vm: record.EntryVM, sequence: record.Sequence}
		fresh.vm.LastHeartbeat = heartbeatAt
		s.replace(known, fresh)
		return
	}
	known.vm.Generation = max(known.vm.Generation, record.Generation)
	if record.Leaving && !known.vm.Leaving {
		known.vm.Leaving = true
		s.replace(known, known)
	}
	known.addEvidence(record.Sequence, heartbeatAt)
}

// replace replaces a member, which may be nil, and updates both indexes.
func (s *shard) replace(old, fresh *member) {
	if old != nil {
		delete(s.byTag, old.tag)
	}
	fresh.tag = tagOf(fresh.vm)
	s.byName[fresh.vm.Name] = fresh
	s.byTag[fresh.tag] = fresh
}

// addEvidence records a heartbeat, unless its sequence number is not the highest.
func (m *member) addEvidence(sequence uint16, heartbeatAt time.Time) {
	if !isNewer(sequence, m.sequence) {
		return
	}
	m.sequence = sequence
	if heartbeatAt.After(m.vm.LastHeartbeat) {
		m.vm.LastHeartbeat = heartbeatAt
	}
}

// isNewer reports whether sequence number a follows b. The numbers wrap around.
func isNewer(a, b uint16) bool {
	return int16(a-b) > 0 //nolint:gosec // The conversion is the comparison of wrapped counts.
}

// removeExpired removes VMs whose last heartbeat is older than deadRetention.
func (r *Registry) removeExpired(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mutex.Lock()
		for name, m := range s.byName {
			if now.Sub(m.vm.LastHeartbeat) > deadRetention {
				delete(s.byName, name)
				delete(s.byTag, m.tag)
			}
		}
		s.mutex.Unlock()
	}
}
