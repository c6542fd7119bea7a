package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the log lines that wait to be written, bytes: about a
	// thousand lines.
	maxPending = 256 << 10
	// writeInterval is the time between two writes of pending lines; single writes
	// cost a system call each.
	writeInterval = 100 * time.Millisecond
)

// BoundedWriter takes log lines without ever waiting for what they are written to.
// Lines that don't fit are dropped, counted and told of. Safe for concurrent use.
type BoundedWriter struct {
	target io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int

	writing sync.Mutex
	stop    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer to target. Close writes what is pending.
func NewBoundedWriter(target io.Writer) *BoundedWriter {
	w := &BoundedWriter{target: target, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line; it never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Sync writes what is pending.
func (w *BoundedWriter) Sync() error {
	w.writing.Lock()
	defer w.writing.Unlock()
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

// Close writes what is pending and ends the writer. Later lines stay pending.
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
			_ = w.Sync() // nobody is left to tell of a broken standard output
		case <-w.stop:
			_ = w.Sync()
			return
		}
	}
}
