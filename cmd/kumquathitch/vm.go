package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/platform"
	"kumquathitch.example/kumquathitch/rate"
)

const vmUsage = `
vm forget --platform ADDR --name NAME    release the rate slots of a dead VM before its leases end

Forget a VM only after its process has ended: a VM that is merely disconnected
continues to use its slots. A VM that was forgotten by mistake reclaims its slots.

Example:
  kumquathitch vm forget --platform 10.0.0.2:7000 --name entry-3
`

type vmCommand struct {
	Forget *vmForget `arg:"subcommand:forget" help:"release the rate slots of a dead VM before its leases end"`
}

type vmForget struct {
	Platform   string        `arg:"--platform,required,env:KUMQUATHITCH_PLATFORM" help:"IP address and port of the platform's key-value service"`
	Name       string        `arg:"--name,required" help:"name of the VM"`
	ClockError time.Duration `arg:"--clock-error,env:KUMQUATHITCH_CLOCK_ERROR" default:"1s" help:"as set on the VMs"`
	LoanTerm   time.Duration `arg:"--loan-term,env:KUMQUATHITCH_LOAN_TERM" default:"5s" help:"as set on the VMs"`
}

func (c *vmForget) run(ctx context.Context, out io.Writer) error {
	settings := rate.Settings{ClockError: c.ClockError, LoanTerm: c.LoanTerm}
	store := platform.NewStore(c.Platform, storeTimeout)
	parts, err := rate.ForgetVM(ctx, store, c.Name, settings, clock.NewSystem())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s held %d slot parts; they become free in %s\n", c.Name, parts, c.LoanTerm+2*c.ClockError)
	return err
}
