package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/quota"
)

const (
	// exchangeInterval is the interval of full exchanges with the leader. Beyond
	// smallFleet members it grows by exchangeSpacing for each: at 301 VMs the leader spent
	// a third of its processor on these exchanges, and calls were refused as their tokens
	// came too late.
	exchangeInterval = 500 * time.Millisecond
	exchangeSpacing  = 1250 * time.Microsecond
	smallFleet       = 96
	// schedulerExchangeInterval is the same for the VM that is the scheduler.
	schedulerExchangeInterval = 150 * time.Millisecond
	// urgentInterval is the least time between exchanges while calls wait for tokens, and
	// drawSpacing that time for each VM. At 195 VMs and 10 ms the issuer spent more than
	// its processor had on such exchanges.
	urgentInterval = 10 * time.Millisecond
	drawSpacing    = 200 * time.Microsecond
	// exchangeTimeout bounds one exchange. A peer answers within milliseconds.
	exchangeTimeout = 600 * time.Millisecond
	// adapterTimeout bounds a request to the leader for an adapter. The leader answers
	// after it has sent the order to load it.
	adapterTimeout = 1500 * time.Millisecond
)

// Methods of calls between entry VMs.
const (
	methodExchange = "vm.exchange"
	methodAdapter  = "placement.adapter"
	methodPing     = "vm.ping"
)

// leadership holds the token issuer for the term in which this VM leads, and the
// leader's address as reported by other VMs.
type leadership struct {
	mutex  sync.Mutex
	issuer *quota.Issuer // Nil when this VM does not lead.
	fence  uint64        // Fencing token of the term that the issuer is for.
	hint   string        // Address of the leader, from the last response of another VM.
}

func (l *leadership) leaderHint() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.hint
}

func (l *leadership) setHint(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hint = address
}

// runExchanges exchanges messages with the leader until ctx ends, at an interval and,
// to draw tokens only, as soon as calls wait for them. A random offset spreads
// the exchanges of VMs that start together.
func (v *VM) runExchanges(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		v.guarded("vm.exchange", func() { v.exchange(ctx, false) })
		next, nextDraw := time.Now().Add(time.Duration(v.random.Int64N(int64(exchangeInterval)))), time.Now()
		for ctx.Err() == nil {
			if v.awaitExchange(ctx, next, nextDraw) {
				v.guarded("vm.exchange", func() { v.exchange(ctx, true) })
				nextDraw = time.Now().Add(v.drawInterval())
			} else if now := time.Now(); !now.Before(next) {
				next = now.Add(v.exchangeInterval())
				v.guarded("vm.exchange", func() { v.exchange(ctx, false) })
				if soonest := time.Now().Add(urgentInterval); next.Before(soonest) {
					next = soonest
				}
			}
		}
		end <- nil
	}()
	return end
}

// awaitExchange waits for the time of the next full exchange, or until ctx ends. From
// nextDraw on, it returns true as soon as calls wait for tokens. A full exchange does not put
// the next draw off: calls wait for tokens for some tens of milliseconds only.
func (v *VM) awaitExchange(ctx context.Context, next, nextDraw time.Time) bool {
	needed, until := v.rateLimiter.ExchangeNeeded(), next
	if now := time.Now(); now.Before(nextDraw) {
		needed = nil
		if nextDraw.Before(next) {
			until = nextDraw
		}
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-needed:
		return true
	}
}

// exchangeInterval returns the interval of full exchanges. The scheduler must know
// changes of engines earlier than the other VMs.
func (v *VM) exchangeInterval() time.Duration {
	if v.schedulerRole.includes(v.environment.PeerAddress) {
		return schedulerExchangeInterval
	}
	return exchangeInterval + time.Duration(max(0, v.watcher.memberCount()-smallFleet))*exchangeSpacing
}

// drawInterval returns the least time between two exchanges of this VM that only draw
// tokens. It grows with the number of VMs, which all draw from one issuer.
func (v *VM) drawInterval() time.Duration {
	return max(urgentInterval, time.Duration(v.watcher.memberCount())*drawSpacing)
}

