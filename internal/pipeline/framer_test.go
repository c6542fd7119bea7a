package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// drawRequest draws a well-formed request.
// maxHeadBytes limits the heads in tests of the framer.
const maxHeadBytes = 80 << 10

func drawRequest(t *rapid.T) string {
	var raw strings.Builder
	method := rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT", "OPTIONS", "DELETE"}).Draw(t, "method")
	fmt.Fprintf(&raw, "%s /%d HTTP/1.1\r\nHost: h\r\n", method, rapid.IntRange(0, 9).Draw(t, "path"))
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		fmt.Fprintf(&raw, "X-Field: %s\r\n", rapid.StringMatching(`[a-zA-Z0-9:;, ]{0,30}`).Draw(t, "value"))
	}
	body := rapid.StringMatching(`[a-zA-Z0-9\r\n ]{0,60}`).Draw(t, "body")
	switch rapid.IntRange(0, 2).Draw(t, "framing") {
	case 0:
		raw.WriteString("\r\n")
	case 1:
		fmt.Fprintf(&raw, "cOntent-length:  %d \r\n\r\n%s", len(body), body)
	default:
		raw.WriteString("Transfer-Encoding: Chunked\r\n\r\n")
		for len(body) > 0 {
			n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
			fmt.Fprintf(&raw, "%x%s\r\n%s\r\n", n, rapid.SampledFrom([]string{"", ";a=b", " "}).Draw(t, "extension"), body[:n])
			body = body[n:]
		}
		raw.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "T: v\r\n"}).Draw(t, "trailer") + "\r\n")
	}
	return raw.String()
}

// scanAll feeds data in pieces and returns the ends of the requests found.
func scanAll(data []byte, nextSize func() int) ([]int, error) {
	var ends []int
	f := newFramer(maxHeadBytes)
	for at := 0; at < len(data); {
		n, err := f.scan(data[at:min(len(data), at+nextSize())])
		at += n
		if err != nil {
			return ends, err
		}
		if f.state == atEnd {
			ends = append(ends, at)
			if f.head.ambiguous != "" {
				return ends, nil
			}
			f = newFramer(maxHeadBytes)
		}
	}
	return ends, nil
}

func TestFramerFindsEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var data []byte
		var want []int
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			data = append(data, drawRequest(t)...)
			want = append(want, len(data))
		}
		got, err := scanAll(data, func() int { return rapid.IntRange(1, 40).Draw(t, "piece") })
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("ends %v, error %v; want %v in %q", got, err, want, data)
		}
	})
}

// FuzzFramer compares the requests found in any bytes with those that net/http reads from
// them: what the framer passes on as a request, net/http must end at the same byte.
func FuzzFramer(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\nHost: h\nContent-Length: 1\n\nxGET / HTTP/1.0\n\n",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nX: y\r\n Content-Length: 5\r\n\r\n01234",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na0\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := scanAll(data, func() int { return len(data) })
		bytewise, bytewiseErr := scanAll(data, func() int { return 1 })
		if fmt.Sprint(whole) != fmt.Sprint(bytewise) || (wholeErr == nil) != (bytewiseErr == nil) {
			t.Fatalf("ends %v (%v) in one piece, %v (%v) byte by byte", whole, wholeErr, bytewise, bytewiseErr)
		}
		start := 0
		for _, end := range whole {
			checkAgainstNetHTTP(t, data[start:end])
			start = end
		}
	})
}

// checkAgainstNetHTTP reads one request as net/http does. Unless net/http refuses it, it
// must leave none of the bytes.
func checkAgainstNetHTTP(t *testing.T, raw []byte) {
	f := newFramer(maxHeadBytes)
	if _, err := f.scan(raw); err != nil || f.head.ambiguous != "" {
		return
	}
	reader := bufio.NewReaderSize(bytes.NewReader(raw), len(raw)+1024)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if reader.Buffered() > 0 {
		rest, _ := io.ReadAll(reader)
		t.Fatalf("net/http leaves %q of %q", rest, raw)
	}
	if f.mayRunAhead() && (r.ContentLength != 0 || len(r.TransferEncoding) > 0) {
		t.Fatalf("%q may run ahead, but net/http reads a body of it", raw)
	}
}

func TestFramerLimits(t *testing.T) {
	Convey("A head that goes on ends where net/http has refused it", t, func() {
		f := newFramer(maxHeadBytes)
		field := []byte("X: " + strings.Repeat("x", 1000) + "\r\n")
		_, err := f.scan([]byte("GET / HTTP/1.1\r\n"))
		for i := 0; i < 1000 && f.state != atEnd && err == nil; i++ {
			_, err = f.scan(field)
		}
		So(err, ShouldBeNil)
		So(f.state, ShouldEqual, atEnd)
		So(f.head.ambiguous, ShouldNotBeEmpty)
		So(f.headBytes, ShouldBeLessThan, maxHeadBytes+2000)
		So(cap(f.line), ShouldBeLessThan, maxHeadBytes)
	})
	Convey("Chunk extensions, trailers and sizes without end are errors", t, func() {
		for name, part := range map[string]string{
			"extension": "1;" + strings.Repeat("x", 1000),
			"trailer":   "0\r\n" + strings.Repeat("A: b\r\n", 1000),
			"size":      strings.Repeat("0", 100) + "1\r\n",
		} {
			f := newFramer(maxHeadBytes)
			_, err := f.scan([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"))
			So(err, ShouldBeNil)
			for i := 0; i < 100 && err == nil; i++ {
				_, err = f.scan([]byte(part))
				part = strings.TrimPrefix(part, "0\r\n")
			}
			So(fmt.Sprint(name, ": ", err != nil), ShouldEqual, name+": true")
		}
	})
}
