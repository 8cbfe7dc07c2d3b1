package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"kumquathitch.example/kumquathitch"
)

const keyUsage = `
key list ACCOUNT      list keys by id, without secrets
key create ACCOUNT    create a key and print it; it cannot be shown again
key withdraw ID       withdraw a key within seconds, also for open connections

Example:
  kumquathitch key withdraw 4f1d2a90c3b7e655
`

type keyCommand struct {
	List     *keyList     `arg:"subcommand:list" help:"list the keys of a client account"`
	Create   *keyCreate   `arg:"subcommand:create" help:"create a key"`
	Withdraw *keyWithdraw `arg:"subcommand:withdraw" help:"withdraw a key"`
}

type keyList struct {
	storeFlags
	Account string `arg:"positional,required"`
}

type keyCreate struct {
	storeFlags
	Account string `arg:"positional,required"`
}

type keyWithdraw struct {
	storeFlags
	ID string `arg:"positional,required"`
}

// keyRow is the JSON output for one key.
type keyRow struct {
	ID        string    `json:"id"`
	Created   time.Time `json:"created"`
	Withdrawn bool      `json:"withdrawn"`
}

func (c *keyList) run(ctx context.Context, out io.Writer) error {
	config, err := c.repository().Read(ctx)
	if err != nil {
		return err
	}
	a := config.Accounts.Find(c.Account)
	if a == nil {
		return unknownAccount(c.Account)
	}
	rows := make([]keyRow, 0, len(a.Keys))
	lines := [][]string{{"KEY", "CREATED", "STATE"}}
	for _, k := range a.Keys {
		rows = append(rows, keyRow{k.ID, k.Created, k.Withdrawn})
		state := "active"
		if k.Withdrawn {
			state = "withdrawn"
		}
		lines = append(lines, []string{k.ID, k.Created.Format(time.RFC3339), state})
	}
	if c.JSON {
		return printJSON(out, rows)
	}
	return printTable(out, lines)
}

func (c *keyCreate) run(ctx context.Context, out io.Writer) error {
	key, secret := kumquathitch.NewKey(time.Now())
	err := c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		a := config.Accounts.Find(c.Account)
		if a == nil {
			return unknownAccount(c.Account)
		}
		a.Keys = append(a.Keys, key)
		return nil
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, map[string]string{"key": secret})
	}
	_, err = fmt.Fprintf(out, "key (shown only now): %s\n", secret)
	return err
}

func (c *keyWithdraw) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		for i := range config.Accounts {
			keys := config.Accounts[i].Keys
			for j := range keys {
				if keys[j].ID == c.ID {
					keys[j].Withdrawn = true
					return nil
				}
			}
		}
		return notListed("key", c.ID, "the id of a key; see kumquathitch key list ACCOUNT")
	})
}
