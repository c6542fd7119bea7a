//go:build !linux

package pipeline

import "net"

// hasHungUp reports false: only reads show the end of a connection here.
func hasHungUp(net.Conn) bool { return false }
