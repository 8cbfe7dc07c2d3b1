// Command kumquathitch is the command-line tool of the operators.
//
// # Usage
//
//	kumquathitch demo
//	kumquathitch config apply --platform 10.0.0.2:7000 --file site.json
//
// Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another
// operator's change, 4 unknown whether the change was stored.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"kumquathitch.example/kumquathitch"
)

// Exit codes.
const (
	exitFailure      = 1
	exitInvalidInput = 2
	exitConflict     = 3
	exitUnknown      = 4
)

// command is a subcommand with its arguments.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

type args struct {
	Demo   *demoCommand   `arg:"subcommand:demo" help:"run a demonstration in one process, with stand-ins"`
	Config *configCommand `arg:"subcommand:config" help:"check, apply and show the configuration"`

	Account       *accountCommand       `arg:"subcommand:account" help:"client accounts"`
	Key           *keyCommand           `arg:"subcommand:key" help:"keys of client accounts"`
	Rate          *rateCommand          `arg:"subcommand:rate" help:"rates of client accounts"`
	Model         *modelCommand         `arg:"subcommand:model" help:"models and adapters"`
	Route         *routeCommand         `arg:"subcommand:route" help:"routes"`
	Upstream      *upstreamCommand      `arg:"subcommand:upstream" help:"upstreams"`
	Evacuation    *evacuationCommand    `arg:"subcommand:evacuation" help:"evacuate data centres"`
	Questionnaire *questionnaireCommand `arg:"subcommand:questionnaire" help:"generate a configuration from answers"`
	Status        *statusCommand        `arg:"subcommand:status" help:"show the state of a VM and advice"`
	Explain       *explainCommand       `arg:"subcommand:explain" help:"reconstruct one call from logs"`
	Replay        *replayCommand        `arg:"subcommand:replay" help:"replay a trace and compare policies"`
	VM            *vmCommand            `arg:"subcommand:vm" help:"manage entry VMs"`
}

// Epilogue implements arg.Epilogued: it returns the usage of all subcommands.
func (args) Epilogue() string {
	return demoUsage + questionnaireUsage + configUsage + accountUsage + keyUsage + rateUsage + modelUsage + routeUsage +
		upstreamUsage + evacuationUsage + vmUsage + statusUsage + explainUsage + replayUsage
}

func main() {
	var a args
	selected := parse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := selected.run(ctx, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// parse parses the arguments and returns the selected subcommand. It prints help to
// standard output and usage errors to standard error, and exits in both cases.
func parse(a *args) command {
	parser, err := arg.NewParser(arg.Config{Program: "kumquathitch", Out: os.Stderr, Exit: func(int) { os.Exit(exitInvalidInput) }}, a)
	if err != nil {
		panic(err) // Only invalid struct tags cause an error.
	}
	if err = parser.Parse(os.Args[1:]); errors.Is(err, arg.ErrHelp) {
		if err = parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...); err != nil {
			os.Exit(exitFailure)
		}
		os.Exit(0)
	}
	if err != nil {
		_ = parser.FailSubcommand(err.Error(), parser.SubcommandNames()...)
	}
	selected, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a subcommand is required; see --help")
	}
	return selected
}

func exitCode(err error) int {
	var invalid *kumquathitch.ValidationError
	var conflict *kumquathitch.ConfigurationConflictError
	var unknown *kumquathitch.ConfigurationUnknownError
	switch {
	case errors.As(err, &invalid):
		return exitInvalidInput
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	}
	return exitFailure
}
