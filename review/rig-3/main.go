// Command rig-3 plays the cases of the third review: entry VMs as processes of their own before stand-ins of
// the platform's store, servers and clients.
//
// Usage: rig-3 CASE FOLDER. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(folder string) bool{"names": longNames, "upload": slowUploads, "key": keyRevoked, "timeout": timeoutLowered, "pause": pausedReaders}

func main() {
	os.Exit(run())
}

func run() (code int) {
	defer func() {
		if c := recover(); c != nil {
			fmt.Println("could not run:", c)
			if running != nil {
				running.end()
			}
			code = 2
		}
	}()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		panic("usage: rig-3 CASE FOLDER")
	}
	if cases[os.Args[1]](os.Args[2]) {
		return 1
	}
	return 0
}
