package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stuck is a standard output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestBoundedWriter(t *testing.T) {
	Convey("A writer whose output is stuck neither blocks nor grows, and tells of what it dropped", t, func() {
		output := &stuck{release: make(chan struct{})}
		w := NewBoundedWriter(output)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		begun := time.Now()
		for range 4 * maxPending / len(line) {
			_, _ = w.Write(line)
		}
		So(time.Since(begun), ShouldBeLessThan, time.Second)
		So(len(w.pending), ShouldBeLessThanOrEqualTo, maxPending)
		close(output.release)
		w.Close()
		So(output.written.String(), ShouldContainSubstring, `"msg":"log lines dropped"`)
	})
	Convey("Lines come out whole and in order", t, func() {
		var output bytes.Buffer
		w := NewBoundedWriter(&output)
		_, _ = w.Write([]byte("a\n"))
		_, _ = w.Write([]byte("b\n"))
		w.Close()
		So(output.String(), ShouldEqual, "a\nb\n")
	})
}
