package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the buffered lines; a busy entry fills it in some seconds.
	maxBufferBytes = 512 << 10
	// flushInterval is the longest time that a line is buffered. One write of many
	// lines costs far less than one write for each line.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter writes lines from a goroutine, so that a slow or blocked output never
// blocks the loggers. Lines that exceed its buffer are dropped and counted; the
// count is written as a separate line. It is safe for concurrent use.
type AsyncWriter struct {
	out  io.Writer
	wake chan struct{}
	stop chan struct{}
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	total   int64
}

// NewAsyncWriter returns a writer in front of out. The caller must Close it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for whole lines. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-w.stop:
		case <-timer.C:
		}
		timer.Stop()
		w.flush()
	}
}

// flush writes the buffered lines. The lines of a failed write are lost; there is no
// output to report the error to.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.spare = w.spare[:0], nil
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "ts=%s level=warn part=logging msg=\"Lines dropped\" count=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// Close writes the buffered lines and stops the goroutine.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}
