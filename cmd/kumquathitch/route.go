package main

import (
	"context"
	"io"
	"slices"
	"strconv"

	"kumquathitch.example/kumquathitch"
)

const routeUsage = `
route list                           list routes with their services
route add METHOD PATH [--service S] [--idempotent] [--require-idempotency-key] [--open] [--class C]
route remove METHOD PATH

Example:
  kumquathitch route add POST /bookings --service dispatch --require-idempotency-key
`

type routeCommand struct {
	List   *routeList   `arg:"subcommand:list" help:"list routes"`
	Add    *routeAdd    `arg:"subcommand:add" help:"add a route"`
	Remove *routeRemove `arg:"subcommand:remove" help:"remove a route"`
}

type routeList struct {
	storeFlags
}

type routeAdd struct {
	storeFlags
	Method     string `arg:"positional,required"`
	Path       string `arg:"positional,required"`
	Service    string `arg:"--service" help:"name of a plain service; chat completions when omitted"`
	Idempotent bool   `arg:"--idempotent" help:"calls may be retried"`
	RequireKey bool   `arg:"--require-idempotency-key" help:"refuse calls without an Idempotency-Key"`
	Open       bool   `arg:"--open" help:"clients need no key"`
	Class      string `arg:"--class" help:"interactive, standard or batch [default: standard]"`
}

type routeRemove struct {
	storeFlags
	Method string `arg:"positional,required"`
	Path   string `arg:"positional,required"`
}

func (c *routeList) run(ctx context.Context, out io.Writer) error {
	config, err := c.repository().Read(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, config.Routes)
	}
	lines := [][]string{{"METHOD", "PATH", "SERVICE", "IDEMPOTENT", "KEY REQUIRED", "OPEN", "CLASS"}}
	for _, r := range config.Routes {
		service := r.Service
		if service == "" {
			service = "(models)"
		}
		lines = append(lines, []string{
			r.Method, r.Path, service, strconv.FormatBool(r.Idempotent),
			strconv.FormatBool(r.RequireIdempotencyKey), strconv.FormatBool(r.Open), r.Class,
		})
	}
	return printTable(out, lines)
}

func (c *routeAdd) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		config.Routes = append(config.Routes, kumquathitch.Route{
			Method: c.Method, Path: c.Path, Service: c.Service, Idempotent: c.Idempotent,
			RequireIdempotencyKey: c.RequireKey, Open: c.Open, Class: c.Class,
		})
		return nil
	})
}

func (c *routeRemove) run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		matches := func(r kumquathitch.Route) bool { return r.Method == c.Method && r.Path == c.Path }
		if !slices.ContainsFunc(config.Routes, matches) {
			return notListed("route", c.Method+" "+c.Path, "the method and path of a route; see kumquathitch route list")
		}
		config.Routes = slices.DeleteFunc(config.Routes, matches)
		return nil
	})
}
