package accelerator

import "kumquathitch.example/kumquathitch"

// Room is what one accelerator has left for models, bytes. A load must fit in both.
type Room struct {
	Running   int64 // While the engine keeps running.
	Restarted int64 // After a restart with the first models.
}

// Room returns what each accelerator of a server has left for models.
func (p *Plan) Room(server kumquathitch.Upstream, first Holdings) []Room {
	rooms := make([]Room, len(server.Accelerators))
	for i, a := range server.Accelerators {
		capacity := a.Bytes - a.AdapterPool - p.roleBytes()
		rooms[i] = Room{
			Running:   capacity - p.Holdings.used(i),
			Restarted: capacity - p.Holdings.usedAfterRestart(first, i),
		}
	}
	return rooms
}
