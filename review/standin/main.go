// Command review-case plays one case of the review: it starts the entry VMs of the
// project as processes before a store, servers and clients of its own, and checks one rule.
//
// # Usage
//
//	review-case NAME RECORD
//
// It runs in the root of the repository. With TROUBLE=0 in the environment it leaves the
// disruption out. Exit codes: 0 when the rule held, 1 when it was broken, 2 when the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// timeLimit ends a case that hangs.
	timeLimit = 115 * time.Second
)

// play is what a case gets.
type play struct {
	record  *record
	trouble bool
	store   *store
	fleet   *fleet
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(p *play) (broken bool, err error){
	"crash-after-start": crashAfterStart,
	"silent-crash":      silentCrash,
	"limit-after-lapse": limitAfterLapse,
	"no-leader":         noLeader,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case NAME RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p := &play{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.printf("case %s, with the disruption: %v", os.Args[1], p.trouble)
	if p.store, err = newStore(); err == nil {
		p.fleet, err = newFleet(rec, p.store.address)
	}
	if err != nil {
		rec.printf("the case cannot run: %v", err)
		return exitFailed
	}
	defer p.fleet.end(os.Getenv("KEEP_LOGS") == "1")
	result := make(chan int, 1)
	go func() { result <- p.judge(os.Args[1]) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-result:
		return code
	case <-signals:
		rec.printf("the case was stopped")
	case <-time.After(timeLimit):
		rec.printf("the case took too long")
	}
	return exitFailed
}

func (p *play) judge(name string) int {
	broken, err := cases[name](p)
	switch {
	case err != nil:
		p.record.printf("the case cannot run: %v", err)
		return exitFailed
	case broken:
		p.record.printf("verdict: the rule was broken")
		return exitBroken
	}
	p.record.printf("verdict: the rule held")
	return exitHeld
}
