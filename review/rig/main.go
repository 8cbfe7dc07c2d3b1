// Command rig plays the scripted cases of the second review: it starts entry VMs as processes,
// with stand-ins for the platform's store, the servers and the clients, and judges what they see.
//
//	rig -case model-list -entry target/kumquathitch-entry -record review/6/record.txt -trouble 1
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// world is what a case plays with.
type world struct {
	dir     string
	log     *record
	store   *store
	fleet   *fleet
	trouble bool
}

var cases = map[string]func(w *world) error{
	"adapter-list":  adapterList,
	"deadly-part":   deadlyPart,
	"model-version": modelVersion,
	"hot-tenant":    hotTenant,
	"model-list":    modelList,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	entry := flag.String("entry", "target/kumquathitch-entry", "program of an entry VM")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	keep := flag.String("logs", "", "directory for the logs of the VMs; empty for a temporary one")
	flag.Parse()
	play := cases[*name]
	binary, err := filepath.Abs(*entry)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rig"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	log, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := newStore()
	stop := make(chan struct{})
	go s.keepTime(stop)
	w := &world{dir: dir, log: log, store: s, trouble: *trouble != "0", fleet: newFleet(dir, binary, s, log)}
	defer close(stop)
	defer w.fleet.end()
	ended := make(chan error, 1)
	go func() { ended <- play(w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		return 2
	case err = <-ended:
	}
	log.add("broken=%d trouble=%t error=%v", log.count(), w.trouble, err)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case log.count() > 0:
		return 1
	}
	return 0
}
