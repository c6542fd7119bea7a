package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	connReadBuffer  = 4 << 10 // bytes
	connWriteBuffer = 4 << 10 // bytes
)

// past is a deadline that ends every read and write at once.
var past = time.Unix(1, 0)

// errAnswerHeader: the header of an answer is too large.
var errAnswerHeader = eris.New("answer header too large")

// conn is one connection of a Client. It is used by one request at a time.
type conn struct {
	net.Conn
	host    *host
	raw     syscall.RawConn
	peek    func(fd uintptr) bool // peekSocket
	quiet   bool
	input   boundedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	request http.Request
	dialed  time.Time
	// roundTrip is the time that opening the connection took.
	roundTrip time.Duration
	idle      time.Time
	// idleLimit is how long the peer keeps the connection idle; zero: unknown.
	idleLimit time.Duration
	reused    bool
	aborted   atomic.Bool
	closed    atomic.Bool
}

func newConn(nc net.Conn, h *host) *conn {
	c := &conn{
		Conn:   nc,
		host:   h,
		input:  boundedReader{conn: nc},
		writer: bufio.NewWriterSize(nc, connWriteBuffer),
		dialed: time.Now(),
	}
	c.reader = bufio.NewReaderSize(&c.input, connReadBuffer)
	c.peek = c.peekSocket
	if over, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = over.NetConn() // TLS
	}
	if sys, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sys.SyscallConn() // without it the check is left out
	}
	return c
}

// boundedReader reads from a connection until left bytes have come.
type boundedReader struct {
	conn net.Conn
	left int64
}

// Read fails once the bound is spent.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errAnswerHeader
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.conn.Read(p)
	r.left -= int64(n)
	return n, err
}

// abort ends reads and writes in progress. Safe for concurrent use.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.SetDeadline(past)
}

// keepAliveShare of the idle time that a peer announces is used, percent; the
// rest covers the way there.
const keepAliveShare = 75

// noteKeepAlive takes the idle time that the peer announces.
func (c *conn) noteKeepAlive(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		seconds, err := strconv.ParseUint(value, 10, 32)
		if ok && err == nil {
			c.idleLimit = time.Duration(seconds) * time.Second * keepAliveShare / 100
		}
	}
}

// close closes the connection once and frees its place at the host.
func (c *conn) close() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.Conn.Close()
	c.host.forget()
}

// alive reports whether an idle connection may be used again: the peer has
// neither closed it nor sent anything.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.quiet = false
	err := c.raw.Read(c.peek)
	return err == nil && c.quiet
}

// peekSocket sets quiet when the socket is open and holds no bytes.
func (c *conn) peekSocket(fd uintptr) bool {
	c.quiet = isQuiet(fd)
	return true
}

// isTimeout reports whether err is a passed read or write deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// unexpected turns an end of input into io.ErrUnexpectedEOF.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
