// Command kumquathitch is the operators' command.
//
// # Usage
//
//	kumquathitch demo
//	kumquathitch config apply --platform 10.0.0.2:7000 --file site.json
//
// Exit codes: 0 success, 1 failure, 2 bad input, 3 conflict with another operator,
// 4 unknown outcome.
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
	exitFailure  = 1
	exitBadInput = 2
	exitConflict = 3
	exitUnknown  = 4
)

// command is a subcommand with its arguments.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

type args struct {
	Demo   *demoCommand   `arg:"subcommand:demo" help:"run everything in one process on stand-ins"`
	Config *configCommand `arg:"subcommand:config" help:"check, apply and show the configuration"`

	Account       *accountCommand       `arg:"subcommand:account" help:"client accounts"`
	Key           *keyCommand           `arg:"subcommand:key" help:"keys of client accounts"`
	Rate          *rateCommand          `arg:"subcommand:rate" help:"rates of client accounts"`
	Model         *modelCommand         `arg:"subcommand:model" help:"models and adapters"`
	Route         *routeCommand         `arg:"subcommand:route" help:"routes"`
	Upstream      *upstreamCommand      `arg:"subcommand:upstream" help:"upstreams"`
	Questionnaire *questionnaireCommand `arg:"subcommand:questionnaire" help:"make a configuration from answers"`
	Status        *statusCommand        `arg:"subcommand:status" help:"ask a VM what is degraded and what to do"`
	Explain       *explainCommand       `arg:"subcommand:explain" help:"tell from logs what happened to one call"`
	Replay        *replayCommand        `arg:"subcommand:replay" help:"run a trace through the decisions and compare"`
	VM            *vmCommand            `arg:"subcommand:vm" help:"tell the system about VMs"`
}

// Epilogue ends the help text.
func (args) Epilogue() string {
	return demoUsage + questionnaireUsage + configUsage + accountUsage + keyUsage + rateUsage + modelUsage + routeUsage +
		upstreamUsage + vmUsage + statusUsage + explainUsage + replayUsage
}

func main() {
	var a args
	chosen := parse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := chosen.run(ctx, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// parse returns the chosen subcommand. Help goes to standard output, a usage
// error to standard error.
func parse(a *args) command {
	parser, err := arg.NewParser(arg.Config{Program: "kumquathitch", Out: os.Stderr, Exit: func(int) { os.Exit(exitBadInput) }}, a)
	if err != nil {
		panic(err) // The tags of the arguments are wrong.
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
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a subcommand is required; see --help")
	}
	return chosen
}

func exitCode(err error) int {
	var invalid *kumquathitch.ValidationError
	var conflict *kumquathitch.ConfigurationConflictError
	var unknown *kumquathitch.ConfigurationUnknownError
	switch {
	case errors.As(err, &invalid):
		return exitBadInput
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	}
	return exitFailure
}
