package retry

import (
	"slices"
	"time"
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
	// maxCrashesPerPart bounds the series of crashes kept for a part.
	maxCrashesPerPart = 8
	// maxSeriesInstances bounds the engines kept for a series.
	maxSeriesInstances = 8
	// maxCompanions bounds the companions kept for a crash.
	maxCompanions = 8
)

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
		p.joinClosest()
	}
	p.lastChanged = now
}

// joinClosest joins the two series with the least time between them.
func (p *suspectPart) joinClosest() {
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
