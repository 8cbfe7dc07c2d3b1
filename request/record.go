package request

import (
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

// State is the progress of a claimed call.
type State uint8

// States of an entry. The call of a Claimed entry may be running; the outcome of a
// Done entry is recorded.
const (
	Claimed State = iota
	Done
	Unknown // The call may have run, but its response was lost.
)

// Decision is the answer to a claim.
type Decision uint8

// Decisions about a claim.
const (
	Run            Decision = iota // Run the call: the claim is recorded, or can be.
	Repeat                         // The call has run: repeat its outcome.
	StillRunning                   // The first run has not ended.
	OutcomeUnknown                 // The call may have run and must not run again under this key.
	OtherBody                      // The key was used with a different request.
	Full                           // The record has no space for another claim.
	Late                           // The claim's own deadline has passed.
)

// RecordSettings are the periods and limits that decisions on a record depend on.
type RecordSettings struct {
	TTL        time.Duration // How long an entry is kept after its claim's deadline.
	ClockError time.Duration // Largest difference between the clocks of two VMs.
	MaxBytes   int           // Largest encoded size of a record.
}

// Entry is one claimed call.
type Entry struct {
	Claim   kumquathitch.Claim
	State   State
	Outcome kumquathitch.Outcome // Set only in state Done.
	Expires time.Time
}

// Record holds the claimed calls of one partition, in the order in which they were claimed.
type Record struct {
	Entries []Entry

	sizeBound int            // Upper bound of the encoded size, in bytes.
	names     map[string]int // Indexes of the strings that entries share, in order of first use.
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{sizeBound: headerBytes, names: map[string]int{}}
}

// SizeBound returns an upper bound of the encoded size, in bytes.
func (r *Record) SizeBound() int {
	return r.sizeBound
}

// Decide returns the decision on a claim and, for Repeat, the outcome of the
// first run. It does not change the record.
func (r *Record) Decide(claim kumquathitch.Claim, settings RecordSettings, now time.Time) (Decision, kumquathitch.Outcome) {
	i := r.findKey(claim.Account, claim.KeyHash)
	if i < 0 || r.Entries[i].expired(settings, now) {
		switch {
		case !now.Before(claim.Deadline):
			return Late, kumquathitch.Outcome{}
		case !r.fits(claim, settings):
			return Full, kumquathitch.Outcome{}
		}
		return Run, kumquathitch.Outcome{}
	}
	entry := &r.Entries[i]
	switch {
	case entry.Claim.WriteID == claim.WriteID && entry.State == Claimed && !now.Before(claim.Deadline):
		return Late, kumquathitch.Outcome{}
	case entry.Claim.WriteID == claim.WriteID && entry.State == Claimed:
		return Run, kumquathitch.Outcome{} // An earlier write of this claim took effect, but its response was lost.
	case entry.Claim.Fingerprint != claim.Fingerprint:
		return OtherBody, kumquathitch.Outcome{}
	case entry.State == Done:
		return Repeat, entry.Outcome
	case entry.State == Unknown || now.After(entry.Claim.Deadline.Add(settings.ClockError)):
		return OutcomeUnknown, kumquathitch.Outcome{}
	}
	return StillRunning, kumquathitch.Outcome{}
}

// Claim decides on a claim and records it when the decision is Run. It reports whether the record changed.
func (r *Record) Claim(claim kumquathitch.Claim, settings RecordSettings, now time.Time) (Decision, kumquathitch.Outcome, bool) {
	decision, outcome := r.Decide(claim, settings, now)
	if decision != Run {
		return decision, outcome, false
	}
	if r.findClaim(claim) >= 0 {
		return Run, outcome, false
	}
	if i := r.findKey(claim.Account, claim.KeyHash); i >= 0 {
		r.remove(i) // The entry has expired; otherwise the decision is not Run.
	}
	r.add(Entry{Claim: claim, Expires: claim.Deadline.Add(settings.TTL)})
	r.dropOldestBodies(settings)
	return Run, outcome, true
}

// Complete records the outcome of a claim, even if its entry is already in
// state Unknown. It reports whether the record changed.
func (r *Record) Complete(claim kumquathitch.Claim, outcome kumquathitch.Outcome, settings RecordSettings) bool {
	i := r.findClaim(claim)
	if i < 0 || r.Entries[i].State == Done {
		return false
	}
	if len(outcome.Body) > kumquathitch.MaxOutcomeBodyBytes {
		outcome.Body, outcome.BodyDropped = nil, true
	}
	if len(outcome.Body) == 0 {
		outcome.Body = nil // Decode returns nil for an empty body.
	}
	if !r.contentTypeFits(outcome.ContentType, settings) {
		outcome.ContentType = ""
	}
	entry := &r.Entries[i]
	r.sizeBound -= entry.encodedSize()
	entry.State, entry.Outcome = Done, outcome
	r.sizeBound += entry.encodedSize()
	r.intern(outcome.ContentType)
	r.dropOldestBodies(settings)
	return true
}

// Abandon records that the outcome of a claim is unknown. It reports whether the record changed.
func (r *Record) Abandon(claim kumquathitch.Claim) bool {
	i := r.findClaim(claim)
	if i < 0 || r.Entries[i].State != Claimed {
		return false
	}
	r.Entries[i].State = Unknown
	return true
}

// Withdraw removes the claim of a call of which no byte was sent. It reports whether the record changed.
func (r *Record) Withdraw(claim kumquathitch.Claim) bool {
	i := r.findClaim(claim)
	if i < 0 || r.Entries[i].State != Claimed {
		return false
	}
	r.remove(i)
	return true
}

// Prune removes expired entries and the names that only these used.
func (r *Record) Prune(settings RecordSettings, now time.Time) {
	expired := func(e Entry) bool { return e.expired(settings, now) }
	if !slices.ContainsFunc(r.Entries, expired) {
		return
	}
	pruned := NewRecord()
	pruned.Entries = make([]Entry, 0, len(r.Entries))
	for i := range r.Entries {
		if !expired(r.Entries[i]) {
			pruned.add(r.Entries[i])
		}
	}
	*r = *pruned
}

func (e *Entry) expired(settings RecordSettings, now time.Time) bool {
	return now.After(e.Expires.Add(settings.ClockError))
}

func (e *Entry) encodedSize() int {
	return entryBytes + len(e.Outcome.Body)
}

func (r *Record) findKey(account string, hash kumquathitch.KeyHash) int {
	for i := range r.Entries {
		if r.Entries[i].Claim.KeyHash == hash && r.Entries[i].Claim.Account == account {
			return i
		}
	}
	return -1
}

// findClaim returns the index of the entry that this claim created, or -1.
func (r *Record) findClaim(claim kumquathitch.Claim) int {
	i := r.findKey(claim.Account, claim.KeyHash)
	if i < 0 || r.Entries[i].Claim.WriteID != claim.WriteID {
		return -1
	}
	return i
}

func (r *Record) add(entry Entry) {
	r.intern(entry.Claim.Account)
	r.intern(entry.Claim.Holder)
	r.intern(entry.Outcome.ContentType)
	r.Entries = append(r.Entries, entry)
	r.sizeBound += entry.encodedSize()
}

func (r *Record) remove(i int) {
	r.sizeBound -= r.Entries[i].encodedSize()
	r.Entries = slices.Delete(r.Entries, i, i+1)
}

// intern adds a string to the names unless it is there already.
func (r *Record) intern(text string) {
	if _, ok := r.names[text]; !ok {
		r.names[text] = len(r.names)
		r.sizeBound += nameLengthBytes + len(text)
	}
}

func (r *Record) nameSize(text string) int {
	if _, ok := r.names[text]; ok {
		return 0
	}
	return nameLengthBytes + len(text)
}

// fits reports whether a claim fits into the record when all bodies are dropped.
func (r *Record) fits(claim kumquathitch.Claim, settings RecordSettings) bool {
	names := r.nameSize(claim.Account) + r.nameSize(claim.Holder)
	if len(claim.Account) > maxNameBytes || len(claim.Holder) > maxNameBytes || len(r.names)+3 >= maxNames {
		return false
	}
	return r.sizeBound+entryBytes+names+nameLengthBytes-r.droppableBytes(settings) <= settings.MaxBytes
}

// contentTypeFits reports whether the record has space for a content type when all bodies are dropped.
func (r *Record) contentTypeFits(text string, settings RecordSettings) bool {
	if len(text) > maxNameBytes || len(r.names)+1 >= maxNames {
		return false
	}
	return r.sizeBound+r.nameSize(text)-r.droppableBytes(settings) <= settings.MaxBytes
}

// droppableBytes returns the total size of the bodies. To save time it returns
// 0 for a record that is not nearly full.
func (r *Record) droppableBytes(settings RecordSettings) int {
	if r.sizeBound+entryBytes+3*(nameLengthBytes+maxNameBytes) <= settings.MaxBytes {
		return 0
	}
	total := 0
	for i := range r.Entries {
		total += len(r.Entries[i].Outcome.Body)
	}
	return total
}

// dropOldestBodies drops the bodies of the oldest finished entries until the record is within its size limit.
func (r *Record) dropOldestBodies(settings RecordSettings) {
	for i := range r.Entries {
		if r.sizeBound <= settings.MaxBytes {
			return
		}
		entry := &r.Entries[i]
		if len(entry.Outcome.Body) == 0 {
			continue
		}
		r.sizeBound -= len(entry.Outcome.Body)
		entry.Outcome.Body, entry.Outcome.BodyDropped = nil, true
	}
}
