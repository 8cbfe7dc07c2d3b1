// Package route chooses an upstream for each request, sheds load fairly among
// accounts and limits retries. Its aggregate is Table.
//
// # Usage
//
//	table := route.NewTable(fleet, clock, "montreal-1")
//	table.Apply(config)
//	choice, err := table.Pick(criteria)
//	if err != nil {
//		return err // *kumquathitch.RefusalError
//	}
//	defer table.Done(choice, result)
//
// Table implements kumquathitch.Picker. A choice compares only a few replicas,
// so its cost does not grow with the number of servers. A request whose criteria
// exclude upstreams is a retry and needs credit from the retry budget.
package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/upstream"
)

const (
	shardCount = 64
	// sampleSize is the number of random candidates that a choice takes from each
	// list. Two random choices avoid herding on an upstream that an outdated
	// report shows as idle.
	sampleSize = 2
	// shedMargin divides the allowed time to the first token: shedding begins
	// when the estimate exceeds the quotient, because the reports behind the
	// estimate lag.
	shedMargin = 2
	// scanLimit bounds the replicas that a scan checks, in the local data centre
	// and again in all data centres. A scan is made if the sample has no usable
	// upstream, or none that is fast enough.
	scanLimit = 16
	// maxCandidates is enough for three samples, the preferred replica and a scan.
	maxCandidates = 3*sampleSize + 1 + 2*scanLimit
)

// Table chooses among the upstreams of a fleet. Its exported fields are set before use.
type Table struct {
	Fleet      *upstream.Fleet
	Clock      kumquathitch.Clock
	DataCentre string
	IntN       func(n int) int         // Returns a random number in [0, n). Replays set it for reproducible choices.
	Quarantine kumquathitch.Quarantine // May be nil.

	settings     atomic.Pointer[routingSettings]
	loads        loadTracker
	retryBudgets retryBudgets
}

// routingSettings is the part of a configuration that choices use.
type routingSettings struct {
	baseModels map[string]string // Base model by adapter.
	accounts   map[string]accountSettings
	regions    map[string]string // Region by data centre.
	measure    string
}

type accountSettings struct {
	weight float64
	class  string
}

// NewTable returns a table for a VM in the given data centre.
func NewTable(fleet *upstream.Fleet, clock kumquathitch.Clock, dataCentre string) *Table {
	t := &Table{Fleet: fleet, Clock: clock, DataCentre: dataCentre, IntN: rand.IntN}
	t.settings.Store(&routingSettings{})
	for i := range t.loads.shards {
		t.loads.shards[i].models = map[string]*modelLoad{}
	}
	return t
}

// Apply replaces the settings by those of a configuration. The fleet has its own
// Apply for the upstreams.
func (t *Table) Apply(config kumquathitch.Configuration) {
	next := &routingSettings{
		baseModels: map[string]string{}, accounts: map[string]accountSettings{}, regions: map[string]string{},
		measure: config.PrimaryMeasure,
	}
	for _, a := range config.Adapters {
		next.baseModels[a.Name] = a.Model
	}
	for _, a := range config.Accounts {
		next.accounts[a.Name] = accountSettings{weight: a.Rate, class: a.Class}
	}
	for _, d := range config.DataCentres {
		next.regions[d.Name] = d.Region
	}
	t.settings.Store(next)
}

// Pick chooses an upstream, or returns a *kumquathitch.RefusalError with status
// 422 from the quarantine, 429 if the request is shed, or 503 if no upstream is
// available or the retry budget is spent. If upstreams asked for a pause, the refusal
// states when the first of them takes requests again.
func (t *Table) Pick(criteria kumquathitch.UpstreamCriteria) (kumquathitch.UpstreamChoice, error) {
	s := &search{table: t, settings: t.settings.Load(), criteria: &criteria, now: t.Clock.Now()}
	s.prepare()
	if err := t.admit(s); err != nil {
		return kumquathitch.UpstreamChoice{}, err
	}
	s.sample()
	if err := t.shed(s); err != nil {
		return kumquathitch.UpstreamChoice{}, err
	}
	if choice, ok := t.chooseBest(s); ok {
		return choice, nil
	}
	s.scan()
	if choice, ok := t.chooseBest(s); ok {
		return choice, nil
	}
	refusal := kumquathitch.NewRefusal(503, "no-upstream", "No upstream is available for this request.")
	refusal.RetryAfter = s.pausedUntil
	return kumquathitch.UpstreamChoice{}, refusal
}

