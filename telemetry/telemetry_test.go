package telemetry_test

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch/telemetry"
)

type pair struct{ A, B int }

// TestLoggerWritesAllFieldTypes guards against a log call that panics and aborts its
// request: the logfmt encoder panics on slices.
func TestLoggerWritesAllFieldTypes(t *testing.T) {
	var out bytes.Buffer
	logger := telemetry.NewLogger(&out, "info").With(zap.Any("with", []int{1}))
	logger.Info("event", zap.Any("list", []pair{{1, 2}}), zap.Any("map", map[string]int{"a": 1}), zap.Strings("names", []string{"a", "b"}))
	logger.Debug("hidden")
	must.Eq(t, 1, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), `list="[{1 2}]"`)
	must.StrContains(t, out.String(), "with=1")
}

// stuckWriter blocks in Write until release is closed.
type stuckWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuckWriter) Write(line []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(line)
}

// TestBoundedLoggerBoundsItsMemory guards against a process that runs out of memory, or
// floods its log, because lines contain long texts of callers while nobody reads the log.
func TestBoundedLoggerBoundsItsMemory(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	logger, flush := telemetry.NewBoundedLogger(out, "info", metrics.NewSet())
	long := strings.Repeat("a", 60<<10)
	for i := range 5_000 {
		logger.Info("event "+strconv.Itoa(i%100), zap.String("call", long), zap.String("reason", "reason "+long))
	}
	logger.Info("last", zap.String("call", "short"))
	close(out.release)
	flush()
	must.Less(t, 8<<20, out.Len())
	must.Positive(t, out.Len())
	line, _, _ := strings.Cut(out.String(), "\n")
	must.Less(t, 24<<10, len(line))
}

// TestBoundedLoggerNeverBlocks logs many lines while nobody reads the log. Callers must
// not be blocked, and the log volume must not grow with the number of lines.
func TestBoundedLoggerNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	set := metrics.NewSet()
	logger, flush := telemetry.NewBoundedLogger(out, "info", set)
	for i := range 20_000 {
		logger.Info("event", zap.Int("number", i))
		logger.Info("event " + strconv.Itoa(i%100)) // Each message has a limit of its own.
	}
	close(out.release)
	flush()
	lines := strings.Count(out.String(), "\n")
	must.Between(t, 100, lines, 12_000)
	must.StrContains(t, out.String(), "number=0")
	var text bytes.Buffer
	set.WritePrometheus(&text)
	must.StrContains(t, text.String(), "kumquathitch_log_lines_thinned_total")
	must.StrNotContains(t, text.String(), "kumquathitch_log_lines_thinned_total 0")
}
