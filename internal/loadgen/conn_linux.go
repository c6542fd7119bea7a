package loadgen

import (
	"net"
	"syscall"
)

// isOpen reports whether the peer of an idle connection has neither closed it
// nor sent unsolicited data. It peeks at the socket without blocking.
func isOpen(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		buffer := [1]byte{}
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
	})
	return err == nil && open
}
