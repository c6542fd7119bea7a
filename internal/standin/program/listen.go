// Package program holds code that the stand-in programs share: listening, writing the
// bound address to a file, and stopping on a signal.
package program

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// readHeaderTimeout limits the time that a client may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// Listen listens on a TCP address and, when addressFile isn't empty, writes
// the bound address to that file.
func Listen(address, addressFile string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	if addressFile == "" {
		return listener, nil
	}
	if err := writeAddress(addressFile, listener.Addr().String()); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// writeAddress replaces the file atomically, so that no reader sees a partial
// address.
func writeAddress(file, address string) error {
	temporary, err := os.CreateTemp(filepath.Dir(file), ".address-*")
	if err != nil {
		return eris.Wrap(err, "address file")
	}
	_, err = temporary.WriteString(address + "\n")
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), file)
	}
	if err != nil {
		os.Remove(temporary.Name())
		return eris.Wrap(err, "address file")
	}
	return nil
}

// NewServer returns an HTTP server for handler with the limit on the time for headers
// that all stand-ins use.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// SignalContext returns a context that ends on SIGTERM or an interrupt.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
