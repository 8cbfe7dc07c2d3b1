package entry

import (
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// localFanOut is the number of VMs of this data centre that get each heartbeat.
	localFanOut = 3
	// delegateCount is the number of VMs of a data centre that exchange heartbeats
	// with other data centres.
	delegateCount = 2
	// remoteFanOut is the number of other data centres that get each heartbeat of
	// a delegate. With 10 data centres each pair exchanges 0.9 heartbeats a second.
	remoteFanOut = 2
	// deadProbeInterval is the number of heartbeats between two attempts to reach a
	// dead VM.
	deadProbeInterval = 5
	// maxDigestEntries limits a heartbeat to about 1.4 kB.
	maxDigestEntries = 128
	// DelegateKey is the key by which the delegates of a data centre are ranked.
	DelegateKey = "delegate"
)

// OutgoingHeartbeat is a heartbeat with its destination.
type OutgoingHeartbeat struct {
	To        kumquathitch.EntryVM
	Heartbeat Heartbeat
}

// NextHeartbeats increments the sequence number and returns the heartbeats to send:
// to 3 random VMs of the data centre, one of them a suspected VM if there is any;
// with every fifth sequence number also to a dead VM; and, from a delegate, to
// delegates of 2 other data centres.
func (r *Registry) NextHeartbeats(now time.Time) []OutgoingHeartbeat {
	r.mutex.Lock()
	r.sequence++
	self, sequence := r.self, r.sequence
	r.mutex.Unlock()
	r.removeExpired(now)

	local := Heartbeat{VM: self, Sequence: sequence, Digest: r.digest(now)}
	var out []OutgoingHeartbeat
	for _, vm := range r.localTargets(self, now) {
		out = append(out, OutgoingHeartbeat{To: vm, Heartbeat: local})
	}
	if sequence%deadProbeInterval == 0 {
		for _, vm := range r.sample(r.deadVMs(self.DataCentre, now), 1) {
			out = append(out, OutgoingHeartbeat{To: vm, Heartbeat: local})
		}
	}
	if !r.IsAssigned(DelegateKey, delegateCount, now) {
		return out
	}
	delegates := r.Ranked(DelegateKey, self.DataCentre, delegateCount, now)
	remote := Heartbeat{VM: self, Sequence: sequence, Digest: r.digestOf(delegates, now)}
	for _, vm := range r.remoteTargets(self, now) {
		out = append(out, OutgoingHeartbeat{To: vm, Heartbeat: remote})
	}
	return out
}

// Broadcast returns a heartbeat to every VM that this VM believes to be live, in all
// data centres. It is for changes that must not wait for gossip.
func (r *Registry) Broadcast(now time.Time) []OutgoingHeartbeat {
	self, sequence := r.selfAndSequence()
	var out []OutgoingHeartbeat
	for _, vm := range r.Live("", now) {
		out = append(out, OutgoingHeartbeat{To: vm, Heartbeat: Heartbeat{VM: self, Sequence: sequence}})
	}
	return out
}

// Isolated reports whether this VM should read the list of VMs again because it
// knows no live VM of its own data centre or, as a delegate, of another one.
func (r *Registry) Isolated(dataCentres kumquathitch.DataCentres, now time.Time) bool {
	self := r.Self()
	if len(r.Live(self.DataCentre, now)) == 0 {
		return true
	}
	if !r.IsAssigned(DelegateKey, delegateCount, now) {
		return false
	}
	return slices.ContainsFunc(dataCentres, func(d kumquathitch.DataCentre) bool {
		return d.Name != self.DataCentre && len(r.Live(d.Name, now)) == 0
	})
}

// ProbeCandidates returns up to n random VMs of the data centre that are dead or
// only listed.
func (r *Registry) ProbeCandidates(n int, now time.Time) kumquathitch.EntryVMs {
	return r.sample(r.deadVMs(r.Self().DataCentre, now), n)
}

func (r *Registry) localTargets(self kumquathitch.EntryVM, now time.Time) kumquathitch.EntryVMs {
	live := r.Live(self.DataCentre, now)
	// The first target is a suspected VM if there is one, which lets it refute the suspicion.
	suspected := slices.DeleteFunc(slices.Clone(live), func(vm kumquathitch.EntryVM) bool {
		return now.Sub(vm.LastHeartbeat) < r.settings.SuspectAfter
	})
	chosen := r.sample(suspected, 1)
	rest := slices.DeleteFunc(live, func(vm kumquathitch.EntryVM) bool {
		return len(chosen) > 0 && vm.Name == chosen[0].Name
	})
	return append(chosen, r.sample(rest, localFanOut-len(chosen))...)
}

// remoteTargets returns one VM of each of a few other data centres: a live delegate
// or, when none is known, any known VM.
func (r *Registry) remoteTargets(self kumquathitch.EntryVM, now time.Time) kumquathitch.EntryVMs {
	others := map[string]kumquathitch.EntryVMs{}
	for _, vm := range r.filter(func(m *member) bool { return m.vm.DataCentre != self.DataCentre }) {
		others[vm.DataCentre] = append(others[vm.DataCentre], vm)
	}
	names := make([]string, 0, len(others))
	for name := range others {
		names = append(names, name)
	}
	slices.Sort(names)
	var chosen kumquathitch.EntryVMs
	for range min(remoteFanOut, len(names)) {
		i := r.settings.Random(len(names))
		candidates := r.Ranked(DelegateKey, names[i], delegateCount, now)
		if len(candidates) == 0 {
			candidates = others[names[i]]
		}
		chosen = append(chosen, r.sample(candidates, 1)...)
		names = slices.Delete(names, i, i+1)
	}
	return chosen
}

// deadVMs returns the VMs of a data centre that are dead without having left.
func (r *Registry) deadVMs(dataCentre string, now time.Time) kumquathitch.EntryVMs {
	return r.filter(func(m *member) bool {
		return m.vm.DataCentre == dataCentre && !m.vm.Leaving && now.Sub(m.vm.LastHeartbeat) >= r.settings.DeadAfter
	})
}

// sample returns up to n random VMs.
func (r *Registry) sample(from kumquathitch.EntryVMs, n int) kumquathitch.EntryVMs {
	rest := slices.Clone(from)
	var chosen kumquathitch.EntryVMs
	for range min(n, len(rest)) {
		i := r.settings.Random(len(rest))
		chosen = append(chosen, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return chosen
}

// digest returns the evidence for VMs that are not dead, for at most
// maxDigestEntries of them. It leaves out VMs that are only listed, which have no
// sequence number. In a system of the target size the store lists 390 VMs, and a VM
// knows heartbeats of 57.
func (r *Registry) digest(now time.Time) Digest {
	var digest Digest
	r.forEach(func(m *member) {
		if m.sequence != 0 && now.Sub(m.vm.LastHeartbeat) < r.settings.DeadAfter && len(digest) < maxDigestEntries {
			digest = append(digest, m.digestEntry(now))
		}
	})
	return digest
}

// digestOf returns the evidence for some VMs.
func (r *Registry) digestOf(vms kumquathitch.EntryVMs, now time.Time) Digest {
	var digest Digest
	for _, vm := range vms {
		s := r.shard(vm.Name)
		s.mutex.Lock()
		if m := s.byName[vm.Name]; m != nil {
			digest = append(digest, m.digestEntry(now))
		}
		s.mutex.Unlock()
	}
	return digest
}

func (m *member) digestEntry(now time.Time) DigestEntry {
	return DigestEntry{Tag: m.tag, Sequence: m.sequence, Age: now.Sub(m.vm.LastHeartbeat)}
}
