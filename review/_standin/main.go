// Command standin runs one case of the independent review: it starts egretnode processes
// with the command of the deploy file, beside stand-ins of the platform's store, backend
// servers and consumers on loopback addresses, and checks one rule from what these see.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit ends a case that takes longer than a script may run.
const limit = 110 * time.Second

// cases are the cases by name. Each returns what broke the rule; empty: the rule held.
var cases = map[string]func(*env) (broken string, err error){
	"dropped-route":   droppedRoute,
	"foreign-id":      foreignID,
	"split-route":     splitRoute,
	"late-first-ping": lateFirstPing,
	"poison":          poison,
	// Without a folder of their own.
	"broken-pipeline": brokenPipeline,
	"denied-uploads":  deniedUploads,
	"endless-body":    endlessBody,
	"foreign-ping":    foreignPing,
	"late-ping":       latePing,
	"long-id":         longID,
	"popular-page":    popularPage,
	"silent-store":    silentStore,
	"wide-limits":     wideLimits,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY (of record.txt)")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*env) (string, error), directory string) int {
	e, err := newEnv(directory, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer e.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	type result struct {
		broken string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(e)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			e.logf("the case could not run: %v", r.err)
			return 2
		case r.broken != "":
			e.logf("BROKEN: %s", r.broken)
			return 1
		}
		e.logf("the rule held")
		return 0
	case <-stopped:
		e.logf("the case was interrupted")
	case <-time.After(limit):
		e.logf("the case took too long")
	}
	return 2
}
