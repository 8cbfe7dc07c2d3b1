package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"kumquathitch.example/kumquathitch/daemon"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/telemetry"
)

const statusUsage = `
status --vm ADDR     state as known to one VM: other VMs, upstreams that are not live, data
                     centres that are evacuated and what still runs there, models without a
                     replica, accounts near their rate, and advice

Example:
  kumquathitch status --vm 10.0.0.5:7100
`

type statusCommand struct {
	VM   string `arg:"--vm,required,env:KUMQUATHITCH_VM" help:"IP address and port at which the VM listens for other VMs"`
	JSON bool   `arg:"--json" help:"print JSON with kebab-case names"`
}

func (c *statusCommand) run(ctx context.Context, out io.Writer) error {
	tracing, err := telemetry.NewTracing(ctx, "kumquathitch", "")
	if err != nil {
		return err
	}
	client := peer.NewClient(tracing)
	defer client.Close()
	var status daemon.Status
	if err := client.Call(ctx, c.VM, daemon.StatusMethod, daemon.StatusRequest{}, &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, status)
	}
	return printStatus(out, &status)
}

func printStatus(out io.Writer, s *daemon.Status) error {
	rows := [][]string{
		{"VM", s.VM + " in " + s.DataCentre},
		{"generation", strconv.FormatUint(s.Generation, 10)},
		{"share of the rates held", fmt.Sprintf("%.1f%%", 100*s.RateShare)},
		{"upstreams", fmt.Sprintf("%d, not live %d", s.UpstreamCount, len(s.UpstreamsNotLive))},
		{"models without replica", strconv.Itoa(len(s.ModelsWithoutReplica))},
		{"other VMs", strconv.Itoa(len(s.Members))},
	}
	for _, m := range s.Members {
		rows = append(rows, []string{"  " + m.Name, fmt.Sprintf("%s, generation %d, last heartbeat %s", m.DataCentre, m.Generation, m.LastHeartbeat.Format(time.RFC3339))})
	}
	for _, u := range s.UpstreamsNotLive {
		rows = append(rows, []string{"  " + u.Name, u.Phase})
	}
	for _, e := range s.Evacuations {
		rows = append(rows, []string{"evacuated " + e.DataCentre, fmt.Sprintf("since %s, %d requests still run on %d upstreams %s",
			e.Since.Format(time.RFC3339), e.Running, len(e.Busy), strings.Join(e.Busy, ","))})
	}
	if err := printTable(out, rows); err != nil {
		return err
	}
	if len(s.Advice) == 0 {
		_, err := fmt.Fprintln(out, "no action needed")
		return err
	}
	for _, line := range s.Advice {
		if _, err := fmt.Fprintln(out, "- "+line); err != nil {
			return err
		}
	}
	return nil
}
