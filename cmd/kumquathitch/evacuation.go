package main

import (
	"context"
	"io"
	"time"

	"kumquathitch.example/kumquathitch"
)

const evacuationUsage = `
evacuation list               list the data centres that are evacuated, and since when
evacuation begin DATACENTRE   stop new requests to its upstreams; running ones end there, and
                              models get replicas elsewhere
evacuation end DATACENTRE     use its upstreams again

The entry VMs of the data centre go on serving callers. What still runs there is in the
output of status.

Example:
  kumquathitch evacuation begin montreal-1
`

type evacuationCommand struct {
	List  *evacuationList  `arg:"subcommand:list" help:"list the data centres that are evacuated"`
	Begin *evacuationBegin `arg:"subcommand:begin" help:"evacuate a data centre"`
	End   *evacuationEnd   `arg:"subcommand:end" help:"use a data centre again"`
}

type evacuationList struct {
	storeFlags
}

type evacuationBegin struct {
	storeFlags
	DataCentre string `arg:"positional,required"`
}

type evacuationEnd struct {
	storeFlags
	DataCentre string `arg:"positional,required"`
}

func (c *evacuationList) run(ctx context.Context, out io.Writer) error {
	config, err := c.repository().Read(ctx)
	if err != nil {
		return err
	}
	evacuated := kumquathitch.DataCentres{}
	lines := [][]string{{"DATA CENTRE", "SINCE"}}
	for _, d := range config.DataCentres {
		if config.DataCentres.Evacuated(d.Name) {
			evacuated = append(evacuated, d)
			lines = append(lines, []string{d.Name, d.EvacuatedSince.Format(time.RFC3339)})
		}
	}
	if c.JSON {
		return printJSON(out, evacuated)
	}
	return printTable(out, lines)
}

// run begins the evacuation. One that stands keeps its time.
func (c *evacuationBegin) run(ctx context.Context, out io.Writer) error {
	return c.change(ctx, out, c.DataCentre, func(d *kumquathitch.DataCentre) {
		if d.EvacuatedSince.IsZero() {
			d.EvacuatedSince = time.Now().UTC().Round(time.Second)
		}
	})
}

func (c *evacuationEnd) run(ctx context.Context, out io.Writer) error {
	return c.change(ctx, out, c.DataCentre, func(d *kumquathitch.DataCentre) { d.EvacuatedSince = time.Time{} })
}

// change changes one data centre of the configuration.
func (f *storeFlags) change(ctx context.Context, out io.Writer, dataCentre string, change func(d *kumquathitch.DataCentre)) error {
	return f.edit(ctx, out, func(config *kumquathitch.Configuration) error {
		found := config.DataCentres.Find(dataCentre)
		if found == nil {
			return notListed("data-centre", dataCentre, "the name of a listed data centre")
		}
		change(found)
		return nil
	})
}
