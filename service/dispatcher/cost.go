package dispatcher

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/estimator"
	"celerygap.example/service/router"
)

const (
	// lowestCall and usualCall are the lowest work of a call that is told apart and the median of those of which nothing is known,
	// in seconds.
	lowestCall = 0.0001
	usualCall  = 0.025
	// usualStream is the median number of events of a stream of which nothing is known, and usualEvent the work of one event.
	usualStream = 64
	usualEvent  = 0.035
)

// costs learns what requests cost: calls in seconds on an upstream of usual speed, streams in events. A pool may serve both, so the
// router gets the work of an event in seconds, too.
type costs struct{ calls, streams *estimator.Estimator }

func newCosts() costs {
	return costs{
		calls:   estimator.New(estimator.Config{Lowest: lowestCall, PriorMedian: usualCall}),
		streams: estimator.New(estimator.Config{Lowest: 1, PriorMedian: usualStream}),
	}
}

// forget discards what was learned, after a change of the configuration.
func (c *costs) forget() {
	c.calls.Forget()
	c.streams.Forget()
}

// costOf returns what is known of a request's cost before it runs.
func (j *job) costOf(request connector.PlainRequest) estimator.Key {
	return estimator.Key{Route: j.entry.Name, Customer: request.Customer, Size: estimator.SizeOf(identifier.Bytes(len(request.Body)))}
}

// callRoute returns the routing of a call, with its expected work.
func (j *job) callRoute(request connector.PlainRequest) router.Route {
	return j.routeByCost(request, j.d.costs.calls)
}

// streamRoute returns the routing of a stream, with its expected work.
func (j *job) streamRoute(request connector.PlainRequest) router.Route {
	want := j.routeByCost(request, j.d.costs.streams)
	want.Work *= usualEvent
	return want
}

func (j *job) routeByCost(request connector.PlainRequest, known *estimator.Estimator) router.Route {
	want := j.plainRoute()
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	if j.d.router.ChoosesByCost(time.Now(), j.pool) {
		j.costKey = j.costOf(request)
		want.Work = known.Estimate(j.costKey).Mean
		want.Bytes = identifier.Bytes(len(request.Body))
	}
	return want
}

// learnCall learns from a response of an upstream that states its speed. The time of a response that waited in the upstream's
// queue says nothing of the work.
func (j *job) learnCall(now time.Time, p placement, load codec.LoadReport) {
	if p.work <= 0 || load.Slowness <= 0 || load.Queued > 0 {
		return
	}
	took := now.Sub(p.startedAt)
	cost := took.Seconds() / j.d.router.Speed(now, p.upstream.ID)
	j.d.costs.calls.Learn(j.costKey, cost)
	j.d.router.Handle(now, router.Worked{Upstream: p.upstream.ID, Work: p.work, Took: took, Rough: true})
	j.config().Meter.Estimated(string(j.entry.Name), p.work, cost)
}

// learnEvent learns the speed of an upstream from the time between two events of a stream.
func (j *job) learnEvent(p placement, took time.Duration) {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.router.Handle(time.Now(), router.Worked{Upstream: p.upstream.ID, Work: usualEvent, Took: took})
}

// learnStream learns the length of a complete stream.
func (j *job) learnStream(p placement, events identifier.EventNumber) {
	if p.work <= 0 || events <= 0 {
		return
	}
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.costs.streams.Learn(j.costKey, float64(events))
	j.config().Meter.Estimated(string(j.entry.Name), p.work, usualEvent*float64(events))
}

// LoadReported passes on the load that an upstream has stated to a part of this host other than the dispatcher, if the upstream
// states its speed, too.
func (d *Dispatcher) LoadReported(id identifier.UpstreamID, load codec.LoadReport) {
	if load.Slowness <= 0 {
		return
	}
	load.ID = id
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Handle(time.Now(), router.LoadReported{Report: load})
}

// chosenByCost is the value of the field chosen_by in logs for an upstream that was chosen by its expected time, and chosenByFallback
// for one that should have been.
const (
	chosenByCost     = "cost"
	chosenByFallback = "fallback"
)
