package retry

import (
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of crashes, without an answer to any call with the suspect
	// in between, after which it is blocked. A sound one gets there when three upstreams in
	// a row crash before they answer its calls.
	minCrashes = 3
	// crashSpacing is the least time between crashes that count separately: upstreams that
	// lose power together say nothing about the calls on them.
	crashSpacing = 150 * time.Millisecond
	// blockTime is the least time for which a suspect is blocked at first. It doubles each
	// time up to maxBlockTime, since after a block one crash is enough. Each VM adds a
	// time of its own of up to the same length: the first call that is tried again then
	// tells the other VMs whether the suspect still crashes upstreams.
	blockTime    = 5 * time.Minute
	maxBlockTime = time.Hour
	// blockSettleTime is the least time that a VM adds. The ends of the VMs' blocks differ
	// by less without it, since each VM begins a block by the crashes that it knows.
	blockSettleTime = 2 * time.Second
	// clearedTTL is how long a suspect is kept that has no crashes since its last answer.
	clearedTTL = 20 * time.Second
	// maxCrashes bounds the crashes kept for a suspect.
	maxCrashes = 32
	// maxCompanions bounds the companions kept for a suspect.
	maxCompanions = 16
	// minEventLead is the number of events by which the answers to calls with a suspect must have
	// got further than those with another one to show that the other one is the likelier cause.
	minEventLead = 4
	// nextStartMark is appended to the ID and start of an upstream that must have started again
	// since its description.
	nextStartMark = "+"
)

// suspicion holds the rules by which crashes count against one kind of suspect.
type suspicion struct {
	newSpacing time.Duration // crashSpacing for a suspect that was never answered, from one crash to the next.
	crashTTL   time.Duration // How long a crash counts against a suspect that is not blocked.
	// confirmation is the time from the last of minCrashes to the block, in which an answer
	// on any VM clears the suspect. Calls with a suspect that was never answered are refused
	// meanwhile.
	confirmation time.Duration
}

// suspect is what is known of a prompt part or a content since its first crash.
type suspect struct {
	suspicion
	crashes     []crash   // In the order of time; those before clearedAt are dropped.
	clearedAt   time.Time // Last known answer.
	known       bool      // A VM saw an answer, possibly before the crashes.
	companions  []uint64  // Hashes that were on every call with it since its first crash; nil before a call was seen.
	events      int       // Most events of an answer that a crash cut off.
	contested   bool      // A VM found it near a block.
	service     string    // Of the upstreams.
	heardAt     time.Time // When the service was first heard from after the last inferred crash became known.
	steady      bool      // The service was never silent from the first crash until the last one became known.
	decided     bool      // Another VM has blocked it.
	blocks      int       // Blocks so far, with the present one.
	probesFrom  time.Time // Earliest time at which a VM sends a call again; zero before the first block.
	blockedTill time.Time // Time at which this VM does.
	logged      int       // Value of blocks at the last TakeBlocked.
	lastChanged time.Time
	reportedTo  string // VM that was last sent all of this VM's observations.
	observed    bool   // This VM observed a crash or an answer.
}

// crash is the crash of one start of an upstream under a call with a suspect.
type crash struct {
	instance string // ID and start.
	at       time.Time
	own      bool // Observed by this VM.
	// inferredAt is when this VM learned of the crash, if no VM saw a connection end by it.
	// Otherwise it is zero.
	inferredAt time.Time
}

// addCrash adds a crash, unless it came before the last answer. VMs see a crash at different
// times, busy ones late; the earliest one applies.
func (s *suspect) addCrash(added crash, now time.Time) {
	known := slices.IndexFunc(s.crashes, func(c crash) bool { return c.instance == added.instance })
	if known >= 0 {
		c := &s.crashes[known]
		c.own = c.own || added.own
		if added.inferredAt.Before(c.inferredAt) { // Also if it is zero.
			c.inferredAt = added.inferredAt
		}
		if !added.at.Before(c.at) {
			return
		}
		added.own, added.inferredAt = c.own, c.inferredAt
		s.crashes = slices.Delete(s.crashes, known, known+1)
	}
	if !added.at.After(s.clearedAt) {
		return
	}
	if added.at.After(s.probesFrom) { // The crashes that led to a block do not count again.
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(s.probesFrom) })
	}
	next, _ := slices.BinarySearchFunc(s.crashes, added, func(a, b crash) int { return a.at.Compare(b.at) })
	s.crashes = slices.Insert(s.crashes, next, added)
	if len(s.crashes) > maxCrashes {
		s.dropClosest()
	}
	if known < 0 {
		s.lastChanged = now
	}
}

