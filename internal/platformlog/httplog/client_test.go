package httplog_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/platformlog/httplog"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

const testStream = "a stream/with odd characters"

// startLog serves an in-memory log over HTTP and returns it, its URL and a client.
func startLog(t *testing.T, options httplog.Options) (*memlog.Log, string, *httplog.Client) {
	log := memlog.New(memlog.Options{})
	server := httptest.NewServer(logserver.New(log))
	t.Cleanup(server.Close)
	options.BaseURL = server.URL
	return log, server.URL, newClient(t, options)
}

func newClient(t *testing.T, options httplog.Options) *httplog.Client {
	client, err := httplog.New(options)
	So(err, ShouldBeNil)
	t.Cleanup(client.Close)
	return client
}

func storedRecords(ctx context.Context, log *memlog.Log) int64 {
	bounds, err := log.Bounds(ctx, testStream)
	So(err, ShouldBeNil)
	return bounds.Next - bounds.First
}

func TestRoundTrip(t *testing.T) {
	Convey("Given a log over HTTP", t, func() {
		ctx := t.Context()
		log, _, client := startLog(t, httplog.Options{})
		Convey("records are read back unchanged and in order", func() {
			for want, text := range []string{"", "a", "\x00\xff"} {
				offset, err := client.Append(ctx, testStream, []byte(text))
				So(err, ShouldBeNil)
				So(offset, ShouldEqual, want+1)
			}
			records, err := client.Read(ctx, testStream, 2, 10, 0)
			So(err, ShouldBeNil)
			So(records, ShouldHaveLength, 2)
			So(records[1].Offset, ShouldEqual, 3)
			So(records[1].Data, ShouldResemble, []byte("\x00\xff"))
			So(records[1].Time.IsZero(), ShouldBeFalse)
			bounds, err := client.Bounds(ctx, testStream)
			So(err, ShouldBeNil)
			So(bounds, ShouldResemble, platformlog.Bounds{First: 1, Next: 4})
		})
		Convey("a waiting read returns a record appended later", func() {
			found := make(chan []platformlog.Record)
			go func() {
				records, _ := client.Read(ctx, testStream, 1, 10, time.Minute)
				found <- records
			}()
			_, err := client.Append(ctx, testStream, []byte("late"))
			So(err, ShouldBeNil)
			So(<-found, ShouldHaveLength, 1)
		})
		Convey("a read at a trimmed offset fails, unlike one at the end of an empty stream", func() {
			_, err := client.Append(ctx, testStream, []byte("a"))
			So(err, ShouldBeNil)
			log.Trim(testStream, 2)
			_, err = client.Read(ctx, testStream, 1, 10, 0)
			So(err, ShouldWrap, platformlog.ErrTrimmed)
			records, err := client.Read(ctx, testStream, 2, 10, 0)
			So(err, ShouldBeNil)
			So(records, ShouldBeEmpty)
		})
		Convey("a record over the size limit is certainly not added", func() {
			_, err := client.Append(ctx, testStream, make([]byte, platformlog.MaxRecordBytes+1))
			So(err, ShouldWrap, platformlog.ErrUnavailable)
			So(storedRecords(ctx, log), ShouldEqual, 0)
		})
	})
}

