package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// probeInterval is the time without news of the server's load after which its
	// health endpoint is asked: what it says of its machine changes several times a
	// second.
	probeInterval = 150 * time.Millisecond
	// probeTimeout bounds one question; the server is on the same machine.
	probeTimeout = time.Second
	// maxProbeBody bounds what is read of an answer, bytes.
	maxProbeBody = 4 << 10
)

// SetHealthPath sets the path of the backend server's health endpoint; empty: it
// has none.
func (g *Gate) SetHealthPath(path string) { g.healthPath.Store(&path) }

// Probe asks the backend server for its load until ctx ends, while no answer to a
// request has told it.
func (g *Gate) Probe(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			client.CloseIdleConnections()
			return
		case <-ticker.C:
			g.probeOnce(ctx, client)
		}
	}
}

// probeOnce asks once, if there is a server to ask and nothing newer is known.
func (g *Gate) probeOnce(ctx context.Context, client *http.Client) {
	server, path := g.server.Load(), g.healthPath.Load()
	loadHeader := g.loadHeader()
	if server == nil || server.down.Load() || path == nil || *path == "" || loadHeader == "" {
		return
	}
	if time.Since(time.Unix(0, g.loadAt.Load())) < probeInterval {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+*path, nil)
	if err != nil {
		g.log.Error("health endpoint can't be asked", zap.String("path", *path), zap.Error(err))
		return
	}
	response, err := client.Do(request)
	if err != nil {
		g.probeFailed(ctx, server)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody)) // only the header counts
	g.noteLoad(wire.ParseServerLoad(response.Header.Get(loadHeader)))
}

// probeFailed finds out whether a server that didn't answer is dead.
func (g *Gate) probeFailed(ctx context.Context, server *guarded) {
	if ctx.Err() == nil && g.isDead(ctx, server) {
		g.reportCrash(server)
		g.noteDown(server)
	}
}

// loadHeader is the header in which backend servers tell their load; empty: they
// don't.
func (g *Gate) loadHeader() string {
	if g.options.Client.Headers == nil {
		return ""
	}
	return g.options.Client.Headers.Load
}
