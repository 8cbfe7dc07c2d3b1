package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/rate"
	"kumquathitch.example/kumquathitch/route"
	"kumquathitch.example/kumquathitch/trace"
	"kumquathitch.example/kumquathitch/upstream"
)

// rateSettings are the daemon's defaults.
var rateSettings = rate.Settings{
	ClockError: time.Second, ClockDrift: 0.001,
	SlotLease: 30 * time.Second, FloorLease: 24 * time.Hour, LoanTerm: 5 * time.Second,
}

const (
	// renewInterval is the time between two renewals of the slot leases.
	renewInterval = 10 * time.Second
	// reportInterval is the time between two load reports of an engine.
	reportInterval = 500 * time.Millisecond
	// randomSeed is fixed, so that equal inputs give equal results.
	randomSeed = 1
)

// Kumquathitch is the policy of this system. It runs the code of packages rate, route
// and upstream, with rate slots and loans. The placement is that of the
// configuration and does not change.
type Kumquathitch struct {
	cluster      *Cluster
	vms          []*entryVM
	choices      map[*trace.Event]kumquathitch.UpstreamChoice
	excluded     map[*trace.Event][]string
	loanRequests int // Requests for loans sent so far.
	renewAt      time.Time
	reportAt     time.Time
	sequence     uint64
}

// entryVM is the state of one simulated VM.
type entryVM struct {
	vm            VM
	self          rate.Holder
	clock         *clock.Manual
	buckets       *rate.Buckets
	fleet         *upstream.Fleet
	table         *route.Table
	leaseDeadline time.Time // Deadline of the leased slot parts.
}

// NewKumquathitch returns the policy of this system.
func NewKumquathitch(cluster *Cluster) Policy {
	p := &Kumquathitch{
		cluster: cluster, choices: map[*trace.Event]kumquathitch.UpstreamChoice{}, excluded: map[*trace.Event][]string{},
		renewAt: cluster.Start, reportAt: cluster.Start,
	}
	random := rand.New(rand.NewPCG(randomSeed, 0)) //nolint:gosec // Repeatable on purpose.
	config := *cluster.Config
	config.Generation = 1
	for _, vm := range cluster.VMs {
		v := &entryVM{
			vm: vm, self: rate.Holder{Name: fmt.Sprintf("entry-%d", vm.Number), Incarnation: 1},
			clock: clock.NewManual(cluster.Start), buckets: rate.NewBuckets(rateSettings), fleet: upstream.NewFleet(),
		}
		v.table = route.NewTable(v.fleet, v.clock, vm.DataCentre)
		v.table.IntN = random.IntN
		v.buckets.Apply(config, cluster.Start)
		v.fleet.Apply(config)
		v.table.Apply(config)
		p.vms = append(p.vms, v)
	}
	return p
}

// Name returns a short name for tables.
func (p *Kumquathitch) Name() string { return "kumquathitch" }

// advance sets the clock of a VM to now and returns the VM.
func (p *Kumquathitch) advance(vm VM, now time.Time) *entryVM {
	v := p.vms[vm.Number]
	v.clock.Advance(now.Sub(v.clock.Now()))
	return v
}

// loanWait is the time for which the daemon lets a request wait for tokens.
const loanWait = 200 * time.Millisecond

// MaxAdmissionWait returns the longest time that a request may wait for tokens.
func (p *Kumquathitch) MaxAdmissionWait() time.Duration { return loanWait }

// Admit charges the VM's buckets. When they hold too few tokens, it requests loans from
// all reachable VMs and charges once more.
func (p *Kumquathitch) Admit(vm VM, account string, tokens float64, retry bool, now time.Time) bool {
	v := p.advance(vm, now)
	charge := v.buckets.Charge
	if retry {
		charge = v.buckets.RetryCharge // The first attempt has counted the demand.
	}
	short, ok := charge(account, tokens, now)
	if ok {
		return true
	}
	if lenders := p.reachable(v); lenders > 0 {
		loan := v.buckets.LoanRequest(account, short, now).Split(lenders)
		p.borrow(v, rate.BorrowRequest{Loans: []rate.LoanRequest{loan}}, "", now)
	}
	_, ok = v.buckets.RetryCharge(account, tokens, now)
	return ok
}

// reachable returns the number of other VMs with which a VM can exchange messages.
func (p *Kumquathitch) reachable(v *entryVM) int {
	n := 0
	for _, other := range p.vms {
		if other != v && p.cluster.Connected(v.vm, other.vm) {
			n++
		}
	}
	return n
}

