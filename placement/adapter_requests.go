package placement

import (
	"context"
	"maps"
	"strings"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
)

const (
	// adapterLoadPause is how long a call waits after its adapter was ordered.
	// Loading an adapter takes some milliseconds.
	adapterLoadPause = 30 * time.Millisecond
	// maxAdapterOrders bounds the orders sent for one adapter: a slot may have to
	// be freed first, and the expected order count may be outdated.
	maxAdapterOrders = 4
	// adapterResultTTL is how long the result of placing an adapter is shared. In a burst,
	// some hundred VMs ask for the same adapters every 60 ms.
	adapterResultTTL = 100 * time.Millisecond
	// adapterRetryPause is the wait before a retry while another order to the
	// instance is open.
	adapterRetryPause = 15 * time.Millisecond
)

// PlaceAdapter returns the ids of the instances that hold an adapter. When there
// are none, it orders one to load it; it returns nil when that fails. Requests for one
// adapter at the same time, or shortly after, share one result. holders returns the
// instances whose descriptions list the model; it is called for the first of such
// requests only.
func (c *Controller) PlaceAdapter(ctx context.Context, s *kumquathitch.Service, request kumquathitch.AdapterRequest, holders func() kumquathitch.Instances) []string {
	shared, first := c.joinAdapterCall(request)
	if !first {
		select {
		case <-shared.done:
			return shared.held
		case <-ctx.Done():
			return nil
		}
	}
	defer func() {
		shared.expires = c.clock.Now().Add(adapterResultTTL)
		close(shared.done)
	}()
	shared.held = c.placeAdapter(ctx, s, request, holders())
	return shared.held
}

// adapterCall is the result of placing an adapter, which all calls for it share. Its
// fields are set before done is closed.
type adapterCall struct {
	done    chan struct{}
	held    []string // Ids of the instances that hold the adapter.
	expires time.Time
}

// joinAdapterCall returns the open or recent call to place an adapter, or a new one and
// true.
func (c *Controller) joinAdapterCall(request kumquathitch.AdapterRequest) (*adapterCall, bool) {
	key := strings.Join(append([]string{request.Service, request.Model, request.Adapter}, request.Homes.Regions...), "/")
	s := &c.shards[kumquathitch.ShardOf(key, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := c.clock.Now()
	if shared := s.adapterCalls[key]; shared != nil && !shared.expired(now) {
		return shared, false
	}
	maps.DeleteFunc(s.adapterCalls, func(_ string, shared *adapterCall) bool { return shared.expired(now) })
	shared := &adapterCall{done: make(chan struct{})}
	s.adapterCalls[key] = shared
	return shared, true
}

// expired reports whether the call has ended and its result no longer counts.
func (a *adapterCall) expired(now time.Time) bool {
	select {
	case <-a.done:
		return !now.Before(a.expires)
	default:
		return false
	}
}

func (c *Controller) placeAdapter(ctx context.Context, s *kumquathitch.Service, request kumquathitch.AdapterRequest, instances kumquathitch.Instances) []string {
	now := c.clock.Now()
	c.applyDescriptions(instances, now)
	engines := c.engines(s, instances, now)
	if held := holdersOf(engines, request); len(held) > 0 {
		return held
	}
	demand := map[string]float64{request.Model + "/" + request.Adapter: requestedDemand}
	for range maxAdapterOrders {
		p := newAdapterPlanner(s.Engine, c.engines(s, instances, c.clock.Now()), demand)
		action, ok := p.nextOrder(p.holders(request.Model), request.Model, request.Adapter)
		if !ok {
			return nil
		}
		outcome := c.send(ctx, s, action)
		if outcome == kumquathitch.OrderUnsent {
			clock.Pause(ctx, adapterRetryPause)
		}
		placed := outcome == kumquathitch.OrderAccepted || outcome == kumquathitch.OrderAlreadyApplied
		if placed && !action.Unload {
			clock.Pause(ctx, adapterLoadPause)
			return []string{action.Instance.ID}
		}
	}
	return nil
}

// requestedDemand is the demand, in tokens per second, that is assumed for an
// adapter that a call needs: enough to evict another one for it.
const requestedDemand = 2 * idleDemand

func holdersOf(engines Engines, request kumquathitch.AdapterRequest) []string {
	var held []string
	for _, e := range engines {
		if e.Models.Holds(request.Model, request.Adapter) {
			held = append(held, e.Instance.ID)
		}
	}
	return held
}