// dropClosest drops the crash with the least time from the one before it.
func (s *suspect) dropClosest() {
	closest := 1
	for i := 2; i < len(s.crashes); i++ {
		if s.crashes[i].at.Sub(s.crashes[i-1].at) < s.crashes[closest].at.Sub(s.crashes[closest-1].at) {
			closest = i
		}
	}
	s.crashes = slices.Delete(s.crashes, closest, closest+1)
}

// series returns the crashes in groups that count once each: those at least newSpacing after
// the one before, and at least crashSpacing after the first one of their group if the
// suspect was answered before.
func (s *suspect) series() [][]crash {
	if len(s.crashes) == 0 {
		return nil
	}
	groups := make([][]crash, 0, minCrashes)
	first := 0
	for i := 1; i < len(s.crashes); i++ {
		apart := s.crashes[i].at.Sub(s.crashes[i-1].at) >= s.newSpacing
		if apart && (!s.known || s.crashes[i].at.Sub(s.crashes[first].at) >= crashSpacing) {
			groups = append(groups, s.crashes[first:i])
			first = i
		}
	}
	return append(groups, s.crashes[first:])
}

// explains reports whether the suspect was on an upstream of each of some groups of crashes.
func (s *suspect) explains(groups [][]crash) bool {
	return !slices.ContainsFunc(groups, func(group []crash) bool { return !slices.ContainsFunc(group, s.sharesUpstream) })
}

// sharesUpstream reports whether a crash is that of an upstream that crashed under the suspect.
func (s *suspect) sharesUpstream(other crash) bool {
	start := strings.TrimRight(other.instance, nextStartMark)
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return strings.TrimRight(c.instance, nextStartMark) == start })
}

// suspectEvidence is what tells which of several suspects is the cause of the same crashes.
type suspectEvidence struct {
	hash       uint64
	known      bool
	series     [][]crash // Groups of crashes that count for the first block; none after it.
	companions []uint64
	events     int
}

// evidence returns a copy of the evidence against the suspect, whose hash is given.
func (s *suspect) evidence(hash uint64) suspectEvidence {
	e := suspectEvidence{hash: hash, known: s.known, companions: slices.Clone(s.companions), events: s.events}
	if s.blocks > 1 || s.crashedAfterBlock() {
		return e
	}
	for _, group := range s.series() {
		e.series = append(e.series, slices.Clone(group))
	}
	return e
}

// isLikelierCause reports whether one of two suspects is the likelier cause of crashes that both
// explain. An engine crashes at the same point of each answer with a deadly part, so that a part
// whose answers got further is sound. Otherwise the narrower one is taken for the cause, which only
// calls with the other one hold: its block refuses fewer calls, and if it is sound, the next crash
// comes without it.
func isLikelierCause(cause, other suspectEvidence) bool {
	if cause.events+minEventLead <= other.events {
		return true
	}
	return other.companions != nil && slices.Contains(cause.companions, other.hash) && !slices.Contains(other.companions, cause.hash)
}

// keepCompanions drops the companions that were not on a call with the suspect. It reports whether
// any changed.
func (s *suspect) keepCompanions(call []uint64) bool {
	if s.companions == nil {
		s.companions = append(make([]uint64, 0, maxCompanions), call[:min(len(call), maxCompanions)]...)
		return true
	}
	before := len(s.companions)
	s.companions = slices.DeleteFunc(s.companions, func(hash uint64) bool { return !slices.Contains(call, hash) })
	return len(s.companions) < before
}

// withoutHash returns the hashes of a call but one.
func withoutHash(call []uint64, hash uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(call), func(other uint64) bool { return other == hash })
}

// nearBlock reports whether the suspect may have to be blocked after one more crash, or
// was blocked before.
func (s *suspect) nearBlock() bool {
	return s.blocks > 0 || (len(s.crashes) >= minCrashes-1 && len(s.series()) >= minCrashes-1)
}

// clear drops the crashes up to the time of an answer, and ends a block.
func (s *suspect) clear(answered, now time.Time) {
	s.known = true
	if !answered.After(s.clearedAt) {
		return
	}
	s.clearedAt, s.lastChanged = answered, now
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(answered) })
	if len(s.crashes) == 0 {
		s.unblock()
	}
}

// markKnown records that a VM saw an answer. A block that began without this knowledge
// is decided again.
func (s *suspect) markKnown() {
	if !s.known && s.blocks <= 1 {
		s.unblock()
	}
	s.known = true
}

func (s *suspect) unblock() {
	s.blocks, s.probesFrom, s.blockedTill, s.decided, s.logged = 0, time.Time{}, time.Time{}, false, 0
}

// blockDue reports whether the crashes are enough for a block.
func (s *suspect) blockDue(now time.Time) bool {
	if s.blocks > 0 {
		return s.crashedAfterBlock()
	}
	due := s.firstBlockDue()
	return !due.IsZero() && !now.Before(due)
}

