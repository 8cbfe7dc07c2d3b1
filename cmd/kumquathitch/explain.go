package main

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"

	"kumquathitch.example/kumquathitch/trail"
)

const explainUsage = `
explain ID [FILE...]  reconstruct one call from the logs of several VMs: its sends and
                      refusals in order, the state of the VMs at that time, and the
                      cause as far as the logs show it

Example:
  kumquathitch explain 9c41d07be2a35f68 entry-1.log entry-2.log
  collect-logs | kumquathitch explain 9c41d07be2a35f68
`

type explainCommand struct {
	Call  string   `arg:"positional,required" help:"id of the call"`
	Files []string `arg:"positional" help:"logs of VMs; standard input when omitted"`
}

func (c *explainCommand) run(_ context.Context, out io.Writer) error {
	callTrail := trail.New(c.Call)
	if len(c.Files) == 0 {
		if err := callTrail.ReadLog("standard input", os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := readLog(callTrail, name); err != nil {
			return err
		}
	}
	return callTrail.Print(out)
}

func readLog(callTrail *trail.Trail, name string) (err error) {
	file, err := os.Open(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return callTrail.ReadLog(filepath.Base(name), file)
}
