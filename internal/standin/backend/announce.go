package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
)

// Announcer announces the server to the node on the same instance.
type Announcer struct {
	url    string
	server *Server
	// announcement is what is announced, without the remaining cold time.
	announcement *pb.Announcement
	client       *http.Client
}

// NewAnnouncer returns an Announcer that tells the node with the announce address
// nodeAddress that the server listens on address.
func (s *Server) NewAnnouncer(nodeAddress, address string) *Announcer {
	return &Announcer{
		url:    "http://" + nodeAddress + "/announce",
		server: s,
		announcement: &pb.Announcement{
			Service:     s.options.Service,
			Address:     address,
			Slots:       uint32(s.options.Slots),
			Connections: uint32(s.options.Connections),
			HealthPath:  "/health",
		},
		client: &http.Client{Timeout: announceTimeout},
	}
}

// Run announces the server every second until ctx ends. It calls onChange with the
// first error of a series of failures, and with nil at the first success after it.
func (a *Announcer) Run(ctx context.Context, onChange func(error)) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := a.announce(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			onChange(err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	a.announcement.WarmupLeftMs = a.server.reportedColdMs()
	body, err := protojson.Marshal(a.announcement)
	if err != nil {
		return eris.Wrap(err, "announcement")
	}
	return a.send(ctx, http.MethodPost, body)
}

// Withdraw tells the node that the server is stopping.
func (a *Announcer) Withdraw(ctx context.Context) error {
	return a.send(ctx, http.MethodDelete, nil)
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, a.url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "announce")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "announce")
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, bufferSize))
	if response.StatusCode/100 != 2 {
		return eris.Errorf("announce: want status 2xx, got %d", response.StatusCode)
	}
	return nil
}
