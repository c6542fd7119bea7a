// Command egretnode is the process beside each backend server: it takes
// requests from callers, chooses a backend server for each and guards its own.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/node"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/settings"
	"github.com/egretfield/egretfield/internal/telemetry"
	"github.com/egretfield/egretfield/internal/version"
	"github.com/egretfield/egretfield/platform"
)

const usage = `egretnode runs beside each backend server of the fleet.

usage: egretnode -settings FILE [-address-file FILE]

SIGTERM drains the instance and leaves the fleet; no request in flight is cut off.
SIGHUP reads the settings again: the log level changes at once, all else needs a restart.

`

func main() {
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	file := flag.String("settings", "", "startup settings in YAML; see examples/association/node.yaml")
	addressFile := flag.String("address-file", "", "file to write the bound addresses to, as JSON")
	check := flag.Bool("check", false, "check the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("egretnode", version.Version)
		return
	}
	if err := run(*file, *addressFile, *check); err != nil {
		fmt.Fprintln(os.Stderr, "egretnode:", err)
		os.Exit(errkind.Of(errkind.KindOf(err)).Exit)
	}
}

// run loads the settings and runs the node until SIGTERM or an interrupt.
func run(file, addressFile string, checkOnly bool) error {
	if file == "" {
		return errkind.New(pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, "-settings is required")
	}
	// Taken from the start to the end of the process: the default of SIGHUP would end
	// a node that starts or stops.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	loaded, err := settings.Load(file)
	if err != nil || checkOnly {
		return err
	}
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close()
	n, err := newNode(loaded, output)
	if err != nil {
		return err
	}
	if addressFile != "" {
		if err := n.WriteAddresses(addressFile); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go watchReload(ctx, reload, n, file)
	return n.Run(ctx)
}

// watchReload checks the settings file again at each SIGHUP.
func watchReload(ctx context.Context, reload <-chan os.Signal, n *node.Node, file string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			n.Reload(settings.Load(file))
		}
	}
}

// newNode sets up the process and makes the node.
func newNode(loaded *pb.NodeSettings, output io.Writer) (*node.Node, error) {
	runtime.GOMAXPROCS(int(loaded.GetMaxProcs()))
	debug.SetGCPercent(int(loaded.GetGcPercent()))
	debug.SetMemoryLimit(int64(loaded.GetMemoryLimitMib()) << 20)
	logger, level, err := telemetry.NewLogger(output, loaded.GetLogFormat(), loaded.GetLogLevel())
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	options := node.Options{Settings: loaded, Logger: logger, Level: level, Metrics: metrics}
	if loaded.GetPlatform() != nil {
		options.Platform = platform.New(loaded)
	}
	return node.New(options)
}
