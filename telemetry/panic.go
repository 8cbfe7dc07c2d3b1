package telemetry

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// PanicGuard keeps a process running when one message, call or loop panics. Each part
// that must not take the others down defers Recover.
type PanicGuard struct {
	log    *zap.Logger
	panics *metrics.Counter
}

// NewPanicGuard returns a guard that counts panics in set.
func NewPanicGuard(log *zap.Logger, set *metrics.Set) *PanicGuard {
	return &PanicGuard{log: log, panics: set.NewCounter("kumquathitch_panics_total")}
}

// Recover ends a panic and reports it. It must be deferred directly.
func (g *PanicGuard) Recover(part string) {
	if cause := recover(); cause != nil {
		g.Report(part, cause)
	}
}

// Report logs a panic with its stack, and counts it.
func (g *PanicGuard) Report(part string, cause any) {
	g.panics.Inc()
	g.log.Error("panic", zap.String("part", part), zap.String("cause", fmt.Sprint(cause)), zap.String("stack", string(debug.Stack())))
}
