package wire

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"unsafe"
)

// socket is a TCP connection whose read and write system calls bypass the Go
// scheduler. They never block, since the socket is non-blocking; the runtime's poller
// still does the waiting. With package net, the first call after a pause wakes the
// runtime's monitor thread (sysmon), which then wakes up every 20 us until the process
// is idle again.
type socket struct {
	*net.TCPConn
	raw     syscall.RawConn
	reading transfer
	writing transfer
}

// transfer is the state of one direction of a socket.
type transfer struct {
	mu        sync.Mutex
	data      []byte
	doneBytes int
	errno     syscall.Errno
	// try makes the system calls of the transfer. It reports whether the transfer has
	// ended; false means that the socket isn't ready.
	try func(fd uintptr) bool
}

// newSocket wraps nc in a socket. It returns nc unchanged if it is not a TCP connection.
func newSocket(nc net.Conn) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nc
	}
	s := &socket{TCPConn: tcp, raw: raw}
	s.reading.try = s.reading.read
	s.writing.try = s.writing.write
	return s
}

// Read reads the bytes that are available, or waits until there are some.
func (s *socket) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := s.reading.run(p, s.raw.Read)
	if err != nil {
		return n, s.opError("read", err)
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Write writes all of p.
func (s *socket) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := s.writing.run(p, s.raw.Write)
	if err != nil {
		return n, s.opError("write", err)
	}
	return n, nil
}

// opError wraps err in the error that package net would return.
func (s *socket) opError(op string, err error) error {
	if errno, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError(op, errno)
	}
	if inner, ok := err.(*net.OpError); ok {
		err = inner.Err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: err}
}

// run transfers data. The function wait calls t.try each time the socket is ready, until
// try returns true.
func (t *transfer) run(data []byte, wait func(func(uintptr) bool) error) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data, t.doneBytes, t.errno = data, 0, 0
	err := wait(t.try)
	t.data = nil
	if err == nil && t.errno != 0 {
		err = t.errno
	}
	return t.doneBytes, err
}

func (t *transfer) read(fd uintptr) bool {
	n, errno := t.rawSyscall(syscall.SYS_READ, fd)
	switch errno {
	case 0:
		t.doneBytes = n
	case syscall.EAGAIN:
		return false
	default:
		t.errno = errno
	}
	return true
}

func (t *transfer) write(fd uintptr) bool {
	for len(t.data) > 0 {
		n, errno := t.rawSyscall(syscall.SYS_WRITE, fd)
		if errno == syscall.EAGAIN {
			return false
		}
		if errno != 0 {
			t.errno = errno
			return true
		}
		t.doneBytes += n
		t.data = t.data[n:]
	}
	return true
}

// rawSyscall makes one system call on the rest of data and repeats it if interrupted.
func (t *transfer) rawSyscall(number, fd uintptr) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall(number, fd, uintptr(unsafe.Pointer(&t.data[0])), uintptr(len(t.data)))
		if errno != syscall.EINTR {
			return int(n), errno
		}
	}
}

// isOpenAndEmpty reports whether a socket is open and has no bytes to read.
func isOpenAndEmpty(fd uintptr) bool {
	var peeked [1]byte
	_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&peeked[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return errno == syscall.EAGAIN
}
