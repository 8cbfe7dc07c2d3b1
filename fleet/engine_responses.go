package fleet

import (
	"sync"

	"kumquathitch.example/kumquathitch"
)

// maxResponses bounds the responses that are reported with one request to the scheduler.
const maxResponses = 64

// engineResponses holds the responses of engines that the scheduler has not been told of.
type engineResponses struct {
	mutex sync.Mutex
	list  []kumquathitch.EngineResponse
}

// recordResponse records a complete response of an engine.
func (f *Fleet) recordResponse(criteria *kumquathitch.InstanceCriteria, choice *kumquathitch.InstanceChoice, result *kumquathitch.SendResult) {
	if criteria.Model == "" || result.Outcome != kumquathitch.SendAnswered || result.FirstByte.IsZero() {
		return
	}
	f.responses.mutex.Lock()
	defer f.responses.mutex.Unlock()
	if len(f.responses.list) >= maxResponses {
		return
	}
	f.responses.list = append(f.responses.list, kumquathitch.EngineResponse{
		Instance: choice.Instance.ID, Service: criteria.Service, Model: criteria.Model, PrefillTokens: choice.PrefillTokens, Priority: criteria.Priority, Events: result.Events,
		FirstEvent: result.FirstByte.Sub(choice.Sent), Run: result.Ended.Sub(result.FirstByte),
		Paused: criteria.GapLimit > 0 && result.Pause > criteria.GapLimit,
	})
}

// TakeResponses returns the responses of engines of a partition since the last call. The
// scheduler learns from many, so that those of a request that fails are not repeated.
func (f *Fleet) TakeResponses(partition kumquathitch.Partition) []kumquathitch.EngineResponse {
	f.responses.mutex.Lock()
	defer f.responses.mutex.Unlock()
	if partition.Count <= 1 {
		taken := f.responses.list
		f.responses.list = nil
		return taken
	}
	var taken, kept []kumquathitch.EngineResponse
	for _, response := range f.responses.list {
		if partition.Contains(response.Instance) {
			taken = append(taken, response)
		} else {
			kept = append(kept, response)
		}
	}
	f.responses.list = kept
	return taken
}
