// Command kumquathitch-standin runs a stand-in for a platform, engine or service as
// a process, for tests and demonstrations.
//
// # Usage
//
//	kumquathitch-standin platform --listen 127.0.0.1:7000
//	kumquathitch-standin engine --listen 127.0.0.1:8001 --name planner-llm-1 --model rigging
//	kumquathitch-standin service --listen 127.0.0.1:8101 --name dispatch
//
// Each serves until SIGTERM or SIGINT. Exit codes: 0 after a signal, 1 after
// a failure, 2 for invalid arguments, 3 when a request crashed the engine.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/standin"
)

const (
	exitFailure = 1
	exitCrash   = 3
)

type platformArgs struct {
	Listen string `arg:"--listen,required" help:"IP address and port"`
}

type engineArgs struct {
	Listen        string        `arg:"--listen,required" help:"IP address and port"`
	Name          string        `arg:"--name,required" help:"name of the upstream"`
	Models        []string      `arg:"--model,separate" help:"model or adapter that is resident; may be repeated"`
	ChecksFencing bool          `arg:"--checks-fencing" help:"refuse orders with an outdated fencing token"`
	Resumes       bool          `arg:"--resumes" help:"resume interrupted streams"`
	Echoes        bool          `arg:"--echoes" help:"return the request id in the response"`
	TokenInterval time.Duration `arg:"--token-interval" help:"time between two tokens" default:"0s"`
	Memory        int64         `arg:"--memory" help:"memory of the single accelerator, bytes" default:"85899345920"`
}

type serviceArgs struct {
	Listen string `arg:"--listen,required" help:"IP address and port"`
	Name   string `arg:"--name,required" help:"name of the service"`
}

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"the platform's key-value service and list of VMs"`
	Engine   *engineArgs   `arg:"subcommand:engine" help:"a model engine"`
	Service  *serviceArgs  `arg:"subcommand:service" help:"a plain service"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Platform != nil:
		err = serve(a.Platform.Listen, standin.NewStoreHandler(standin.NewStore(clock.NewSystem())))
	case a.Engine != nil:
		err = serve(a.Engine.Listen, newEngine(a.Engine).Handler())
	case a.Service != nil:
		err = serve(a.Service.Listen, standin.NewService(a.Service.Name).Handler())
	default:
		parser.Fail("a subcommand is required: platform, engine or service")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func newEngine(a *engineArgs) *standin.Engine {
	return standin.NewEngine(standin.EngineSettings{
		Name:            a.Name,
		ChecksFencing:   a.ChecksFencing,
		ResumesStreams:  a.Resumes,
		EchoesRequestID: a.Echoes,
		TokenInterval:   a.TokenInterval,
		Resident:        a.Models,
		Accelerators:    kumquathitch.Accelerators{{Bytes: a.Memory}},
		OnCrash:         func() { os.Exit(exitCrash) },
	}, clock.NewSystem())
}

func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
