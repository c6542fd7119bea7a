// Command egretserver is a stand-in for a backend server, for tests and demonstrations.
// It announces itself to the node beside it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/egretfield/egretfield/internal/standin/backend"
	"github.com/egretfield/egretfield/internal/standin/program"
	"github.com/egretfield/egretfield/internal/version"
)

const (
	exitFailed      = 1
	exitUsage       = 2
	drainPoll       = 20 * time.Millisecond
	withdrawTimeout = time.Second
)

// processOptions holds the addresses and drain times of the process: the address for
// requests (serve) and the admin address, each with the file that the bound address is
// written to, and the announce address of the node. Options of the simulated server are
// in backend.Options.
type processOptions struct {
	serve, serveFile string
	admin, adminFile string
	announce         string
	drainGrace       time.Duration
	drainTimeout     time.Duration
}

func main() {
	options, process, showVersion := parseFlags()
	if showVersion {
		fmt.Println("egretserver", version.Version)
		return
	}
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "egretserver: unexpected argument %q\n", flag.Arg(0))
		os.Exit(exitUsage)
	}
	if err := run(options, process); err != nil {
		fmt.Fprintln(os.Stderr, "egretserver:", err)
		os.Exit(exitFailed)
	}
}

// run serves until a signal arrives, then drains.
func run(options backend.Options, process processOptions) error {
	listener, err := program.Listen(process.serve, process.serveFile)
	if err != nil {
		return err
	}
	adminListener, err := program.Listen(process.admin, process.adminFile)
	if err != nil {
		return err
	}
	if options.Name == "" {
		options.Name = listener.Addr().String()
	}
	server, err := backend.New(options)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Printf("egretserver %s of %s listens on %s, admin on %s\n", options.Name, options.Service, listener.Addr(), adminListener.Addr())
	public := program.NewServer(server.Handler())
	failed := make(chan error, 2)
	serve(public, server.Listener(listener), failed)
	serve(program.NewServer(server.Admin()), adminListener, failed)

	ctx, stop := program.SignalContext()
	defer stop()
	withdraw, err := announce(ctx, server, process.announce, listener.Addr())
	if err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop()
	server.Drain()
	withdraw()
	return drain(server, public, process)
}

func serve(server *http.Server, listener net.Listener, failed chan<- error) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
}

// announce starts the announcements to the node, if there is one, and returns a function
// that withdraws the server after ctx ended.
func announce(ctx context.Context, server *backend.Server, node string, address net.Addr) (func(), error) {
	if node == "" {
		return func() {}, nil
	}
	announcer := server.NewAnnouncer(node, address.String())
	done := make(chan struct{})
	go func() {
		defer close(done)
		announcer.Run(ctx, func(err error) {
			if err != nil {
				fmt.Fprintln(os.Stderr, "egretserver:", err)
				return
			}
			fmt.Println("egretserver: announced to", node)
		})
	}()
	return func() {
		<-done
		withdrawCtx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		defer cancel()
		if err := announcer.Withdraw(withdrawCtx); err != nil {
			fmt.Fprintln(os.Stderr, "egretserver: withdraw:", err)
		}
	}, nil
}

// drain serves new requests for the grace period, then waits for the requests in flight
// up to the drain timeout.
func drain(server *backend.Server, public *http.Server, process processOptions) error {
	time.Sleep(process.drainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), process.drainTimeout)
	defer cancel()
	for server.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	return public.Shutdown(ctx)
}
