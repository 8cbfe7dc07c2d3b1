package main

import (
	"context"
	"io"

	"kumquathitch.example/kumquathitch"
)

const rateUsage = `
rate set ACCOUNT TOKENS-PER-SECOND BURST-TOKENS   change a rate and burst without a restart

Example:
  kumquathitch rate set crew-a 5000 80000
`

type rateCommand struct {
	Set *rateSet `arg:"subcommand:set" help:"change the rate and burst of a client account"`
}

type rateSet struct {
	storeFlags
	Account string  `arg:"positional,required"`
	Rate    float64 `arg:"positional,required"`
	Burst   float64 `arg:"positional,required"`
}

func (c *rateSet) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		a := config.Accounts.Find(c.Account)
		if a == nil {
			return unknownAccount(c.Account)
		}
		a.Rate, a.Burst = c.Rate, c.Burst
		return nil
	})
}
