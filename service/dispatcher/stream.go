package dispatcher

import (
	"context"
	"errors"
	"strconv"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/router"
)

const (
	// headerLastEvent names the last event that a caller holds of a stream (HTML standard, server-sent events).
	headerLastEvent = "Last-Event-Id"
	// streamStall is the pause after which a stream that can be continued elsewhere is: callers give up after two seconds.
	streamStall = time.Second
)

var errStreamStalled = errors.New("the stream's next event did not come in time")

// stream is the state of one stream to a caller.
type stream struct {
	job     *job
	request connector.PlainRequest
	sink    connector.StreamSink
	started bool
	last    identifier.EventNumber
	// other is the upstream's response when it is no stream.
	other *connector.PlainResponse
}

// Stream passes a stream on; its errors are *refuser.Refusal.
func (d *Dispatcher) Stream(ctx context.Context, request connector.PlainRequest, sink connector.StreamSink) (*connector.PlainResponse, error) {
	j, refusal := d.newJob(request.Entry, false)
	j.requestID = request.ID
	s := &stream{job: j, request: request, sink: sink}
	if refusal == nil {
		refusal = s.run(ctx)
	}
	if refusal != nil && j.failed != nil && !s.started {
		s.other, refusal = j.failed, nil
	}
	j.finish(refusal)
	if refusal != nil {
		return nil, refusal
	}
	return s.other, nil
}

func (s *stream) run(ctx context.Context) *refuser.Refusal {
	j := s.job
	if refusal := j.checkSize(len(s.request.Body)); refusal != nil {
		return refusal
	}
	j.idempotent = isIdempotent(j.entry, s.request.Method)
	j.fingerprint = plainFingerprint(s.request)
	j.setDeadline(s.request.Deadline)
	if held, err := strconv.ParseInt(s.request.Header.Get(headerLastEvent), 10, 64); err == nil && held > 0 {
		s.last = identifier.EventNumber(held)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refusal := j.admit(ctx); refusal != nil {
		return refusal
	}
	defer j.release()
	return j.runAttempts(ctx, router.Route{Prompt: string(newAttemptID())}, s.attempt)
}

// attempt runs one attempt. A stream that may be continued elsewhere is ended when its next event is late.
func (s *stream) attempt(ctx context.Context, p place, t *tracker) error {
	j := s.job
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(streamStall, func() {
		if j.idempotent && j.attempts < j.maxAttempts {
			cancel(&connector.UpstreamError{Failure: connector.FailureStalled, Err: errStreamStalled})
		}
	})
	defer watch.Stop()
	err := j.config().Streams.Stream(ctx, connector.StreamCall{
		PlainCall: connector.PlainCall{
			Upstream: p.upstream, Attempt: p.attempt, Host: s.request.Host, Method: s.request.Method, Path: s.request.Path,
			Query: s.request.Query, Header: s.request.Header, Body: s.request.Body, Deadline: j.deadline,
			SingleUse: !j.idempotent, OnSent: t.onSent,
		},
		After:   s.last,
		OnStart: func(head connector.PlainResponse) error { return s.start(t, head) },
		OnEvent: func(event connector.StreamEvent) error {
			watch.Reset(streamStall)
			return s.pass(event)
		},
	})
	var failed *connector.UpstreamError
	if errors.As(err, &failed) && failed.Failure == connector.FailureRejected && failed.Response != nil && !s.started {
		s.other = failed.Response
		return nil
	}
	j.noteAnswer(p, connector.PlainResponse{}, err)
	return err
}

// start passes the head of the first upstream's response on; later ones continue under it.
func (s *stream) start(t *tracker, head connector.PlainResponse) error {
	t.handle(Started{})
	if s.started {
		return nil
	}
	s.started = true
	return s.sink.Start(head)
}

func (s *stream) pass(event connector.StreamEvent) error {
	if !asserter.Check(asserter.EventsInOrder, event.Number == s.last+1, "stream of entry %s: event %d after %d", s.job.entry.Name, event.Number, s.last) {
		return &connector.UpstreamError{Failure: connector.FailureMismatch, Err: errStreamStalled}
	}
	s.last = event.Number
	return s.sink.Event(event)
}
