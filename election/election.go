// Package election registers this VM as a member in the platform's store and
// elects one leader among the entry VMs, for work that only one VM may do at a time.
//
// # Usage
//
//	timing := election.Timing{LeaseTTL: 1500 * time.Millisecond, HandoverDelay: 3 * time.Second}
//	c := election.NewCandidate(keyspace, clock, member, timing, log)
//	end := c.Run(ctx)                // Gets a value when Run has ended, after ctx is cancelled.
//	c.ObserveLeader(item)            // For each change of the leader's record, from a watch.
//	c.ObserveMembers(members)        // For each change of the list of members.
//	if t, ok := c.ActiveTerm(); ok { // Check before each action that only the leader may take.
//		order.Fence = t.Fence
//	}
//
// The VM's member record is bound to a lease, and the leader's record to a shorter one
// that only the leader renews: a lost leader must be replaced soon, while hundreds of
// members must not renew their leases often. The revision at which the leader's record
// was written is the fencing token of the term; it rises with each term. A term counts as held only while
// the lease is certain to run. Its end is determined with a clock that also
// advances while the VM is suspended.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/random"
)

// Keys and prefixes of keys in the store.
const (
	Prefix        = "kumquathitch/"
	MemberPrefix  = Prefix + "members/"
	leaderKey     = Prefix + "leader"
	lastLeaderKey = Prefix + "last-leader" // Not bound to a lease; has the LastLeader after its lease has ended.
)

const (
	// renewalsPerLease is the number of renewals within the TTL of a lease, so that
	// two in a row may fail.
	renewalsPerLease = 3
	// leaseMargin is the time before the end of a lease from which the term counts
	// as over: an order is in transit for some milliseconds after the check.
	leaseMargin = 250 * time.Millisecond
	// campaignStep is the delay between the campaigns of two candidates, so that
	// the first one usually wins before the others call the store. The random part of
	// the delay is less than campaignStep for the first favourites candidates.
	campaignStep = 60 * time.Millisecond
	favourites   = 5
	// The random part of the delay of all others grows by campaignSpread for each
	// member, up to maxCampaignSpread: hundreds of candidates must not call the store
	// at the same moment.
	campaignSpread    = 8 * time.Millisecond
	maxCampaignSpread = 1500 * time.Millisecond
	// weakCampaignDelay is added for a VM with less than weakFraction of the capacity
	// of the strongest member, so that the stronger ones campaign first also when
	// they notice the loss of the leader later. With 195 VMs, a leader with a quarter
	// of the capacity could not answer the others in time.
	weakCampaignDelay = time.Second
	weakFraction      = 0.5
	// minTermBeforeHandover is the time after which a weak leader gives up its term to
	// a stronger member, and minHandoverInterval the least time between two such
	// decisions of a VM, in case no stronger one takes over.
	minTermBeforeHandover = 2 * time.Second
	minHandoverInterval   = 30 * time.Second
	// storeRetryDelay is the delay before the VM registers again after its lease was
	// lost or a call to the store failed.
	storeRetryDelay = 300 * time.Millisecond
)

// errRecordLost reports that the member's record is gone while its lease runs: the write of an
// earlier registration, of this process or the one before, took effect late, and the record ended
// with that registration's lease.
var errRecordLost = errors.New("the store does not list this member")

// Term is a period of leadership of this VM.
type Term struct {
	Fence         uint64    // Fencing token for orders.
	OrdersFrom    time.Time // No orders may be sent before.
	LeaseDeadline time.Time // End of the lease, by its last renewal.
	IsFirst       bool      // No VM has led before.
}

// Timing sets the TTLs of the leases, and how long a new leader waits before it
// sends orders when another VM led before.
type Timing struct {
	LeaseTTL      time.Duration // Of the leader's record.
	MemberTTL     time.Duration // Of the member records; at least LeaseTTL.
	HandoverDelay time.Duration
	Random        kumquathitch.Random // Spreads campaigns; nil for the source of the process.
}

