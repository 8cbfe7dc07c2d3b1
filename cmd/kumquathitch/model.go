package main

import (
	"context"
	"io"
	"slices"
	"strconv"

	"kumquathitch.example/kumquathitch"
)

const modelUsage = `
model list                                   list models and adapters
model add NAME --bytes N [--cache-reserve N] [--class C] [--version V]
model add NAME --of MODEL --bytes N          add an adapter
model change NAME [--version V] [--class C]  a new version is loaded before the old one is unloaded
model remove NAME                            remove a model without adapters, or an adapter

Example:
  kumquathitch model add wind-brief --bytes 15032385536 --cache-reserve 6442450944 --class interactive
`

type modelCommand struct {
	List   *modelList   `arg:"subcommand:list" help:"list models and adapters"`
	Add    *modelAdd    `arg:"subcommand:add" help:"add a model or an adapter"`
	Change *modelChange `arg:"subcommand:change" help:"change a model"`
	Remove *modelRemove `arg:"subcommand:remove" help:"remove a model or an adapter"`
}

type modelList struct {
	storeFlags
}

type modelAdd struct {
	storeFlags
	Name         string `arg:"positional,required"`
	Bytes        int64  `arg:"--bytes,required" help:"accelerator memory of the weights, bytes"`
	CacheReserve int64  `arg:"--cache-reserve" help:"accelerator memory for the KV cache of one replica, bytes"`
	Class        string `arg:"--class" help:"interactive, standard or batch [default: standard]"`
	Version      string `arg:"--version" help:"version of the weights [default: 1]"`
	Of           string `arg:"--of" help:"the model that the adapter applies to"`
}

type modelChange struct {
	storeFlags
	Name    string `arg:"positional,required"`
	Class   string `arg:"--class" help:"interactive, standard or batch"`
	Version string `arg:"--version" help:"version of the weights"`
}

type modelRemove struct {
	storeFlags
	Name string `arg:"positional,required"`
}

// modelLists is the JSON output of modelList.
type modelLists struct {
	Models   kumquathitch.Models   `json:"models"`
	Adapters kumquathitch.Adapters `json:"adapters"`
}

func (c *modelList) run(ctx context.Context, out io.Writer) error {
	config, err := c.repository().Read(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, modelLists{config.Models, config.Adapters})
	}
	lines := [][]string{{"NAME", "ADAPTER OF", "VERSION", "CLASS", "MIB", "CACHE MIB"}}
	for _, m := range config.Models {
		lines = append(lines, []string{m.Name, "-", m.Version, m.Class, formatMiB(m.Bytes), formatMiB(m.CacheReserve)})
	}
	for _, a := range config.Adapters {
		lines = append(lines, []string{a.Name, a.Model, "-", "-", formatMiB(a.Bytes), "-"})
	}
	return printTable(out, lines)
}

func formatMiB(bytes int64) string {
	return strconv.FormatInt(bytes>>20, 10)
}

func (c *modelAdd) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		if c.Of != "" {
			config.Adapters = append(config.Adapters, kumquathitch.Adapter{Name: c.Name, Model: c.Of, Bytes: c.Bytes})
			return nil
		}
		config.Models = append(config.Models, kumquathitch.Model{
			Name: c.Name, Version: c.Version, Bytes: c.Bytes, CacheReserve: c.CacheReserve, Class: c.Class,
		})
		return nil
	})
}

func (c *modelChange) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		m := config.Models.Find(c.Name)
		if m == nil {
			return unknownModel(c.Name)
		}
		if c.Class != "" {
			m.Class = c.Class
		}
		if c.Version != "" {
			m.Version = c.Version
		}
		return nil
	})
}

func (c *modelRemove) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		if !config.HasModel(c.Name) {
			return unknownModel(c.Name)
		}
		config.Models = slices.DeleteFunc(config.Models, func(m kumquathitch.Model) bool { return m.Name == c.Name })
		config.Adapters = slices.DeleteFunc(config.Adapters, func(a kumquathitch.Adapter) bool { return a.Name == c.Name })
		isRemoved := func(name string) bool { return name == c.Name }
		for i := range config.Accounts {
			config.Accounts[i].Models = slices.DeleteFunc(config.Accounts[i].Models, isRemoved)
		}
		for i := range config.Upstreams {
			config.Upstreams[i].Models = slices.DeleteFunc(config.Upstreams[i].Models, isRemoved)
		}
		return nil
	})
}

func unknownModel(name string) error {
	return notListed("model", name, "the name of a model or adapter; see kumquathitch model list")
}
