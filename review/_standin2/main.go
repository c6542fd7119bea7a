// Command standin2 runs one case of the second review: it starts nodes as the deploy file
// says, with stand-ins for the store, backend servers and consumers, and checks one rule.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the cases by name. Each returns what broke the rule; empty: it held.
var cases = map[string]func(e *environment, trouble bool) (breaks []string, err error){
	"stop-behind":   stopBehind,
	"cut-behind":    cutBehind,
	"deadly-upload": deadlyUpload,
	"deadly-pair":   deadlyPair,
	"raised-limit":  raisedLimit,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "standin2: no case %q\n", *name)
		return cannotRun
	}
	e, err := newEnvironment(*root, *recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return cannotRun
	}
	defer e.close()
	trouble := os.Getenv("TROUBLE") != "0"
	breaks, err := run(e, trouble)
	if err != nil {
		e.record.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return cannotRun
	}
	for _, b := range breaks {
		e.record.logf("BREAK: %s", b)
		fmt.Println(b)
	}
	e.record.logf("verdict: %d breaks", len(breaks))
	fmt.Printf("%s: %d breaks\n", *name, len(breaks))
	if len(breaks) > 0 {
		return broken
	}
	return held
}
