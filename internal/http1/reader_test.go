package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/rawanswer"
)

const testHeadBytes = 4 << 10

// readFinal reads answers up to the first final one, and its body.
func readFinal(conn io.Reader, method string) (answer *Answer, body string, err error) {
	r := NewReader(conn, 64, testHeadBytes)
	for answer == nil || answer.IsInterim() {
		if answer, err = r.ReadAnswer(method); err != nil {
			return nil, "", err
		}
	}
	if answer.Body == nil {
		return answer, "", nil
	}
	data, err := io.ReadAll(answer.Body)
	return answer, string(data), err
}

// Guards against an answer that is read in another way than RFC 9110 and RFC 9112 say, or
// that looks complete although it was cut.
func TestTable(t *testing.T) {
	for _, c := range rawanswer.Cases() {
		Convey("An answer with "+c.Name, t, func() {
			readers := map[string]func() io.Reader{
				"at once":   func() io.Reader { return strings.NewReader(c.Raw) },
				"by bytes":  func() io.Reader { return iotest.OneByteReader(strings.NewReader(c.Raw)) },
				"in halves": func() io.Reader { return iotest.HalfReader(strings.NewReader(c.Raw)) },
			}
			for name, reader := range readers {
				conn := reader()
				if c.End == rawanswer.Reset {
					conn = io.MultiReader(conn, iotest.ErrReader(errReset))
				}
				answer, body, err := readFinal(conn, http.MethodPost)
				if c.Broken {
					So(fmt.Sprint(name, ": ", err), ShouldNotEqual, name+": <nil>")
					So(errors.Is(err, ErrMalformed), ShouldEqual, c.End == rawanswer.Keep || strings.Contains(c.Name, "in version 1.0"))
					continue
				}
				So(err, ShouldBeNil)
				So(answer.Status, ShouldEqual, c.Status)
				So(body, ShouldEqual, c.Body)
				So(answer.Trailer, ShouldResemble, c.Trailer)
				if c.Name == rawanswer.Plain.Name {
					So(answer.Close, ShouldBeFalse)
				}
			}
			if c.Broken {
				return
			}
			for cut := range c.Raw {
				answer, _, err := readFinal(strings.NewReader(c.Raw[:cut]), http.MethodPost)
				if err == nil && !answer.EndsWithConn {
					So(c.Raw[:cut], ShouldBeEmpty)
				}
			}
		})
	}
}

var errReset = errors.New("connection reset by peer")