// Candidate registers this VM as a member and campaigns for leadership. It is
// safe for concurrent use.
type Candidate struct {
	store      kumquathitch.Keyspace
	clock      kumquathitch.Clock
	member     kumquathitch.Member
	timing     Timing
	log        *zap.Logger
	leaderLost chan struct{} // Gets a value when the leader's record is removed.

	mutex        sync.Mutex
	leaderRecord kumquathitch.KeyItem // Revision 0 when there is none.
	observed     bool                 // leaderRecord has been observed at least once.
	unlisted     bool                 // The list of members observed last is without this VM.
	preferred    int                  // Number of members that campaign before this one.
	members      int                  // Number of members.
	strongest    float64              // Highest capacity of a member.
	campaignAt   time.Time            // When this VM campaigns, while there is no leader.
	term         *Term                // Nil when this VM does not lead.
	termLease    kumquathitch.Lease   // Lease of the leader's record that this VM wrote last.
	termStarted  time.Time
	handedOver   time.Time // When this VM last gave up a term to a stronger member.
	restores     restores
}

// NewCandidate returns a candidate that is not registered until Run is called.
func NewCandidate(store kumquathitch.Keyspace, clock kumquathitch.Clock, member kumquathitch.Member, timing Timing, log *zap.Logger) *Candidate {
	if timing.Random == nil {
		timing.Random = random.Global{}
	}
	return &Candidate{store: store, clock: clock, member: member, timing: timing, log: log, leaderLost: make(chan struct{}, 1)}
}

// ObserveLeader records a change of the leader's record; Revision 0 states that it
// was removed.
func (c *Candidate) ObserveLeader(leader kumquathitch.KeyItem) {
	c.mutex.Lock()
	if leader.Revision != 0 {
		c.observeEpoch(epochOf(leader.Revision))
	}
	own := c.termLease.ID != 0 && leader.Lease == c.termLease.ID // The response to its write may be late.
	c.restores.ledBefore = c.restores.ledBefore || (leader.Revision != 0 && !own)
	lost := leader.Revision == 0 && (c.leaderRecord.Revision != 0 || !c.observed)
	if lost {
		c.campaignAt = c.campaignFrom().Add(c.campaignDelay())
	}
	c.leaderRecord, c.observed = leader, true
	c.mutex.Unlock()
	if lost {
		select {
		case c.leaderLost <- struct{}{}:
		default:
		}
	}
}

// IsLeaderKey reports whether a key is that of the leader's record.
func IsLeaderKey(key string) bool {
	return key == leaderKey
}

// Leader returns the leader by the record observed last, and false when there is none.
func (c *Candidate) Leader() (kumquathitch.Member, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var m kumquathitch.Member
	if c.leaderRecord.Revision == 0 || json.Unmarshal(c.leaderRecord.Value, &m) != nil {
		return kumquathitch.Member{}, false
	}
	return m, true
}

// ActiveTerm returns the term of this VM while it is certain to be the leader and
// may send orders.
func (c *Candidate) ActiveTerm() (Term, bool) {
	t, ok := c.CurrentTerm()
	return t, ok && !c.clock.Now().Before(t.OrdersFrom)
}

// CurrentTerm returns the term of this VM while it is certain to be the leader, also
// before it may send orders.
func (c *Candidate) CurrentTerm() (Term, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.term == nil || !c.clock.Now().Add(leaseMargin).Before(c.term.LeaseDeadline) {
		return Term{}, false
	}
	return *c.term, true
}

// Run keeps this VM registered and campaigns while there is no leader, until ctx
// ends. The returned channel then gets one value, nil.
func (c *Candidate) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if err := c.holdLease(ctx); err != nil && ctx.Err() == nil {
				c.log.Warn("member lease lost", zap.Error(err))
				clock.Pause(ctx, storeRetryDelay)
			}
		}
		end <- nil
	}()
	return end
}

