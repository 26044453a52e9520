package meter

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/asserter"
	"celerygap.example/lib/refuser"
)

// Entry documents one metric.
type Entry struct {
	Name   string
	Unit   string
	Labels []string
	Text   string
}

// Catalogue documents every metric; docs/metrics.md is generated from it.
var Catalogue = []Entry{
	{"celerygap_refusals", "requests", []string{"entry", "reason", "outcome"}, "Requests that got a final refusal."},
	{"celerygap_retries", "attempts", []string{"entry", "reason"}, "Attempts that were repeated."},
	{"celerygap_requests", "requests", []string{"entry"}, "Requests accepted from callers and rollouts."},
	{"celerygap_request_duration", "s", []string{"entry"}, "Time from acceptance to the end of the answer."},
	{"celerygap_samples_delivered", "samples", []string{"trainer"}, "Samples sent to a trainer in a page."},
	{"celerygap_sample_staleness", "versions", []string{"trainer"}, "Staleness of samples at delivery."},
	{"celerygap_trainer_wait", "s", []string{"trainer"}, "Time a trainer's page requests waited for samples."},
	{"celerygap_invariant_checks", "checks", []string{"invariant"}, "Checks of the program on itself."},
	{"celerygap_invariant_failures", "checks", []string{"invariant"}, "Failed checks of the program on itself."},
	{"celerygap_catalogue_revision", "revision", nil, "Catalogue revision in force on this host."},
	{"celerygap_admission_wait", "s", []string{"entry", "priority"}, "Time that requests of customers waited for their admission or refusal, by the priority of the customer; 9 stands for all lower ones."},
	{"celerygap_key_checks", "requests", []string{"outcome"}, "Requests by the result of the check of their key, where keys are required."},
	{"celerygap_choices", "attempts", []string{"entry", "by"}, "Attempts on upstreams that state their speed, by what chose the upstream: the expected cost, or the reason for which the former policy did."},
	{"celerygap_cost_estimated", "cost", []string{"entry"}, "Expected work of requests, in seconds at the usual speed. Compare it with celerygap_cost_seen."},
	{"celerygap_cost_seen", "cost", []string{"entry"}, "Work of the same requests as it was seen afterwards, at the usual speed."},
	{"celerygap_store_calls", "calls", []string{"operation", "result"}, "Calls to the platform's store."},
	{"celerygap_batch_pages", "pages", []string{"source", "empty"}, "Pages of results of batch jobs by their source: this host as the owner, another host as the owner, the home of the job, or the store."},
	{"celerygap_batch_jobs_waiting", "jobs", nil, "Batch jobs that no host runs because those that were asked have no memory for them, at the host that reviews the jobs."},
	{"celerygap_duty_calls", "calls", []string{"duty", "outcome"}, "Calls of the platform that one host at a time makes."},
	{"celerygap_usage_windows", "windows", []string{"result"}, "Windows of usage that were reported, or given up because they could not be reported in time."},
	{"celerygap_usage_count_calls", "calls", []string{"result"}, "Messages with counts of requests to the collecting hosts."},
	{"celerygap_peer_calls", "calls", []string{"method", "result"}, "Calls to other hosts of the service."},
	{"celerygap_caller_memory", "bytes", []string{"kind"}, "Memory that is reserved for callers: used, peak since the start, and limit."},
	{"celerygap_connections", "connections", []string{"listener", "state"}, "Open connections of clients by what they are doing: silent, partial (a part of a head has arrived), receiving (a body is arriving), running or idle."},
	{"celerygap_connections_ended", "connections", []string{"listener", "reason"}, "Connections that a listener closed, and requests that it refused, because of its limits."},
	{"celerygap_engines_wanted", "engines", []string{"pool", "model"}, "Engines that the demand of a model's batch jobs calls for, on the holder of the lease for orders."},
	{"celerygap_engines_reassigned", "engines", []string{"pool", "model"}, "Engines moved to a model because of the demand of batch jobs."},
	{"celerygap_engine_orders", "calls", []string{"pool", "zone", "outcome"}, "Orders of engines sent to the platform."},
	{"celerygap_engines_required", "engines", []string{"pool"}, "Engines that the work of a pool calls for, with the reserve, on the holder of the lease for duties."},
	{"celerygap_engines_available", "engines", []string{"pool"}, "Engines of a pool that are listed or on their way, on the holder of the lease for duties."},
	{"celerygap_peer_bytes", "bytes", []string{"direction"}, "Bytes exchanged with other hosts of the service."},
}

// Meter holds the instruments of one host.
type Meter struct {
	registry  *prometheus.Registry
	provider  *sdk.MeterProvider
	refusals  metric.Int64Counter
	retries   metric.Int64Counter
	requests  metric.Int64Counter
	duration  metric.Float64Histogram
	delivered metric.Int64Counter
	staleness metric.Float64Histogram
	wait      metric.Float64Counter
	keys      metric.Int64Counter
	admission metric.Float64Histogram
	choices   metric.Int64Counter
	estimated metric.Float64Counter
	seen      metric.Float64Counter
	store     metric.Int64Counter
	pages     metric.Int64Counter
	waiting   metric.Int64Gauge
	duty      metric.Int64Counter
	windows   metric.Int64Counter
	counts    metric.Int64Counter
	peer      metric.Int64Counter
	bytes     metric.Int64Counter
	ended     metric.Int64Counter
	revision  metric.Int64Gauge
	placement placementInstruments
}