// borrow sends a request to one lender, or to all other VMs for an empty name.
// Messages take no time, and do not reach VMs that are not connected.
func (p *Kumquathitch) borrow(v *entryVM, request rate.BorrowRequest, lender string, now time.Time) {
	for _, other := range p.vms {
		if other == v || !p.cluster.Connected(v.vm, other.vm) || (lender != "" && other.self.Name != lender) {
			continue
		}
		p.loanRequests++
		request.ID, request.Borrower = fmt.Sprintf("%s/%d", v.self.Name, p.loanRequests), v.self
		v.buckets.Accept(other.buckets.Lend(request, other.self, now), v.self, now)
	}
}

// Refund returns charged tokens that were not used.
func (p *Kumquathitch) Refund(vm VM, account string, unused float64, now time.Time) {
	p.advance(vm, now).buckets.Refund(account, unused, now, now)
}

// Choose picks an upstream from the VM's routing table.
func (p *Kumquathitch) Choose(vm VM, request *trace.Event, now time.Time) (string, bool) {
	v := p.advance(vm, now)
	choice, err := v.table.Pick(kumquathitch.UpstreamCriteria{
		Account: request.Account, Model: request.Model, Class: "interactive", PrefixHash: request.Prefix,
		Tokens: request.PromptTokens + request.OutputTokens, Exclude: p.excluded[request],
		FirstByteDeadline: now.Add(FirstTokenTarget), Deadline: now.Add(2 * time.Minute),
	})
	if err != nil {
		delete(p.excluded, request)
		return "", false
	}
	p.choices[request] = choice
	return choice.Upstream.Name, true
}

// Done reports the outcome to the routing table, and excludes an upstream that was lost
// from further choices for the request.
func (p *Kumquathitch) Done(vm VM, request *trace.Event, outcome Outcome, now time.Time) {
	v := p.advance(vm, now)
	result := kumquathitch.UpstreamResult{
		Tokens: request.PromptTokens + request.OutputTokens, FirstByte: outcome.FirstToken, Stream: !outcome.UpstreamLost, Failed: outcome.UpstreamLost, Crashed: outcome.UpstreamLost,
	}
	v.table.Done(p.choices[request], result)
	delete(p.choices, request)
	if outcome.UpstreamLost {
		p.excluded[request] = append(p.excluded[request], outcome.Upstream)
		return
	}
	delete(p.excluded, request)
}

// Tick renews slot leases, extends loans and delivers load reports.
func (p *Kumquathitch) Tick(now time.Time) {
	if !now.Before(p.renewAt) {
		p.renewAt = now.Add(renewInterval)
		p.renew(now)
	}
	for _, v := range p.vms {
		p.advance(v.vm, now)
		for _, loan := range v.buckets.DueExtensions(now) {
			p.borrow(v, rate.BorrowRequest{Extensions: []rate.Extension{{Loan: loan.ID, Account: loan.Account}}}, loan.Lender.Name, now)
		}
	}
	if !now.Before(p.reportAt) {
		p.reportAt = now.Add(reportInterval)
		p.report(now)
	}
}

// renew renews the leased slot parts of the VMs that reach the platform. A VM in
// a data centre without connection keeps only its floor parts once its lease ends.
func (p *Kumquathitch) renew(now time.Time) {
	share := 1 / float64(len(p.vms))
	floor := p.cluster.Config.FloorShare
	for _, v := range p.vms {
		if !p.cluster.partitioned[v.vm.DataCentre] {
			v.leaseDeadline = now.Add(rateSettings.SlotLease - rateSettings.ClockError)
		}
		v.buckets.SetShares([]rate.Share{
			{Fraction: share * floor, Deadline: p.cluster.Start.Add(rateSettings.FloorLease)},
			{Fraction: share * (1 - floor), Deadline: v.leaseDeadline},
		}, now)
	}
}

// report delivers the load reports of the engines to the VMs that can reach them.
func (p *Kumquathitch) report(now time.Time) {
	p.sequence++
	for name, e := range p.cluster.engines {
		if e.down {
			continue
		}
		report := kumquathitch.LoadReport{Sequence: p.sequence, TakenAt: now, Running: e.running, Queued: len(e.queue), Slots: e.capacity()}
		for model := range e.resident {
			report.Resident = append(report.Resident, model)
		}
		slices.Sort(report.Resident)
		for _, v := range p.vms {
			if p.cluster.Reachable(v.vm, name) {
				p.advance(v.vm, now).fleet.ApplyReport(name, report, now)
			}
		}
	}
}
