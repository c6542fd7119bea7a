package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/platformlog/httplog"
	"github.com/egretfield/egretfield/internal/standin/backend"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

const (
	// withdrawalBound is the time after the acknowledgement of a version after which no
	// request runs with a key that the version withdrew.
	withdrawalBound = 3 * time.Second
	// slowTime is the service time of the server that makes requests wait: longer than
	// withdrawalBound, shorter than their deadline of 10 s.
	slowTime = 5 * time.Second
)

// slowSlots is the number of requests that the gate of this server runs at once; servers of
// these tests have 10 slots.
var slowSlots = admission.ConcurrencyLimit(10)

const keysConfiguration = `
services: [{name: orders}, {name: slow}]
presets: [{name: ordinary}]
default_preset: ordinary
organisations: [{name: acme, api_keys: [%s]}]
`

// keyCaller sends requests over one connection. Their operation is the API key and the
// caller's name.
type keyCaller struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
	// last is the status of the last answer, and ok the number of answers with status 200.
	last, ok int
}

func newKeyCaller(t *testing.T, i *instance, kind string) *keyCaller {
	conn, err := net.Dial("tcp", i.addresses.Caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	return &keyCaller{name: kind + "/" + i.name, conn: conn, reader: bufio.NewReader(conn)}
}

// request returns the text of a request with an API key.
func (c *keyCaller) request(method, service, key string) string {
	return fmt.Sprintf("%s / HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s/%s\r\nContent-Length: 0\r\n\r\n",
		method, service, key, wire.HeaderOp, key, c.name)
}

// exchange sends requests at once and reads their answers. It returns false if the
// connection breaks.
func (c *keyCaller) exchange(requests ...string) bool {
	if _, err := io.WriteString(c.conn, strings.Join(requests, "")); err != nil {
		return false
	}
	for range requests {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if c.last = response.StatusCode; c.last == http.StatusOK {
			c.ok++
		}
	}
	return true
}

// withdraw appends a version without the key "withdrawn" to the log and returns when the
// log acknowledged it.
func withdraw(f *fleet) time.Time {
	log, err := httplog.New(httplog.Options{BaseURL: f.logURL, Client: "operator"})
	So(err, ShouldBeNil)
	defer log.Close()
	bounds, err := log.Bounds(context.Background(), platformlog.ConfigStream)
	So(err, ShouldBeNil)
	next, err := config.Parse("next.yaml", fmt.Appendf(nil, keysConfiguration, "kept"))
	So(err, ShouldBeNil)
	data, err := proto.Marshal(&pb.ConfigRecord{
		Id: configlog.NewID(), BaseVersion: bounds.Next - 1, Operator: "tester",
		Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: next}},
	})
	So(err, ShouldBeNil)
	_, err = log.Append(context.Background(), platformlog.ConfigStream, data)
	So(err, ShouldBeNil)
	return time.Now()
}

// executions returns the times at which the servers ran the operations with a prefix.
func (f *fleet) executions(prefix string) []time.Time {
	var times []time.Time
	for _, i := range f.instances {
		file, err := os.Open(i.journal)
		if err != nil {
			continue // nothing has run there yet
		}
		journals, err := backend.ReadJournalFile(file)
		file.Close()
		So(err, ShouldBeNil)
		for _, journal := range journals {
			for _, execution := range journal.GetExecutions() {
				if strings.HasPrefix(execution.GetOperation(), prefix) {
					times = append(times, time.UnixMicro(execution.GetTimeUnixUs()))
				}
			}
		}
	}
	return times
}

func putFaults(url, faults string) {
	request, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(faults))
	So(err, ShouldBeNil)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	response.Body.Close()
	So(response.StatusCode, ShouldEqual, http.StatusOK)
}

// TestWithdrawnKey guards against requests that run with a withdrawn API key later than
// withdrawalBound: on connections that were open before, pipelined, or waiting for their
// turn or for a slot; at nodes that the log serves and at one that it rejects.
func TestWithdrawnKey(t *testing.T) {
	Convey("A withdrawn key stops working on every node within the bound", t, func() {
		f := newFleet(t, 4, func(last *instance) { last.service = "slow" })
		rejected := f.instances[3]
		f.publish(fmt.Sprintf(keysConfiguration, "kept, withdrawn"))
		putFaults(f.logURL, fmt.Sprintf(`{"downFor": [%q]}`, rejected.name))
		putFaults("http://"+rejected.admin, fmt.Sprintf(`{"meanUs": %d}`, slowTime.Microseconds()))

		var callers sync.WaitGroup
		stop := make(chan struct{})
		repeat := func(c *keyCaller, requests int) {
			defer callers.Done()
			for c.exchange(strings.Split(strings.Repeat(c.request("GET", "orders", "withdrawn")+"|", requests), "|")[:requests]...) {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		}
		var repeating, waiting, holding []*keyCaller
		for _, i := range f.instances {
			keepAlive, pipelined := newKeyCaller(t, i, "keep-alive"), newKeyCaller(t, i, "pipelined")
			repeating = append(repeating, keepAlive, pipelined)
			callers.Add(2)
			go repeat(keepAlive, 1)
			go repeat(pipelined, 4)
			turn := newKeyCaller(t, i, "turn")
			waiting = append(waiting, turn)
			callers.Go(func() {
				turn.exchange(turn.request("GET", "slow", "kept"), turn.request("POST", "orders", "withdrawn"))
			})
		}
		for n := range slowSlots - len(f.instances) {
			holder := newKeyCaller(t, f.instances[n%len(f.instances)], "holder")
			holding = append(holding, holder)
			callers.Go(func() { holder.exchange(holder.request("GET", "slow", "kept")) })
		}
		f.await("slots taken", func() bool { return len(f.executions("kept/")) == slowSlots })
		for _, i := range f.instances {
			queued := newKeyCaller(t, i, "queued")
			waiting = append(waiting, queued)
			callers.Go(func() { queued.exchange(queued.request("GET", "slow", "withdrawn")) })
		}
		time.Sleep(500 * time.Millisecond)
		acknowledged := withdraw(f)
		time.Sleep(time.Until(acknowledged.Add(slowTime + time.Second)))
		close(stop)
		callers.Wait()

		status, _ := f.ctlVia(rejected, "status", "-o", "json")
		So(strings.ReplaceAll(status, " ", ""), ShouldContainSubstring, `"log_healthy":false`)
		for _, c := range repeating {
			times := f.executions("withdrawn/" + c.name)
			So(times, ShouldNotBeEmpty)
			late := slices.MaxFunc(times, time.Time.Compare).Sub(acknowledged)
			t.Logf("%s: %d ran, the last %d ms after the acknowledgement", c.name, len(times), late.Milliseconds())
			So(late, ShouldBeLessThan, withdrawalBound)
			So(c.ok, ShouldBeGreaterThan, 0)
			So(c.last, ShouldEqual, http.StatusUnauthorized)
		}
		for _, c := range waiting {
			So(f.executions("withdrawn/"+c.name), ShouldBeEmpty)
			So(c.last, ShouldEqual, http.StatusUnauthorized)
		}
		for _, c := range holding {
			So(c.last, ShouldEqual, http.StatusOK)
		}
	})
}
