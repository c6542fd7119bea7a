// Command egretrelay is a stand-in for the network between two processes, for tests and
// measurements. It forwards TCP connections. SIGUSR1 silences the connections that are
// open at that time for good: they stay open, but their data is dropped. New ones work.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/egretfield/egretfield/internal/standin/program"
	"github.com/egretfield/egretfield/internal/standin/relay"
	"github.com/egretfield/egretfield/internal/version"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	address := flag.String("address", "127.0.0.1:0", "`host:port` to listen on")
	addressFile := flag.String("address-file", "", "`file` to write the bound address to")
	targetFile := flag.String("target-file", "", "`file` with the address to forward connections to, read at each connection")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("egretrelay", version.Version)
		return
	}
	if flag.NArg() > 0 || *targetFile == "" {
		fmt.Fprintln(os.Stderr, "egretrelay: expected -target-file and no arguments")
		os.Exit(exitUsage)
	}
	if err := run(*address, *addressFile, *targetFile); err != nil {
		fmt.Fprintln(os.Stderr, "egretrelay:", err)
		os.Exit(exitFailed)
	}
}

// run forwards connections until SIGTERM or an interrupt.
func run(address, addressFile, targetFile string) error {
	silenceSignals := make(chan os.Signal, 1)
	signal.Notify(silenceSignals, syscall.SIGUSR1)
	listener, err := program.Listen(address, addressFile)
	if err != nil {
		return err
	}
	r := relay.Serve(listener, func() string { return readAddress(targetFile) })
	defer r.Close()
	ctx, stop := program.SignalContext()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-silenceSignals:
			fmt.Println("egretrelay: silent connections:", r.ConnectionCount())
			r.Discard(true, true)
		}
	}
}

// readAddress returns the address in a file, or the empty string if it can't be read.
func readAddress(file string) string {
	text, _ := os.ReadFile(file)
	return strings.TrimSpace(string(text))
}
