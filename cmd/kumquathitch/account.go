package main

import (
	"context"
	"io"
	"slices"
	"strconv"
	"strings"

	"kumquathitch.example/kumquathitch"
)

const accountUsage = `
account list                              list client accounts with their rates
account create NAME --rate R [--burst B]  create an account; create keys with "key create"
account change NAME [--rate R] [--burst B] [--class C] [--model M ...]
account remove NAME                       remove an account and all its keys

Example:
  kumquathitch account create crew-c --rate 2000 --burst 30000 --model rigging-plan
`

type accountCommand struct {
	List   *accountList   `arg:"subcommand:list" help:"list client accounts"`
	Create *accountCreate `arg:"subcommand:create" help:"create a client account"`
	Change *accountChange `arg:"subcommand:change" help:"change a client account"`
	Remove *accountRemove `arg:"subcommand:remove" help:"remove a client account"`
}

type accountList struct {
	storeFlags
}

type accountCreate struct {
	storeFlags
	Name   string   `arg:"positional,required"`
	Rate   float64  `arg:"--rate,required" help:"tokens per second over the whole fleet"`
	Burst  float64  `arg:"--burst" help:"tokens [default: 10 s of the rate]"`
	Class  string   `arg:"--class" help:"gold, silver or bronze [default: silver]"`
	Models []string `arg:"--model,separate" help:"allowed model or adapter, * for all; may be repeated"`
}

type accountChange struct {
	storeFlags
	Name   string   `arg:"positional,required"`
	Rate   float64  `arg:"--rate" help:"tokens per second over the whole fleet"`
	Burst  float64  `arg:"--burst" help:"tokens"`
	Class  string   `arg:"--class" help:"gold, silver or bronze"`
	Models []string `arg:"--model,separate" help:"replaces the allowed models and adapters; may be repeated"`
}

type accountRemove struct {
	storeFlags
	Name string `arg:"positional,required"`
}

// accountRow is the JSON output for one account. It omits the hashes of the keys.
type accountRow struct {
	Name   string   `json:"name"`
	Class  string   `json:"class"`
	Rate   float64  `json:"rate"`
	Burst  float64  `json:"burst"`
	Models []string `json:"models"`
	Keys   int      `json:"active-keys"`
}

func (c *accountList) run(ctx context.Context, out io.Writer) error {
	config, err := c.repository().Read(ctx)
	if err != nil {
		return err
	}
	rows := make([]accountRow, 0, len(config.Accounts))
	for _, a := range config.Accounts {
		active := slices.DeleteFunc(slices.Clone(a.Keys), func(k kumquathitch.Key) bool { return k.Withdrawn })
		rows = append(rows, accountRow{a.Name, a.Class, a.Rate, a.Burst, a.Models, len(active)})
	}
	if c.JSON {
		return printJSON(out, rows)
	}
	lines := [][]string{{"ACCOUNT", "CLASS", "TOKENS/S", "BURST", "KEYS", "MODELS"}}
	for _, r := range rows {
		lines = append(lines, []string{r.Name, r.Class, formatNumber(r.Rate), formatNumber(r.Burst), strconv.Itoa(r.Keys), strings.Join(r.Models, ",")})
	}
	return printTable(out, lines)
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func (c *accountCreate) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		config.Accounts = append(config.Accounts, kumquathitch.Account{
			Name: c.Name, Rate: c.Rate, Burst: c.Burst, Class: c.Class, Models: c.Models,
		})
		return nil
	})
}

func (c *accountChange) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		a := config.Accounts.Find(c.Name)
		if a == nil {
			return unknownAccount(c.Name)
		}
		if c.Rate != 0 {
			a.Rate = c.Rate
		}
		if c.Burst != 0 {
			a.Burst = c.Burst
		}
		if c.Class != "" {
			a.Class = c.Class
		}
		if len(c.Models) > 0 {
			a.Models = c.Models
		}
		return nil
	})
}

func (c *accountRemove) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		removed := config.Accounts.Find(c.Name)
		if removed == nil {
			return unknownAccount(c.Name)
		}
		for _, k := range removed.Keys {
			config.RetiredKeys = append(config.RetiredKeys, k.ID)
		}
		config.Accounts = slices.DeleteFunc(config.Accounts, func(a kumquathitch.Account) bool { return a.Name == c.Name })
		return nil
	})
}

func unknownAccount(name string) error {
	return notListed("account", name, "the name of a client account; see kumquathitch account list")
}
