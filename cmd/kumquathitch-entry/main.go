// Command kumquathitch-entry is the daemon of an entry VM on the users' platform.
//
// # Usage
//
//	KUMQUATHITCH_NODE_FILE=/etc/kumquathitch/settings.conf kumquathitch-entry --metrics-port 9464
//
// The platform's settings file, named by KUMQUATHITCH_NODE_FILE, gives the addresses
// and limits. Flags, or environment variables of the same names, give the settings
// that the file does not contain. SIGTERM drains the VM and ends the process. Exit
// codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/platform"
	"kumquathitch.example/kumquathitch/telemetry"
	"kumquathitch.example/kumquathitch/vm"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

type settings struct {
	MetricsPort   int    `arg:"--metrics-port,env:KUMQUATHITCH_METRICS_PORT" default:"0" help:"port for metrics on the VM's address; 0 disables them"`
	LogLevel      string `arg:"--log-level,env:KUMQUATHITCH_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	TraceEndpoint string `arg:"--trace-endpoint,env:KUMQUATHITCH_TRACE_ENDPOINT" help:"OTLP/HTTP endpoint to send spans to, such as 127.0.0.1:4318; empty disables tracing"`
}

// Validate returns a *kumquathitch.ValidationError with all invalid settings.
func (s *settings) Validate() error {
	var problems kumquathitch.Problems
	if s.MetricsPort < 0 || s.MetricsPort > 65535 {
		problems.Add("metrics-port (KUMQUATHITCH_METRICS_PORT)", s.MetricsPort, "a port from 1 to 65535, or 0")
	}
	if _, err := zap.ParseAtomicLevel(s.LogLevel); err != nil {
		problems.Add("log-level (KUMQUATHITCH_LOG_LEVEL)", s.LogLevel, "debug, info, warn or error")
	}
	return problems.Err()
}

func main() {
	os.Exit(run())
}

func run() int {
	var flags settings
	arg.MustParse(&flags)
	environment, err := platform.ReadEnvironment()
	if err := errors.Join(flags.Validate(), err); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if flags.MetricsPort > 0 {
		host, _, _ := net.SplitHostPort(environment.PeerAddress) // ReadEnvironment has checked the address.
		environment.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(flags.MetricsPort))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // Settings are read only at the start of the process.
	tracing, err := telemetry.NewTracing(ctx, "kumquathitch-entry", flags.TraceEndpoint)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	set := metrics.NewSet()
	log, flush := telemetry.NewBoundedLogger(os.Stdout, flags.LogLevel, set)
	defer flush()
	if err := vm.New(environment, log, set, tracing).Run(ctx); err != nil {
		log.Error("ended", zap.Error(err))
		return exitFailure
	}
	return 0
}
