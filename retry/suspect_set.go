package retry

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxSuspectsPerShard bounds the suspects of a shard, and the hashes whose last answer
	// it remembers.
	maxSuspectsPerShard = 256
	// maxReportedSuspects bounds the suspects of a set in one message to another VM.
	maxReportedSuspects = 64
)

// suspectSet blocks the calls with one of the hashes that it counts crashes for. An answer
// to a call clears its hashes. It is safe for concurrent use.
type suspectSet struct {
	vm        string
	suspicion suspicion
	crashSeen chan struct{} // Holds at most one signal.
	causes    *suspectSet   // Suspects of another kind that may be the cause of all crashes of a hash; nil if there are none.
	heard     heardServices
	shards    [shardCount]suspectShard
}

type suspectShard struct {
	mutex    sync.Mutex
	suspects map[uint64]*suspect
	answered *simplelru.LRU[uint64, time.Time] // Last answer seen by this VM, by hash.
}

// newSuspectSet returns the set of a VM, without suspects.
func newSuspectSet(vm string, rules suspicion) *suspectSet {
	g := &suspectSet{vm: vm, suspicion: rules, crashSeen: make(chan struct{}, 1)}
	for i := range g.shards {
		answered, _ := simplelru.NewLRU[uint64, time.Time](maxSuspectsPerShard, nil) // Fails only for a size below 1.
		g.shards[i].suspects, g.shards[i].answered = map[uint64]*suspect{}, answered
	}
	return g
}

// blockedUntil returns the end of a block, which it begins if that is due. The time
// is not after now if the hash is not blocked. A first block ends as soon as another
// suspect is found to be the likelier cause of its crashes.
func (g *suspectSet) blockedUntil(hash uint64, now time.Time) time.Time {
	s := g.shard(hash)
	s.mutex.Lock()
	found := s.suspects[hash]
	if found == nil {
		s.mutex.Unlock()
		return time.Time{}
	}
	found.noteHeard(g.heard.last(found.service))
	end, due, evidence := found.blockEnd(now), found.blockDue(now), found.evidence(hash)
	s.mutex.Unlock()
	explained := len(evidence.series) >= minCrashes && g.isExplained(evidence)
	if !explained && !due {
		return end
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case explained:
		if found.blocks == 1 {
			found.unblock()
		}
		return time.Time{}
	case found.blockDue(now):
		found.block(g.blockSpread(hash, found.blocks))
	}
	return found.blockedTill
}

// beginBlocks begins the blocks that are due, also of hashes without calls on this VM:
// other VMs learn of a block from it.
func (g *suspectSet) beginBlocks(now time.Time) {
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		var due []uint64
		for hash, found := range s.suspects {
			found.noteHeard(g.heard.last(found.service))
			if found.blockDue(now) {
				due = append(due, hash)
			}
		}
		s.mutex.Unlock()
		for _, hash := range due {
			g.blockedUntil(hash, now)
		}
	}
}

// blockSpread returns this VM's part of the time that VMs add to a block, from 0 to 1. The
// square root makes few of the VMs end early, so that few calls are tried before the
// outcome of the first is known.
func (g *suspectSet) blockSpread(hash uint64, blocks int) float64 {
	sum := xxhash.Sum64String(g.vm + " " + strconv.FormatUint(hash, 16) + " " + strconv.Itoa(blocks))
	return math.Sqrt(float64(sum) / math.MaxUint64)
}

// isExplained reports whether a suspect that was never answered was on an upstream of each
// crash of a hash. One of the same kind explains the crashes of a known hash, and those of
// another one that was never answered only if it is the likelier cause: otherwise either may
// be the cause.
func (g *suspectSet) isExplained(evidence suspectEvidence) bool {
	if g.causes != nil && g.causes.hasNewCause(evidence, isAnyCause) {
		return true
	}
	if evidence.known {
		return g.hasNewCause(evidence, isAnyCause)
	}
	return g.hasNewCause(evidence, isLikelierCause)
}

// isAnyCause accepts each suspect that explains the crashes of another one.
func isAnyCause(suspectEvidence, suspectEvidence) bool { return true }

// hasNewCause reports whether a suspect that was never answered explains the crashes of
// another one, and is accepted as their cause.
func (g *suspectSet) hasNewCause(evidence suspectEvidence, accepted func(cause, other suspectEvidence) bool) bool {
	for i := range g.shards {
		if g.shards[i].hasNewCause(evidence, accepted) {
			return true
		}
	}
	return false
}

func (s *suspectShard) hasNewCause(evidence suspectEvidence, accepted func(cause, other suspectEvidence) bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for hash, found := range s.suspects {
		if !found.known && len(found.crashes) >= minCrashes-1 && found.explains(evidence.series) &&
			accepted(suspectEvidence{hash: hash, companions: found.companions, events: found.events}, evidence) {
			return true
		}
	}
	return false
}

