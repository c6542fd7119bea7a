// Command egretlog is a stand-in for the platform's log, for tests and
// demonstrations. It keeps its records in memory.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/program"
	"github.com/egretfield/egretfield/internal/version"
)

const (
	exitUsage   = 2
	exitFailed  = 1
	stopTimeout = time.Second
)

func main() {
	address := flag.String("address", "127.0.0.1:0", "`host:port` to listen on")
	addressFile := flag.String("address-file", "", "`file` to write the bound address to")
	retention := flag.Duration("retention", 0, "how long a record is kept (0: for ever)")
	maxRecords := flag.Int("retention-records", 0, "number of records kept in each stream (0: all)")
	appendsPerSecond := flag.Float64("rate", 500, "limit of appends a second in all streams (0: no limit)")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("egretlog", version.Version)
		return
	}
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "egretlog: unexpected argument %q\n", flag.Arg(0))
		os.Exit(exitUsage)
	}
	log := memlog.New(memlog.Options{KeepRecords: *maxRecords, KeepFor: *retention, AppendsPerSecond: *appendsPerSecond})
	if err := serve(log, *address, *addressFile); err != nil {
		fmt.Fprintln(os.Stderr, "egretlog:", err)
		os.Exit(exitFailed)
	}
}

// serve serves the log over HTTP until a signal arrives.
func serve(log *memlog.Log, address, addressFile string) error {
	listener, err := program.Listen(address, addressFile)
	if err != nil {
		return err
	}
	fmt.Println("egretlog listens on", listener.Addr())
	ctx, stop := program.SignalContext()
	defer stop()
	server := program.NewServer(logserver.New(log))
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