// holdLease registers the member under a new lease, and renews the lease until it
// is lost or ctx ends.
func (c *Candidate) holdLease(ctx context.Context) error {
	lease, err := c.store.Grant(ctx, max(c.timing.MemberTTL, c.timing.LeaseTTL))
	if err != nil {
		return err
	}
	lease.Deadline = c.clock.Now().Add(lease.TTL).Add(-leaseMargin)
	record, err := json.Marshal(c.member)
	if err != nil {
		return eris.Wrap(err, "Candidate.holdLease")
	}
	own := kumquathitch.KeyItem{Key: MemberPrefix + c.member.Name, Value: record, Lease: lease.ID}
	if _, err := c.store.Write(ctx, kumquathitch.KeyWrite{Set: []kumquathitch.KeyItem{own}}); err != nil {
		return err
	}
	c.ObserveEpoch(leaseEpoch(lease))
	c.log.Info("member registered", zap.Uint64("lease", lease.ID), zap.Duration("ttl", lease.TTL))
	return c.renew(ctx, lease, record)
}

// renew renews the lease of the member and that of the leader's record, and campaigns
// while there is no leader. It returns an error when the member's lease has ended or its
// record is gone, and nil when ctx has ended. A term goes on while the member registers again.
func (c *Candidate) renew(ctx context.Context, lease kumquathitch.Lease, record []byte) error {
	renewal := time.NewTicker(lease.TTL / renewalsPerLease)
	defer renewal.Stop()
	termRenewal := time.NewTicker(c.timing.LeaseTTL / renewalsPerLease)
	defer termRenewal.Stop()
	campaign := time.NewTimer(c.untilCampaign())
	defer campaign.Stop()
	listedFrom := c.clock.Now().Add(c.timing.MemberTTL)
	for {
		select {
		case <-ctx.Done():
			c.endTerm("shutting down")
			c.releaseLease(c.forgetTermLease())
			c.releaseLease(lease)
			return nil
		case <-c.leaderLost:
			campaign.Reset(c.untilCampaign())
		case <-campaign.C:
			c.campaign(ctx, record)
		case <-termRenewal.C:
			c.renewTerm(ctx)
			c.dropForeignRecord(ctx, record)
			if c.isLeaderless() { // An earlier campaign failed.
				campaign.Reset(c.untilCampaign())
			}
		case <-renewal.C:
			sent := c.clock.Now()
			if sent.After(listedFrom) && c.isUnlisted() {
				return errRecordLost
			}
			_, err := c.store.Renew(ctx, lease)
			var ended *kumquathitch.LeaseEndedError
			if errors.As(err, &ended) {
				return err
			}
			if err != nil {
				c.log.Warn("lease not renewed", zap.Error(err), zap.Time("ends", lease.Deadline))
				continue
			}
			lease.Deadline = sent.Add(lease.TTL)
		}
	}
}

// isUnlisted reports whether the list of members observed last is without this VM.
func (c *Candidate) isUnlisted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unlisted
}

// untilCampaign returns the time until this candidate campaigns.
func (c *Candidate) untilCampaign() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.campaignAt.Sub(c.clock.Now()))
}

// ObserveMembers records the members that the store lists.
func (c *Candidate) ObserveMembers(members []kumquathitch.Member) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.preferred, c.members, c.strongest, c.unlisted = 0, len(members), 0, true
	for _, m := range members {
		c.unlisted = c.unlisted && m.Name != c.member.Name
		c.strongest = max(c.strongest, m.Capacity)
		if m.Capacity > c.member.Capacity || (m.Capacity == c.member.Capacity && m.Started.After(c.member.Started)) {
			c.preferred++
		}
	}
}

// IsFavourite reports whether this VM is among the first to campaign when the leader
// is lost. Such a VM should notice the loss quickly.
func (c *Candidate) IsFavourite() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.preferred < favourites
}

