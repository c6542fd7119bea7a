// Command knownred runs "go test -json" and compares the result with the list of
// known failures: a listed test may fail, any other failure is an error.
// Arguments after "---" belong to a further run, which starts when the one
// before has ended.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"github.com/rotisserie/eris"
)

// knownFailureFields is the number of fields in a line of the list.
const knownFailureFields = 5

// runSeparator separates the arguments of two runs.
const runSeparator = "---"

// knownFailure is one line of the list.
type knownFailure struct {
	test     string
	command  string
	seed     string
	observed string
	issue    string
}

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	// Elapsed is the time that a test or package took, in seconds.
	Elapsed float64
}

// testResults holds the results of all runs.
type testResults struct {
	passed  int
	skipped int
	// ran holds the names of the tests that ended, also as skipped.
	ran map[string]bool
	// running maps the names of tests that haven't ended to their packages.
	running map[string]string
	// failed maps the names of failed tests and packages to their output.
	failed map[string]string
}

func newTestResults() *testResults {
	return &testResults{ran: map[string]bool{}, running: map[string]string{}, failed: map[string]string{}}
}

func main() {
	file := flag.String("file", "KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	if err := run(*file, flag.Args()); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// run executes the tests with args. It returns an error if a test fails that
// isn't listed in file or if a listed test doesn't run. If nothing failed, it
// returns the last error of the "go test" commands.
func run(file string, args []string) error {
	list, err := os.Open(file)
	if err != nil {
		return eris.Wrap(err, "open list of known failures")
	}
	defer list.Close()
	known, err := parseKnownFailures(list)
	if err != nil {
		return err
	}
	results := newTestResults()
	var runErr error
	for _, runArgs := range splitRuns(args) {
		if err := results.runTests(runArgs); err != nil {
			runErr = err
		}
	}
	checkErr := checkFailures(results, known)
	if checkErr == nil && len(results.failed) == 0 {
		checkErr = runErr
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", results.passed, len(results.failed), results.skipped)
	return checkErr
}

// splitRuns splits the arguments at each runSeparator.
func splitRuns(args []string) [][]string {
	runs := [][]string{nil}
	for _, arg := range args {
		if arg == runSeparator {
			runs = append(runs, nil)
			continue
		}
		last := len(runs) - 1
		runs[last] = append(runs[last], arg)
	}
	return runs
}

// runTests runs "go test -json" once and adds its results.
func (t *testResults) runTests(args []string) error {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "pipe")
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start go test")
	}
	if err := t.collect(out); err != nil {
		return err
	}
	return eris.Wrap(cmd.Wait(), "go test")
}

// parseKnownFailures reads the list. A line with a missing or empty field is an
// error.
func parseKnownFailures(r io.Reader) (map[string]knownFailure, error) {
	known := map[string]knownFailure{}
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, " | ")
		if len(fields) != knownFailureFields {
			return nil, eris.Errorf("known failures, line %d: %d fields, want %d", number, len(fields), knownFailureFields)
		}
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
			if fields[i] == "" {
				return nil, eris.Errorf("known failures, line %d: field %d is empty", number, i+1)
			}
		}
		known[fields[0]] = knownFailure{fields[0], fields[1], fields[2], fields[3], fields[4]}
	}
	return known, lines.Err()
}

// collect reads the events of a run and prints each package when it ends. It
// prints a line that isn't an event as it is.
func (t *testResults) collect(r io.Reader) error {
	output := map[string]*strings.Builder{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		t.add(e, output)
	}
	return lines.Err()
}

// add processes one event.
func (t *testResults) add(e event, output map[string]*strings.Builder) {
	name := e.Package
	if e.Test != "" {
		name += "." + e.Test
	}
	switch e.Action {
	case "run":
		t.running[name] = e.Package
	case "output":
		if output[name] == nil {
			output[name] = &strings.Builder{}
		}
		output[name].WriteString(e.Output)
	case "pass", "skip", "fail":
		if e.Test == "" {
			t.failUnfinished(e.Package, output)
		}
		t.recordEnd(e, name, output[name])
		delete(output, name)
		delete(t.running, name)
	}
}

// failUnfinished marks the tests of a package that never ended as failed, as
// after a crash of the test process, even if the package has a known failure.
func (t *testResults) failUnfinished(pkg string, output map[string]*strings.Builder) {
	for name, testPackage := range t.running {
		if testPackage != pkg {
			continue
		}
		t.failed[name] = "the test did not end\n"
		if text := output[name]; text != nil {
			t.failed[name] += text.String()
		}
		delete(t.running, name)
	}
}

// recordEnd records the end of a test or package.
func (t *testResults) recordEnd(e event, name string, output *strings.Builder) {
	text := ""
	if output != nil {
		text = output.String()
	}
	if e.Test == "" {
		fmt.Printf("%-5s %6.1f s  %s\n", e.Action, e.Elapsed, e.Package)
		if e.Action == "fail" && !t.hasFailedTest(e.Package) {
			t.failed[name] = text
		}
		return
	}
	t.ran[name] = true
	switch e.Action {
	case "pass":
		t.passed++
	case "skip":
		t.skipped++
	case "fail":
		t.failed[name] = text
	}
}

// hasFailedTest reports whether a test of the package failed.
func (t *testResults) hasFailedTest(pkg string) bool {
	for name := range t.failed {
		if strings.HasPrefix(name, pkg+".") {
			return true
		}
	}
	return false
}

// checkFailures prints every failure and returns an error unless all are known.
// A listed test that did not run is also an error.
func checkFailures(results *testResults, known map[string]knownFailure) error {
	unexpected := 0
	for name, output := range results.failed {
		if e, ok := known[name]; ok {
			fmt.Printf("KNOWN RED %s (issue %s, seed %s): %s\n  %s\n", e.test, e.issue, e.seed, e.observed, e.command)
			continue
		}
		unexpected++
		fmt.Printf("\nFAIL %s\n%s\n", name, output)
	}
	for name, e := range known {
		if !results.ran[name] {
			unexpected++
			fmt.Printf("FAIL known failure %s (issue %s): no such test ran\n", name, e.issue)
		}
	}
	if unexpected > 0 {
		return eris.Errorf("%d tests or packages failed that aren't listed, or are listed and did not run", unexpected)
	}
	return nil
}