// isSuspected reports whether calls with a hash crashed more than one upstream without an
// answer, or were blocked.
func (g *suspectSet) isSuspected(hash uint64, now time.Time) bool {
	s := g.shard(hash)
	s.mutex.Lock()
	found := s.suspects[hash]
	if found == nil || found.expired(now) {
		s.mutex.Unlock()
		return false
	}
	near, evidence := found.nearBlock(), found.evidence(hash)
	s.mutex.Unlock()
	return near && (len(evidence.series) == 0 || !g.isExplained(evidence))
}

// wasAnswered reports whether this VM remembers an answer to a call with a hash.
func (g *suspectSet) wasAnswered(hash uint64) bool {
	s := g.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answered.Contains(hash)
}

// recordCrash records a crash that this VM observed or inferred. It does not count after a
// later answer.
func (g *suspectSet) recordCrash(hash uint64, service string, crashed crash, now time.Time) {
	s := g.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answered, ok := s.answered.Peek(hash); ok && answered.After(crashed.at) {
		return
	}
	found := g.suspect(s, hash, now)
	found.addCrash(crashed, now)
	found.service = service
	found.known = found.known || s.answered.Contains(hash)
	found.observed, found.reportedTo = true, ""
}

// recordCompanions records the other hashes of a call with a suspect.
func (g *suspectSet) recordCompanions(hash uint64, call []uint64) {
	s := g.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found := s.suspects[hash]; found != nil && found.keepCompanions(withoutHash(call, hash)) {
		found.reportedTo = ""
	}
}

// recordEvents records the events of an answer that a crash cut off.
func (g *suspectSet) recordEvents(hash uint64, events int) {
	s := g.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found := s.suspects[hash]; found != nil && events > found.events {
		found.events, found.reportedTo = events, ""
	}
}

// crashedBefore reports whether the crash of an upstream counts against a hash already, and
// ended a connection before a time. An upstream that crashed in silence may seem to accept
// connections.
func (g *suspectSet) crashedBefore(hash uint64, incarnation string, at time.Time) bool {
	s := g.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.suspects[hash]
	return found != nil && slices.ContainsFunc(found.crashes, func(c crash) bool { return c.instance == incarnation && c.inferredAt.IsZero() && c.at.Before(at) })
}

// signalCrash signals a crash that other VMs should know of at once.
func (g *suspectSet) signalCrash() {
	select {
	case g.crashSeen <- struct{}{}:
	default: // A signal is waiting already.
	}
}

// CrashSeen signals crashes of upstreams that ran calls of a kind that was never answered
// on this VM. Other VMs should know of them at once.
func (g *suspectSet) CrashSeen() <-chan struct{} {
	return g.crashSeen
}

// recordAnswer records that an upstream answers a call with a hash.
func (g *suspectSet) recordAnswer(hash uint64, now time.Time) {
	s := g.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answered.Add(hash, now)
	if found := s.suspects[hash]; found != nil && len(found.crashes) > 0 {
		found.clear(now, now)
		found.observed, found.reportedTo = true, ""
	}
}

// TakeReport returns what this VM observed and has not yet reported to another VM, and all
// that it knows of suspects near a block: a new leader may know none of them. What finds
// no room in the report is left for the next one.
func (g *suspectSet) TakeReport(vm string, now time.Time) kumquathitch.Suspects {
	suspects := g.report(now, func(s *suspect) bool {
		due := (s.observed || s.nearBlock()) && s.reportedTo != vm
		s.reportedTo = vm
		return due
	}, func(s *suspect, c crash) bool { return c.own || s.nearBlock() })
	taken := min(len(suspects), maxReportedSuspects)
	g.MarkUnreported(suspects[taken:])
	return suspects[:taken]
}

// MarkUnreported marks a report as not sent, after its message failed.
func (g *suspectSet) MarkUnreported(report kumquathitch.Suspects) {
	for _, reported := range report {
		s := g.shard(reported.Hash)
		s.mutex.Lock()
		if found := s.suspects[reported.Hash]; found != nil {
			found.reportedTo = ""
		}
		s.mutex.Unlock()
	}
}

// Suspects returns the suspects that may have to be blocked, with the observations of all
// VMs. Those with a single crash, which any crash of an upstream leaves behind, are left
// out.
func (g *suspectSet) Suspects(now time.Time) kumquathitch.Suspects {
	suspects := g.report(now, func(s *suspect) bool {
		return s.nearBlock() || (!s.clearedAt.IsZero() && s.contested)
	}, func(*suspect, crash) bool { return true })
	return suspects[:min(len(suspects), maxReportedSuspects)]
}

