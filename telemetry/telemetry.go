// Package telemetry creates the logger and the tracer of a process. Metrics are kept
// in a set of package github.com/VictoriaMetrics/metrics.
//
// # Usage
//
//	logger := telemetry.NewLogger(os.Stderr, "info")
//	tracing, err := telemetry.NewTracing(ctx, "kumquathitchd", "")
//	if err != nil {
//		return err
//	}
//	defer tracing.Shutdown(ctx)
//	set := metrics.NewSet()
//
// Each log entry is one line of key=value pairs.
package telemetry

import (
	"context"
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes logfmt lines. For an unknown level it uses "info".
func NewLogger(w io.Writer, level string) *zap.Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(textCore{zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)})
}

// textCore converts fields whose values need reflection to text. The logfmt encoder
// panics on slices, which aborted the request that logged the entry.
type textCore struct {
	zapcore.Core
}

// With returns a core that adds fields to every entry.
func (c textCore) With(fields []zapcore.Field) zapcore.Core {
	return textCore{c.Core.With(fieldsAsText(fields))}
}

// Check adds the core to an entry if the entry's level is enabled.
func (c textCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes an entry with its fields converted to text.
func (c textCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, fieldsAsText(fields))
}

// maxValueBytes bounds one text in a line. Callers choose the texts of some, such as
// the ID of a call; a stack is shorter.
const maxValueBytes = 8 << 10

func fieldsAsText(fields []zapcore.Field) []zapcore.Field {
	converted := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if f.Type == zapcore.ReflectType {
			f = zap.String(f.Key, fmt.Sprint(f.Interface))
		}
		if f.Type == zapcore.StringType && len(f.String) > maxValueBytes {
			f.String = fmt.Sprintf("%s... (%d bytes)", f.String[:maxValueBytes], len(f.String))
		}
		converted = append(converted, f)
	}
	return converted
}

// Tracing creates spans and propagates their context between processes.
type Tracing struct {
	Tracer     trace.Tracer
	Propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// NewTracing returns a Tracing that exports spans to an OTLP endpoint over HTTP, such
// as "127.0.0.1:4318". With an empty endpoint it records no spans, but still
// propagates the trace context of callers.
func NewTracing(ctx context.Context, service, endpoint string) (*Tracing, error) {
	t := &Tracing{
		Tracer:     noop.NewTracerProvider().Tracer(service),
		Propagator: propagation.TraceContext{},
		shutdown:   func(context.Context) error { return nil },
	}
	if endpoint == "" {
		return t, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, eris.Wrap(err, "telemetry.NewTracing")
	}
	t.setProvider(service, sdktrace.WithBatcher(exporter))
	return t, nil
}

// NewTracingWithProcessor returns a Tracing that passes each ended span to a processor.
func NewTracingWithProcessor(service string, processor sdktrace.SpanProcessor) *Tracing {
	t := &Tracing{Propagator: propagation.TraceContext{}}
	t.setProvider(service, sdktrace.WithSpanProcessor(processor))
	return t
}

func (t *Tracing) setProvider(service string, option sdktrace.TracerProviderOption) {
	attributes := resource.NewSchemaless(semconv.ServiceName(service))
	provider := sdktrace.NewTracerProvider(option, sdktrace.WithResource(attributes))
	t.Tracer = provider.Tracer(service)
	t.shutdown = provider.Shutdown
}

// Shutdown exports the remaining spans and stops tracing.
func (t *Tracing) Shutdown(ctx context.Context) error {
	return t.shutdown(ctx)
}
