package drainer

import (
	"context"
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

// RetryAfter is the Retry-After of a host that is being stopped, whose callers find another one at once.
const RetryAfter = 100 * time.Millisecond

// Drainer knows which requests a host may still take during its planned stop; it is safe for concurrent use.
type Drainer struct {
	state atomic.Pointer[state]
	// ended is cancelled by end, which ends all requests.
	ended context.Context
	end   context.CancelCauseFunc
}

type state struct {
	// until is when all requests must have their answers; it is zero before the stop.
	until time.Time
	// refusing is set once the load balancer sends no more requests.
	refusing bool
}

// New returns the Drainer of a host that is not being stopped.
func New() *Drainer {
	d := &Drainer{}
	d.state.Store(&state{})
	d.ended, d.end = context.WithCancelCause(context.Background())
	return d
}

// Drain begins the stop: all requests must be answered by the given time.
func (d *Drainer) Drain(until time.Time) { d.state.Store(&state{until: until}) }

// Draining reports whether the stop has begun.
func (d *Drainer) Draining() bool { return !d.state.Load().until.IsZero() }

// Refuse makes CheckLate return an error from now on.
func (d *Drainer) Refuse() { d.state.Store(&state{until: d.state.Load().until, refusing: true}) }

// End ends the contexts of all requests with connector.ErrDraining as their cause.
func (d *Drainer) End() { d.end(connector.ErrDraining) }

// CheckLate returns the refusal of a request of which nothing has run, once requests come too late.
func (d *Drainer) CheckLate() error {
	if d.state.Load().refusing {
		return refuser.NotRun(refuser.Draining, RetryAfter, "this host is being stopped")
	}
	return nil
}

// Context returns a context for a request, which End cancels, and a function that releases its resources.
func (d *Drainer) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(d.ended, func() { cancel(context.Cause(d.ended)) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// Deadline returns the deadline of a request, which is zero if it has none, bounded by the stop. A request that may run only once is
// refused if it may run longer than that, since another host has the time.
func (d *Drainer) Deadline(entry codec.Entry, arrived, deadline time.Time) (time.Time, error) {
	until := d.state.Load().until
	if until.IsZero() {
		return deadline, nil
	}
	ends := deadline
	if limit := entry.Limits.Deadline.Std(); limit > 0 && (ends.IsZero() || arrived.Add(limit).Before(ends)) {
		ends = arrived.Add(limit)
	}
	if !ends.IsZero() && !ends.After(until) {
		return deadline, nil
	}
	if entry.Route != nil && !entry.Route.Idempotent && !entry.Route.Resumable {
		return deadline, refuser.NotRun(refuser.Draining, RetryAfter, "this host is being stopped before the deadline of the request")
	}
	return until, nil
}
