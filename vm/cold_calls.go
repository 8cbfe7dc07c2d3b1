package vm

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch/fleet"
)

// coldCalls counts the decisions of this VM on calls to cold instances.
type coldCalls struct {
	assigned, held, refused, admitted, deferred *metrics.Counter
}

func newColdCalls(set *metrics.Set, f *fleet.Fleet) coldCalls {
	set.NewGauge("kumquathitch_instances_cold", func() float64 { return float64(f.ColdCount(time.Now())) })
	counter := func(decision string) *metrics.Counter {
		return set.NewCounter(`kumquathitch_cold_calls_total{decision="` + decision + `"}`)
	}
	return coldCalls{assigned: counter("assigned"), held: counter("held"), refused: counter("refused"), admitted: counter("admitted"), deferred: counter("deferred")}
}

// logColdCalls counts and logs the decisions since the last call, if there were any.
func (v *VM) logColdCalls(now time.Time) {
	counts := v.globalScheduler.TakeColdCounts()
	if counts == (fleet.ColdCounts{}) {
		return
	}
	v.coldCalls.assigned.Add(counts.Assigned)
	v.coldCalls.held.Add(counts.Held)
	v.coldCalls.refused.Add(counts.Refused)
	v.coldCalls.admitted.Add(counts.Admitted)
	v.coldCalls.deferred.Add(counts.Deferred)
	v.log.Info("calls to cold instances", zap.Int("cold", v.fleet.ColdCount(now)), zap.Int("assigned", counts.Assigned), zap.Int("held", counts.Held),
		zap.Int("refused", counts.Refused), zap.Int("admitted", counts.Admitted), zap.Int("deferred", counts.Deferred))
}
