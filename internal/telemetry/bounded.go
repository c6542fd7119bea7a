package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the size of the log lines that wait to be written. It is
	// enough for about a thousand lines.
	maxPendingBytes = 256 << 10
	// writeInterval is the time between two writes of pending lines. Writing each line
	// alone would cost a system call per line.
	writeInterval = 100 * time.Millisecond
)

// BoundedWriter buffers log lines and writes them in the background, so that Write never
// waits for the target. Lines that don't fit the buffer are dropped, and a log line reports
// how many. It is safe for concurrent use.
type BoundedWriter struct {
	target io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int // number of lines

	writeMu sync.Mutex // held during a write to target
	stop    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer to target and starts its background goroutine. Close
// stops it.
func NewBoundedWriter(target io.Writer) *BoundedWriter {
	w := &BoundedWriter{target: target, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for a single line. It never waits for the target and never
// fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Sync writes the pending lines and, if lines were dropped, a line with their number.
func (w *BoundedWriter) Sync() error {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := w.target.Write(lines)
	return err
}

// Close writes the pending lines and stops the background goroutine. Later lines stay
// pending.
func (w *BoundedWriter) Close() {
	close(w.stop)
	<-w.done
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = w.Sync() // there is nowhere to report that the log output is broken
		case <-w.stop:
			_ = w.Sync()
			return
		}
	}
}