// campaignDelay returns how long this candidate waits before it campaigns. VMs
// campaign by descending capacity, since the leader serves requests of all others.
// Of VMs with equal capacity the youngest is first: in a rolling restart it is the last
// to be stopped. The caller holds the lock.
func (c *Candidate) campaignDelay() time.Duration {
	spread := campaignStep
	if c.preferred >= favourites {
		spread = min(maxCampaignSpread, max(campaignStep, time.Duration(c.members)*campaignSpread))
	}
	delay := time.Duration(min(c.preferred, favourites))*campaignStep + time.Duration(c.timing.Random.Int64N(int64(spread)))
	if c.isWeak() {
		delay += weakCampaignDelay
	}
	return delay
}

// isWeak reports whether another member has much more capacity. The caller holds the lock.
func (c *Candidate) isWeak() bool {
	return c.member.Capacity < weakFraction*c.strongest
}

// releaseLease ends the lease at shutdown, so that another VM can lead at once.
func (c *Candidate) releaseLease(lease kumquathitch.Lease) {
	if lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := c.store.Release(ctx, lease); err != nil {
		c.log.Warn("cannot release the lease", zap.Error(err))
	}
}

func (c *Candidate) isLeaderless() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.observed && c.leaderRecord.Revision == 0 && c.term == nil
}

// campaign writes the leader's record unless there is one.
func (c *Candidate) campaign(ctx context.Context, record []byte) {
	if !c.isLeaderless() {
		return
	}
	last, err := c.store.Read(ctx, lastLeaderKey)
	if err != nil {
		c.log.Warn("cannot read the last leader; no election now", zap.Error(err))
		return
	}
	lease, err := c.termLeaseForCampaign(ctx)
	if err != nil {
		c.log.Warn("no lease for the leader's record; no election now", zap.Error(err))
		return
	}
	previous := decodeLastLeader(last)
	if c.postpone(previous, last.Revision != 0, lease) {
		return
	}
	own, err := json.Marshal(LastLeader{Name: c.member.Name, Epoch: leaseEpoch(lease)})
	if err != nil {
		c.log.Error("cannot encode the last leader", zap.Error(err))
		return
	}
	fence, err := c.store.Write(ctx, kumquathitch.KeyWrite{
		Expect: []kumquathitch.KeyItem{{Key: leaderKey}, {Key: lastLeaderKey, Revision: last.Revision}},
		Set: []kumquathitch.KeyItem{
			{Key: leaderKey, Value: record, Lease: lease.ID},
			{Key: lastLeaderKey, Value: own},
		},
	})
	var ended *kumquathitch.LeaseEndedError
	if errors.As(err, &ended) {
		c.forgetTermLease()
	}
	var failed *kumquathitch.StoreError
	if errors.As(err, &failed) && failed.Unknown {
		fence, err = c.confirmCampaign(ctx, lease)
	}
	if err != nil {
		c.log.Info("election lost", zap.Error(err))
		c.observeWinner(err)
		return
	}
	c.startTerm(kumquathitch.KeyItem{Key: leaderKey, Value: record, Revision: fence, Lease: lease.ID}, previous, last.Revision != 0, lease.Deadline)
}

// observeWinner records the leader that a lost campaign ran into, which this VM's watch
// may show only later.
func (c *Candidate) observeWinner(err error) {
	var conflict *kumquathitch.ConflictError
	if !errors.As(err, &conflict) || conflict.Key != leaderKey || conflict.Current.Version == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaderRecord.Revision < conflict.Current.Version {
		c.leaderRecord = kumquathitch.KeyItem{Key: leaderKey, Value: conflict.Current.Value, Revision: conflict.Current.Version}
	}
}

// confirmCampaign reads back the leader's record after the response to its write was
// lost, and returns its revision. It returns a *ConflictError when the record is
// not from this VM's lease. A write that takes effect only after this read is
// left to adoptRecord.
func (c *Candidate) confirmCampaign(ctx context.Context, lease kumquathitch.Lease) (uint64, error) {
	leader, err := c.store.Read(ctx, leaderKey)
	if err != nil {
		return 0, err
	}
	if leader.Lease != lease.ID || leader.Revision == 0 {
		return 0, &kumquathitch.ConflictError{Key: leaderKey}
	}
	return leader.Revision, nil
}
