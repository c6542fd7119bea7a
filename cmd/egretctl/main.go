// Command egretctl is the operators' command-line tool. It checks and publishes the
// configuration, switches presets, drains instances, shows the status of the fleet and
// explains its decisions.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/egretfield/egretfield/internal/certs"
	"github.com/egretfield/egretfield/internal/ctl"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/platformlog/httplog"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Main(ctx, os.Args[1:], environment()))
}

func environment() ctl.Env {
	return ctl.Env{
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Getenv:   os.Getenv,
		ReadFile: os.ReadFile,
		NewLog: func(url string) (platformlog.Log, error) {
			return httplog.New(httplog.Options{BaseURL: url, Client: "egretctl"})
		},
		NewControlClient: newControlClient,
	}
}

// newControlClient returns a client of nodes' control addresses, which uses TLS when files is
// set.
func newControlClient(key []byte, files *pb.TlsSettings) (peer.Client, error) {
	config, err := certs.ClientConfig(files)
	if err != nil {
		return nil, err
	}
	return peer.NewClient(key, peer.Options{TLS: config})
}