// admit checks the quarantine and, for a retry, takes credit from the retry budget.
func (t *Table) admit(s *search) error {
	if t.Quarantine != nil {
		if err := t.Quarantine.Admit(s.criteria.Fingerprint, s.now); err != nil {
			return err
		}
	}
	if len(s.criteria.Exclude) > 0 && !t.retryBudgets.allow(s.criteria.Account, s.now) {
		return kumquathitch.NewFailure(503, "retry-budget-spent", "An upstream failed, and too many requests are being retried.")
	}
	return nil
}

// shed refuses a first attempt if neither the sample nor a scan finds a replica
// that is fast enough, and the account is the most over its fair share. Retries
// are not shed, because their first attempt was admitted.
func (t *Table) shed(s *search) error {
	if s.allowedTTFB == 0 || len(s.criteria.Exclude) > 0 || !s.crowded() {
		return nil
	}
	s.scan()
	if !s.crowded() {
		return nil
	}
	estimate := s.best().Estimate()
	overloadFactor := shedMargin * float64(estimate) / float64(s.allowedTTFB)
	if !t.loads.shouldShed(s.baseModel, s.criteria.Account, s.criteria.Tokens, overloadFactor, s.settings.measure, s.now) {
		return nil
	}
	return overloadRefusal(estimate-s.allowedTTFB, s.now)
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// overloadRefusal returns the refusal of a request that is shed. The caller may
// retry after excess, the time in which the queue drains far enough, but not
// before minRetryAfter and at the latest after maxRetryAfter.
func overloadRefusal(excess time.Duration, now time.Time) error {
	refusal := kumquathitch.NewRefusal(429, "over-fair-share",
		"The model is overloaded, and the account uses more than its fair share.")
	refusal.RetryAfter = now.Add(min(maxRetryAfter, max(minRetryAfter, excess)))
	return refusal
}

// chooseBest begins the request on the best candidate that accepts it.
func (t *Table) chooseBest(s *search) (kumquathitch.UpstreamChoice, bool) {
	for best := s.best(); best != nil; best = s.best() {
		if choice, ok := t.begin(s, best); ok {
			return choice, true
		}
		s.remove(best)
	}
	return kumquathitch.UpstreamChoice{}, false
}

func (t *Table) begin(s *search, c *Candidate) (kumquathitch.UpstreamChoice, bool) {
	if t.Quarantine != nil && !t.Quarantine.Begin(c.Replica.Name, s.criteria.Fingerprint, s.now) {
		return kumquathitch.UpstreamChoice{}, false
	}
	u, ok := t.Fleet.Begin(c.Replica, s.criteria, s.now)
	if !ok {
		if t.Quarantine != nil {
			// Nothing ran, so this is neither a success nor a crash.
			t.Quarantine.End(c.Replica.Name, s.criteria.Fingerprint, kumquathitch.UpstreamResult{Failed: true}, s.now)
		}
		return kumquathitch.UpstreamChoice{}, false
	}
	uncrowded := s.allowedTTFB > 0 && c.Estimate() <= s.allowedTTFB/shedMargin
	t.loads.begin(s.baseModel, s.criteria.Account, s.weight, s.criteria.Tokens, uncrowded, s.now)
	return kumquathitch.UpstreamChoice{
		Upstream: u, Criteria: *s.criteria, Sent: s.now, ExpectedTTFB: c.Wait,
		Priority: Priority(s.criteria.Class, s.settings.accounts[s.criteria.Account].class),
	}, true
}

// Done records the end of the request for which Pick returned choice.
func (t *Table) Done(choice kumquathitch.UpstreamChoice, result kumquathitch.UpstreamResult) {
	now := t.Clock.Now()
	criteria := &choice.Criteria
	t.Fleet.End(choice, result, now)
	t.loads.end(t.settings.Load().baseModelOf(criteria), criteria.Account, criteria.Tokens, now)
	if !result.Failed {
		t.retryBudgets.recordSuccess(criteria.Account, now)
	}
	if t.Quarantine != nil {
		t.Quarantine.End(choice.Upstream.Name, criteria.Fingerprint, result, now)
	}
}

// baseModelOf returns the name under which loads are kept: the service, or the
// base model, since its adapters share its replicas.
func (s *routingSettings) baseModelOf(criteria *kumquathitch.UpstreamCriteria) string {
	if criteria.Service != "" {
		return criteria.Service
	}
	if base, ok := s.baseModels[criteria.Model]; ok {
		return base
	}
	return criteria.Model
}

// search is the state of one choice.
type search struct {
	table       *Table
	settings    *routingSettings
	criteria    *kumquathitch.UpstreamCriteria
	now         time.Time
	baseModel   string // Result of baseModelOf.
	weight      float64
	slack       float64
	allowedTTFB time.Duration

	candidates  [maxCandidates]Candidate
	count       int
	pausedUntil time.Time // First end of a pause of the replicas that were looked at; zero without one.
}

func (s *search) prepare() {
	s.baseModel = s.settings.baseModelOf(s.criteria)
	s.weight = max(1, s.settings.accounts[s.criteria.Account].weight)
	s.slack = SlackFactor(s.criteria.Class)
	s.allowedTTFB = AllowedTTFB(s.criteria.Class, s.criteria.FirstByteDeadline, s.now)
}

func (s *search) replicasKey(dataCentre string) upstream.ReplicasKey {
	if s.criteria.Service != "" {
		return upstream.ReplicasKey{Service: s.criteria.Service, DataCentre: dataCentre}
	}
	return upstream.ReplicasKey{Model: s.baseModel, DataCentre: dataCentre}
}

// sample adds the preferred replica of the prompt prefix, and random candidates
// from the local data centre and from all. Another data centre is often less
// loaded and only a few milliseconds away.
func (s *search) sample() {
	local := s.table.Fleet.Replicas(s.replicasKey(s.table.DataCentre))
	if local != nil && s.criteria.PrefixHash != 0 {
		s.add(local.Preferred(s.criteria.PrefixHash))
	}
	s.addRandom(local)
	if s.criteria.Model != s.baseModel && s.criteria.Service == "" {
		key := upstream.ReplicasKey{Model: s.criteria.Model, DataCentre: s.table.DataCentre}
		s.addRandom(s.table.Fleet.Replicas(key)) // Replicas on which the adapter is resident.
	}
	s.addRandom(s.table.Fleet.Replicas(s.replicasKey("")))
}

func (s *search) addRandom(replicas *upstream.Replicas) {
	if replicas == nil {
		return
	}
	for range sampleSize {
		s.add(replicas.List[s.table.IntN(len(replicas.List))])
	}
}

// scan adds up to scanLimit replicas from a random start, first of the local
// data centre and then of all.
func (s *search) scan() {
	for _, dataCentre := range [...]string{s.table.DataCentre, ""} {
		replicas := s.table.Fleet.Replicas(s.replicasKey(dataCentre))
		if replicas == nil {
			continue
		}
		size := len(replicas.List)
		start := s.table.IntN(size)
		for i := range min(scanLimit, size) {
			s.add(replicas.List[(start+i)%size])
		}
	}
}

// add adds a replica to the candidates if it is usable, not excluded and not
// among them yet.
func (s *search) add(r *upstream.Replica) {
	if s.count == maxCandidates || slices.Contains(s.criteria.Exclude, r.Name) || s.has(r) {
		return
	}
	assessment := s.table.Fleet.Assess(r, upstream.Query{Model: s.criteria.Model, Prefix: s.criteria.PrefixHash, Now: s.now})
	if end := assessment.PausedUntil; !end.IsZero() && (s.pausedUntil.IsZero() || end.Before(s.pausedUntil)) {
		s.pausedUntil = end
	}
	if !assessment.Usable {
		return
	}
	c := Candidate{Replica: r, Wait: assessment.ExpectedTTFB, Penalty: s.networkDelay(r.DataCentre), LastResort: assessment.LastResort}
	c.Penalty += batchPenalty(assessment.BatchFill)
	if !assessment.Resident {
		c.Penalty += adapterLoadPenalty
	}
	if s.criteria.PrefixHash != 0 {
		c.Penalty += prefixPenalty(assessment.PrefixState)
	}
	s.candidates[s.count] = c
	s.count++
}

func (s *search) has(r *upstream.Replica) bool {
	for i := range s.count {
		if s.candidates[i].Replica == r {
			return true
		}
	}
	return false
}

func (s *search) networkDelay(dataCentre string) time.Duration {
	switch {
	case dataCentre == s.table.DataCentre:
		return 0
	case s.settings.regions[dataCentre] == s.settings.regions[s.table.DataCentre]:
		return sameRegionRTT
	}
	return otherRegionRTT
}

// best returns the best candidate, or nil.
func (s *search) best() *Candidate {
	var best *Candidate
	for i := range s.count {
		c := &s.candidates[i]
		if best == nil || c.Better(best, s.allowedTTFB, s.slack) {
			best = c
		}
	}
	return best
}

func (s *search) remove(c *Candidate) {
	s.count--
	*c = s.candidates[s.count]
}

// crowded reports whether even the best candidate is too slow, so that load may
// have to be shed.
func (s *search) crowded() bool {
	best := s.best()
	return best != nil && best.Estimate() > s.allowedTTFB/shedMargin
}