// New returns a meter with a registry of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, annotator.Wrap("create metrics exporter", "self", err)
	}
	m := &Meter{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(exporter))}
	if err := m.createInstruments(); err != nil {
		return nil, annotator.Wrap("create metrics", "self", err)
	}
	return m, nil
}

func (m *Meter) createInstruments() error {
	b := builder{meter: m.provider.Meter("celerygap")}
	m.refusals = b.counter("celerygap_refusals")
	m.retries = b.counter("celerygap_retries")
	m.requests = b.counter("celerygap_requests")
	m.duration = b.histogram("celerygap_request_duration")
	m.delivered = b.counter("celerygap_samples_delivered")
	m.staleness = b.histogram("celerygap_sample_staleness")
	m.keys = b.counter("celerygap_key_checks")
	m.admission = b.histogram("celerygap_admission_wait")
	m.choices = b.counter("celerygap_choices")
	m.estimated = b.floatCounter("celerygap_cost_estimated")
	m.seen = b.floatCounter("celerygap_cost_seen")
	m.store = b.counter("celerygap_store_calls")
	m.pages = b.counter("celerygap_batch_pages")
	m.waiting = b.gauge("celerygap_batch_jobs_waiting")
	m.duty = b.counter("celerygap_duty_calls")
	m.windows = b.counter("celerygap_usage_windows")
	m.counts = b.counter("celerygap_usage_count_calls")
	m.peer = b.counter("celerygap_peer_calls")
	m.bytes = b.counter("celerygap_peer_bytes")
	m.ended = b.counter("celerygap_connections_ended")
	m.wait = b.floatCounter("celerygap_trainer_wait")
	m.revision = b.gauge("celerygap_catalogue_revision")
	m.placement = b.placement()
	b.observeInvariants()
	return b.err
}

// CallerMemory is the memory that a process reserves for callers, in bytes.
type CallerMemory struct{ Used, Peak, Limit int64 }

// ObserveMemory reports the memory that is reserved for callers whenever the metrics are read.
func (m *Meter) ObserveMemory(read func() CallerMemory) error {
	b := builder{meter: m.provider.Meter("celerygap")}
	text, _ := describe("celerygap_caller_memory")
	gauge, err := b.meter.Int64ObservableGauge("celerygap_caller_memory", metric.WithDescription(text))
	if err != nil {
		return annotator.Wrap("create metric of memory", "self", err)
	}
	_, err = b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		memory := read()
		for kind, value := range map[string]int64{"used": memory.Used, "peak": memory.Peak, "limit": memory.Limit} {
			o.ObserveInt64(gauge, value, metric.WithAttributes(attribute.String("kind", kind)))
		}
		return nil
	}, gauge)
	return annotator.Wrap("create metric of memory", "self", err)
}

// ObserveConnections reports the connections of the listeners, by listener and state, whenever the metrics are read.
func (m *Meter) ObserveConnections(read func() map[string]map[string]int64) error {
	b := builder{meter: m.provider.Meter("celerygap")}
	text, _ := describe("celerygap_connections")
	gauge, err := b.meter.Int64ObservableGauge("celerygap_connections", metric.WithDescription(text))
	if err != nil {
		return annotator.Wrap("create metric of connections", "self", err)
	}
	_, err = b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for listener, states := range read() {
			for state, count := range states {
				o.ObserveInt64(gauge, count, metric.WithAttributes(attribute.String("listener", listener), attribute.String("state", state)))
			}
		}
		return nil
	}, gauge)
	return annotator.Wrap("create metric of connections", "self", err)
}

// ConnectionEnded counts a connection that a listener closed, or a request that it refused, because of its limits.
func (m *Meter) ConnectionEnded(listener, reason string) {
	m.ended.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", listener), attribute.String("reason", reason)))
}

// Handler serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown flushes and stops the metrics provider.
func (m *Meter) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// Refused counts a request that ended with a refusal.
func (m *Meter) Refused(entry string, r *refuser.Refusal) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("entry", entry), attribute.String("reason", string(r.Reason)), attribute.String("outcome", string(r.Outcome))))
}

// Retried counts a retried attempt.
func (m *Meter) Retried(entry string, reason refuser.RetryReason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("entry", entry), attribute.String("reason", string(reason))))
}

// Requested counts a request that this host accepted.
func (m *Meter) Requested(entry string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("entry", entry)))
}

// Completed records the seconds from the acceptance of a request to the end of its response.
func (m *Meter) Completed(entry string, seconds float64) {
	m.duration.Record(context.Background(), seconds, metric.WithAttributes(attribute.String("entry", entry)))
}

// Chosen counts an attempt on an upstream that states its speed, by what chose the upstream.
func (m *Meter) Chosen(entry, by string) {
	m.choices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("entry", entry), attribute.String("by", by)))
}

