package telemetry

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferedLines is the number of lines that wait for a slow reader of the log.
	bufferedLines = 4096
	// linesPerSecond is the number of lines of one event that are written in a
	// second; of those beyond it, one in linesThinned is.
	linesPerSecond = 100
	linesThinned   = 50
	// flushTimeout bounds the writing of what waits at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// NewBoundedLogger returns a logger that never blocks its callers and bounds the
// volume of each event. What is left out is counted in the set. The returned
// function writes what still waits; lines logged after it are dropped.
func NewBoundedLogger(w io.Writer, level string, set *metrics.Set) (logger *zap.Logger, flush func()) {
	dropped := set.NewCounter("kumquathitch_log_lines_dropped_total")
	thinned := set.NewCounter("kumquathitch_log_lines_thinned_total")
	lines := &lineQueue{lines: make(chan []byte, bufferedLines), end: make(chan struct{}), ended: make(chan struct{}), dropped: dropped}
	go lines.copyTo(w)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped > 0 {
			thinned.Inc()
		}
	})
	core := NewLogger(lines, level).Core()
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, linesThinned, count)), lines.flush
}

// lineQueue hands lines to one goroutine that writes them.
type lineQueue struct {
	lines   chan []byte
	end     chan struct{}
	ended   chan struct{}
	dropped *metrics.Counter
}

// Write queues a line, or drops it when the queue is full.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Inc()
	}
	return len(line), nil
}

func (q *lineQueue) copyTo(w io.Writer) {
	defer close(q.ended)
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-q.end:
			for {
				select {
				case line := <-q.lines:
					q.write(w, line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line together with those that wait behind it.
func (q *lineQueue) write(w io.Writer, line []byte) {
	for len(line) < maxWrite {
		select {
		case next := <-q.lines:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if _, err := w.Write(line); err != nil {
		q.dropped.Inc()
	}
}

// maxWrite is the size of one write, in bytes.
const maxWrite = 16 << 10

func (q *lineQueue) flush() {
	close(q.end)
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-q.ended:
	case <-timer.C:
	}
}
