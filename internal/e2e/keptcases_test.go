package e2e

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// keptCases are the cases of the reviews by the stand-in that runs them. Each needs the
// template of the settings, the store's protocol and the operator's configuration.
var keptCases = map[string][]string{
	"_standin":  {"dropped-route", "foreign-id", "split-route", "late-first-ping", "poison", "broken-pipeline", "denied-uploads", "endless-body", "late-ping", "long-id", "popular-page", "silent-store", "wide-limits"},
	"_standin2": {"stop-behind", "cut-behind", "deadly-upload", "deadly-pair", "raised-limit"},
}

// Guards against a change that keeps a case of a review from running, so that it no longer
// guards against its fault and nobody notices.
func TestKeptCasesStart(t *testing.T) {
	const startTime = 60 * time.Second
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	place := t.TempDir() // the stand-ins find the node and the template there
	if err := os.Symlink(filepath.Join(root, "deploy"), filepath.Join(place, "deploy")); err != nil {
		t.Fatal(err)
	}
	build := func(output, source string) {
		command := exec.Command("go", "build", "-buildvcs=false", "-o", filepath.Join(place, output), source)
		command.Dir = root
		if text, err := command.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", source, err, text)
		}
	}
	build("target/egretnode", "./cmd/egretnode")
	for name, cases := range keptCases {
		build(name, "./review/"+name)
		for _, kept := range cases {
			t.Run(kept, func(t *testing.T) {
				t.Parallel()
				record := filepath.Join(t.TempDir(), "record.txt")
				arguments := []string{kept, filepath.Dir(record)}
				if name == "_standin2" {
					arguments = []string{"-case", kept, "-record", record}
				}
				ctx, cancel := context.WithTimeout(context.Background(), startTime)
				defer cancel()
				command := exec.CommandContext(ctx, filepath.Join(place, name), arguments...)
				command.Dir = place
				command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
				output := &strings.Builder{}
				command.Stdout, command.Stderr = output, output
				if err := command.Start(); err != nil {
					t.Fatal(err)
				}
				ended := make(chan error, 1)
				go func() { ended <- command.Wait() }()
				for {
					text, _ := os.ReadFile(record) // written by the stand-in from its start on
					if _, behind, found := strings.Cut(string(text), "all nodes are ready\n"); found && behind != "" {
						cancel()
						<-ended
						return
					}
					select {
					case err := <-ended:
						t.Fatalf("ended before all nodes were ready: %v\n%s\n%s", err, output, text)
					case <-time.After(50 * time.Millisecond):
					}
				}
			})
		}
	}
}