// Estimated adds the expected and the seen work of a request.
func (m *Meter) Estimated(entry string, estimated, seen float64) {
	labels := metric.WithAttributes(attribute.String("entry", entry))
	m.estimated.Add(context.Background(), estimated, labels)
	m.seen.Add(context.Background(), seen, labels)
}

// Delivered counts a delivered sample and records its staleness in versions.
func (m *Meter) Delivered(trainer string, versions float64) {
	labels := metric.WithAttributes(attribute.String("trainer", trainer))
	m.delivered.Add(context.Background(), 1, labels)
	m.staleness.Record(context.Background(), versions, labels)
}

// Waited adds to the time in seconds that a trainer waited for samples.
func (m *Meter) Waited(trainer string, seconds float64) {
	m.wait.Add(context.Background(), seconds, metric.WithAttributes(attribute.String("trainer", trainer)))
}

// lowestPriority bounds the values of the label priority.
const lowestPriority = 9

// WaitedForAdmission records the seconds that a request of a customer waited for its admission or refusal.
func (m *Meter) WaitedForAdmission(entry string, priority int, seconds float64) {
	m.admission.Record(context.Background(), seconds, metric.WithAttributes(
		attribute.String("entry", entry), attribute.Int("priority", min(priority, lowestPriority))))
}

// KeyChecked counts a check of a key by its outcome.
func (m *Meter) KeyChecked(outcome string) {
	m.keys.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// StoreCalled counts a call to the platform's store.
func (m *Meter) StoreCalled(operation, result string) {
	m.store.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", operation), attribute.String("result", result)))
}

// PageServed counts a page of results of a batch job; empty means that it had none although the job is not complete.
func (m *Meter) PageServed(source string, empty bool) {
	m.pages.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", source), attribute.Bool("empty", empty)))
}

// JobsWaiting records the batch jobs that wait for a host with memory for them; it does nothing without a meter.
func (m *Meter) JobsWaiting(jobs int) {
	if m != nil {
		m.waiting.Record(context.Background(), int64(jobs))
	}
}

// DutyCalled counts a call that one host at a time makes.
func (m *Meter) DutyCalled(duty, outcome string) {
	m.duty.Add(context.Background(), 1, metric.WithAttributes(attribute.String("duty", duty), attribute.String("outcome", outcome)))
}

// WindowEnded counts a window of usage that was reported or given up.
func (m *Meter) WindowEnded(result string) {
	m.windows.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// CountsSent counts a message with counts of requests to a collecting host.
func (m *Meter) CountsSent(result string) {
	m.counts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// PeerCalled counts a call to another host.
func (m *Meter) PeerCalled(method, result string) {
	m.peer.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("method", method), attribute.String("result", result)))
}

// PeerBytes counts bytes exchanged with other hosts; direction is "sent" or "received".
func (m *Meter) PeerBytes(direction string, n int64) {
	m.bytes.Add(context.Background(), n, metric.WithAttributes(attribute.String("direction", direction)))
}

// RevisionInEffect records which catalogue revision is in effect on this host.
func (m *Meter) RevisionInEffect(revision int64) {
	m.revision.Record(context.Background(), revision)
}

// builder creates instruments with the descriptions and units of Catalogue.
type builder struct {
	meter metric.Meter
	err   error
}

// recordError keeps the first error, which createInstruments returns.
func (b *builder) recordError(err error) {
	if b.err == nil {
		b.err = err
	}
}

func describe(name string) (text, unit string) {
	for _, entry := range Catalogue {
		if entry.Name == name {
			return entry.Text, entry.Unit
		}
	}
	return "", ""
}

func (b *builder) counter(name string) metric.Int64Counter {
	text, _ := describe(name)
	c, err := b.meter.Int64Counter(name, metric.WithDescription(text))
	b.recordError(err)
	return c
}

func (b *builder) floatCounter(name string) metric.Float64Counter {
	text, unit := describe(name)
	c, err := b.meter.Float64Counter(name, metric.WithDescription(text), metric.WithUnit(unit))
	b.recordError(err)
	return c
}

func (b *builder) histogram(name string) metric.Float64Histogram {
	text, unit := describe(name)
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(text), metric.WithUnit(unit))
	b.recordError(err)
	return h
}

func (b *builder) gauge(name string) metric.Int64Gauge {
	text, _ := describe(name)
	g, err := b.meter.Int64Gauge(name, metric.WithDescription(text))
	b.recordError(err)
	return g
}

func (b *builder) observeInvariants() {
	checks, err := b.meter.Int64ObservableCounter("celerygap_invariant_checks")
	b.recordError(err)
	failures, err := b.meter.Int64ObservableCounter("celerygap_invariant_failures")
	b.recordError(err)
	_, err = b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, name := range asserter.All {
			counts := asserter.Read(name)
			label := metric.WithAttributes(attribute.String("invariant", string(name)))
			o.ObserveInt64(checks, counts.Checked, label)
			o.ObserveInt64(failures, counts.Failed, label)
		}
		return nil
	}, checks, failures)
	b.recordError(err)
}
