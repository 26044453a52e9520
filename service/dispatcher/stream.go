package dispatcher

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

const (
	// headerLastEventID is the header with the number of the last event that the caller received (HTML standard,
	// server-sent events).
	headerLastEventID = "Last-Event-Id"
	// streamStallTimeout is the longest wait for the next event before a stream that allows it is resumed on another
	// upstream; callers time out after two seconds.
	streamStallTimeout = time.Second
	// originGrace is how much longer than the caller waits the origin of its stream is kept.
	originGrace = 5 * time.Second
)

var errStreamStalled = errors.New("the next event of the stream did not arrive in time")

// stream is the state of one stream to a caller.
type stream struct {
	job     *job
	request connector.PlainRequest
	sink    connector.StreamSink
	started bool
	last    identifier.EventNumber
	// lastAt is when the last event of the present attempt arrived; zero before the first one.
	lastAt time.Time
	// plainResponse is the upstream's response if it is not a stream.
	plainResponse *connector.PlainResponse
}

// Stream passes the events of a stream to sink; its errors are *refuser.Refusal. The response is not nil if the
// upstream returned something other than a stream.
func (d *Dispatcher) Stream(ctx context.Context, request connector.PlainRequest, sink connector.StreamSink) (*connector.PlainResponse, error) {
	j, refusal := d.newJob(request.Entry, request.Route, false)
	j.requestID = request.ID
	j.expectStart(request.Customer, request.Sound)
	s := &stream{job: j, request: request, sink: sink}
	if refusal == nil {
		refusal = s.run(ctx)
	}
	if refusal != nil && j.lastFailure != nil && !s.started {
		s.plainResponse, refusal = j.lastFailure, nil
	}
	j.finish(refusal)
	if refusal != nil {
		return nil, refusal
	}
	return s.plainResponse, nil
}

func (s *stream) run(ctx context.Context) *refuser.Refusal {
	j := s.job
	if refusal := j.checkSize(len(s.request.Body)); refusal != nil {
		return refusal
	}
	j.idempotent = isIdempotent(j.entry, s.request.Method)
	j.fingerprint, j.kind = plainFingerprints(s.request)
	j.setCustomer(s.request)
	j.setDeadline(s.request.Deadline)
	if held, err := strconv.ParseInt(s.request.Header.Get(headerLastEventID), 10, 64); err == nil && held > 0 {
		s.last = identifier.EventNumber(held)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if s.last > 0 {
		if refusal := s.bindToOrigin(ctx); refusal != nil {
			return refusal
		}
	}
	if refusal := j.admit(ctx); refusal != nil {
		return refusal
	}
	defer j.release()
	return j.runAttempts(ctx, j.streamRoute(s.request), s.runAttempt)
}

// bindToOrigin makes the pool and the software version that began a caller's stream the only ones that may continue it.
func (s *stream) bindToOrigin(ctx context.Context) *refuser.Refusal {
	j := s.job
	origin, found := codec.StreamOrigin{}, false
	if j.config().Origins != nil {
		origin, found = j.config().Origins.Resolve(ctx, s.request.Resumes, usedPools(j.entry.Route))
	}
	switch {
	case ctx.Err() != nil:
		return j.refuseContextEnded(ctx)
	case !found:
		return j.refuse(refuser.StreamUnknown, shortRetryAfter, "no host that responds knows which software version began stream %q, and several may have", s.request.Resumes)
	case !slices.Contains(usedPools(j.entry.Route), origin.Pool):
		return j.refuse(refuser.NoUpstream, 0, "the stream began in pool %s, which entry %s does not use any more", origin.Pool, j.entry.Name)
	}
	j.pool, j.software = origin.Pool, &origin.Software
	return nil
}

// usedPools returns the pools of a route that get requests.
func usedPools(route *codec.RouteSpec) (pools []identifier.PoolName) {
	for _, share := range route.Pools {
		if share.Weight > 0 {
			pools = append(pools, share.Pool)
		}
	}
	return pools
}

// recordOrigin lets other hosts continue the stream if its caller comes to them. Until its deadline, and originGrace longer, the
// caller may do so.
func (s *stream) recordOrigin(p placement) {
	j := s.job
	if j.config().Origins == nil || !j.idempotent {
		return
	}
	keep := time.Until(latest(j.deadline, s.request.Deadline)) + originGrace
	j.config().Origins.Record(identifier.StreamID(j.requestID), codec.StreamOrigin{Pool: j.pool, Software: p.upstream.Software}, keep)
}

// runAttempt runs one attempt. It is cancelled when the next event is late, if the stream may be resumed on another
// upstream.
func (s *stream) runAttempt(ctx context.Context, p placement, a *lockedAttempt) error {
	j := s.job
	if s.last > 0 {
		j.config().Log.Info(logger.StreamResumed).Str("request", j.requestID).Int64("after", int64(s.last)).Str("upstream", string(p.upstream.ID)).
			Str("software", string(p.upstream.Software)).Send()
	}
	s.lastAt = time.Time{}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(streamStallTimeout, func() {
		if j.idempotent && j.attempts < j.maxAttempts {
			cancel(&connector.UpstreamError{Failure: connector.FailureStalled, Err: errStreamStalled})
		}
	})
	defer stallTimer.Stop()
	err := j.config().Streams.Stream(ctx, connector.StreamCall{
		PlainCall: connector.PlainCall{
			Upstream: p.upstream, Attempt: p.attempt, Host: s.request.Host, Method: s.request.Method, Path: s.request.Path,
			Query: s.request.Query, Header: s.request.Header, Body: s.request.Body, Deadline: j.deadline,
			SingleUse: !j.idempotent, OnSent: a.onSent,
		},
		After: s.last, Resumable: j.idempotent,
		OnStart: func(head connector.PlainResponse) error { return s.start(a, head) },
		OnEvent: func(event connector.StreamEvent) error {
			stallTimer.Reset(streamStallTimeout)
			return s.passEvent(p, event)
		},
	})
	var failed *connector.UpstreamError
	if errors.As(err, &failed) && failed.Failure == connector.FailureRejected && failed.Response != nil && !s.started {
		s.plainResponse = failed.Response
		return nil
	}
	j.recordResponse(p, connector.PlainResponse{}, err)
	if err == nil {
		j.learnStream(p, s.last)
	}
	return err
}

// start passes the head of the first response to the sink; the heads of later attempts are discarded.
func (s *stream) start(a *lockedAttempt, head connector.PlainResponse) error {
	a.handle(ResponseStarted{})
	if s.started {
		return nil
	}
	s.started = true
	return s.sink.Start(head)
}

func (s *stream) passEvent(p placement, event connector.StreamEvent) error {
	if !asserter.Check(asserter.EventsInOrder, event.Number == s.last+1, "stream of entry %s: event %d followed event %d", s.job.entry.Name, event.Number, s.last) {
		return &connector.UpstreamError{Failure: connector.FailureBindingMismatch, Err: errStreamStalled}
	}
	s.last = event.Number
	if now := time.Now(); p.work > 0 {
		if !s.lastAt.IsZero() {
			s.job.learnEvent(p, now.Sub(s.lastAt))
		}
		s.lastAt = now
	}
	if event.Number == 1 {
		s.recordOrigin(p)
	}
	s.job.bindSoftware(p)
	return s.sink.Event(event)
}
