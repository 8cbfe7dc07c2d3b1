package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/configuration"
	"kumquathitch.example/kumquathitch/daemon"
	"kumquathitch.example/kumquathitch/standin"
)

const demoUsage = `
demo runs stand-ins for the platform, three model engines and a plain service,
and one entry VM, all in one process. It prints a request to send with curl.
Ctrl-C ends it.

Example:
  kumquathitch demo --listen 127.0.0.1:8080
`

const (
	demoEngines       = 3
	demoTokenInterval = 20 * time.Millisecond
	demoRate          = 10_000 // Tokens per second.
)

type demoCommand struct {
	Listen string `arg:"--listen" help:"IP address and port for client requests" default:"127.0.0.1:8080"`
}

func (c *demoCommand) run(ctx context.Context, out io.Writer) error {
	systemClock := clock.NewSystem()
	store := standin.NewStore(systemClock)
	// The stand-ins outlive ctx, so that the daemon can drain and release its rate slots.
	standinsContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	platformAddress, err := serveHandler(standinsContext, standin.NewStoreHandler(store))
	if err != nil {
		return err
	}
	config, apiKey, err := demoConfiguration(standinsContext, systemClock)
	if err != nil {
		return err
	}
	if _, err := (&configuration.Repository{Store: store}).Write(ctx, config); err != nil {
		return err
	}
	settings := daemon.Settings{
		Name: "entry-1", DataCentre: "local", Listen: c.Listen, PeerListen: "127.0.0.1:0", Platform: platformAddress,
	}
	settings.SetDefaults()
	parsed, err := settings.Parse()
	if err != nil {
		return err
	}
	d, err := daemon.New(ctx, parsed, os.Stderr)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "Send a request with:\n\n  curl -N http://%s/v1/chat/completions \\\n    -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"rigging\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"Plan the raise.\"}]}'\n\n",
		d.Address(), apiKey)
	return d.Run(ctx)
}

// demoConfiguration starts the upstreams and returns a configuration with them and one
// account, and the API key of the account.
func demoConfiguration(ctx context.Context, c kumquathitch.Clock) (kumquathitch.Configuration, string, error) {
	key, apiKey := kumquathitch.NewKey(c.Now())
	config := kumquathitch.Configuration{
		DataCentres: kumquathitch.DataCentres{{Name: "local", Region: "local"}},
		RateSlots:   1,
		Accounts: kumquathitch.Accounts{{
			Name: "demo", Rate: demoRate, Models: []string{"*"}, Keys: kumquathitch.Keys{key},
		}},
		Models: kumquathitch.Models{{Name: "rigging", Bytes: 16 << 30, CacheReserve: 8 << 30}},
		Routes: kumquathitch.Routes{
			{Path: "/v1/chat/completions", Class: "interactive", Idempotent: true},
			{Path: "/bookings", Service: "dispatch"},
			{Method: "GET", Path: "/rosters/{id}", Service: "dispatch", Idempotent: true},
		},
	}
	for i := range demoEngines {
		name := fmt.Sprintf("planner-llm-%d", i+1)
		engine := standin.NewEngine(standin.EngineSettings{
			Name: name, Resident: []string{"rigging"}, TokenInterval: demoTokenInterval,
		}, c)
		address, err := serveHandler(ctx, engine.Handler())
		if err != nil {
			return config, "", err
		}
		config.Upstreams = append(config.Upstreams, kumquathitch.Upstream{
			Name: name, DataCentre: "local", Address: address, Models: []string{"rigging"},
		})
	}
	address, err := serveHandler(ctx, standin.NewService("dispatch").Handler())
	config.Upstreams = append(config.Upstreams, kumquathitch.Upstream{
		Name: "dispatch-1", Kind: kumquathitch.KindService, Service: "dispatch", DataCentre: "local", Address: address,
	})
	return config, apiKey, err
}

// serveHandler serves a handler on a free loopback port until ctx ends.
func serveHandler(ctx context.Context, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // Ends when ctx closes the server.
	return listener.Addr().String(), nil
}
