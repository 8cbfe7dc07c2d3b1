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
	// minPartCrashes is the number of crashes, without an answer to any call with the
	// part in between, after which a prompt part is blocked. A sound part gets there when
	// three engines in a row crash before they answer its calls.
	minPartCrashes = 3
	// crashSpacing is the least time between crashes that count separately: engines that
	// lose power together say nothing about the calls on them.
	crashSpacing = 150 * time.Millisecond
	// newPartCrashSpacing is the same time, from the end of one series of crashes to the
	// next, for a part that was never answered. Hardly any of these is on the calls of
	// several engines that lose power together.
	newPartCrashSpacing = 20 * time.Millisecond
	// confirmationTime is the time from the last of these crashes to the block. Answers
	// that other VMs saw arrive within two exchanges, which come twice a second. Calls
	// with a part that was never answered are refused meanwhile.
	confirmationTime = time.Second
	// partBlockTime is the least time for which a part is blocked at first. It doubles each
	// time up to maxPartBlockTime, since after a block one crash is enough. Each VM adds a
	// time of its own of up to the same length: the first call that is tried again then
	// tells the other VMs whether the part still crashes engines.
	partBlockTime    = 5 * time.Minute
	maxPartBlockTime = time.Hour
	// blockSettleTime is the least time that a VM adds. The ends of the VMs' blocks differ
	// by less without it, since each VM blocks a part by the crashes that it knows.
	blockSettleTime = 2 * time.Second
	// suspicionTTL is how long a crash counts against a part that is not blocked.
	suspicionTTL = 20 * time.Second
	// maxPartsPerShard bounds the suspected parts of a shard, and the parts whose last
	// answer it remembers.
	maxPartsPerShard = 256
	// maxCrashesPerPart bounds the series of crashes kept for a part.
	maxCrashesPerPart = 8
	// maxSeriesInstances bounds the engines kept for a series.
	maxSeriesInstances = 8
	// maxCompanions bounds the companions kept for a crash.
	maxCompanions = 8
	// maxReportedParts bounds the parts in one message to another VM.
	maxReportedParts = 64
)

// PromptGuard blocks prompt parts that crash engines, whatever else the calls hold. An
// engine that crashes takes all of its calls with it, so crashes count only against calls
// that had no answer yet, and any answer to a call with a part clears the part. A part that
// was answered before is not blocked while a new part of the same calls explains all of
// its crashes. The last part of a prompt belongs to its call alone and is not considered.
// It is safe for concurrent use.
type PromptGuard struct {
	vm        string
	crashSeen chan struct{} // Holds at most one signal.
	shards    [shardCount]promptShard
}

type promptShard struct {
	mutex    sync.Mutex
	suspects map[uint64]*suspectPart
	answered *simplelru.LRU[uint64, time.Time] // Last answer seen by this VM, by part.
}

// suspectPart is what is known of a part since its first crash.
type suspectPart struct {
	crashes     []partCrash // In the order of time, at least newPartCrashSpacing apart; those before clearedAt are dropped.
	clearedAt   time.Time   // Last known answer.
	known       bool        // A VM saw an answer, possibly before the crashes.
	blocks      int         // Blocks so far, with the present one.
	probesFrom  time.Time   // Earliest time at which a VM sends a call again; zero before the first block.
	blockedTill time.Time   // Time at which this VM does.
	logged      int         // Value of blocks at the last TakeBlocked.
	lastChanged time.Time
	reportedTo  string // VM that was last sent all of this VM's observations.
	observed    bool   // This VM observed a crash or an answer.
}

// partCrash is a series of crashes in quick succession.
type partCrash struct {
	instances  []string  // Engines, by ID and start, in the order in which they became known.
	at         time.Time // Time of the first crash.
	lastAt     time.Time
	own        bool     // Observed by this VM.
	companions []uint64 // Other parts of the calls, without those that had been answered on the VM.
}

// NewPromptGuard returns the guard of a VM, without suspects. The name of the VM must
// differ from those of the others.
func NewPromptGuard(vm string) *PromptGuard {
	g := &PromptGuard{vm: vm, crashSeen: make(chan struct{}, 1)}
	for i := range g.shards {
		answered, _ := simplelru.NewLRU[uint64, time.Time](maxPartsPerShard, nil) // Fails only for a size below 1.
		g.shards[i].suspects, g.shards[i].answered = map[uint64]*suspectPart{}, answered
	}
	return g
}

