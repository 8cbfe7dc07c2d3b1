package main

import (
	"context"
	"io"
	"slices"
	"strconv"
	"strings"

	"kumquathitch.example/kumquathitch"
)

const upstreamUsage = `
upstream list                        list upstreams with their data centres
upstream add NAME --data-centre D --address A --accelerators N --accelerator-bytes B [--adapter-pool B]
             [--checks-fencing] [--service S]
upstream remove NAME                 stop new requests within seconds; running ones continue

Example:
  kumquathitch upstream add planner-llm-13 --data-centre montreal-1 --address 10.10.1.20:8000 \
    --accelerators 2 --accelerator-bytes 85899345920 --adapter-pool 8589934592 --checks-fencing
`

type upstreamCommand struct {
	List   *upstreamList   `arg:"subcommand:list" help:"list upstreams"`
	Add    *upstreamAdd    `arg:"subcommand:add" help:"add an upstream"`
	Remove *upstreamRemove `arg:"subcommand:remove" help:"remove an upstream"`
}

type upstreamList struct {
	storeFlags
}

type upstreamAdd struct {
	storeFlags
	Name             string `arg:"positional,required"`
	DataCentre       string `arg:"--data-centre,required" help:"data centre of the server"`
	Address          string `arg:"--address,required" help:"IP address and port"`
	Service          string `arg:"--service" help:"name of a plain service; a model engine when omitted"`
	Accelerators     int    `arg:"--accelerators" help:"number of accelerators of the server"`
	AcceleratorBytes int64  `arg:"--accelerator-bytes" help:"memory of one accelerator, bytes"`
	AdapterPool      int64  `arg:"--adapter-pool" help:"part of that memory reserved for adapters, bytes"`
	ChecksFencing    bool   `arg:"--checks-fencing" help:"the engine refuses orders with an outdated fencing token"`
}

type upstreamRemove struct {
	storeFlags
	Name string `arg:"positional,required"`
}

func (c *upstreamList) run(ctx context.Context, out io.Writer) error {
	config, err := c.repository().Read(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, config.Upstreams)
	}
	lines := [][]string{{"UPSTREAM", "KIND", "DATA CENTRE", "ADDRESS", "ACCELERATORS", "CHECKS FENCING", "MODELS AT START"}}
	for _, u := range config.Upstreams {
		kind := u.Kind
		if u.Service != "" {
			kind += " " + u.Service
		}
		lines = append(lines, []string{
			u.Name, kind, u.DataCentre, u.Address, strconv.Itoa(len(u.Accelerators)),
			strconv.FormatBool(u.ChecksFencing), strings.Join(u.Models, ","),
		})
	}
	return printTable(out, lines)
}

func (c *upstreamAdd) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		u := kumquathitch.Upstream{
			Name: c.Name, DataCentre: c.DataCentre, Address: c.Address, Service: c.Service, ChecksFencing: c.ChecksFencing,
		}
		if c.Service != "" {
			u.Kind = kumquathitch.KindService
		}
		for range c.Accelerators {
			u.Accelerators = append(u.Accelerators, kumquathitch.Accelerator{Bytes: c.AcceleratorBytes, AdapterPool: c.AdapterPool})
		}
		config.Upstreams = append(config.Upstreams, u)
		return nil
	})
}

func (c *upstreamRemove) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		matches := func(u kumquathitch.Upstream) bool { return u.Name == c.Name }
		if !slices.ContainsFunc(config.Upstreams, matches) {
			return notListed("upstream", c.Name, "the name of an upstream; see kumquathitch upstream list")
		}
		config.Upstreams = slices.DeleteFunc(config.Upstreams, matches)
		return nil
	})
}
