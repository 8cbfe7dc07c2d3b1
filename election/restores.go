package election

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

// LastLeader is the record of the last leader. It outlives the leader's lease.
type LastLeader struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch,omitempty"` // Epoch of the store in which the term began.
}

// decodeLastLeader returns the record of the last leader, without a name when there is none. An older
// program has written the name alone.
func decodeLastLeader(item kumquathitch.KeyItem) LastLeader {
	var last LastLeader
	if item.Revision != 0 && json.Unmarshal(item.Value, &last) != nil {
		return LastLeader{Name: string(item.Value)}
	}
	return last
}

func epochOf(revision uint64) uint64 {
	epoch, _ := kumquathitch.SplitRevision(revision)
	return epoch
}

func leaseEpoch(lease kumquathitch.Lease) uint64 {
	epoch, _ := kumquathitch.SplitLease(lease.ID)
	return epoch
}

// restores is what a candidate knows of restores of the store from an older copy. The copy knows nothing
// of a lease that was granted or renewed after it, while the leader still counts on that lease.
type restores struct {
	known      bool // An epoch was observed.
	epoch      uint64
	since      time.Time // When the epoch was first observed.
	inLifetime bool      // This process has observed an earlier epoch.
	ledBefore  bool      // This process has observed a leader.
}

// observe records an epoch, and reports whether the store was restored since the last one.
func (r *restores) observe(epoch uint64, now time.Time) bool {
	if r.known && epoch <= r.epoch {
		return false
	}
	restored := r.known
	r.inLifetime = r.inLifetime || restored
	r.known, r.epoch, r.since = true, epoch, now
	return restored
}

// earlierLeasesEnd returns the time by which all leases that an earlier epoch confirmed have ended, and
// the zero time if there was no earlier epoch as far as the last leader's record and this process know.
func (r *restores) earlierLeasesEnd(last LastLeader, hasLast bool, longest time.Duration) time.Time {
	if r.inLifetime || (hasLast && last.Epoch < r.epoch) {
		return r.since.Add(longest)
	}
	return time.Time{}
}

// ObserveEpoch records an epoch of the store.
func (c *Candidate) ObserveEpoch(epoch uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.observeEpoch(epoch)
}

// observeEpoch is ObserveEpoch for a caller that holds the lock. After a restore the strongest
// members campaign first, too.
func (c *Candidate) observeEpoch(epoch uint64) {
	if c.restores.observe(epoch, c.clock.Now()) {
		c.campaignAt = c.campaignFrom().Add(c.campaignDelay())
	}
}

// campaignFrom returns the earliest time of a campaign, before the delays by which candidates differ. The
// caller holds the lock.
func (c *Candidate) campaignFrom() time.Time {
	from, now := c.restores.earlierLeasesEnd(LastLeader{}, false, c.timing.LeaseTTL), c.clock.Now()
	if from.Before(now) {
		return now
	}
	return from
}

// postpone puts a campaign off while a lease of an earlier epoch may run, and reports whether it did.
func (c *Candidate) postpone(last LastLeader, hasLast bool, lease kumquathitch.Lease) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	c.observeEpoch(leaseEpoch(lease))
	until := c.restores.earlierLeasesEnd(last, hasLast, max(c.timing.LeaseTTL, lease.TTL))
	if !now.Before(until) {
		return false
	}
	c.campaignAt = until.Add(c.campaignDelay())
	c.log.Info("campaign postponed after a restore of the store", zap.Uint64("epoch", c.restores.epoch), zap.Uint64("last-epoch", last.Epoch), zap.Time("until", c.campaignAt))
	return true
}

// dropForeignRecord removes a leader's record that this process wrote and that is bound to a lease which is
// not its own: the write took effect after a restore, when the number of its lease was another one's.
// Nobody leads by such a record, and it stays as long as that lease.
func (c *Candidate) dropForeignRecord(ctx context.Context, own []byte) {
	c.mutex.Lock()
	record := c.leaderRecord
	foreign := c.term == nil && record.Lease != 0 && record.Lease != c.termLease.ID && bytes.Equal(record.Value, own)
	c.mutex.Unlock()
	if !foreign {
		return
	}
	write := kumquathitch.KeyWrite{Expect: []kumquathitch.KeyItem{{Key: leaderKey, Revision: record.Revision}}, Remove: []string{leaderKey}}
	_, err := c.store.Write(ctx, write)
	c.log.Info("record under another lease removed", zap.Uint64("revision", record.Revision), zap.Uint64("lease", record.Lease), zap.Error(err))
}
