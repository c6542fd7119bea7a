package wire

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egretfield/egretfield/internal/http1"
)

const (
	connReadBufferBytes  = 4 << 10
	connWriteBufferBytes = 4 << 10
)

// maxEarlierIDs is the number of requests of a connection whose late second answers are
// recognised without the server's promise to repeat ids.
const maxEarlierIDs = 4

// maxResendableIDs is the number of refused or failed requests, before their deadlines,
// with which a connection is kept.
const maxResendableIDs = 64

// pastDeadline is a deadline that ends all reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection of a Client. It carries one request at a time.
type conn struct {
	net.Conn
	pool *pool
	raw  syscall.RawConn // nil if the connection gives no access to its socket
	// peek is the method value peekSocket, made only once.
	peek         func(fd uintptr)
	openAndEmpty bool // result of peekSocket
	reader       *http1.Reader
	writer       *bufio.Writer
	dialedAt     time.Time
	// roundTrip is the time that opening the connection took.
	roundTrip time.Duration
	idleSince time.Time // when the connection returned to the pool
	// idleLimit is how long the peer keeps an idle connection open; zero if unknown.
	idleLimit time.Duration
	reused    bool // carried a request before the current one
	// earlierIDs are the ids of the latest requests before the current one.
	earlierIDs [maxEarlierIDs]string
	nextID     int
	// resendable are the requests on this connection that may be sent again until their
	// deadlines.
	resendable []resendableID
	aborted    atomic.Bool
	closed     atomic.Bool
}

// resendableID is the id of a request that was refused or failed.
type resendableID struct {
	id       string
	deadline time.Time
}

// rememberResendable records that a request may be sent again until its deadline. It
// returns false if there are too many of them.
func (c *conn) rememberResendable(id string, deadline time.Time) bool {
	now := time.Now()
	c.resendable = slices.DeleteFunc(c.resendable, func(r resendableID) bool { return !now.Before(r.deadline) })
	c.resendable = append(c.resendable, resendableID{id: id, deadline: deadline})
	return len(c.resendable) <= maxResendableIDs
}

// mayAnswerAgain reports whether the connection has carried a request that may be sent
// again. A late second answer to it couldn't be told from the answer to the repetition.
func (c *conn) mayAnswerAgain(id string) bool {
	now := time.Now()
	return slices.ContainsFunc(c.resendable, func(r resendableID) bool { return r.id == id && now.Before(r.deadline) })
}

func newConn(nc net.Conn, p *pool) *conn {
	c := &conn{
		Conn:     nc,
		pool:     p,
		reader:   http1.NewReader(nc, connReadBufferBytes, p.client.options.MaxHeaderBytes),
		writer:   bufio.NewWriterSize(nc, connWriteBufferBytes),
		dialedAt: time.Now(),
	}
	c.peek = c.peekSocket
	if sys, ok := SocketOf(nc).(syscall.Conn); ok {
		c.raw, _ = sys.SyscallConn() // without raw, isAlive doesn't check the socket
	}
	return c
}

// abort ends reads and writes in progress. It is safe for concurrent use.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.SetDeadline(pastDeadline)
}

// keepAlivePercent is the share used of the idle time that a peer announces. The rest
// covers the time that a request takes to reach the peer.
const keepAlivePercent = 75

// noteKeepAlive reads the idle time that the peer announces in the Keep-Alive header.
func (c *conn) noteKeepAlive(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		seconds, err := strconv.ParseUint(value, 10, 32)
		if ok && err == nil {
			c.idleLimit = time.Duration(seconds) * time.Second * keepAlivePercent / 100
		}
	}
}

// close closes the connection and releases its place in the pool. Only the first call has
// an effect.
func (c *conn) close() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.Conn.Close()
	c.pool.release()
}

// isAlive reports whether an idle connection can be reused: the peer has neither closed it
// nor sent anything.
func (c *conn) isAlive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.openAndEmpty = false
	// Not c.raw.Read, which fails once the read deadline of the last request has passed.
	err := c.raw.Control(c.peek)
	return err == nil && c.openAndEmpty
}

// peekSocket sets openAndEmpty to whether the socket is open and has no bytes to read.
func (c *conn) peekSocket(fd uintptr) {
	c.openAndEmpty = isOpenAndEmpty(fd)
}

// SocketOf returns the connection below TLS, or nc itself without TLS.
func SocketOf(nc net.Conn) net.Conn {
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok {
		return wrapped.NetConn()
	}
	return nc
}

// IsTimeout reports whether err means that a read or write deadline has passed. ETIMEDOUT
// doesn't: the kernel has given the connection up.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}
