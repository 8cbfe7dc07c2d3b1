package election

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

// renewTerm renews the lease of the leader's record, while this VM may lead by it.
func (c *Candidate) renewTerm(ctx context.Context) {
	c.mutex.Lock()
	lease := c.termLease
	c.mutex.Unlock()
	if lease.ID == 0 {
		return
	}
	sent := c.clock.Now()
	_, err := c.store.Renew(ctx, lease)
	var ended *kumquathitch.LeaseEndedError
	switch {
	case errors.As(err, &ended):
		c.endTerm("lease lost")
		c.forgetTermLease()
		return
	case err != nil:
		c.log.Warn("lease not renewed", zap.Error(err), zap.Time("ends", lease.Deadline))
		return
	}
	c.mutex.Lock()
	c.termLease.Deadline = sent.Add(lease.TTL)
	if c.term != nil {
		c.term.LeaseDeadline = c.termLease.Deadline
	}
	lost := c.term == nil && c.leaderRecord.Revision != 0 && c.leaderRecord.Lease != lease.ID
	c.mutex.Unlock()
	if lost { // Another VM leads, so the lease holds no record.
		c.releaseLease(c.forgetTermLease())
		return
	}
	c.adoptRecord()
	c.handOver(ctx)
}

// forgetTermLease returns the lease of the leader's record, which is no longer renewed.
func (c *Candidate) forgetTermLease() kumquathitch.Lease {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lease := c.termLease
	c.termLease = kumquathitch.Lease{}
	return lease
}

// handOver ends the term of a leader that is much weaker than another member, which
// then campaigns first.
func (c *Candidate) handOver(ctx context.Context) {
	c.mutex.Lock()
	now, record := c.clock.Now(), c.leaderRecord
	due := c.term != nil && c.isWeak() && now.Sub(c.termStarted) >= minTermBeforeHandover && now.Sub(c.handedOver) >= minHandoverInterval
	if due {
		c.handedOver = now
	}
	c.mutex.Unlock()
	if !due {
		return
	}
	// The term ends before the record is removed, so that no two VMs lead at once.
	c.endTerm("a member with more capacity is available")
	write := kumquathitch.KeyWrite{Expect: []kumquathitch.KeyItem{{Key: leaderKey, Revision: record.Revision}}, Remove: []string{leaderKey}}
	if _, err := c.store.Write(ctx, write); err != nil {
		c.log.Warn("cannot hand over leadership; the record ends with the lease", zap.Error(err))
	}
	c.forgetTermLease()
}

// termLeaseForCampaign returns the lease for the leader's record. A lease that was
// granted for an earlier campaign is used again while it is certain to run.
func (c *Candidate) termLeaseForCampaign(ctx context.Context) (kumquathitch.Lease, error) {
	c.mutex.Lock()
	lease := c.termLease
	c.mutex.Unlock()
	sent := c.clock.Now()
	if lease.ID != 0 && sent.Add(leaseMargin).Before(lease.Deadline) {
		return lease, nil
	}
	lease, err := c.store.Grant(ctx, c.timing.LeaseTTL)
	if err != nil {
		return lease, err
	}
	lease.Deadline = sent.Add(lease.TTL)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.termLease = lease
	return lease, nil
}

// adoptRecord starts the term of an observed leader's record that this VM wrote
// without getting a response.
func (c *Candidate) adoptRecord() {
	c.mutex.Lock()
	leader, lease := c.leaderRecord, c.termLease
	unconfirmed := c.term == nil && leader.Revision != 0 && lease.ID != 0 && leader.Lease == lease.ID
	c.mutex.Unlock()
	if unconfirmed {
		c.startTerm(leader, LastLeader{Epoch: epochOf(leader.Revision)}, true, lease.Deadline)
	}
}

// startTerm starts a term. After a term of another VM, orders are held back for the
// HandoverDelay, since an order of that VM may still be in transit. After a restore of the store
// the last term may have been of any VM.
func (c *Candidate) startTerm(record kumquathitch.KeyItem, last LastLeader, hasLast bool, ends time.Time) {
	now := c.clock.Now()
	c.mutex.Lock()
	first := !hasLast && !c.restores.ledBefore
	t := Term{Fence: record.Revision, OrdersFrom: now, LeaseDeadline: ends, IsFirst: first}
	if !first && last != (LastLeader{Name: c.member.Name, Epoch: epochOf(record.Revision)}) {
		t.OrdersFrom = now.Add(c.timing.HandoverDelay)
	}
	if c.leaderRecord.Lease != record.Lease { // Otherwise the record was observed, and has the revision of its key.
		c.leaderRecord = record
	}
	c.term, c.termStarted = &t, now
	c.restores.ledBefore = true
	c.mutex.Unlock()
	c.log.Info("leading", zap.Uint64("fence", t.Fence), zap.Time("orders-from", t.OrdersFrom), zap.String("last-leader", last.Name), zap.Uint64("last-epoch", last.Epoch))
}

func (c *Candidate) endTerm(reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.term != nil {
		c.log.Info("no longer leading", zap.Uint64("fence", c.term.Fence), zap.String("reason", reason))
	}
	c.term = nil
}
