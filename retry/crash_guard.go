package retry

import (
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxCrashes is the number of crashed instances after which a call is blocked. A
	// crash counts against every call on the instance, but an innocent call is unlikely
	// to be on three crashing instances.
	maxCrashes = 3
	// recordTTL is how long a crash counts. Callers that repeat a call do so within a
	// minute.
	recordTTL = time.Minute
	// maxRecordsPerShard bounds the records of a shard. The older half is dropped when
	// it is reached.
	maxRecordsPerShard = 512
	// maxSharedCounts bounds the counts in one message to another VM. The newest are sent.
	maxSharedCounts = 128
)

// CrashGuard counts the instances whose connection broke while they ran a call, by the
// fingerprint of the call. It is safe for concurrent use.
type CrashGuard struct {
	shards [shardCount]guardShard
}

type guardShard struct {
	mutex   sync.Mutex
	records map[uint64]*crashRecord
}

type crashRecord struct {
	localCrashes   int            // Crashes that this VM observed.
	remoteCrashes  map[string]int // Crashes that other VMs reported, by VM.
	clearedCrashes int            // All crashes up to the last success of the call; these do not count.
	lastCrash      time.Time
	reportedTo     string // VM to which the present localCrashes was reported; empty for none.
}

// NewCrashGuard returns a guard without records.
func NewCrashGuard() *CrashGuard {
	g := &CrashGuard{}
	for i := range g.shards {
		g.shards[i].records = map[uint64]*crashRecord{}
	}
	return g
}

// Blocked reports whether a call has crashed too many instances to be sent again.
func (g *CrashGuard) Blocked(fingerprint uint64, now time.Time) bool {
	s := g.shard(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record := s.records[fingerprint]
	return record != nil && record.blocked(now)
}

// RecordCrash counts an instance whose connection broke while it ran the call.
func (g *CrashGuard) RecordCrash(fingerprint uint64, now time.Time) {
	s := g.shard(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record := s.record(fingerprint, now)
	record.localCrashes++
	record.lastCrash, record.reportedTo = now, ""
}

// RecordSuccess records that an instance answered the call, so the call did not cause
// the crashes so far. Callers often send calls with the same content.
func (g *CrashGuard) RecordSuccess(fingerprint uint64) {
	s := g.shard(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if record := s.records[fingerprint]; record != nil {
		record.clearedCrashes = record.totalCrashes()
	}
}

// TakeUnreported returns this VM's own crash counts that were not yet reported to a VM,
// and marks them as reported to it. A new leader is sent all of them again.
func (g *CrashGuard) TakeUnreported(vm string, now time.Time) kumquathitch.Suspects {
	var unreported kumquathitch.Suspects
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		for fingerprint, record := range s.records {
			if record.localCrashes > 0 && record.reportedTo != vm && now.Sub(record.lastCrash) < recordTTL {
				record.reportedTo = vm
				unreported = append(unreported, kumquathitch.Suspect{Fingerprint: fingerprint, Crashes: record.localCrashes, Seen: record.lastCrash})
			}
		}
		s.mutex.Unlock()
	}
	return unreported
}

// MarkUnreported marks counts as not reported, after their message failed.
func (g *CrashGuard) MarkUnreported(unreported kumquathitch.Suspects) {
	for _, suspect := range unreported {
		s := g.shard(suspect.Fingerprint)
		s.mutex.Lock()
		if record := s.records[suspect.Fingerprint]; record != nil {
			record.reportedTo = ""
		}
		s.mutex.Unlock()
	}
}

// Merge records the crash counts that another VM reported. Of several counts of one VM
// the highest applies.
func (g *CrashGuard) Merge(from string, counts kumquathitch.Suspects, now time.Time) {
	for _, suspect := range counts {
		s := g.shard(suspect.Fingerprint)
		s.mutex.Lock()
		record := s.record(suspect.Fingerprint, now)
		record.remoteCrashes[from] = max(record.remoteCrashes[from], suspect.Crashes)
		record.lastCrash = now
		s.mutex.Unlock()
	}
}

// BlockedCounts returns the crash counts of blocked calls, without those of one VM, to be
// sent to that VM. The crash of an engine counts once for each call on it: after 31
// engines crashed, the counts of all these calls in each message took the processor and
// the network of a leader of 195 VMs.
func (g *CrashGuard) BlockedCounts(vm string, now time.Time) kumquathitch.Suspects {
	var counts kumquathitch.Suspects
	for i := range g.shards {
		s := &g.shards[i]
		s.mutex.Lock()
		for fingerprint, record := range s.records {
			if count := record.totalCrashes() - record.remoteCrashes[vm]; count > 0 && record.blocked(now) {
				counts = append(counts, kumquathitch.Suspect{Fingerprint: fingerprint, Crashes: count, Seen: record.lastCrash})
			}
		}
		s.mutex.Unlock()
	}
	slices.SortFunc(counts, func(a, b kumquathitch.Suspect) int { return b.Seen.Compare(a.Seen) })
	return counts[:min(len(counts), maxSharedCounts)]
}

func (g *CrashGuard) shard(fingerprint uint64) *guardShard {
	return &g.shards[fingerprint%shardCount]
}

// record returns the record of a fingerprint, which it creates if necessary. The caller
// holds the lock.
func (s *guardShard) record(fingerprint uint64, now time.Time) *crashRecord {
	record := s.records[fingerprint]
	if record == nil {
		if len(s.records) >= maxRecordsPerShard {
			s.dropOldest()
		}
		record = &crashRecord{remoteCrashes: map[string]int{}, lastCrash: now}
		s.records[fingerprint] = record
	}
	return record
}

func (s *guardShard) dropOldest() {
	fingerprints := make([]uint64, 0, len(s.records))
	for fingerprint := range s.records {
		fingerprints = append(fingerprints, fingerprint)
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int { return s.records[a].lastCrash.Compare(s.records[b].lastCrash) })
	for _, fingerprint := range fingerprints[:len(fingerprints)/2] {
		delete(s.records, fingerprint)
	}
}

func (r *crashRecord) blocked(now time.Time) bool {
	return now.Sub(r.lastCrash) < recordTTL && r.totalCrashes()-r.clearedCrashes >= maxCrashes
}

func (r *crashRecord) totalCrashes() int {
	total := r.localCrashes
	for _, count := range r.remoteCrashes {
		total += count
	}
	return total
}
