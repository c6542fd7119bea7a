package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/pb"
)

// heapPeak returns the largest size of the heap, in bytes, while run runs.
func heapPeak(run func()) uint64 {
	done := make(chan struct{})
	go func() { defer close(done); run() }()
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	peak := uint64(0)
	for {
		metrics.Read(sample)
		peak = max(peak, sample[0].Value.Uint64())
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// endlessBytes are the beginnings of answers, and what follows them without end.
var endlessBytes = map[string][2]string{
	"status":       {"HTTP/1.1 200 ", "x"},
	"head-line":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"head-lines":   {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"interim":      {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"body":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"},
	"chunk-line":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	"trailers":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"behind":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x"},
	"long-failure": {"HTTP/1.1 500 Oops\r\nContent-Length: 99999999999\r\n\r\n", "x"},
}

// serveEndless answers /end/NAME with endless bytes until the connection ends, and all
// other paths properly.
func serveEndless(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	parts, ok := endlessBytes[name]
	if !ok {
		_, _ = io.WriteString(w, "sound")
		return
	}
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	_, err = io.WriteString(nc, parts[0])
	block := bytes.Repeat([]byte(parts[1]), 1+(64<<10)/len(parts[1]))
	for err == nil {
		_, err = nc.Write(block)
	}
}

// Guards against bytes without end of a faulty server that a node keeps, until its memory
// is used up and the requests of all its callers end with it (LOST).
func TestMemoryUnderBytesWithoutEnd(t *testing.T) {
	const (
		callers  = 30
		callTime = 300 * time.Millisecond
		// recoveryTime is the wait that a refusal as overloaded suggests.
		recoveryTime = time.Second
		maxGrowth    = 64 << 20
	)
	Convey("Given servers that send bytes without end to some requests", t, func() {
		c := newCluster(nil, http.HandlerFunc(serveEndless), http.HandlerFunc(serveEndless))
		defer c.close()
		config := routesConfig()
		config.RequestRoutes = append(config.RequestRoutes, &pb.RequestRoute{
			Name: "untimed", Host: "a.example", PathPrefix: "/u/", Services: config.RequestRoutes[1].GetServices(), Idempotent: true,
		})
		c.entry.SetRoutes(entry.NewRoutes(config, "p"))
		address := strings.TrimPrefix(c.url, "http://")
		base := heapPeak(func() { time.Sleep(10 * time.Millisecond) })
		for name := range endlessBytes {
			for _, prefix := range []string{"/x/y/", "/u/"} {
				for _, reads := range []bool{true, false} {
					Convey(fmt.Sprintf("%s at %s, callers read: %v", name, prefix, reads), func() {
						request := fmt.Sprintf("GET %send/%s HTTP/1.1\r\nHost: a.example\r\n\r\n", prefix, name)
						peak := heapPeak(func() {
							var group sync.WaitGroup
							for i := range callers {
								group.Go(func() {
									nc, err := net.Dial("tcp", address)
									if err != nil {
										return
									}
									defer nc.Close()
									_ = nc.SetDeadline(time.Now().Add(callTime))
									// Every second caller has one request behind the other.
									_, _ = io.WriteString(nc, strings.Repeat(request, 1+3*(i%2)))
									if reads {
										_, _ = io.Copy(io.Discard, nc)
									} else {
										time.Sleep(callTime)
									}
								})
							}
							group.Wait()
						})
						So(float64(peak)-float64(base), ShouldBeLessThan, maxGrowth)
						// The callers have just left: until their slots are free, a request may be refused.
						answer := ""
						for until := time.Now().Add(recoveryTime); answer != "200 sound" && time.Now().Before(until); {
							nc, err := net.Dial("tcp", address)
							So(err, ShouldBeNil)
							_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
							_, _ = io.WriteString(nc, "GET /x/y/sound HTTP/1.1\r\nHost: a.example\r\n\r\n")
							resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
							So(err, ShouldBeNil)
							body, _ := io.ReadAll(resp.Body)
							nc.Close()
							answer = fmt.Sprint(resp.StatusCode, " ", string(body))
							if answer != "200 sound" {
								So(resp.Header.Get("Egret-Error"), ShouldEqual, "overloaded")
								time.Sleep(50 * time.Millisecond)
							}
						}
						So(answer, ShouldEqual, "200 sound")
					})
				}
			}
		}
	})
}