func TestFraming(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	cases := []struct {
		name, method, raw string
		length            int64
		close, hasBody    bool
	}{
		{"HEAD with a length", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 5, false, false},
		{"HEAD without a length", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", -1, false, false},
		{"HEAD with chunks", http.MethodHead, chunkedHead + "\r\n", -1, false, false},
		{"304 with a length", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 0, false, false},
		{"204 with a length", http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", 0, true, false},
		{"204 with chunks", http.MethodGet, "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", 0, true, false},
		{"204 with length 0", http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 0, false, false},
		{"length 0", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, false, false},
		{"close", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: X-A, Close\r\n\r\n", 5, true, true},
		{"version 1.0", http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n", 5, true, true},
		{"version 1.0 that is kept", http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\n", 5, false, true},
		{"no length", http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n", -1, true, true},
		{"chunks", http.MethodGet, chunkedHead + "\r\n", -1, false, true},
	}
	for _, c := range cases {
		Convey("An answer with "+c.name, t, func() {
			answer, err := NewReader(strings.NewReader(c.raw), 64, testHeadBytes).ReadAnswer(c.method)
			So(err, ShouldBeNil)
			So(answer.Length, ShouldEqual, c.length)
			So(answer.Close, ShouldEqual, c.close)
			So(answer.Body != nil, ShouldEqual, c.hasBody)
			if answer.Status == http.StatusNoContent {
				So(answer.Header[contentLength], ShouldBeNil)
			}
		})
	}
	Convey("Several lengths become one, and fields of the framing in a trailer are discarded", t, func() {
		answer, body, err := readFinal(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\ncontent-length: 5\r\n\r\nhello"), http.MethodGet)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "hello")
		So(answer.Header[contentLength], ShouldResemble, []string{"5"})
		answer, _, err = readFinal(strings.NewReader(chunkedHead+"\r\n0\r\nContent-Length: 7\r\nX-Sum: 1\r\nTransfer-Encoding: chunked\r\nX-Sum: 2\r\n\r\n"), http.MethodGet)
		So(err, ShouldBeNil)
		So(answer.Trailer, ShouldResemble, http.Header{"X-Sum": {"1", "2"}})
	})
	Convey("Heads and trailers are limited", t, func() {
		line := "X: " + strings.Repeat("x", 1000) + "\r\n"
		for _, raw := range []string{"HTTP/1.1 200 OK\r\n" + strings.Repeat(line, 5), chunkedHead + "\r\n0\r\n" + strings.Repeat(line, 20)} {
			_, _, err := readFinal(strings.NewReader(raw), http.MethodGet)
			So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
		}
	})
	Convey("Answers follow each other on a connection", t, func() {
		r := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+chunkedHead+"\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"), 64, testHeadBytes)
		for _, want := range []string{"ok", "ok", ""} {
			answer, err := r.ReadAnswer(http.MethodGet)
			So(err, ShouldBeNil)
			if answer.Body != nil {
				body, err := io.ReadAll(answer.Body)
				So(err, ShouldBeNil)
				So(string(body), ShouldEqual, want)
			}
			So(answer.Close, ShouldBeFalse)
		}
		So(r.AwaitByte(), ShouldEqual, io.ErrUnexpectedEOF)
	})
}

// FuzzReadAnswer compares with net/http, which callers may use: what this package accepts,
// net/http reads in the same way.
func FuzzReadAnswer(f *testing.F) {
	for _, c := range rawanswer.Cases() {
		f.Add([]byte(c.Raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		answer, body, err := readFinal(bytes.NewReader(raw), http.MethodGet)
		if err != nil {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(raw), 64)
		response, err := http.ReadResponse(reader, nil)
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = http.ReadResponse(reader, nil)
		}
		if strings.Contains(fmt.Sprint(err), contentLength) {
			return // a list of lengths
		}
		if err != nil {
			t.Fatalf("net/http: %v", err)
		}
		data, err := io.ReadAll(response.Body)
		if strings.Contains(fmt.Sprint(err), "trailer") {
			return // net/http takes neither line feeds alone there nor trailers beyond the buffer
		}
		if err != nil || string(data) != body || response.StatusCode != answer.Status {
			t.Fatalf("want status %d and %q, net/http got %d, %q and %v", answer.Status, body, response.StatusCode, data, err)
		}
		if response.Close != answer.Close && answer.Body != nil {
			t.Fatalf("want close=%v, net/http %v", answer.Close, response.Close)
		}
	})
}

// stallingConn returns a timeout at the end of each part.
type stallingConn struct{ parts []string }

func (c *stallingConn) Read(p []byte) (int, error) {
	n := copy(p, c.parts[0])
	c.parts[0] = c.parts[0][n:]
	if n == 0 {
		c.parts = c.parts[1:]
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// Guards against a slow answer that is taken for a malformed one, and against a wait in parts
// that ends with the first.
func TestTimeouts(t *testing.T) {
	for _, part := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nConte", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX"} {
		Convey(fmt.Sprintf("A timeout after %q is a timeout", part), t, func() {
			_, _, err := readFinal(&stallingConn{[]string{part, ""}}, http.MethodGet)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(errors.Is(err, ErrMalformed), ShouldBeFalse)
		})
	}
	Convey("A wait can be repeated after a timeout", t, func() {
		r := NewReader(&stallingConn{[]string{"", "HTTP/1.1 204 No Content\r\n\r\n"}}, 64, testHeadBytes)
		So(errors.Is(r.AwaitByte(), os.ErrDeadlineExceeded), ShouldBeTrue)
		So(r.AwaitByte(), ShouldBeNil)
		_, err := r.ReadAnswer(http.MethodGet)
		So(err, ShouldBeNil)
	})
}
