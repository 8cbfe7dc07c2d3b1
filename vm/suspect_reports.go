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

// runSuspectReports reports prompt parts and contents that may crash upstreams to the VMs
// that assign calls to engines, as soon as one has crashed, until ctx ends.
func (v *VM) runSuspectReports(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				continue
			case <-v.promptGuard.CrashSeen():
			case <-v.crashGuard.CrashSeen():
			}
			v.guarded("vm.suspect-parts", func() { v.reportSuspects(ctx) })
			clock.Pause(ctx, suspectInterval)
		}
		end <- nil
	}()
	return end
}

// reportSuspects reports to the schedulers and the leader, in that order: what the leader
// has been told is left out of the next exchange.
func (v *VM) reportSuspects(ctx context.Context) {
	addresses := slices.Clone(v.schedulerRole.addresses())
	if leader, known := v.candidate.Leader(); known {
		addresses = append(addresses, leader.Address)
	}
	for i, address := range addresses {
		if address == "" || address == v.environment.PeerAddress || slices.Contains(addresses[:i], address) {
			continue
		}
		report := v.takeSuspects(address, time.Now())
		if len(report.Parts) == 0 && len(report.Contents) == 0 {
			continue
		}
		var response kumquathitch.SuspectReport
		call, cancel := context.WithTimeout(ctx, exchangeTimeout)
		err := v.peers.Call(call, address, methodSuspects, report, &response)
		cancel()
		if err != nil {
			v.markUnreported(report)
			v.log.Info("crashes not reported", zap.String("peer", address), zap.Int("parts", len(report.Parts)), zap.Int("contents", len(report.Contents)), zap.Error(err))
			continue
		}
		v.mergeSuspects(response, time.Now())
	}
}

// handleSuspects answers the report of another VM with what all VMs observed.
func (v *VM) handleSuspects(_ context.Context, report kumquathitch.SuspectReport) (kumquathitch.SuspectReport, error) {
	now := time.Now()
	v.mergeSuspects(report, now)
	return v.knownSuspects(now), nil
}

// takeSuspects returns what this VM has to report to another VM.
func (v *VM) takeSuspects(address string, now time.Time) kumquathitch.SuspectReport {
	return kumquathitch.SuspectReport{Parts: v.promptGuard.TakeReport(address, now), Contents: v.crashGuard.TakeReport(address, now)}
}

// markUnreported marks a report as not sent, after its message failed.
func (v *VM) markUnreported(report kumquathitch.SuspectReport) {
	v.promptGuard.MarkUnreported(report.Parts)
	v.crashGuard.MarkUnreported(report.Contents)
}

// mergeSuspects adds the observations of other VMs.
func (v *VM) mergeSuspects(report kumquathitch.SuspectReport, now time.Time) {
	v.promptGuard.Merge(report.Parts, now)
	v.crashGuard.Merge(report.Contents, now)
}

// knownSuspects returns what all VMs observed of suspects near a block.
func (v *VM) knownSuspects(now time.Time) kumquathitch.SuspectReport {
	return kumquathitch.SuspectReport{Parts: v.promptGuard.Suspects(now), Contents: v.crashGuard.Suspects(now)}
}
