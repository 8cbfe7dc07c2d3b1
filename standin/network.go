package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// Network is a fixed set of entry VMs that reach each other in memory. It
// implements kumquathitch.Peers. Messages go through their JSON encoding, and each
// way takes Delay. It is safe for concurrent use.
type Network struct {
	Delay time.Duration

	mutex    sync.Mutex
	vms      kumquathitch.EntryVMs
	down     map[string]bool // By address.
	handlers map[endpoint]func(ctx context.Context, params []byte) (any, error)
	calls    []string // Addresses called, in order.
	running  int
	most     int
}

type endpoint struct{ address, method string }

// NewNetwork returns a network of VMs.
func NewNetwork(vms kumquathitch.EntryVMs, delay time.Duration) *Network {
	return &Network{
		Delay: delay, vms: vms, down: map[string]bool{},
		handlers: map[endpoint]func(ctx context.Context, params []byte) (any, error){},
	}
}

// RegisterHandler adds the handler of a method at an address.
func RegisterHandler[P, R any](n *Network, address, method string, handle func(ctx context.Context, params P) (R, error)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[endpoint{address, method}] = func(ctx context.Context, text []byte) (any, error) {
		var params P
		if err := json.Unmarshal(text, &params); err != nil {
			return nil, err
		}
		return handle(ctx, params)
	}
}

// SetDown makes calls of an address hang until their context ends, or undoes that.
func (n *Network) SetDown(address string, down bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.down[address] = down
}

// Calls returns the addresses called so far, in order, and the largest number of calls at once.
func (n *Network) Calls() (addresses []string, most int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.calls[:len(n.calls):len(n.calls)], n.most
}

// Call implements kumquathitch.Peers.
func (n *Network) Call(ctx context.Context, address, method string, params, result any) error {
	handle, down := n.begin(address, method)
	defer n.end()
	fail := func(cause error) error {
		return &kumquathitch.PeerError{Address: address, Method: method, Cause: cause}
	}
	if down {
		<-ctx.Done()
		return fail(ctx.Err())
	}
	if handle == nil {
		return fail(eris.New("no handler"))
	}
	text, err := json.Marshal(params)
	if err != nil {
		return fail(err)
	}
	<-time.After(n.Delay)
	answer, err := handle(ctx, text)
	if err != nil {
		return fail(err)
	}
	if text, err = json.Marshal(answer); err != nil {
		return fail(err)
	}
	<-time.After(n.Delay)
	return json.Unmarshal(text, result)
}

func (n *Network) begin(address, method string) (handle func(ctx context.Context, params []byte) (any, error), down bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.calls = append(n.calls, address)
	n.running++
	n.most = max(n.most, n.running)
	return n.handlers[endpoint{address, method}], n.down[address]
}

func (n *Network) end() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.running--
}

// Members returns the view that one VM has of the network. It implements kumquathitch.Membership.
func (n *Network) Members(self kumquathitch.EntryVM) *NetworkMembers {
	return &NetworkMembers{network: n, self: self}
}

// NetworkMembers is one VM's view of a network; every VM counts as live.
type NetworkMembers struct {
	network *Network
	self    kumquathitch.EntryVM
}

// Self returns this VM.
func (m *NetworkMembers) Self() kumquathitch.EntryVM {
	return m.self
}

// Live returns the other VMs of a data centre, or of all.
func (m *NetworkMembers) Live(dataCentre string, _ time.Time) kumquathitch.EntryVMs {
	var live kumquathitch.EntryVMs
	for _, v := range m.network.vms {
		if v.Name != m.self.Name && (dataCentre == "" || dataCentre == v.DataCentre) {
			live = append(live, v)
		}
	}
	return live
}

// Ranked returns the first n VMs of a data centre in the order of the network.
func (m *NetworkMembers) Ranked(_, dataCentre string, n int, _ time.Time) kumquathitch.EntryVMs {
	var ranked kumquathitch.EntryVMs
	for _, v := range m.network.vms {
		if dataCentre == "" || dataCentre == v.DataCentre {
			ranked = append(ranked, v)
		}
	}
	return ranked[:min(n, len(ranked))]
}
