package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedOutput is a log output whose writes block until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.unblock
	return o.written.Write(p)
}

func TestBoundedWriter(t *testing.T) {
	Convey("A writer whose output is blocked accepts lines at once, stays within its buffer limit and reports dropped lines", t, func() {
		output := &blockedOutput{unblock: make(chan struct{})}
		w := NewBoundedWriter(output)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		start := time.Now()
		for range 4 * maxPendingBytes / len(line) {
			_, _ = w.Write(line)
		}
		So(time.Since(start), ShouldBeLessThan, time.Second)
		So(len(w.pending), ShouldBeLessThanOrEqualTo, maxPendingBytes)
		close(output.unblock)
		w.Close()
		So(output.written.String(), ShouldContainSubstring, `"msg":"log lines dropped"`)
	})
	Convey("Lines are written completely and in order", t, func() {
		var output bytes.Buffer
		w := NewBoundedWriter(&output)
		_, _ = w.Write([]byte("a\n"))
		_, _ = w.Write([]byte("b\n"))
		w.Close()
		So(output.String(), ShouldEqual, "a\nb\n")
	})
}
