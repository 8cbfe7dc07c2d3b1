package accelerator

import "kumquathitch.example/kumquathitch"

// FreeMemory is the memory of one accelerator, in bytes, that is left for
// models. A load must fit in both amounts.
type FreeMemory struct {
	Running      int64 // While the engine keeps running.
	AfterRestart int64 // After a restart with the startup models.
}

// FreeMemory returns the memory that each accelerator of a server has left for
// models. Startup lists the models that the engine loads when it starts.
func (p *Plan) FreeMemory(server kumquathitch.Upstream, startup Allocations) []FreeMemory {
	free := make([]FreeMemory, len(server.Accelerators))
	for i, a := range server.Accelerators {
		capacity := a.Bytes - a.AdapterPool - p.maxRoleBytes()
		free[i] = FreeMemory{
			Running:      capacity - p.Allocations.used(i),
			AfterRestart: capacity - p.Allocations.usedAfterRestart(startup, i),
		}
	}
	return free
}
