// Package telemetry builds the logger, the tracer and the metrics of a process.
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
// Logs are one line of key=value pairs for each event.
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

// NewLogger returns a logger that writes logfmt lines. An unknown level means "info".
func NewLogger(w io.Writer, level string) *zap.Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(plainCore{zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)})
}

// plainCore writes values that need reflection as text. The logfmt encoder
// panics on slices, which ended the request whose event was logged.
type plainCore struct {
	zapcore.Core
}

// With adds fields to every entry.
func (c plainCore) With(fields []zapcore.Field) zapcore.Core {
	return plainCore{c.Core.With(plain(fields))}
}

// Check adds this core to an entry that is to be logged.
func (c plainCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes one entry.
func (c plainCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	texts := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if f.Type == zapcore.ReflectType {
			f = zap.String(f.Key, fmt.Sprint(f.Interface))
		}
		texts = append(texts, f)
	}
	return texts
}

// Tracing makes spans and carries their context between processes.
type Tracing struct {
	Tracer     trace.Tracer
	Propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// NewTracing returns tracing that exports spans to an OTLP endpoint over HTTP,
// such as "127.0.0.1:4318". With an empty endpoint no span is recorded, and the
// context of callers is still passed on.
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
	t.use(service, sdktrace.WithBatcher(exporter))
	return t, nil
}

// NewTracingTo returns tracing that hands each ended span to a processor.
func NewTracingTo(service string, processor sdktrace.SpanProcessor) *Tracing {
	t := &Tracing{Propagator: propagation.TraceContext{}}
	t.use(service, sdktrace.WithSpanProcessor(processor))
	return t
}

func (t *Tracing) use(service string, option sdktrace.TracerProviderOption) {
	named := resource.NewSchemaless(semconv.ServiceName(service))
	provider := sdktrace.NewTracerProvider(option, sdktrace.WithResource(named))
	t.Tracer = provider.Tracer(service)
	t.shutdown = provider.Shutdown
}

// Shutdown exports the spans that are still held.
func (t *Tracing) Shutdown(ctx context.Context) error {
	return t.shutdown(ctx)
}
