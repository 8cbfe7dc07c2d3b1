package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is the maximum number of lines that are queued while the log is read slowly.
	maxQueuedLines = 4096
	// maxQueuedBytes bounds the memory of these lines.
	maxQueuedBytes = 4 << 20
	// fullLinesPerSecond is the number of lines with the same message that are written
	// each second. Of further lines in that second, every samplingInterval-th is written.
	fullLinesPerSecond = 100
	samplingInterval   = 50
	// flushTimeout limits the time to write the queued lines at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// NewBoundedLogger returns a logger that never blocks its callers and that limits the
// number of lines per message. Lines that are not written are counted in set. The
// returned function flushes the queued lines; lines logged afterwards are dropped.
func NewBoundedLogger(w io.Writer, level string, set *metrics.Set) (logger *zap.Logger, flush func()) {
	dropped := set.NewCounter("kumquathitch_log_lines_dropped_total")
	sampledOut := set.NewCounter("kumquathitch_log_lines_thinned_total")
	writer := &asyncWriter{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), stopped: make(chan struct{}), dropped: dropped}
	go writer.run(w)
	countSampledOut := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped > 0 {
			sampledOut.Inc()
		}
	})
	core := NewLogger(writer, level).Core()
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, fullLinesPerSecond, samplingInterval, countSampledOut)), writer.flush
}

// asyncWriter queues lines, which run writes in a goroutine of its own.
type asyncWriter struct {
	lines   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped *metrics.Counter
	queued  atomic.Int64 // Bytes in lines.
}

// Write queues a line, or drops it if the queue is full.
func (a *asyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if a.queued.Add(size) <= maxQueuedBytes {
		select {
		case a.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	a.queued.Add(-size)
	a.dropped.Inc()
	return len(line), nil
}

func (a *asyncWriter) run(w io.Writer) {
	defer close(a.stopped)
	for {
		select {
		case line := <-a.lines:
			a.writeBatch(w, line)
		case <-a.stop:
			for {
				select {
				case line := <-a.lines:
					a.writeBatch(w, line)
				default:
					return
				}
			}
		}
	}
}

// writeBatch writes a line together with the lines that are queued after it.
func (a *asyncWriter) writeBatch(w io.Writer, line []byte) {
	defer func() { a.queued.Add(-int64(len(line))) }()
	for len(line) < maxBatchBytes {
		select {
		case next := <-a.lines:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if _, err := w.Write(line); err != nil {
		a.dropped.Inc()
	}
}

// maxBatchBytes is the size from which on no more lines are added to a batch.
const maxBatchBytes = 16 << 10

func (a *asyncWriter) flush() {
	close(a.stop)
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-a.stopped:
	case <-timer.C:
	}
}
