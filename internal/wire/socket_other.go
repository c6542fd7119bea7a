//go:build !linux

package wire

import (
	"net"
	"syscall"
)

// newSocket returns nc unchanged: on this platform package net does the reads and writes.
func newSocket(nc net.Conn) net.Conn {
	return nc
}

// isOpenAndEmpty reports whether a socket is open and has no bytes to read.
func isOpenAndEmpty(fd uintptr) bool {
	var peeked [1]byte
	_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}
