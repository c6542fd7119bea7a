// Package virtualtime runs tests under the virtual time of testing/synctest.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs body in a synctest bubble with GOMAXPROCS set to 1. It propagates a panic
// of body to its caller, as state machine tests of package rapid require.
//
// GOMAXPROCS is 1 so that no two threads run timers of the bubble at the same time: the
// runtime has one race context for all of them, and two threads that use it at once
// crash a process with the race detector with SIGSEGV. Tests that run in parallel must
// not call Test, as GOMAXPROCS applies to the whole process.
func Test(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var panicValue any
	synctest.Test(t, func(t *testing.T) {
		defer func() { panicValue = recover() }()
		body(t)
	})
	if panicValue != nil {
		panic(panicValue)
	}
}
