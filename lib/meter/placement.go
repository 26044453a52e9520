package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// placementInstruments record how engines are divided among models; their labels are bounded by the configuration.
type placementInstruments struct {
	wanted     metric.Float64Gauge
	reassigned metric.Int64Counter
	orders     metric.Int64Counter
	required   metric.Int64Gauge
	available  metric.Int64Gauge
}

func (b *builder) placement() placementInstruments {
	return placementInstruments{
		wanted: b.floatGauge("celerygap_engines_wanted"), reassigned: b.counter("celerygap_engines_reassigned"),
		orders: b.counter("celerygap_engine_orders"), required: b.gauge("celerygap_engines_required"),
		available: b.gauge("celerygap_engines_available"),
	}
}

func (b *builder) floatGauge(name string) metric.Float64Gauge {
	text, _ := describe(name)
	g, err := b.meter.Float64Gauge(name, metric.WithDescription(text))
	b.recordError(err)
	return g
}

// EnginesWanted records the engines that the demand of a model calls for; it does nothing without a meter.
func (m *Meter) EnginesWanted(pool, model string, engines float64) {
	if m != nil {
		m.placement.wanted.Record(context.Background(), engines, modelLabels(pool, model))
	}
}

// EngineReassigned counts an engine that was moved to a model; it does nothing without a meter.
func (m *Meter) EngineReassigned(pool, model string) {
	if m != nil {
		m.placement.reassigned.Add(context.Background(), 1, modelLabels(pool, model))
	}
}

// EnginesOrdered counts an order of engines; it does nothing without a meter.
func (m *Meter) EnginesOrdered(pool, zone, outcome string) {
	if m != nil {
		m.placement.orders.Add(context.Background(), 1, metric.WithAttributes(
			attribute.String("pool", pool), attribute.String("zone", zone), attribute.String("outcome", outcome)))
	}
}

// EnginesRequired records the engines that a pool must have and those that it has; it does nothing without a meter.
func (m *Meter) EnginesRequired(pool string, required, available int) {
	if m != nil {
		label := metric.WithAttributes(attribute.String("pool", pool))
		m.placement.required.Record(context.Background(), int64(required), label)
		m.placement.available.Record(context.Background(), int64(available), label)
	}
}

func modelLabels(pool, model string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("pool", pool), attribute.String("model", model))
}
