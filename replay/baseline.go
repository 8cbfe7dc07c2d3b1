package replay

import (
	"cmp"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/trace"
)

// staticRates splits every rate equally over the VMs, with one bucket for each account
// and VM.
type staticRates struct {
	buckets []map[string]*bucket // By VM number.
}

func newStaticRates(cluster *Cluster) staticRates {
	s := staticRates{}
	share := 1 / float64(len(cluster.VMs))
	for range cluster.VMs {
		accounts := map[string]*bucket{}
		for _, a := range cluster.Config.Accounts {
			accounts[a.Name] = &bucket{rate: a.Rate * share, burst: a.Burst * share, updatedAt: cluster.Start}
		}
		s.buckets = append(s.buckets, accounts)
	}
	return s
}

// Admit charges the VM's bucket of an account.
func (s staticRates) Admit(vm VM, account string, tokens float64, _ bool, now time.Time) bool {
	return s.buckets[vm.Number][account].take(tokens, now)
}

// MaxAdmissionWait is the same as that of Kumquathitch, so that admission differs only
// in how the rates are shared.
func (staticRates) MaxAdmissionWait() time.Duration { return loanWait }

// Refund returns charged tokens that were not used.
func (s staticRates) Refund(vm VM, account string, unused float64, now time.Time) {
	b := s.buckets[vm.Number][account]
	b.refill(now)
	b.level = min(b.burst, b.level+unused)
}

// RoundRobin is a baseline with static rates, static placement and round-robin choice
// among the replicas of a model.
type RoundRobin struct {
	staticRates
	cluster *Cluster
	next    map[string]int // Counter for each model; its replicas take turns.
}

// NewRoundRobin returns the round-robin baseline.
func NewRoundRobin(cluster *Cluster) Policy {
	return &RoundRobin{staticRates: newStaticRates(cluster), cluster: cluster, next: map[string]int{}}
}

// Name returns a short name for tables.
func (p *RoundRobin) Name() string { return "round-robin" }

// Choose returns the next replica that is up and that the VM can reach.
func (p *RoundRobin) Choose(vm VM, request *trace.Event, _ time.Time) (string, bool) {
	names := replicas(p.cluster, request.Model)
	for range names {
		p.next[request.Model]++
		name := names[p.next[request.Model]%len(names)]
		if !p.cluster.IsDown(name) && p.cluster.Reachable(vm, name) {
			return name, true
		}
	}
	return "", false
}

// Done does nothing: the choice does not depend on earlier outcomes.
func (p *RoundRobin) Done(VM, *trace.Event, Outcome, time.Time) {}

// Tick does nothing: the placement is static.
func (p *RoundRobin) Tick(time.Time) {}

// replicas returns the names of the upstreams on which a model is resident, sorted.
func replicas(cluster *Cluster, model string) []string {
	var names []string
	for name := range cluster.engines {
		if cluster.Resident(name, model) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LeastLoaded is a baseline with static rates that chooses the least loaded replica
// and loads models on demand, evicting the least recently used ones.
type LeastLoaded struct {
	staticRates
	cluster  *Cluster
	lastUsed map[string]map[string]time.Time // When each model on each upstream was last used.
}

// NewLeastLoaded returns the least-loaded baseline.
func NewLeastLoaded(cluster *Cluster) Policy {
	p := &LeastLoaded{staticRates: newStaticRates(cluster), cluster: cluster, lastUsed: map[string]map[string]time.Time{}}
	for name, e := range cluster.engines {
		p.lastUsed[name] = map[string]time.Time{}
		for model := range e.resident {
			p.lastUsed[name][model] = cluster.Start
		}
	}
	return p
}

// Name returns a short name for tables.
func (p *LeastLoaded) Name() string { return "least-loaded-lru" }

// Choose returns the least loaded replica that the VM can reach. When there is none,
// or when all are full and the weight store can start a load, it loads the model on
// the least loaded upstream.
func (p *LeastLoaded) Choose(vm VM, request *trace.Event, now time.Time) (string, bool) {
	best := p.leastLoaded(vm, request.Model)
	full := best != "" && p.cluster.Load(best) >= p.cluster.engines[best].capacity()
	if best == "" || (full && p.cluster.CanStartLoad(now)) {
		best = p.leastLoaded(vm, "")
	}
	if best == "" {
		return "", false
	}
	if !p.cluster.Resident(best, request.Model) {
		p.evictFor(best, request.Model)
		p.cluster.LoadModel(best, request.Model, now)
	}
	p.lastUsed[best][request.Model] = now
	return best, true
}

// leastLoaded returns the least loaded upstream that a VM can reach and on which
// a model is resident, or the least loaded of all for an empty model. It returns ""
// when there is none.
func (p *LeastLoaded) leastLoaded(vm VM, model string) string {
	best := ""
	for name := range p.cluster.engines {
		if p.cluster.IsDown(name) || !p.cluster.Reachable(vm, name) || (model != "" && !p.cluster.Resident(name, model)) {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(p.cluster.Load(name), p.cluster.Load(best)), cmp.Compare(name, best)) < 0 {
			best = name
		}
	}
	return best
}

// Done does nothing: the choice reads the load of the upstreams directly.
func (p *LeastLoaded) Done(VM, *trace.Event, Outcome, time.Time) {}

// Tick does nothing: models are loaded on demand.
func (p *LeastLoaded) Tick(time.Time) {}

func (p *LeastLoaded) evictFor(upstream, model string) {
	free := weightBytes(p.cluster.upstreams[upstream])
	for name := range p.lastUsed[upstream] {
		free -= modelBytes(p.cluster.Config, name)
	}
	for free < modelBytes(p.cluster.Config, model) && len(p.lastUsed[upstream]) > 0 {
		victim := p.leastRecentlyUsed(upstream)
		free += modelBytes(p.cluster.Config, victim)
		delete(p.lastUsed[upstream], victim)
		p.cluster.Evict(upstream, victim)
	}
}

func (p *LeastLoaded) leastRecentlyUsed(upstream string) string {
	oldest := ""
	for name, at := range p.lastUsed[upstream] {
		if oldest == "" || cmp.Or(at.Compare(p.lastUsed[upstream][oldest]), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	return oldest
}

// weightBytes returns the accelerator memory of an upstream outside its adapter pools.
func weightBytes(u *kumquathitch.Upstream) int64 {
	var total int64
	for _, a := range u.Accelerators {
		total += a.Bytes - a.AdapterPool
	}
	return total
}

// modelBytes returns the memory that a replica needs outside the adapter pools: none
// for an adapter.
func modelBytes(config *kumquathitch.Configuration, name string) int64 {
	if m := config.Models.Find(name); m != nil {
		return m.Bytes + m.CacheReserve
	}
	return 0
}
