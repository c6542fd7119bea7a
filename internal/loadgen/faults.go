package loadgen

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	faultRequestTimeout = 2 * time.Second
	// allServers selects every server in a fault change.
	allServers    = "all"
	maxErrorBytes = 256
)

// faultClient sets faults on the stand-in backend servers and the stand-in log.
type faultClient struct {
	experiment *pb.Experiment
	client     *http.Client
}

func newFaultClient(experiment *pb.Experiment) *faultClient {
	return &faultClient{experiment: experiment, client: &http.Client{Timeout: faultRequestTimeout}}
}

// apply sets the faults of a step.
func (f *faultClient) apply(ctx context.Context, step *pb.Step) error {
	for _, change := range step.GetServerFaults() {
		for _, server := range f.experiment.GetServers() {
			if change.GetServer() != allServers && change.GetServer() != server.GetName() {
				continue
			}
			if err := f.put(ctx, server.GetAdmin(), change.GetFaults()); err != nil {
				return err
			}
		}
	}
	if step.GetLogFaults() == nil {
		return nil
	}
	return f.put(ctx, f.experiment.GetLogUrl(), step.GetLogFaults())
}

func (f *faultClient) put(ctx context.Context, address string, faults proto.Message) error {
	text, err := protojson.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, baseURL(address)+"/faults", bytes.NewReader(text))
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	defer response.Body.Close()
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("faults of %s: status %d: %s", address, response.StatusCode, message)
	}
	return nil
}