// exchange sends this VM's state to the leader, or to another VM when the leader
// cannot be reached, and applies the response. With tokensOnly the request only draws and
// returns tokens, since it is sent many times a second while accounts are short.
func (v *VM) exchange(ctx context.Context, tokensOnly bool) {
	now := time.Now()
	request := kumquathitch.ExchangeRequest{From: v.environment.Name, TokensOnly: tokensOnly}
	if !tokensOnly {
		request.DeploymentVersion, request.Demand, request.InFlight = v.deployments.Version(), v.demand.Local(now), v.fleet.LocalLoads()
		request.StoreRevision, request.StoreUnavailable = v.watcher.currentRevision(), v.watcher.needsPeers(now)
	}
	address, self := v.exchangePeer(request.StoreUnavailable)
	if !tokensOnly {
		v.askForNewer(ctx, address == "" && !self)
	}
	if address == "" && !self {
		return
	}
	if !tokensOnly {
		request.Suspects = v.takeSuspects(address, now)
	}
	if snapshot := v.deployments.Snapshot(); snapshot != nil {
		v.rateLimiter.PrepareExchange(&request, snapshot.Deployment.Tenants, now)
	}
	var response kumquathitch.ExchangeResponse
	if self {
		response, _ = v.handleExchange(ctx, request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		err := v.peers.Call(ctx, address, methodExchange, request, &response)
		cancel()
		if err != nil {
			v.markUnreported(request.Suspects)
			if !tokensOnly {
				v.watcher.endFeed()
			}
			v.log.Info("exchange failed", zap.String("peer", address), zap.Bool("only-draws", tokensOnly), zap.Error(err))
			return
		}
		if !tokensOnly {
			v.newer.informed.Store(true)
		}
	}
	if tokensOnly {
		v.rateLimiter.ApplyResponse(&response, time.Now())
		return
	}
	v.applyResponse(&response)
}

// exchangePeer returns the address to exchange with, or self when this VM leads. It
// returns neither when there is none. With withoutStore the known leader may be
// outdated, and other VMs are chosen as well.
func (v *VM) exchangePeer(withoutStore bool) (address string, self bool) {
	// A leader that can write to the store, but not read from it, learns of changes from
	// other VMs.
	_, leading := v.candidate.CurrentTerm()
	if leading && (!withoutStore || v.random.Int64N(2) == 0) {
		return "", true
	}
	leader, known := v.candidate.Leader()
	if known && leader.Name != v.environment.Name && (!withoutStore || v.random.Int64N(2) == 0) {
		return leader.Address, false
	}
	if !withoutStore {
		return "", false
	}
	// Without the store this VM may have missed a change of the leader; any other VM
	// may know it.
	if hint := v.leadership.leaderHint(); hint != "" && hint != v.environment.PeerAddress && v.random.Int64N(2) == 0 {
		return hint, false
	}
	if address = v.anyPeer(); address != "" {
		return address, false
	}
	return "", leading
}

// anyPeer returns the address of another VM, chosen at random, or nothing if it finds none.
func (v *VM) anyPeer() string {
	addresses := append([]string{}, v.environment.Seeds...)
	for _, m := range v.watcher.memberList() {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses) // The choice depends on the random number alone.
	for range addresses {
		if address := addresses[v.random.Int64N(int64(len(addresses)))]; address != v.environment.PeerAddress {
			return address
		}
	}
	return ""
}

// applyResponse applies the response to a full exchange.
func (v *VM) applyResponse(response *kumquathitch.ExchangeResponse) {
	now := time.Now()
	v.rateLimiter.ApplyResponse(response, now)
	v.mergeSuspects(response.Suspects, now)
	if response.Leader {
		v.schedulerRole.learn(namedSchedulers(response))
		v.fleet.SetRemoteLoads(response.InFlight, response.FullestOnly, now)
		v.fleet.SetUnloading(response.Unloading, now)
	}
	complete := (response.ChangesComplete || response.SegmentsComplete) && v.isOfOwnEpoch(response.StoreRevision)
	if err := unpackChanges(response); err != nil {
		v.log.Warn("cannot decode changes from the leader; reading the store", zap.Error(err))
		complete = false
	}
	if complete {
		v.watcher.applyFeed(response.Changes, response.StoreRevision)
	} else {
		v.watcher.endFeed()
	}
	v.leadership.setHint(response.LeaderAddress)
	if response.MemberCount > 0 {
		v.roster.SetReported(response.MemberCount, now)
	}
	v.updateMemberCount(now)
	if !v.applyPeerDeployment(response) {
		return
	}
	v.replaceEvacuations(response.Evacuations, "peer") // Before instances that it may concern.
	if len(response.Instances) > 0 {
		v.watcher.adoptInstances(response.Instances, response.StoreRevision)
	}
}

// isOfOwnEpoch reports whether a revision is of the epoch that this VM knows. A leader with an older
// program compares revisions without their epochs, and takes its changes for complete.
func (v *VM) isOfOwnEpoch(revision uint64) bool {
	epoch, _ := kumquathitch.SplitRevision(revision)
	known, _ := kumquathitch.SplitRevision(v.watcher.currentRevision())
	return epoch == known
}

// handleExchange answers an exchange of another VM, or of this one when it leads.
func (v *VM) handleExchange(_ context.Context, request kumquathitch.ExchangeRequest) (kumquathitch.ExchangeResponse, error) {
	now := time.Now()
	var response kumquathitch.ExchangeResponse
	v.newer.note(&request, v.deployments.Version())
	if request.DeploymentOnly {
		v.addDeployment(&response, &request)
		return response, nil
	}
	issuer := v.currentIssuer(now)
	if issuer != nil {
		if snapshot := v.deployments.Snapshot(); snapshot != nil {
			response = issuer.HandleExchange(&request, snapshot.Deployment.Tenants, now)
		}
		response.Leader, response.Schedulers = true, v.schedulerRole.addresses()
		if len(response.Schedulers) > 0 {
			response.SchedulerAddress = response.Schedulers[0]
		}
		v.roleLoad.addExchange(&request, &response)
	}
	if request.TokensOnly {
		return response, nil
	}
	v.mergeSuspects(request.Suspects, now)
	if issuer != nil {
		response.Unloading = v.feed.unloadingModels(v.placer.Unloading, now)
		if len(response.Schedulers) <= 1 { // Otherwise each scheduler gets the loads of its partition with the requests for engines.
			v.globalScheduler.SetVMLoads(request.From, request.InFlight, now)
		}
		response.InFlight, response.FullestOnly = v.feed.exchangeLoads(request.From, request.InFlight, v.sentLoads(), v.fleet.Slots, now)
		if request.From != v.environment.Name {
			v.demand.SetRemote(request.From, request.Demand, now)
			// The revision is read before the changes. Changes that arrive in between are sent twice.
			response.StoreRevision = v.watcher.currentRevision()
			response.Changes, response.Segments, response.SegmentsComplete = v.changesSince(request.StoreRevision, now)
		}
	}
	if leader, known := v.candidate.Leader(); known {
		response.LeaderAddress = leader.Address
	}
	response.Suspects = v.knownSuspects(now)
	v.roleLoad.addSuspects(len(response.Suspects.Parts) + len(response.Suspects.Contents))
	v.addDeployment(&response, &request)
	if !response.SegmentsComplete { // Also while the store answers neither VM: the later state applies.
		response.Evacuations = v.evacuations.List(now)
	}
	if request.StoreUnavailable && !response.SegmentsComplete && !v.watcher.storeDown(now) {
		response.Instances, response.StoreRevision = v.watcher.instanceItems(), v.watcher.currentRevision()
	}
	return response, nil
}

// sentLoads returns the number of instances whose loads an exchange carries at most.
func (v *VM) sentLoads() int {
	if v.watcher.memberCount() > smallFleet {
		return maxSentLoadsLarge
	}
	return maxSentLoads
}

// changesSince returns the changes of the store after a revision. It reports false
// when some are no longer kept, when the revision is of another epoch, or when the store does not
// answer this VM: other VMs must not rely on a leader without the store.
func (v *VM) changesSince(revision uint64, now time.Time) (changes []kumquathitch.KeyChange, segments [][]byte, ok bool) {
	if !v.isOfOwnEpoch(revision) || !v.watcher.isUpToDate(now) {
		return nil, nil, false
	}
	return v.feed.changesAfter(revision)
}

// currentIssuer returns the token issuer of the current term, or nil when this VM does
// not lead.
func (v *VM) currentIssuer(now time.Time) *quota.Issuer {
	t, leading := v.candidate.CurrentTerm()
	v.leadership.mutex.Lock()
	defer v.leadership.mutex.Unlock()
	if !leading {
		v.leadership.issuer = nil
		return nil
	}
	if v.leadership.issuer == nil || v.leadership.fence != t.Fence {
		v.leadership.issuer, v.leadership.fence = quota.NewIssuer(t.IsFirst && v.environment.Bootstrap, v.rateLimiter.IssuerLevels(), now), t.Fence
		v.leadership.issuer.AddMembers(v.roster.Names(now), now)
	}
	return v.leadership.issuer
}

// PlaceAdapter asks the leader to place an adapter that no instance is known to hold.
// It reports whether an instance holds the adapter now.
func (v *VM) PlaceAdapter(ctx context.Context, request kumquathitch.AdapterRequest) bool {
	var response kumquathitch.AdapterResponse
	if _, leading := v.candidate.CurrentTerm(); leading {
		response, _ = v.handlePlaceAdapter(ctx, request)
	} else {
		leader, known := v.candidate.Leader()
		if !known || leader.Name == v.environment.Name {
			return false
		}
		ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
		defer cancel()
		if err := v.peers.Call(ctx, leader.Address, methodAdapter, request, &response); err != nil {
			v.log.Info("adapter not placed", zap.String("leader", leader.Name), zap.Error(err))
			return false
		}
	}
	for _, id := range response.Instances {
		v.fleet.AddPlacedAdapter(id, request.Model, request.Adapter, time.Now())
	}
	return len(response.Instances) > 0
}

func (v *VM) handlePlaceAdapter(ctx context.Context, request kumquathitch.AdapterRequest) (kumquathitch.AdapterResponse, error) {
	v.roleLoad.addAdapter()
	snapshot := v.deployments.Snapshot()
	if _, ok := v.orderFence(); !ok || snapshot == nil {
		return kumquathitch.AdapterResponse{}, nil
	}
	service := snapshot.Deployment.Services.Find(request.Service)
	if service == nil || service.Engine == nil {
		return kumquathitch.AdapterResponse{}, nil
	}
	holders := func() kumquathitch.Instances {
		return v.fleet.Holders(request.Service, request.Model, request.Homes, time.Now())
	}
	return kumquathitch.AdapterResponse{Instances: v.placer.PlaceAdapter(ctx, service, request, holders)}, nil
}

// peerServer returns a server for the calls of other entry VMs.
func (v *VM) peerServer() *peer.Server {
	server := peer.NewServer(v.tracing)
	server.Panics = v.panics
	peer.Handle(server, methodExchange, v.handleExchange)
	peer.Handle(server, methodAdapter, v.handlePlaceAdapter)
	peer.Handle(server, methodSchedule, v.handleSchedule)
	peer.Handle(server, methodAdmit, v.handleAdmit)
	peer.Handle(server, methodPing, v.handlePing)
	peer.Handle(server, methodSuspects, v.handleSuspects)
	return server
}

// applyDeployment puts a configuration in force when it is valid and its version is
// higher than the current one. The revision is that of the store's item, or 0 from another VM.
func (v *VM) applyDeployment(document []byte, revision uint64, source string) {
	decoded, err := v.environment.Codec.DecodeDeployment(document)
	if err != nil {
		v.log.Error("configuration rejected; the previous version stays in force",
			zap.String("source", source), zap.Uint64("in-force", v.deployments.Version()), zap.Error(err))
		return
	}
	if v.deployments.Apply(decoded, document) {
		v.newer.revision.Store(revision)
		v.fleet.SetColdRates(decoded.Services, v.environment.ColdOverage, v.environment.ColdSlack)
		v.globalScheduler.Configure(decoded)
		v.placer.RecordServices(decoded.Services)
		v.log.Info("configuration in force", zap.Uint64("version", decoded.Version), zap.String("source", source),
			zap.Int("routes", len(decoded.Routes)), zap.Int("accounts", len(decoded.Tenants)))
	}
}

// setMembers passes the members that the store lists on to the parts that need them.
func (v *VM) setMembers(members []kumquathitch.Member) {
	names := make([]string, 0, len(members))
	_, intact := v.candidate.Leader()
	for _, m := range members {
		names = append(names, m.Name)
		intact = intact || (m.Name == v.self.Name && m.Started.Before(v.self.Started)) // Of an earlier process.
	}
	now := time.Now()
	v.roster.SetListed(names, intact, now)
	v.updateMemberCount(now)
	v.candidate.ObserveMembers(members)
}

// updateMemberCount passes the number of VMs on to the parts that divide something over them.
func (v *VM) updateMemberCount(now time.Time) {
	count, settled := v.roster.Count(now)
	v.rateLimiter.SetMemberCount(count, settled)
	v.retryBudget.SetMemberCount(count, settled)
	v.fleet.SetMemberCount(count, settled)
	v.fleet.SetMemberNames(v.roster.Names(now))
}