// BlockedUntil returns the time until which calls with a prompt are blocked, and false
// if they are not.
func (g *PromptGuard) BlockedUntil(prompt kumquathitch.PromptParts, now time.Time) (time.Time, bool) {
	var until time.Time
	for i := range len(prompt) - 1 {
		if end := g.blockedUntil(partHash(prompt[i]), now); end.After(until) {
			until = end
		}
	}
	return until, now.Before(until)
}

// blockedUntil returns the end of a part's block, which it begins if that is due. The time
// is not after now if the part is not blocked.
func (g *PromptGuard) blockedUntil(part uint64, now time.Time) time.Time {
	s := g.shard(part)
	s.mutex.Lock()
	suspect := s.suspects[part]
	if suspect == nil {
		s.mutex.Unlock()
		return time.Time{}
	}
	end, due, explanations := suspect.blockEnd(now), suspect.blockDue(now), suspect.explanations()
	s.mutex.Unlock()
	if !due || slices.ContainsFunc(explanations, g.isNewSuspect) {
		return end
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if suspect.blockDue(now) {
		suspect.block(g.blockSpread(part, suspect.blocks))
	}
	return suspect.blockedTill
}

// beginBlocks begins the blocks that are due, also of parts without calls on this VM:
// other VMs learn of a block from it.
func (g *PromptGuard) beginBlocks(now time.Time) {
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		var due []uint64
		for part, suspect := range s.suspects {
			if suspect.blockDue(now) {
				due = append(due, part)
			}
		}
		s.mutex.Unlock()
		for _, part := range due {
			g.blockedUntil(part, now)
		}
	}
}

// blockSpread returns this VM's part of the time that VMs add to a block, from 0 to 1. The
// square root makes few of the VMs end early, so that few calls are tried before the
// outcome of the first is known.
func (g *PromptGuard) blockSpread(part uint64, blocks int) float64 {
	hash := xxhash.Sum64String(g.vm + " " + strconv.FormatUint(part, 16) + " " + strconv.Itoa(blocks))
	return math.Sqrt(float64(hash) / math.MaxUint64)
}

// isNewSuspect reports whether a part is suspected and was never answered.
func (g *PromptGuard) isNewSuspect(part uint64) bool {
	s := g.shard(part)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	suspect := s.suspects[part]
	return suspect != nil && !suspect.known
}

// Suspected reports whether calls with a part of the prompt crashed more than one engine
// without an answer. Such calls are not retried.
func (g *PromptGuard) Suspected(prompt kumquathitch.PromptParts, now time.Time) bool {
	suspected := false
	g.eachShared(prompt, func(s *promptShard, part uint64) {
		if suspect := s.suspects[part]; suspect != nil && !suspect.expired(now) && len(suspect.separateCrashes()) >= minPartCrashes-1 {
			suspected = true
		}
	})
	return suspected
}

// RecordCrash records an instance whose connection broke before it answered a call.
func (g *PromptGuard) RecordCrash(prompt kumquathitch.PromptParts, instance *kumquathitch.Instance, now time.Time) {
	incarnation := instance.ID + "@" + strconv.FormatInt(instance.Started.UnixMilli(), 10)
	var unanswered []uint64
	g.eachShared(prompt, func(s *promptShard, part uint64) {
		if !s.answered.Contains(part) && len(unanswered) <= maxCompanions {
			unanswered = append(unanswered, part)
		}
	})
	g.eachShared(prompt, func(s *promptShard, part uint64) {
		suspect := s.suspect(part, now)
		companions := slices.DeleteFunc(slices.Clone(unanswered), func(other uint64) bool { return other == part })
		suspect.addCrash(partCrash{instances: []string{incarnation}, at: now, lastAt: now, own: true, companions: companions}, now)
		suspect.known = suspect.known || s.answered.Contains(part)
		suspect.observed, suspect.reportedTo = true, ""
	})
	if len(unanswered) == 0 {
		return
	}
	select {
	case g.crashSeen <- struct{}{}:
	default: // A signal is waiting already.
	}
}

// CrashSeen signals crashes of engines that ran calls with a part that was never answered
// on this VM. Other VMs should know of them at once.
func (g *PromptGuard) CrashSeen() <-chan struct{} {
	return g.crashSeen
}

// RecordAnswer records that an instance answers a call.
func (g *PromptGuard) RecordAnswer(prompt kumquathitch.PromptParts, now time.Time) {
	g.eachShared(prompt, func(s *promptShard, part uint64) {
		s.answered.Add(part, now)
		if suspect := s.suspects[part]; suspect != nil && len(suspect.crashes) > 0 {
			suspect.clear(now, now)
			suspect.observed, suspect.reportedTo = true, ""
		}
	})
}