func TestFaults(t *testing.T) {
	Convey("Given a log over HTTP", t, func() {
		ctx := t.Context()
		log, address, client := startLog(t, httplog.Options{Client: "node-1", DataCentre: "dc-a"})
		Convey("faults are set and read at its URL", func() {
			faults := putFaults(address, `{"downFor":["dc-a"],"slowMs":1}`)
			So(faults.GetDownFor(), ShouldResemble, []string{"dc-a"})
			So(log.Faults().GetSlowMs(), ShouldEqual, 1)
			_, err := client.Append(ctx, testStream, []byte("a"))
			So(err, ShouldWrap, platformlog.ErrUnavailable)
			other := newClient(t, httplog.Options{BaseURL: address, Client: "node-2"})
			_, err = other.Append(ctx, testStream, []byte("b"))
			So(err, ShouldBeNil)
		})
		Convey("an unknown fault is refused", func() {
			response := requestFaults(address, `{"dwon":true}`)
			So(response.StatusCode, ShouldEqual, http.StatusBadRequest)
		})
		Convey("a log that is down certainly adds nothing", func() {
			putFaults(address, `{"down":true}`)
			_, err := client.Append(ctx, testStream, []byte("a"))
			So(err, ShouldWrap, platformlog.ErrUnavailable)
			_, err = client.Read(ctx, testStream, 1, 1, 0)
			So(err, ShouldWrap, platformlog.ErrUnavailable)
			_, err = client.Bounds(ctx, testStream)
			So(err, ShouldWrap, platformlog.ErrUnavailable)
			putFaults(address, `{}`)
			So(storedRecords(ctx, log), ShouldEqual, 0)
		})
		Convey("the outcome of an append is unknown if its answer is lost, and it is not retried", func() {
			_, err := client.Append(ctx, testStream, []byte("first, so that a connection is kept"))
			So(err, ShouldBeNil)
			putFaults(address, `{"loseAnswers":1}`)
			_, err = client.Append(ctx, testStream, []byte("a"))
			So(err, ShouldWrap, platformlog.ErrUnknownOutcome)
			So(storedRecords(ctx, log), ShouldEqual, 2)
		})
		Convey("the outcome of an append is unknown after a timeout", func() {
			putFaults(address, `{"slowMs":60000}`)
			shortTimeout := newClient(t, httplog.Options{BaseURL: address, Timeout: 50 * time.Millisecond})
			_, err := shortTimeout.Append(ctx, testStream, []byte("a"))
			So(err, ShouldWrap, platformlog.ErrUnknownOutcome)
			_, err = shortTimeout.Read(ctx, testStream, 1, 1, 0)
			So(err, ShouldWrap, platformlog.ErrUnavailable)
		})
	})
}

func TestBrokenConnections(t *testing.T) {
	Convey("An append that could not connect certainly did not take effect", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		client := newClient(t, httplog.Options{BaseURL: "http://" + listener.Addr().String()})
		listener.Close()
		_, err = client.Append(t.Context(), testStream, []byte("a"))
		So(err, ShouldWrap, platformlog.ErrUnavailable)
	})
	answers := map[string]string{
		"the connection is closed without an answer":      "",
		"the answer is truncated":                         "HTTP/1.1 201 Created\r\nContent-Length: 100\r\n\r\n{\"off",
		"the status does not tell whether it took effect": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"the answer has no offset":                        "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}",
	}
	for name, answer := range answers {
		Convey("The outcome of an append is unknown when "+name, t, func() {
			client := newClient(t, httplog.Options{BaseURL: "http://" + serveRawReply(t, answer)})
			_, err := client.Append(t.Context(), testStream, []byte("a"))
			So(err, ShouldWrap, platformlog.ErrUnknownOutcome)
		})
	}
	Convey("An invalid base URL is an error of New", t, func() {
		for _, address := range []string{"", "127.0.0.1:1", "ftp://host", "http://"} {
			_, err := httplog.New(httplog.Options{BaseURL: address})
			So(err, ShouldNotBeNil)
		}
	})
}

// serveRawReply accepts one connection, reads a request, sends answer and closes the
// connection. It returns its address.
func serveRawReply(t *testing.T, answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 64<<10))
		_, _ = io.WriteString(conn, answer)
	}()
	return listener.Addr().String()
}

func requestFaults(address, text string) *http.Response {
	request, err := http.NewRequest(http.MethodPut, address+"/faults", strings.NewReader(text))
	So(err, ShouldBeNil)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	return response
}

func putFaults(address, text string) *pb.LogFaults {
	response := requestFaults(address, text)
	defer response.Body.Close()
	So(response.StatusCode, ShouldEqual, http.StatusOK)
	body, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	faults := &pb.LogFaults{}
	So(protojson.Unmarshal(body, faults), ShouldBeNil)
	return faults
}
