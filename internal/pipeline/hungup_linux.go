package pipeline

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/egretfield/egretfield/internal/wire"
)

// hasHungUp reports whether the peer has closed or reset the connection, also when bytes
// that it sent before are unread.
func hasHungUp(nc net.Conn) bool {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	hungUp := false
	err := raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		hungUp = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && hungUp
}

func rawConn(nc net.Conn) syscall.RawConn {
	sys, ok := wire.SocketOf(nc).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
