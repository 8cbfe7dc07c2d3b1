package telemetry_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch/telemetry"
)

type pair struct{ A, B int }

// TestLoggerWritesEveryKindOfField guards against a log call that panics in the
// request that makes it, as the encoder does for a slice.
func TestLoggerWritesEveryKindOfField(t *testing.T) {
	var out bytes.Buffer
	logger := telemetry.NewLogger(&out, "info").With(zap.Any("with", []int{1}))
	logger.Info("event", zap.Any("list", []pair{{1, 2}}), zap.Any("map", map[string]int{"a": 1}), zap.Strings("names", []string{"a", "b"}))
	logger.Debug("hidden")
	must.Eq(t, 1, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), `list="[{1 2}]"`)
	must.StrContains(t, out.String(), "with=1")
}
