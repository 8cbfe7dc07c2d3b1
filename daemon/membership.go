package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/entry"
	"kumquathitch.example/kumquathitch/peer"
)

const (
	// vmPrefix is the key prefix of the store records by which VMs find each other.
	vmPrefix = "vms/"
	// registrationTTL and registrationInterval are the TTL of a VM's record and
	// the renewal interval. 390 VMs cause 4 store writes per second.
	registrationTTL      = 5 * time.Minute
	registrationInterval = 100 * time.Second
	// registrationRetryDelay is the delay after a failed registration and between
	// two attempts of an isolated VM to find others. It is also the TTL of the
	// record of a VM that leaves.
	registrationRetryDelay = 5 * time.Second
	// maxHeartbeatsInFlight bounds the heartbeats in flight. Each interval sends at most 7.
	maxHeartbeatsInFlight = 32

	// maxListedContacts bounds the VMs of the store's list that are contacted in parallel.
	maxListedContacts = 3

	methodHeartbeat = "entry.heartbeat"
	methodMembers   = "entry.members"
)

// Membership keeps a registry of entry VMs up to date. It registers this VM in
// the store, discovers the other VMs, and exchanges heartbeats with them. All
// exported fields are set before NewMembership.
type Membership struct {
	Registry          *entry.Registry
	Store             kumquathitch.Store
	Peers             kumquathitch.Peers
	Clock             kumquathitch.Clock
	Logger            *zap.Logger
	Heartbeat         time.Duration
	Seeds             []string                                // Addresses of VMs to contact when the store does not answer.
	DataCentres       func() kumquathitch.DataCentres         // Returns the data centres of the configuration in force.
	OnNewerGeneration func(address string, generation uint64) // Called when a VM has a higher generation than this one.

	joined chan struct{} // Closed after the first discovery.
}

// NewMembership initializes the unexported fields of m and returns m.
func NewMembership(m *Membership) *Membership {
	m.joined = make(chan struct{})
	return m
}

// Joined returns a channel that is closed after the first discovery of other
// VMs, whether or not it found any.
func (m *Membership) Joined() <-chan struct{} {
	return m.joined
}

// addMembership creates the daemon's Membership and registers its handlers. The
// incarnation is the start time; Registry raises it above any that an earlier
// process used.
func (d *Daemon) addMembership() {
	d.Members.RaiseIncarnation(uint64(d.Clock.Now().UnixNano()))
	seeds := make([]string, 0, len(d.Settings.Peers))
	for _, seed := range d.Settings.Peers {
		seeds = append(seeds, seed.String())
	}
	d.Membership = NewMembership(&Membership{
		Registry: d.Members, Store: d.Store, Peers: d.Peers, Clock: d.Clock, Logger: d.Logger,
		Heartbeat: d.Settings.Heartbeat, Seeds: seeds,
		DataCentres:       func() kumquathitch.DataCentres { return d.Configuration.Load().DataCentres },
		OnNewerGeneration: func(address string, generation uint64) { d.Distribution.RequestPull(address, generation) },
	})
	d.Membership.RegisterHandlers(d.PeerServer)
}

// MembersRequest asks a VM for the records of all VMs that it knows.
type MembersRequest struct {
	Name string `json:"name"` // Name of the requesting VM.
}

// RegisterHandlers registers the handlers for heartbeats and member lists.
func (m *Membership) RegisterHandlers(server *peer.Server) {
	peer.Handle(server, methodHeartbeat, m.HandleHeartbeat)
	peer.Handle(server, methodMembers, m.HandleMembers)
}

// HandleHeartbeat merges a heartbeat into the registry and returns the response.
func (m *Membership) HandleHeartbeat(_ context.Context, h entry.Heartbeat) (entry.HeartbeatResponse, error) {
	response := m.Registry.HandleHeartbeat(h, m.Clock.Now())
	m.checkGeneration(h.VM.Address, h.VM.Generation)
	return response, nil
}

// HandleMembers returns all known VMs to a VM that looks for others.
func (m *Membership) HandleMembers(_ context.Context, _ MembersRequest) (entry.MemberRecords, error) {
	return m.Registry.LiveRecords(m.Clock.Now()), nil
}

func (m *Membership) checkGeneration(address string, generation uint64) {
	if generation > m.Registry.Self().Generation {
		m.OnNewerGeneration(address, generation)
	}
}

// Run registers this VM and sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		m.keepRegistered(ctx)
	}()
	m.discover(ctx)
	close(m.joined)
	ticker := time.NewTicker(m.Heartbeat)
	defer ticker.Stop()
	sent := make(chan struct{}, maxHeartbeatsInFlight)
	inFlight, lastDiscovery := 0, m.Clock.Now()
	for {
		select {
		case <-sent:
			inFlight--
		case <-ticker.C:
			now := m.Clock.Now()
			if now.Sub(lastDiscovery) >= registrationRetryDelay && m.Registry.Isolated(m.DataCentres(), now) {
				lastDiscovery = now
				m.discover(ctx)
			}
			for _, o := range m.Registry.NextHeartbeats(now) {
				if inFlight >= maxHeartbeatsInFlight {
					break // Peers do not answer; the next interval tries others.
				}
				inFlight++
				go func() {
					m.sendHeartbeat(ctx, o)
					sent <- struct{}{}
				}()
			}
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				<-sent
			}
			<-registered
			return nil
		}
	}
}