// TakeReport returns what this VM observed and has not yet reported to another VM. What
// finds no room in the report is left for the next one.
func (g *PromptGuard) TakeReport(vm string, now time.Time) kumquathitch.PartReport {
	parts := g.report(now, func(suspect *suspectPart) bool {
		due := suspect.observed && suspect.reportedTo != vm
		suspect.reportedTo = vm
		return due
	}, func(c partCrash) bool { return c.own })
	taken := min(len(parts), maxReportedParts)
	g.MarkUnreported(kumquathitch.PartReport{Parts: parts[taken:]})
	return kumquathitch.PartReport{Parts: parts[:taken]}
}

// MarkUnreported marks a report as not sent, after its message failed.
func (g *PromptGuard) MarkUnreported(report kumquathitch.PartReport) {
	for _, part := range report.Parts {
		s := g.shard(part.Part)
		s.mutex.Lock()
		if suspect := s.suspects[part.Part]; suspect != nil {
			suspect.reportedTo = ""
		}
		s.mutex.Unlock()
	}
}

// Suspects returns the parts that may have to be blocked, with the observations of all
// VMs. Parts with a single crash, which any crash of an engine leaves behind, are left
// out unless they were cleared since.
func (g *PromptGuard) Suspects(now time.Time) kumquathitch.PartReport {
	parts := g.report(now, func(suspect *suspectPart) bool {
		return suspect.nearBlock() || !suspect.clearedAt.IsZero()
	}, func(partCrash) bool { return true })
	return kumquathitch.PartReport{Parts: parts[:min(len(parts), maxReportedParts)]}
}

// report returns the selected suspects, and drops those that have expired. The parts that
// may have to be blocked come first, then the most recently changed ones.
func (g *PromptGuard) report(now time.Time, selected func(*suspectPart) bool, include func(partCrash) bool) []kumquathitch.SuspectPart {
	g.beginBlocks(now)
	var urgent, others []kumquathitch.SuspectPart
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		for part, suspect := range s.suspects {
			if suspect.expired(now) {
				delete(s.suspects, part)
				continue
			}
			if !selected(suspect) {
				continue
			}
			reported := kumquathitch.SuspectPart{Part: part, Known: suspect.known, Blocks: suspect.blocks, SinceChange: now.Sub(suspect.lastChanged)}
			if !suspect.clearedAt.IsZero() {
				reported.Answered, reported.SinceAnswer = true, now.Sub(suspect.clearedAt)
			}
			for _, c := range suspect.crashes {
				if include(c) {
					reported.Crashes = append(reported.Crashes, kumquathitch.PartCrash{Instance: c.instances[0], Others: c.instances[1:], Age: now.Sub(c.at), Span: c.lastAt.Sub(c.at), Companions: c.companions})
				}
			}
			if suspect.nearBlock() {
				urgent = append(urgent, reported)
			} else {
				others = append(others, reported)
			}
		}
		s.mutex.Unlock()
	}
	latestFirst := func(a, b kumquathitch.SuspectPart) int { return cmp.Compare(a.SinceChange, b.SinceChange) }
	slices.SortFunc(urgent, latestFirst)
	slices.SortFunc(others, latestFirst)
	return append(urgent, others...)
}

// TakeBlocked returns the parts whose block began since the last call, for the log.
func (g *PromptGuard) TakeBlocked(now time.Time) []BlockedPart {
	var begun []BlockedPart
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		for part, suspect := range s.suspects {
			if suspect.blocked(now) && suspect.logged != suspect.blocks {
				suspect.logged = suspect.blocks
				begun = append(begun, BlockedPart{Part: part, Crashes: len(suspect.crashes), Until: suspect.blockedTill})
			}
		}
		s.mutex.Unlock()
	}
	return begun
}

// BlockedPart is a prompt part that is blocked.
type BlockedPart struct {
	Part    uint64 // Hash of the part's ID.
	Crashes int    // Engines that crashed, as far as they are kept.
	Until   time.Time
}

