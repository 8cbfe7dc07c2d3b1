package upstream

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

// LoadsMessage carries the loads of the upstreams that its sender watches. An
// upstream is identified by its index in the sorted list of the data centre's
// upstreams in a configuration generation, which both sides have.
type LoadsMessage struct {
	Generation  uint64 `json:"generation"`
	DataCentre  string `json:"data-centre"`
	IndexDeltas []byte `json:"places,omitempty"` // Differences between successive indexes, as unsigned varints.
	Loads       []byte `json:"loads,omitempty"`  // One byte for each index; see EncodeLoad.
	Update      Update `json:"news,omitzero"`
}

// LoadSummary is the message from the delegate of a data centre to the other data
// centres: the mean load of the replicas of each model of the generation, sorted
// by the name of the model.
type LoadSummary struct {
	Generation uint64 `json:"generation"`
	DataCentre string `json:"data-centre"`
	Loads      []byte `json:"loads"` // One byte for each model, see EncodeLoad; noReplicaLoad for a model without replicas.
}

// noReplicaLoad marks a model without replicas in the data centre.
const noReplicaLoad = 255

// nameIndex maps the indexes in messages to names of upstreams and models.
type nameIndex struct {
	generation uint64
	upstreams  map[string][]string // Sorted names, by data centre.
	models     []string            // Sorted names.
}

func newNameIndex(config kumquathitch.Configuration) *nameIndex {
	index := &nameIndex{generation: config.Generation, upstreams: map[string][]string{}}
	for _, u := range config.Upstreams {
		index.upstreams[u.DataCentre] = append(index.upstreams[u.DataCentre], u.Name)
	}
	for _, names := range index.upstreams {
		slices.Sort(names)
	}
	for _, m := range config.Models {
		index.models = append(index.models, m.Name)
	}
	slices.Sort(index.models)
	return index
}

// NewLoadsMessage returns the message about the upstreams that this VM watches. It
// holds the loads from reports younger than ReportMaxAge. It also repeats recent
// notices, since messages that carried them may have been lost.
func (f *Fleet) NewLoadsMessage(watched []Watched, dataCentre string, now time.Time) LoadsMessage {
	index := f.names.Load()
	message := LoadsMessage{Generation: index.generation, DataCentre: dataCentre}
	names := index.upstreams[dataCentre]
	last := 0
	for _, w := range watched {
		state, ok := f.State(w.Name)
		position, listed := slices.BinarySearch(names, w.Name)
		if !ok || !listed {
			continue
		}
		if leaving := state.Leaving; now.Sub(leaving.LearnedAt) <= noticeRepeatPeriod || now.Sub(leaving.VoidUntil) <= maxListLag+noticeRepeatPeriod {
			message.Update.Notices = append(message.Update.Notices, leaving.Notices(w.Name)...)
		}
		if state.ReportedAt.IsZero() || now.Sub(state.ReportedAt) > f.ReportMaxAge {
			continue
		}
		message.IndexDeltas = binary.AppendUvarint(message.IndexDeltas, uint64(position-last)) //nolint:gosec // Positions increase.
		message.Loads = append(message.Loads, EncodeLoad(state.LoadAt(now, f.ReportMaxAge)))
		last = position
	}
	return message
}

// ApplyLoads applies a message of a peer. Loads of another generation are ignored,
// because the indexes may refer to other upstreams.
func (f *Fleet) ApplyLoads(message LoadsMessage, now time.Time) {
	f.ApplyUpdate(message.Update, now)
	index := f.names.Load()
	names := index.upstreams[message.DataCentre]
	if message.Generation != index.generation {
		return
	}
	position, deltas := 0, message.IndexDeltas
	for _, load := range message.Loads {
		step, size := binary.Uvarint(deltas)
		if size <= 0 || step > uint64(len(names)) || position+int(step) >= len(names) { //nolint:gosec // The step is at most the length of a list.
			return
		}
		position, deltas = position+int(step), deltas[size:] //nolint:gosec // As above.
		f.update(names[position], now, func(s *State) { s.setPeerLoad(load, now) })
	}
}

// setPeerLoad stores a load from a peer, unless the last report of the upstream is
// younger than PollAfter.
func (s *State) setPeerLoad(load byte, now time.Time) {
	if now.Sub(s.ReportedAt) < PollAfter {
		return
	}
	s.PeerLoad, s.PeerLoadAt, s.OutstandingChange = load, now, 0
}

// NewLoadSummary returns the message of a data centre to the other data centres.
func (f *Fleet) NewLoadSummary(dataCentre string, now time.Time) LoadSummary {
	index := f.names.Load()
	summary := LoadSummary{Generation: index.generation, DataCentre: dataCentre}
	for _, model := range index.models {
		summary.Loads = append(summary.Loads, f.meanLoad(ReplicasKey{Model: model, DataCentre: dataCentre}, now))
	}
	return summary
}

func (f *Fleet) meanLoad(key ReplicasKey, now time.Time) byte {
	replicas := f.Replicas(key)
	if replicas == nil {
		return noReplicaLoad
	}
	var total Load
	for _, r := range replicas.List {
		r.shard.mutex.Lock()
		total += r.state.LoadAt(now, f.ReportMaxAge)
		r.shard.mutex.Unlock()
	}
	return min(noReplicaLoad-1, EncodeLoad(total/Load(len(replicas.List))))
}

// ApplySummary applies the summary of another data centre: each replica of a model
// there gets the mean load as its own. A summary of another generation is ignored.
func (f *Fleet) ApplySummary(summary LoadSummary, now time.Time) {
	index := f.names.Load()
	if summary.Generation != index.generation || len(summary.Loads) != len(index.models) {
		return
	}
	for i, load := range summary.Loads {
		replicas := f.Replicas(ReplicasKey{Model: index.models[i], DataCentre: summary.DataCentre})
		if load == noReplicaLoad || replicas == nil {
			continue
		}
		for _, r := range replicas.List {
			r.shard.mutex.Lock()
			r.state.setPeerLoad(load, now)
			r.shard.mutex.Unlock()
		}
	}
}

// ForwardTargets returns the VMs to which this VM forwards a message from root. The
// VMs of the data centre, sorted by name and starting with root, form a binary
// tree, so each VM receives the message once.
func ForwardTargets(members kumquathitch.Membership, root string, now time.Time) kumquathitch.EntryVMs {
	self := members.Self()
	all := append(members.Live(self.DataCentre, now), self)
	slices.SortFunc(all, func(a, b kumquathitch.EntryVM) int { return cmp.Compare(a.Name, b.Name) })
	position := func(name string) int {
		return max(0, slices.IndexFunc(all, func(vm kumquathitch.EntryVM) bool { return vm.Name == name }))
	}
	start, size := position(root), len(all)
	rank := (position(self.Name) - start + size) % size
	var next kumquathitch.EntryVMs
	for child := 2*rank + 1; child <= 2*rank+2 && child < size; child++ {
		next = append(next, all[(start+child)%size])
	}
	return next
}
