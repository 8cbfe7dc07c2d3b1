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
	// maxPartsPerShard bounds the suspected parts of a shard, and the parts whose last
	// answer it remembers.
	maxPartsPerShard = 256
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
			instances := append([]string{c.Instance}, c.Others[:min(len(c.Others), maxSeriesInstances-1)]...)
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