// Merge adds the observations of other VMs. An answer that this VM saw since clears a
// part for the others as well.
func (g *PromptGuard) Merge(report kumquathitch.PartReport, now time.Time) {
	for _, reported := range report.Parts {
		s := g.shard(reported.Part)
		s.mutex.Lock()
		suspect := s.suspect(reported.Part, now)
		for _, c := range reported.Crashes {
			at := now.Add(-max(0, c.Age))
			instances := append([]string{c.Instance}, c.Others...)
			suspect.addCrash(partCrash{instances: instances, at: at, lastAt: at.Add(max(0, c.Span)), companions: c.Companions}, now)
		}
		if reported.Answered {
			suspect.clear(now.Add(-max(0, reported.SinceAnswer)), now)
		}
		if reported.Known {
			suspect.markKnown()
		}
		if len(suspect.crashes) > 0 { // A VM that has started since needs no three crashes of its own.
			suspect.blocks = max(suspect.blocks, reported.Blocks-1)
		}
		if answered, ok := s.answered.Peek(reported.Part); ok && len(suspect.crashes) > 0 {
			if answered.After(suspect.crashes[0].at) {
				suspect.clear(answered, now)
				suspect.observed, suspect.reportedTo = true, ""
			}
			if !suspect.known {
				suspect.markKnown()
				suspect.observed, suspect.reportedTo = true, ""
			}
		}
		s.mutex.Unlock()
	}
}

// eachShared calls a function for each part of a prompt but the last, with the lock of
// its shard held.
func (g *PromptGuard) eachShared(prompt kumquathitch.PromptParts, use func(s *promptShard, part uint64)) {
	for i := range len(prompt) - 1 {
		part := partHash(prompt[i])
		s := g.shard(part)
		s.mutex.Lock()
		use(s, part)
		s.mutex.Unlock()
	}
}

func partHash(part kumquathitch.PromptPart) uint64 {
	return xxhash.Sum64String(part.ID)
}

func (g *PromptGuard) shard(part uint64) *promptShard {
	return &g.shards[part%shardCount]
}

// suspect returns the record of a part, which it creates if necessary. The caller holds
// the lock.
func (s *promptShard) suspect(part uint64, now time.Time) *suspectPart {
	suspect := s.suspects[part]
	if suspect == nil {
		if len(s.suspects) >= maxPartsPerShard {
			s.dropOldest(now)
		}
		suspect = &suspectPart{lastChanged: now}
		s.suspects[part] = suspect
	}
	return suspect
}

// dropOldest drops the suspect that changed least recently, one that is not blocked if
// there is any.
func (s *promptShard) dropOldest(now time.Time) {
	var oldest uint64
	var found *suspectPart
	for part, suspect := range s.suspects {
		if found == nil || (found.blocked(now) && !suspect.blocked(now)) ||
			(found.blocked(now) == suspect.blocked(now) && suspect.lastChanged.Before(found.lastChanged)) {
			oldest, found = part, suspect
		}
	}
	delete(s.suspects, oldest)
}

