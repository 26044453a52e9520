package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/router"
)

const (
	// maxStoredBody is the largest response body that is kept for repeats of an idempotency key.
	maxStoredBody  = 8 << 10
	completionTime = 10 * time.Second
	// attemptPart is the part of the remaining time that one attempt may take when it can be repeated: two more attempts
	// of the same length still fit.
	attemptPart = 0.4
)

var errSlowAttempt = errors.New("no complete response within the attempt's part of the deadline")

// idempotentMethods are the methods that may run twice, unless the entry lists its own (RFC 9110, section 9.2.2).
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}

// Call runs a call to a plain service; its errors are *refuser.Refusal.
func (d *Dispatcher) Call(ctx context.Context, request connector.PlainRequest) (connector.PlainResponse, error) {
	j, refusal := d.newJob(request.Entry, false)
	j.requestID = request.ID
	var response connector.PlainResponse
	if refusal == nil {
		response, refusal = j.call(ctx, request)
	}
	j.finish(refusal)
	if refusal != nil {
		return connector.PlainResponse{}, refusal
	}
	return response, nil
}

func (j *job) call(ctx context.Context, request connector.PlainRequest) (connector.PlainResponse, *refuser.Refusal) {
	if refusal := j.checkSize(len(request.Body)); refusal != nil {
		return connector.PlainResponse{}, refusal
	}
	j.idempotent = isIdempotent(j.entry, request.Method)
	j.keyed = request.IdempotencyKey != "" && j.entry.Route == nil
	j.fingerprint = plainFingerprint(request)
	j.setDeadline(request.Deadline)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refusal := j.admit(ctx); refusal != nil {
		return connector.PlainResponse{}, refusal
	}
	defer j.release()
	if j.idempotent || !j.keyed {
		return j.callAttempts(ctx, request)
	}
	return j.callPermitted(ctx, request)
}

func isIdempotent(entry codec.Entry, method string) bool {
	if entry.Route != nil {
		return entry.Route.Idempotent
	}
	methods := idempotentMethods
	if own := entry.Service.IdempotentMethods; len(own) > 0 {
		methods = own
	}
	return slices.Contains(methods, method)
}

// callAttempts spreads plain calls at random, since they have no cached prefix to follow.
func (j *job) callAttempts(ctx context.Context, request connector.PlainRequest) (connector.PlainResponse, *refuser.Refusal) {
	var response connector.PlainResponse
	refusal := j.runAttempts(ctx, router.Route{Prompt: string(newAttemptID())}, func(ctx context.Context, p place, t *tracker) error {
		ctx, cancel := j.limitAttempt(ctx)
		defer cancel()
		answered, err := j.config().Plain.Do(ctx, connector.PlainCall{
			Upstream: p.upstream, Attempt: p.attempt, Host: request.Host, Method: request.Method, Path: request.Path,
			Query: request.Query, Header: request.Header, Body: request.Body, Deadline: j.deadline,
			SingleUse: !j.idempotent, OnSent: t.onSent,
		})
		response = answered
		j.noteAnswer(p, answered, err)
		return err
	})
	if refusal != nil && j.failed != nil {
		// The caller gets what the upstream said in place of a refusal that would hide it.
		response, refusal = *j.failed, nil
	}
	response.Failures = j.failures
	return response, refusal
}

// limitAttempt ends an attempt on an upstream that does not answer while the rest of the time still serves for
// another one; an attempt that cannot be repeated keeps all of it.
func (j *job) limitAttempt(ctx context.Context) (context.Context, context.CancelFunc) {
	if !j.idempotent || j.attempts >= j.maxAttempts || j.entry.Route == nil {
		return context.WithCancel(ctx)
	}
	limit := max(time.Duration(attemptPart*float64(time.Until(j.deadline))), j.entry.Route.LatencyGoal.Std())
	return context.WithTimeoutCause(ctx, limit, &connector.UpstreamError{Failure: connector.FailureStalled, Err: errSlowAttempt})
}

