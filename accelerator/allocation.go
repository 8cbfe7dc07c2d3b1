package accelerator

import (
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

// used returns the bytes of an accelerator that may be in use while the engine keeps running.
func (a Allocations) used(accelerator int) int64 {
	var sum int64
	for _, alloc := range a {
		if alloc.Accelerator == accelerator {
			sum += alloc.Bytes
		}
	}
	return sum
}

// usedAfterRestart returns the bytes of an accelerator that may be in use after
// a restart: the startup models and every load that can still arrive.
func (a Allocations) usedAfterRestart(startup Allocations, accelerator int) int64 {
	sum := startup.used(accelerator)
	for i := range a {
		alloc := &a[i]
		if alloc.Accelerator != accelerator || alloc.Settled {
			continue
		}
		sum += alloc.Bytes
		if same := startup.Find(alloc.Key); same != nil {
			sum -= min(same.Bytes, alloc.Bytes)
		}
	}
	return sum
}

func (a Allocations) maxUsed(startup Allocations, accelerator int) int64 {
	return max(a.used(accelerator), a.usedAfterRestart(startup, accelerator))
}

// Free returns the bytes of an accelerator's capacity that a load may take now.
func (a Allocations) Free(capacity int64, startup Allocations, accelerator int) int64 {
	return capacity - a.maxUsed(startup, accelerator)
}

func (a Allocations) reserve(server string, capacity int64, startup Allocations, request LoadRequest, until, now time.Time) (Allocations, error) {
	if !now.Before(request.Expiry) {
		return a, &ExpiredError{Server: server, Key: request.Key, Expiry: request.Expiry}
	}
	changed := slices.Clone(a)
	alloc := changed.Find(request.Key)
	if alloc == nil {
		changed = append(changed, Allocation{Key: request.Key})
		alloc = &changed[len(changed)-1]
	}
	if alloc.Unload.ID != "" {
		return a, &UnsettledError{Server: server, Key: request.Key, Until: alloc.Unload.ExecutableUntil}
	}
	alloc.Bytes = max(alloc.Bytes, request.Bytes)
	alloc.Settled = false
	if alloc.Load.ExecutableUntil.After(until) {
		until = alloc.Load.ExecutableUntil // An earlier order may arrive later than this one.
	}
	alloc.Load = Order{ID: request.OrderID, Expiry: request.Expiry, ExecutableUntil: until}
	if most := changed.maxUsed(startup, request.Accelerator); most > capacity {
		return a, &InsufficientMemoryError{
			Server: server, Key: request.Key, Need: request.Bytes, Free: a.Free(capacity, startup, request.Accelerator),
		}
	}
	return changed, nil
}

func (a Allocations) unload(server string, key Key, order Order) (Allocations, error) {
	changed := slices.Clone(a)
	alloc := changed.Find(key)
	if alloc == nil {
		return a, &NotAllocatedError{Server: server, Key: key}
	}
	if !alloc.Settled {
		return a, &UnsettledError{Server: server, Key: key, Until: alloc.Load.ExecutableUntil}
	}
	if alloc.Unload.ExecutableUntil.After(order.ExecutableUntil) {
		order.ExecutableUntil = alloc.Unload.ExecutableUntil
	}
	alloc.Unload = order
	return changed, nil
}

// applyReport updates the allocations from a report and drops those that the
// report proves gone. Fence is the engine's highest fencing token, or 0 if the
// engine does not check them.
func (a Allocations) applyReport(report kumquathitch.LoadReport, fence uint64, adapters bool) Allocations {
	changed := addReported(slices.Clone(a), report, adapters)
	for i := range changed {
		alloc := &changed[i]
		passed := report.TakenAt.After(alloc.Load.ExecutableUntil)
		fenced := alloc.Load.Fence != 0 && fence > alloc.Load.Fence
		alloc.Settled = alloc.Settled || passed || fenced
		alloc.Confirmed, alloc.Loading = false, false
		if alloc.Unload.ID != "" && report.TakenAt.After(alloc.Unload.ExecutableUntil) {
			alloc.Unload = Order{}
		}
	}
	for _, w := range report.Weights {
		if alloc := changed.Find(Key{w.Accelerator, w.Name, w.Version}); alloc != nil && w.Adapter == adapters {
			alloc.Confirmed, alloc.Loading = !w.Loading, w.Loading
			alloc.Bytes = max(alloc.Bytes, w.Bytes)
		}
	}
	return slices.DeleteFunc(changed, func(alloc Allocation) bool { return alloc.Settled && !reportLists(report, alloc.Key) })
}

// addReported adds weights that a report lists and the allocations lack: the
// engine has restarted with its startup models, or they are older than the record.
func addReported(a Allocations, report kumquathitch.LoadReport, adapters bool) Allocations {
	for _, w := range report.Weights {
		key := Key{w.Accelerator, w.Name, w.Version}
		if w.Adapter == adapters && a.Find(key) == nil {
			a = append(a, Allocation{Key: key, Bytes: w.Bytes, Settled: true})
		}
	}
	return a
}

func reportLists(report kumquathitch.LoadReport, key Key) bool {
	return slices.ContainsFunc(report.Weights, func(w kumquathitch.ResidentWeights) bool {
		return Key{w.Accelerator, w.Name, w.Version} == key
	})
}

func (a Allocations) expireUnloads(now time.Time, timing Timing) Allocations {
	changed := slices.Clone(a)
	for i := range changed {
		alloc := &changed[i]
		if alloc.Unload.ID != "" && now.After(alloc.Unload.ExecutableUntil.Add(timing.ClockError)) {
			alloc.Unload = Order{}
		}
	}
	return changed
}

// StartupAllocations returns what an engine loads when it starts: the listed
// models in startup and the listed adapters in pool, in order, each on the first
// accelerator with room. What fits nowhere is counted on the first accelerator.
func StartupAllocations(server kumquathitch.Upstream, models kumquathitch.Models, adapters kumquathitch.Adapters) (startup, pool Allocations) {
	for _, name := range server.Models {
		if m := models.Find(name); m != nil {
			startup = place(startup, server, Allocation{Key: Key{Name: name, Version: m.Version}, Bytes: m.Bytes + m.CacheReserve},
				func(a kumquathitch.Accelerator) int64 { return a.Bytes - a.AdapterPool })
		}
		if a := adapters.Find(name); a != nil {
			pool = place(pool, server, Allocation{Key: Key{Name: name}, Bytes: a.Bytes},
				func(a kumquathitch.Accelerator) int64 { return a.AdapterPool })
		}
	}
	return startup, pool
}

func place(placed Allocations, server kumquathitch.Upstream, alloc Allocation, capacity func(kumquathitch.Accelerator) int64) Allocations {
	for i, a := range server.Accelerators {
		if placed.used(i)+alloc.Bytes <= capacity(a) {
			alloc.Accelerator = i
			break
		}
	}
	return append(placed, alloc)
}
