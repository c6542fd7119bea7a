// Package httplog is a client of the platform's log over HTTP.
//
//	POST /streams/{stream}/records                       append; answers AppendReply
//	GET  /streams/{stream}/records?from=&max=&wait_ms=   read; answers ReadReply
//	GET  /streams/{stream}/bounds                        answers platformlog.Bounds
//
// Status 400, 404, 413 or 503 guarantees that an append did not take effect; 410 means
// that the requested offset is trimmed.
package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretfield/egretfield/internal/platformlog"
)

// Headers that identify the client to the log.
const (
	HeaderClient     = "Egretlog-Client"
	HeaderDataCentre = "Egretlog-Data-Centre"
)

const (
	defaultTimeout = 5 * time.Second
	dialTimeout    = time.Second
	idleTimeout    = 90 * time.Second
	maxIdleConns   = 4
	// maxReplyBytes limits how much of one answer is read.
	maxReplyBytes = 64 << 20
	// maxErrorTextBytes limits how much of the body of an error answer goes into the
	// error.
	maxErrorTextBytes = 256
)

// AppendReply is the answer to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// ReadReply is the answer to a read.
type ReadReply struct {
	Records []platformlog.Record `json:"records"`
}

// Options configures a Client.
type Options struct {
	// BaseURL is the URL of the log, for example "http://127.0.0.1:9000". Required.
	BaseURL string
	// Client and DataCentre identify this client to the log. Optional.
	Client     string
	DataCentre string
	// Timeout limits the duration of each operation, not counting the wait of a
	// read. The default is 5 s.
	Timeout time.Duration
	// Meter creates the metrics. Nil disables them.
	Meter metric.Meter
}

// Client is a platformlog.Log over HTTP. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	metrics *metrics
}

var _ platformlog.Log = (*Client)(nil)

// New returns a client without connecting it. It fails if the base URL is invalid or
// a metric can't be created.
func New(options Options) (*Client, error) {
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, eris.Wrap(err, "log URL")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, eris.Errorf("log URL %q: expected http://host:port", options.BaseURL)
	}
	options.BaseURL = strings.TrimSuffix(options.BaseURL, "/")
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	counters, err := newMetrics(options.Meter)
	if err != nil {
		return nil, err
	}
	return &Client{options: options, http: &http.Client{Transport: transport}, metrics: counters}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append implements platformlog.Log. The transport retries an append only if it could
// not write any of it because the connection was closed.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > platformlog.MaxRecordBytes {
		return 0, eris.Wrapf(platformlog.ErrUnavailable, "record of %d bytes is over the limit of %d", len(data), platformlog.MaxRecordBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	request, err := c.newRequest(ctx, http.MethodPost, c.path(stream, "records"), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrapf(platformlog.ErrUnavailable, "append: %v", err)
	}
	reply := AppendReply{}
	err = c.do(request, &reply)
	switch {
	case err == nil && reply.Offset >= platformlog.FirstOffset:
		return reply.Offset, nil
	case eris.Is(err, platformlog.ErrUnavailable):
		return 0, err
	case !sent.Load():
		return 0, eris.Wrapf(platformlog.ErrUnavailable, "append: %v", err)
	}
	return 0, eris.Wrapf(platformlog.ErrUnknownOutcome, "append: %v", err)
}

// Read implements platformlog.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platformlog.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout+wait)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"max":     {strconv.Itoa(max)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	reply := ReadReply{}
	err := c.get(ctx, c.path(stream, "records")+"?"+query.Encode(), &reply)
	c.metrics.read(ctx, stream, len(reply.Records))
	return reply.Records, err
}

// Bounds implements platformlog.Log.
func (c *Client) Bounds(ctx context.Context, stream string) (platformlog.Bounds, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	bounds := platformlog.Bounds{}
	err := c.get(ctx, c.path(stream, "bounds"), &bounds)
	return bounds, err
}

func (c *Client) path(stream, resource string) string {
	return c.options.BaseURL + "/streams/" + url.PathEscape(stream) + "/" + resource
}

// get sends a request without side effects: every failure except a trimmed offset is
// ErrUnavailable.
func (c *Client) get(ctx context.Context, address string, reply any) error {
	request, err := c.newRequest(ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrapf(platformlog.ErrUnavailable, "read: %v", err)
	}
	err = c.do(request, reply)
	if err == nil || eris.Is(err, platformlog.ErrTrimmed) || eris.Is(err, platformlog.ErrUnavailable) {
		return err
	}
	return eris.Wrapf(platformlog.ErrUnavailable, "read: %v", err)
}

func (c *Client) newRequest(ctx context.Context, method, address string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, err
	}
	if c.options.Client != "" {
		request.Header.Set(HeaderClient, c.options.Client)
	}
	if c.options.DataCentre != "" {
		request.Header.Set(HeaderDataCentre, c.options.DataCentre)
	}
	return request, nil
}

// do sends request and decodes the answer into reply.
func (c *Client) do(request *http.Request, reply any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxReplyBytes)
	if response.StatusCode/100 == 2 {
		return json.NewDecoder(body).Decode(reply)
	}
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorTextBytes))
	message := strings.TrimSpace(string(text))
	switch response.StatusCode {
	case http.StatusGone:
		return eris.Wrap(platformlog.ErrTrimmed, message)
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusNotFound:
		return eris.Wrap(platformlog.ErrUnavailable, message)
	}
	return eris.Errorf("status %d: %s", response.StatusCode, message)
}