// sendHeartbeat sends one heartbeat, then the records that the receiver asks for.
func (m *Membership) sendHeartbeat(ctx context.Context, o entry.OutgoingHeartbeat) {
	wanted, err := m.exchangeHeartbeat(ctx, o.To.Address, o.Heartbeat)
	if err == nil && len(wanted) > 0 {
		_, err = m.exchangeHeartbeat(ctx, o.To.Address, m.Registry.HeartbeatWith(wanted))
	}
	if err != nil && ctx.Err() == nil {
		m.Logger.Debug("heartbeat-failed", zap.String("to", o.To.Name), zap.Error(err))
	}
}

func (m *Membership) exchangeHeartbeat(ctx context.Context, address string, h entry.Heartbeat) (entry.MemberRecords, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	var response entry.HeartbeatResponse
	if err := m.Peers.Call(ctx, address, methodHeartbeat, h, &response); err != nil {
		return nil, err
	}
	wanted := m.Registry.HandleResponse(response, m.Clock.Now())
	m.checkGeneration(address, response.Generation)
	return wanted, nil
}

// discover finds other VMs. It contacts some VMs of the store's list, and, if
// the list cannot be read or none of them answers, the peers of the settings.
// The VMs of each group are contacted in parallel, because the call of an
// unreachable VM takes a full timeout.
func (m *Membership) discover(ctx context.Context) {
	if err := m.readVMList(ctx); err != nil {
		m.Logger.Warn("vm-list-unread", zap.Error(err))
	}
	var contacts []string
	for _, vm := range m.Registry.ProbeCandidates(maxListedContacts, m.Clock.Now()) {
		contacts = append(contacts, vm.Address)
	}
	if !m.contactAll(ctx, contacts) {
		m.contactAll(ctx, m.Seeds)
	}
}

// contactAll contacts all addresses in parallel and reports whether any answered.
func (m *Membership) contactAll(ctx context.Context, addresses []string) bool {
	answered := make(chan bool)
	for _, address := range addresses {
		go func() { answered <- m.contact(ctx, address) }()
	}
	found := false
	for range addresses {
		found = <-answered || found
	}
	return found
}

func (m *Membership) readVMList(ctx context.Context) error {
	records, err := m.Store.List(ctx, vmPrefix)
	if err != nil {
		return err
	}
	listed := make(kumquathitch.EntryVMs, 0, len(records))
	for _, record := range records {
		var vm kumquathitch.EntryVM
		if err := json.Unmarshal(record.Value, &vm); err != nil {
			return eris.Wrapf(err, "Membership.readVMList: %s", record.Key)
		}
		listed = append(listed, vm)
	}
	m.Registry.AddListed(listed, m.Clock.Now())
	return nil
}

// contact announces this VM to a peer and merges the peer's member list. It
// reports whether the peer answered. The announcement comes first, so that two
// VMs that start together and contact the same peer learn of each other.
func (m *Membership) contact(ctx context.Context, address string) bool {
	_, err := m.exchangeHeartbeat(ctx, address, m.Registry.HeartbeatWith(nil))
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, m.Heartbeat)
		defer cancel()
		var known entry.MemberRecords
		err = m.Peers.Call(callCtx, address, methodMembers, MembersRequest{Name: m.Registry.Self().Name}, &known)
		m.Registry.Merge(known, m.Clock.Now())
	}
	if err != nil {
		m.Logger.Debug("peer-unreachable", zap.String("address", address), zap.Error(err))
	}
	return err == nil
}

// keepRegistered renews this VM's record in the store periodically until ctx ends.
func (m *Membership) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		delay := registrationInterval
		if err := m.register(ctx, registrationTTL); err != nil {
			m.Logger.Debug("registration-failed", zap.Error(err))
			delay = registrationRetryDelay
		}
		clock.Pause(ctx, delay)
	}
}

// register writes this VM's record to the store. If the store has a record of
// another process with the same name and an equal or higher incarnation, this
// VM's incarnation is raised above it first.
func (m *Membership) register(ctx context.Context, ttl time.Duration) error {
	key := vmPrefix + m.Registry.Self().Name
	old, err := m.Store.Get(ctx, key)
	var missing *kumquathitch.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if old.Version != 0 {
		var vm kumquathitch.EntryVM
		if err := json.Unmarshal(old.Value, &vm); err == nil {
			m.Registry.Merge(entry.MemberRecords{{EntryVM: vm}}, m.Clock.Now())
		}
	}
	value, err := json.Marshal(m.Registry.Self())
	if err != nil {
		return eris.Wrap(err, "Membership.register")
	}
	_, err = m.Store.CompareAndSwap(ctx, kumquathitch.Record{
		Key: key, Version: old.Version, Value: value, Deadline: m.Clock.Now().Add(ttl),
	})
	return err
}

// Leave announces that this VM is leaving. Other VMs then take over its roles
// and send it no more loan requests or claims while it drains. Leave waits for
// the announcements for at most one heartbeat interval.
func (m *Membership) Leave(ctx context.Context) {
	m.Registry.Leave()
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	outgoing := m.Registry.Broadcast(m.Clock.Now())
	sent := make(chan struct{}, len(outgoing)+1)
	for _, o := range outgoing {
		go func() {
			m.sendHeartbeat(ctx, o)
			sent <- struct{}{}
		}()
	}
	go func() {
		if err := m.register(ctx, registrationRetryDelay); err != nil {
			m.Logger.Debug("registration-failed", zap.Error(err))
		}
		sent <- struct{}{}
	}()
	for range len(outgoing) + 1 {
		<-sent
	}
}