// noteAnswer keeps the upstream's own failure and passes its load on to the router.
func (j *job) noteAnswer(p place, answered connector.PlainResponse, err error) {
	var failed *connector.UpstreamError
	if errors.As(err, &failed) && failed.Response != nil {
		j.failures++
		j.failed = failed.Response
		answered = *failed.Response
	}
	if answered.Load == nil {
		return
	}
	report := *answered.Load
	report.ID = p.upstream.ID
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.router.Handle(time.Now(), router.LoadReported{Report: report})
}

// callPermitted sends a non-idempotent call only with a permit, and records how it ended.
func (j *job) callPermitted(ctx context.Context, request connector.PlainRequest) (connector.PlainResponse, *refuser.Refusal) {
	reply, err := j.config().Permits.Acquire(ctx, codec.PermitRequest{
		From: j.config().Host, Entry: j.entry.Name, Key: request.IdempotencyKey, Fingerprint: exactFingerprint(request),
	})
	if err != nil {
		return connector.PlainResponse{}, j.refusePermit(ctx, err)
	}
	switch reply.Decision {
	case codec.PermitDecisionGranted:
	case codec.PermitDecisionAnswered:
		return replay(reply.Answer), nil
	case codec.PermitDecisionOutcomeUnknown:
		j.outcome = codec.OutcomeUnknown
		return connector.PlainResponse{}, j.refuse(refuser.OutcomeUnknown, 0, "an earlier request with this key may have run; its response is not known")
	case codec.PermitDecisionKeyReused:
		return connector.PlainResponse{}, j.refuse(refuser.KeyReused, 0, "the key belongs to a request with another body")
	default:
		return connector.PlainResponse{}, j.refuseByOwner(reply)
	}
	response, refusal := j.callAttempts(ctx, request)
	j.completePermit(request.IdempotencyKey, reply.PermitID, response, refusal)
	return response, refusal
}

func (j *job) refusePermit(ctx context.Context, err error) *refuser.Refusal {
	if ctx.Err() != nil {
		return j.refuseEnded(ctx)
	}
	if refusal, ok := refuser.As(err); ok {
		return j.withCause(j.refuse(refusal.Reason, cmp.Or(refusal.RetryAfter, shortRetryAfter), "%s", refusal.Detail), err)
	}
	return j.withCause(j.refuse(refuser.StoreDown, shortRetryAfter, "no permit; nothing was sent"), err)
}

// refuseByOwner tells a request whose key is still running that its outcome is unknown: the run may yet end well.
func (j *job) refuseByOwner(reply codec.PermitReply) *refuser.Refusal {
	reason := cmp.Or(refuser.Reason(reply.Reason), refuser.StoreDown)
	if reason == refuser.KeyInProgress {
		j.outcome = codec.OutcomeUnknown
	}
	return j.refuse(reason, shortRetryAfter, "no permit; nothing was sent")
}

func replay(stored *codec.StoredAnswer) connector.PlainResponse {
	response := connector.PlainResponse{Status: http.StatusOK, Header: http.Header{}, Replayed: true}
	if stored == nil {
		return response
	}
	response.Status = stored.Status
	response.Body = stored.Body
	if stored.ContentType != "" {
		response.Header.Set("Content-Type", stored.ContentType)
	}
	return response
}

// completePermit records the end beside the response, so that the caller does not wait for the store. An unknown
// outcome is recorded without a response: repeats of the key would otherwise wait for one until their deadline.
func (j *job) completePermit(key, permit string, response connector.PlainResponse, refusal *refuser.Refusal) {
	completion := codec.PermitCompletion{From: j.config().Host, Entry: j.entry.Name, Key: key, PermitID: permit}
	switch {
	case refusal == nil && len(response.Body) <= maxStoredBody:
		completion.Answer = &codec.StoredAnswer{
			Status: response.Status, Body: response.Body, ContentType: response.Header.Get("Content-Type"),
		}
	case refusal != nil && refusal.Outcome == codec.OutcomeNotRun:
		completion.NotRun = true
	}
	j.d.completions.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), completionTime)
		defer cancel()
		_ = j.config().Permits.Complete(ctx, completion)
	})
}
