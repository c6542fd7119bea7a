//go:build !linux

package loadgen

import "net"

// isOpen always returns true: the check is implemented on Linux only.
func isOpen(net.Conn) bool {
	return true
}
