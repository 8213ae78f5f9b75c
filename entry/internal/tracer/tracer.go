// Package tracer creates spans, propagates them as W3C trace context, and exports them to an OTLP endpoint over
// HTTP if one is set.
package tracer

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const (
	scope = "fuchsiabridge"
	// Header carries the trace context in HTTP calls.
	Header = "traceparent"
)

// SetUp installs the exporter for the endpoint (host:port). Without an endpoint, spans are not recorded.
// The returned function exports the remaining spans.
func SetUp(ctx context.Context, endpoint, node string) (func(context.Context) error, error) {
	if endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, errors.Wrap(err, "creating the trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", scope),
			attribute.String("service.instance.id", node),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Start starts a span as a child of traceparent. The returned child is the traceparent for further spans. end
// must be called when the spanned work is done.
func Start(traceparent, name string, keysAndValues ...string) (child string, end func(error)) {
	carrier := propagation.MapCarrier{Header: traceparent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := otel.Tracer(scope).Start(ctx, name, trace.WithAttributes(attributes(keysAndValues)...))
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[Header], func(err error) {
		if err != nil {
			span.RecordError(err)
		}
		span.End()
	}
}

func attributes(keysAndValues []string) []attribute.KeyValue {
	list := make([]attribute.KeyValue, 0, len(keysAndValues)/2)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		list = append(list, attribute.String(keysAndValues[i], keysAndValues[i+1]))
	}
	return list
}
