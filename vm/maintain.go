package vm

import (
	"context"
	"errors"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/election"
)

// Belief is what a VM knows of the fleet and the store at one moment.
type Belief struct {
	Leader            string        // Name of the leader; empty when none is known.
	Term              election.Term // Of this VM.
	Leading           bool          // Term is certain to run.
	MayOrder          bool          // Orders may be sent in the term.
	DeploymentVersion uint64        // 0 before there is a configuration.
	Members           []kumquathitch.Member
	Instances         kumquathitch.Instances
}

// Belief returns what this VM knows now.
func (v *VM) Belief() Belief {
	b := Belief{DeploymentVersion: v.deployments.Version(), Members: v.watcher.memberList(), Instances: v.fleet.Instances()}
	if leader, known := v.candidate.Leader(); known {
		b.Leader = leader.Name
	}
	b.Term, b.Leading = v.candidate.CurrentTerm()
	_, b.MayOrder = v.candidate.ActiveTerm()
	return b
}

// FollowFleet keeps this VM a member, follows the store, campaigns and exchanges state with the
// leader until ctx ends, without listeners and without orders to engines. It returns what the
// loops have failed with.
func (v *VM) FollowFleet(ctx context.Context) error {
	var failed []error
	for _, end := range v.followFleet(ctx, ctx) {
		failed = append(failed, <-end)
	}
	return errors.Join(failed...)
}

// followFleet starts the loops of FollowFleet. Membership and campaigns end with leading.
func (v *VM) followFleet(leading, background context.Context) []<-chan error {
	return []<-chan error{
		v.candidate.Run(leading),
		v.watcher.run(background),
		v.runEvery(background, housekeepingInterval, v.keepHouse),
		v.runExchanges(background),
		v.runFirstQuestion(background),
	}
}

// HandleExchange answers an exchange of another VM.
func (v *VM) HandleExchange(ctx context.Context, request kumquathitch.ExchangeRequest) (kumquathitch.ExchangeResponse, error) {
	return v.handleExchange(ctx, request)
}

// TakeTokens takes tokens of an account without waiting, and reports whether they were available.
func (v *VM) TakeTokens(ctx context.Context, account string, tokens float64) bool {
	snapshot := v.deployments.Snapshot()
	if snapshot == nil {
		return false
	}
	for i := range snapshot.Deployment.Tenants {
		if tenant := &snapshot.Deployment.Tenants[i]; tenant.Name == account {
			return v.rateLimiter.Take(ctx, tenant, tokens, time.Now()) == nil
		}
	}
	return false
}