// addCrash adds a series of crashes, unless it began before the last answer. It extends a
// known series that it follows or precedes closely, or that has an engine in common: a busy VM
// may see a crash late.
func (p *suspectPart) addCrash(crash partCrash, now time.Time) {
	if !crash.at.After(p.clearedAt) {
		return
	}
	if crash.at.After(p.probesFrom) { // The crashes that led to a block do not count again.
		p.crashes = slices.DeleteFunc(p.crashes, func(c partCrash) bool { return !c.at.After(p.probesFrom) })
	}
	for i := range p.crashes {
		if c := &p.crashes[i]; c.near(crash) || slices.ContainsFunc(crash.instances, c.includes) {
			c.extend(crash)
			return
		}
	}
	p.crashes = append(p.crashes, crash)
	slices.SortFunc(p.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	if len(p.crashes) > maxCrashesPerPart {
		p.dropClosest()
	}
	p.lastChanged = now
}

// dropClosest joins the two series with the least time between them.
func (p *suspectPart) dropClosest() {
	closest := 1
	for i := 2; i < len(p.crashes); i++ {
		if p.crashes[i].at.Sub(p.crashes[i-1].at) < p.crashes[closest].at.Sub(p.crashes[closest-1].at) {
			closest = i
		}
	}
	p.crashes[closest-1].extend(p.crashes[closest])
	p.crashes = slices.Delete(p.crashes, closest, closest+1)
}

func (c *partCrash) includes(instance string) bool {
	return slices.Contains(c.instances, instance)
}

// near reports whether two series are too close in time to count separately for any part.
func (c *partCrash) near(other partCrash) bool {
	return other.at.Sub(c.lastAt) < newPartCrashSpacing && c.at.Sub(other.lastAt) < newPartCrashSpacing
}

// extend adds another series to this one.
func (c *partCrash) extend(other partCrash) {
	if other.at.Before(c.at) {
		c.at = other.at
	}
	if other.lastAt.After(c.lastAt) {
		c.lastAt = other.lastAt
	}
	c.own = c.own || other.own
	for _, instance := range other.instances {
		if len(c.instances) < maxSeriesInstances && !c.includes(instance) {
			c.instances = append(slices.Clone(c.instances), instance) // Reports share the slice before.
		}
	}
	c.addCompanions(other.companions)
}

// separateCrashes returns the series that count separately. Those of a part that was
// answered before are joined if they began within crashSpacing.
func (p *suspectPart) separateCrashes() []partCrash {
	if !p.known {
		return p.crashes
	}
	var separate []partCrash
	for _, c := range p.crashes {
		if last := len(separate) - 1; last >= 0 && c.at.Sub(separate[last].at) < crashSpacing {
			separate[last].addCompanions(c.companions)
			continue
		}
		separate = append(separate, c)
	}
	return separate
}

// addCompanions adds the companions of another call on the same engine. The result is a
// new slice, since reports share the one before.
func (c *partCrash) addCompanions(companions []uint64) {
	for _, companion := range companions {
		if len(c.companions) < maxCompanions && !slices.Contains(c.companions, companion) {
			c.companions = append(slices.Clone(c.companions), companion)
		}
	}
}

// nearBlock reports whether the part may have to be blocked after one more crash, or
// was blocked before.
func (p *suspectPart) nearBlock() bool {
	return p.blocks > 0 || len(p.separateCrashes()) >= minPartCrashes-1
}

// clear drops the crashes up to the time of an answer, and ends a block.
func (p *suspectPart) clear(answered, now time.Time) {
	p.known = true
	if !answered.After(p.clearedAt) {
		return
	}
	p.clearedAt, p.lastChanged = answered, now
	p.crashes = slices.DeleteFunc(p.crashes, func(c partCrash) bool { return !c.at.After(answered) })
	if len(p.crashes) == 0 {
		p.unblock()
	}
}

// markKnown records that a VM saw an answer. A block that began without this knowledge
// is decided again.
func (p *suspectPart) markKnown() {
	if !p.known && p.blocks <= 1 {
		p.unblock()
	}
	p.known = true
}

func (p *suspectPart) unblock() {
	p.blocks, p.probesFrom, p.blockedTill = 0, time.Time{}, time.Time{}
}

// blockDue reports whether the crashes are enough to block the part.
func (p *suspectPart) blockDue(now time.Time) bool {
	if p.blocks > 0 {
		return len(p.crashes) > 0 && p.crashes[0].at.After(p.probesFrom)
	}
	due := p.firstBlockDue()
	return !due.IsZero() && !now.Before(due)
}

// firstBlockDue returns the time at which the first block is due, or zero if the crashes
// are too few.
func (p *suspectPart) firstBlockDue() time.Time {
	crashes := p.separateCrashes()
	if len(crashes) < minPartCrashes {
		return time.Time{}
	}
	return crashes[minPartCrashes-1].at.Add(confirmationTime)
}

// blockEnd returns the end of the block, or of the confirmation before the first block of a
// part that was never answered.
func (p *suspectPart) blockEnd(now time.Time) time.Time {
	if due := p.firstBlockDue(); p.blocks == 0 && !p.known && now.Before(due) {
		return due
	}
	return p.blockedTill
}

// explanations returns the companions that all crashes of a known part have in common.
func (p *suspectPart) explanations() []uint64 {
	if !p.known || p.blocks > 0 || len(p.crashes) == 0 {
		return nil
	}
	crashes := p.separateCrashes()
	common := slices.Clone(crashes[0].companions)
	for _, c := range crashes[1:] {
		common = slices.DeleteFunc(common, func(companion uint64) bool { return !slices.Contains(c.companions, companion) })
	}
	return common
}

// block begins a block, to which the VM adds a part of its length.
func (p *suspectPart) block(spread float64) {
	last := p.crashes[0].at
	if p.blocks == 0 {
		last = p.separateCrashes()[minPartCrashes-1].at
	}
	length := p.nextBlockTime()
	p.probesFrom = last.Add(length)
	p.blockedTill = p.probesFrom.Add(blockSettleTime + time.Duration(spread*float64(length)))
	p.blocks++
}

// nextBlockTime returns the least length of the next block.
func (p *suspectPart) nextBlockTime() time.Duration {
	return min(maxPartBlockTime, partBlockTime<<min(p.blocks, 8))
}

func (p *suspectPart) blocked(now time.Time) bool {
	return now.Before(p.blockedTill)
}

// expired reports whether the record is of no more use. A part that was blocked is
// remembered for the length of its next block.
func (p *suspectPart) expired(now time.Time) bool {
	if p.blocks > 0 && !now.After(p.blockedTill.Add(p.nextBlockTime())) {
		return false
	}
	return now.Sub(p.lastChanged) > suspicionTTL
}
