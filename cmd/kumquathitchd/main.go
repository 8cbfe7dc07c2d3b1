// Command kumquathitchd is the daemon of an entry VM.
//
// # Usage
//
//	kumquathitchd --name entry-1 --data-centre montreal-1 --listen 10.0.0.5:8080 \
//		--peer-listen 10.0.0.5:7100 --platform 10.0.0.2:7000
//
// Every flag has an environment variable; see --help. SIGTERM drains the VM and ends
// the process. Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for
// invalid settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"kumquathitch.example/kumquathitch/daemon"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	var settings daemon.Settings
	arg.MustParse(&settings)
	settings.SetDefaults()
	parsed, err := settings.Parse()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(ctx, parsed, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
