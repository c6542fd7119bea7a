package loadgen

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/backend"
)

const (
	journalRequestTimeout = 10 * time.Second
	// rereadInterval is the pause between two reads of the journals.
	rereadInterval = 300 * time.Millisecond
	// maxRereads limits the rereads while executions are still being added.
	maxRereads = 10
)

// journalCollector reads the journals of the backend servers.
type journalCollector struct {
	servers []*pb.LoadServer
	client  *http.Client
	// runIDs holds the run ID that each server had when the load began; it changes
	// with every start of the server's process.
	runIDs map[*pb.LoadServer]string
}

func newJournalCollector(servers []*pb.LoadServer) *journalCollector {
	return &journalCollector{servers: servers, client: &http.Client{Timeout: journalRequestTimeout}, runIDs: map[*pb.LoadServer]string{}}
}

// recordRunIDs records the run ID of each server, so that a restart is detected.
func (c *journalCollector) recordRunIDs(ctx context.Context) error {
	for _, server := range c.servers {
		if server.GetJournalFile() != "" {
			continue
		}
		journal, err := c.fetch(ctx, server.GetAdmin())
		if err != nil {
			return err
		}
		c.runIDs[server] = journal.GetRunId()
	}
	return nil
}

// collectUntilStable reads all journals until no execution is added between two
// reads: work whose caller has already given up may still start.
func (c *journalCollector) collectUntilStable(ctx context.Context) *Journals {
	journals := c.collect(ctx)
	for range maxRereads {
		time.Sleep(rereadInterval)
		later := c.collect(ctx)
		if later.executions() == journals.executions() {
			return later
		}
		journals = later
	}
	journals.Complete = false
	journals.Problems = append(journals.Problems, "executions were still being added at the last read of the journals")
	return journals
}

// collect reads all journals. The result is incomplete if a journal can't be
// read or has dropped executions, or if a server without a journal file was
// restarted.
func (c *journalCollector) collect(ctx context.Context) *Journals {
	journals := &Journals{Complete: len(c.servers) > 0}
	for _, server := range c.servers {
		found, err := c.read(ctx, server)
		journals.All = append(journals.All, found...)
		if err != nil {
			journals.Complete = false
			journals.Problems = append(journals.Problems, err.Error())
		}
	}
	return journals
}

func (c *journalCollector) read(ctx context.Context, server *pb.LoadServer) ([]*pb.Journal, error) {
	if path := server.GetJournalFile(); path != "" {
		file, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "journal")
		}
		defer file.Close()
		return backend.ReadJournalFile(file)
	}
	journal, err := c.fetch(ctx, server.GetAdmin())
	if err != nil {
		return nil, err
	}
	found := []*pb.Journal{journal}
	if journal.GetRunId() != c.runIDs[server] {
		return found, eris.Errorf("journal of %s: the server was restarted", server.GetAdmin())
	}
	if journal.GetForgotten() > 0 {
		return found, eris.Errorf("journal of %s: %d executions were dropped", server.GetAdmin(), journal.GetForgotten())
	}
	return found, nil
}

func (c *journalCollector) fetch(ctx context.Context, admin string) (*pb.Journal, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(admin)+"/journal", nil)
	if err != nil {
		return nil, eris.Wrap(err, "journal")
	}
	request.Header.Set("Accept", backend.ContentTypeProtobuf)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "journal")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "journal of %s", admin)
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("journal of %s: status %d", admin, response.StatusCode)
	}
	journal := &pb.Journal{}
	return journal, eris.Wrapf(proto.Unmarshal(data, journal), "journal of %s", admin)
}

// baseURL returns the base URL of an address; the scheme is http unless the
// address has one.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}
