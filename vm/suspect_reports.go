package vm

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
)

const (
	methodSuspects = "vm.suspect-parts"
	// suspectInterval is the least time between two reports of crashes outside exchanges.
	// After a loss of many engines, all VMs report to one.
	suspectInterval = 50 * time.Millisecond
)

// runSuspectReports reports prompt parts that may crash engines to the VMs that assign
// calls to engines, as soon as one has crashed, until ctx ends.
func (v *VM) runSuspectReports(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-v.promptGuard.CrashSeen():
				v.guarded("vm.suspect-parts", func() { v.reportSuspects(ctx) })
				clock.Pause(ctx, suspectInterval)
			}
		}
		end <- nil
	}()
	return end
}

// reportSuspects reports to the scheduler and the leader, in that order: what the leader
// has been told is left out of the next exchange.
func (v *VM) reportSuspects(ctx context.Context) {
	addresses := []string{v.schedulerRole.address()}
	if leader, known := v.candidate.Leader(); known {
		addresses = append(addresses, leader.Address)
	}
	for i, address := range addresses {
		if address == "" || address == v.environment.PeerAddress || slices.Contains(addresses[:i], address) {
			continue
		}
		report := v.promptGuard.TakeReport(address, time.Now())
		if len(report.Parts) == 0 {
			continue
		}
		var response kumquathitch.PartReport
		call, cancel := context.WithTimeout(ctx, exchangeTimeout)
		err := v.peers.Call(call, address, methodSuspects, report, &response)
		cancel()
		if err != nil {
			v.promptGuard.MarkUnreported(report)
			v.log.Info("crashes not reported", zap.String("peer", address), zap.Int("parts", len(report.Parts)), zap.Error(err))
			continue
		}
		v.promptGuard.Merge(response, time.Now())
	}
}

// handleSuspects answers the report of another VM with what all VMs observed.
func (v *VM) handleSuspects(_ context.Context, report kumquathitch.PartReport) (kumquathitch.PartReport, error) {
	now := time.Now()
	v.promptGuard.Merge(report, now)
	return v.promptGuard.Suspects(now), nil
}