// crashedAfterBlock reports whether an upstream crashed since calls were tried again after a block.
func (s *suspect) crashedAfterBlock() bool {
	return s.blocks > 0 && len(s.crashes) > 0 && s.crashes[0].at.After(s.probesFrom)
}

// firstBlockDue returns the time at which the first block is due, or zero if the crashes
// are too few, or too little is known since they were inferred.
func (s *suspect) firstBlockDue() time.Time {
	series := s.countingSeries()
	if len(series) < minCrashes {
		return time.Time{}
	}
	last, learned := series[minCrashes-1][0].at, learnedAt(series)
	switch {
	case learned.IsZero() || s.decided:
		return last.Add(s.confirmation)
	case s.steady:
		return learned.Add(s.confirmation)
	case s.heardAt.Before(learned):
		return time.Time{}
	}
	return s.heardAt.Add(s.confirmation)
}

// noteHeard records the last spell in which the service was heard from. While none of its
// upstreams sends anything, no call is answered, and that says nothing about one of them.
func (s *suspect) noteHeard(spell heardSpell) {
	series := s.countingSeries()
	if len(series) < minCrashes {
		return
	}
	learned := learnedAt(series)
	if s.heardAt.Before(learned) && !spell.to.Before(learned) {
		s.heardAt = spell.to
	}
	s.steady = spell.from.Before(series[0][0].at) && learned.Sub(spell.to) <= serviceSilence
}

// countingSeries returns the series that count for the first block: those with a crash that was
// not inferred if they are enough, as they are better evidence, and otherwise all.
func (s *suspect) countingSeries() [][]crash {
	if len(s.crashes) < minCrashes {
		return nil
	}
	all := s.series()
	observed := slices.DeleteFunc(slices.Clone(all), func(group []crash) bool { return !inferredAt(group).IsZero() })
	if len(observed) >= minCrashes {
		return observed
	}
	return all
}

// learnedAt returns when this VM learned of the last of the crashes that count for the first
// block and were inferred, or zero if there are none.
func learnedAt(series [][]crash) time.Time {
	var learned time.Time
	for _, group := range series[:minCrashes] {
		if at := inferredAt(group); at.After(learned) {
			learned = at
		}
	}
	return learned
}

// inferredAt returns when this VM learned of the first crash of a group, or zero if one of
// them was not inferred.
func inferredAt(group []crash) time.Time {
	return slices.MinFunc(group, func(a, b crash) int { return a.inferredAt.Compare(b.inferredAt) }).inferredAt
}

// blockEnd returns the end of the block, or of the confirmation before the first block of a
// suspect that was never answered. Calls go on during a confirmation after inferred crashes if
// the service was silent: upstreams that were lost together have another cause, and only an
// answer can show it.
func (s *suspect) blockEnd(now time.Time) time.Time {
	if due := s.firstBlockDue(); s.blocks == 0 && !s.known && now.Before(due) && (s.steady || learnedAt(s.countingSeries()).IsZero()) {
		return due
	}
	return s.blockedTill
}

// block begins a block, to which the VM adds a part of its length.
func (s *suspect) block(spread float64) {
	last := s.crashes[0].at
	if s.blocks == 0 {
		last = s.countingSeries()[minCrashes-1][0].at
	}
	length := s.nextBlockTime()
	s.probesFrom = last.Add(length)
	s.blockedTill = s.probesFrom.Add(blockSettleTime + time.Duration(spread*float64(length)))
	s.blocks++
}

// nextBlockTime returns the least length of the next block.
func (s *suspect) nextBlockTime() time.Duration {
	return min(maxBlockTime, blockTime<<min(s.blocks, 8))
}

func (s *suspect) blocked(now time.Time) bool {
	return now.Before(s.blockedTill)
}

// expired reports whether the record is of no more use. A suspect that was blocked is
// remembered for the length of its next block.
func (s *suspect) expired(now time.Time) bool {
	if s.blocks > 0 && !now.After(s.blockedTill.Add(s.nextBlockTime())) {
		return false
	}
	if len(s.crashes) == 0 {
		return now.Sub(s.lastChanged) > clearedTTL
	}
	return now.Sub(s.lastChanged) > s.crashTTL
}

// lessImportant reports whether a suspect is dropped before another one when there is no
// room for both.
func (s *suspect) lessImportant(other *suspect, now time.Time) bool {
	if s.blocked(now) != other.blocked(now) {
		return other.blocked(now)
	}
	if len(s.crashes) != len(other.crashes) {
		return len(s.crashes) < len(other.crashes)
	}
	return s.lastChanged.Before(other.lastChanged)
}
