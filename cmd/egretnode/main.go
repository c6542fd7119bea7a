// Command egretnode is the load balancer's process, a sidecar that runs beside each
// backend server. It accepts requests from callers, chooses a backend server for each,
// and protects its own backend server from overload.
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

SIGTERM drains the instance, lets requests in flight finish (see stop_timeout) and leaves the fleet.
SIGHUP reads the settings again: the log level changes at once, all else needs a restart.

`

func main() {
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	settingsFile := flag.String("settings", "", "startup settings in YAML; see examples/association/node.yaml")
	addressFile := flag.String("address-file", "", "file to write the bound addresses to, as JSON")
	check := flag.Bool("check", false, "check the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("egretnode", version.Version)
		return
	}
	if err := run(*settingsFile, *addressFile, *check); err != nil {
		fmt.Fprintln(os.Stderr, "egretnode:", err)
		os.Exit(errkind.Of(errkind.KindOf(err)).ExitCode)
	}
}

// run loads the settings and runs the node until SIGTERM or an interrupt.
func run(settingsFile, addressFile string, checkOnly bool) error {
	if settingsFile == "" {
		return errkind.New(pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, "-settings is required")
	}
	// SIGHUP is handled during the whole life of the process, because its default action
	// would kill a node that is starting or stopping.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	loaded, err := loadSettings(settingsFile)
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
	go watchReload(ctx, reload, n, settingsFile)
	return n.Run(ctx)
}

// loadSettings reads the settings, and on a platform the bounds that it hands over beside
// the file.
func loadSettings(file string) (*pb.NodeSettings, error) {
	loaded, err := settings.Load(file)
	if err != nil || loaded.GetPlatform() == nil {
		return loaded, err
	}
	if err := platform.ApplyBounds(loaded.GetPlatform(), os.Getenv(platform.BoundsVariable)); err != nil {
		return nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, err, "bounds of the platform")
	}
	return loaded, settings.Check(loaded)
}

// watchReload reloads the settings file at each SIGHUP.
func watchReload(ctx context.Context, reload <-chan os.Signal, n *node.Node, settingsFile string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			n.Reload(loadSettings(settingsFile))
		}
	}
}

// newNode applies the process-wide settings and creates the node.
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
		adapter := platform.New(loaded)
		adapter.SetLogger(logger.Named("store"))
		options.Platform = adapter
	}
	return node.New(options)
}
