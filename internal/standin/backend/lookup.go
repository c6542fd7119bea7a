package backend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/standin/wire"
)

// newLookupClient returns a client that keeps up to connections idle connections to
// the node.
func newLookupClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}
}

// callNext calls the next service of the request's call chain through the node, if
// the chain continues, and verifies the answer.
func (s *Server) callNext(ctx context.Context, r *http.Request) error {
	remaining, err := strconv.Atoi(r.Header.Get(wire.HeaderChain))
	if err != nil || remaining <= 0 {
		return nil
	}
	request, err := s.newLookup(ctx, r, remaining-1)
	if err != nil {
		return eris.Wrap(err, "lookup")
	}
	response, err := s.lookupClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "lookup")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("lookup %d: want status 200, got %d %s", remaining, response.StatusCode, response.Header.Get(wire.HeaderError))
	}
	if got, want := response.Header.Get(wire.HeaderOp), request.Header.Get(wire.HeaderOp); got != want {
		return eris.Errorf("lookup %d: answer of operation %q, want %q", remaining, got, want)
	}
	buffer := s.buffers.Get().(*[bufferSize]byte)
	defer s.buffers.Put(buffer)
	if _, err := wire.Check(response.Header, response.Body, buffer[:]); err != nil {
		return eris.Wrapf(err, "lookup %d", remaining)
	}
	return nil
}

// newLookup returns the request for the next level of the chain, below which
// remaining lookups are still to make.
func (s *Server) newLookup(ctx context.Context, r *http.Request, remaining int) (*http.Request, error) {
	if s.options.CallerAddress == "" {
		return nil, eris.New("no caller address of a node is configured")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.options.CallerAddress+"/lookup", nil)
	if err != nil {
		return nil, err
	}
	service, remainingServices := wire.ChainService(r.Header.Get(wire.HeaderChainServices))
	if service == "" {
		service = s.options.Service
	}
	request.Host = service
	for _, name := range []string{wire.HeaderDepth, wire.HeaderRequestID} {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(wire.HeaderOp, wire.LookupOp(r.Header.Get(wire.HeaderOp), remaining))
	request.Header.Set(wire.HeaderChain, strconv.Itoa(remaining))
	request.Header.Set(wire.HeaderChainServices, remainingServices)
	request.Header.Set(wire.HeaderPlace, s.options.Place)
	timeout := maxLookupTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	request.Header.Set(wire.HeaderTimeout, wire.FormatTimeout(timeout))
	return request, nil
}