// report returns the selected suspects, and drops those that have expired. Those that
// may have to be blocked come first, then the most recently changed ones.
func (g *suspectSet) report(now time.Time, selected func(*suspect) bool, include func(*suspect, crash) bool) kumquathitch.Suspects {
	g.beginBlocks(now)
	var urgent, others kumquathitch.Suspects
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		for hash, found := range s.suspects {
			if found.expired(now) {
				delete(s.suspects, hash)
				continue
			}
			if !selected(found) {
				continue
			}
			reported := kumquathitch.Suspect{Hash: hash, Service: found.service, Known: found.known, Blocks: found.blocks, Companions: slices.Clone(found.companions), Events: found.events, SinceChange: now.Sub(found.lastChanged)}
			if !found.clearedAt.IsZero() {
				reported.Answered, reported.SinceAnswer = true, now.Sub(found.clearedAt)
			}
			for _, c := range found.crashes {
				if include(found, c) {
					reported.Crashes = append(reported.Crashes, kumquathitch.InstanceCrash{Instance: c.instance, Age: now.Sub(c.at), Inferred: !c.inferredAt.IsZero()})
				}
			}
			if found.nearBlock() {
				urgent = append(urgent, reported)
			} else {
				others = append(others, reported)
			}
		}
		s.mutex.Unlock()
	}
	latestFirst := func(a, b kumquathitch.Suspect) int { return cmp.Compare(a.SinceChange, b.SinceChange) }
	slices.SortFunc(urgent, latestFirst)
	slices.SortFunc(others, latestFirst)
	return append(urgent, others...)
}

// TakeBlocked returns the hashes whose block began since the last call, for the log.
func (g *suspectSet) TakeBlocked(now time.Time) []Blocked {
	var begun []Blocked
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		for hash, found := range s.suspects {
			if found.blocked(now) && found.logged != found.blocks {
				found.logged = found.blocks
				begun = append(begun, Blocked{Hash: hash, Crashes: len(found.crashes), Until: found.blockedTill})
			}
		}
		s.mutex.Unlock()
	}
	return begun
}

// Blocked is a hash whose calls are blocked.
type Blocked struct {
	Hash    uint64 // Hash of a prompt part's ID, or of a content.
	Crashes int    // Upstreams that crashed, as far as they are kept.
	Until   time.Time
}

// Merge adds the observations of other VMs. An answer that this VM saw since clears a
// suspect for the others as well.
func (g *suspectSet) Merge(report kumquathitch.Suspects, now time.Time) {
	for i := range report {
		s := g.shard(report[i].Hash)
		s.mutex.Lock()
		g.mergeSuspect(s, &report[i], now)
		s.mutex.Unlock()
	}
}

// mergeSuspect is Merge for one suspect. The caller holds the lock.
func (g *suspectSet) mergeSuspect(s *suspectShard, reported *kumquathitch.Suspect, now time.Time) {
	found := g.suspect(s, reported.Hash, now)
	reporter := &suspect{suspicion: g.suspicion, known: reported.Known}
	for _, c := range reported.Crashes[:min(len(reported.Crashes), maxCrashes)] {
		added := crash{instance: c.Instance, at: now.Add(-max(0, c.Age))}
		if c.Inferred {
			added.inferredAt = now
		}
		found.addCrash(added, now)
		reporter.crashes = append(reporter.crashes, added)
	}
	found.contested = found.contested || reporter.nearBlock()
	if reported.Companions != nil {
		found.keepCompanions(reported.Companions)
	}
	found.events = max(found.events, reported.Events)
	if reported.Service != "" {
		found.service = reported.Service
	}
	if reported.Answered {
		found.clear(now.Add(-max(0, reported.SinceAnswer)), now)
	}
	if reported.Known {
		found.markKnown()
	}
	if len(found.crashes) > 0 { // A VM that has started since needs no three crashes of its own.
		found.blocks = max(found.blocks, reported.Blocks-1)
		found.decided = found.decided || reported.Blocks > 0
	}
	answered, ok := s.answered.Peek(reported.Hash)
	if !ok || len(found.crashes) == 0 {
		return
	}
	if answered.After(found.crashes[0].at) {
		found.clear(answered, now)
		found.observed, found.reportedTo = true, ""
	}
	if !found.known {
		found.markKnown()
		found.observed, found.reportedTo = true, ""
	}
}

func (g *suspectSet) shard(hash uint64) *suspectShard {
	return &g.shards[hash%shardCount]
}

// suspect returns the record of a hash, which it creates if necessary. The caller holds
// the lock.
func (g *suspectSet) suspect(s *suspectShard, hash uint64, now time.Time) *suspect {
	found := s.suspects[hash]
	if found == nil {
		if len(s.suspects) >= maxSuspectsPerShard {
			s.dropLeastImportant(now)
		}
		found = &suspect{suspicion: g.suspicion, lastChanged: now}
		s.suspects[hash] = found
	}
	return found
}

// dropLeastImportant drops the suspect with the fewest crashes: the crash of a busy upstream
// leaves a suspect with one crash for each call on it.
func (s *suspectShard) dropLeastImportant(now time.Time) {
	var dropped uint64
	var least *suspect
	for hash, found := range s.suspects {
		if least == nil || found.lessImportant(least, now) {
			dropped, least = hash, found
		}
	}
	delete(s.suspects, dropped)
}
