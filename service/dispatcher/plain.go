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
	// maxStoredBody is the size in bytes of the largest response body that is stored for repeats of an idempotency key.
	maxStoredBody     = 8 << 10
	completionTimeout = 10 * time.Second
	// attemptTimeFraction is the fraction of the remaining time that one attempt may take when it can be retried. The
	// rest is left for further attempts, which are limited in the same way.
	attemptTimeFraction = 0.4
)

var errAttemptTimeout = errors.New("no complete response within the time limit of one attempt")

// idempotentMethods are the methods that may run twice, unless the entry lists its own (RFC 9110, section 9.2.2).
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}

// Call runs a call to a plain service or a route; its errors are *refuser.Refusal.
func (d *Dispatcher) Call(ctx context.Context, request connector.PlainRequest) (connector.PlainResponse, error) {
	j, refusal := d.newJob(request.Entry, request.Route, false)
	j.requestID = request.ID
	j.expectStart(request.Customer, request.Sound)
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
	j.hasKey = request.IdempotencyKey != "" && j.entry.Route == nil
	j.fingerprint, j.kind = plainFingerprints(request)
	j.sound = request.Sound
	j.setCustomer(request)
	j.setDeadline(request.Deadline)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refusal := j.admit(ctx); refusal != nil {
		return connector.PlainResponse{}, refusal
	}
	defer j.release()
	if j.idempotent || !j.hasKey {
		return j.callAttempts(ctx, request)
	}
	return j.callWithPermit(ctx, request)
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

// plainRoute returns the routing of a plain call. Upstreams hold no cached prefix of it, so the key is this host: its calls use
// the same few upstreams, up to the bound on their load, and find open connections there. The hosts of a zone spread over its
// upstreams.
func (j *job) plainRoute() router.Route { return router.Route{Prompt: string(j.config().Host)} }

// callAttempts runs the attempts of a plain call.
func (j *job) callAttempts(ctx context.Context, request connector.PlainRequest) (connector.PlainResponse, *refuser.Refusal) {
	var response connector.PlainResponse
	refusal := j.runAttempts(ctx, j.callRoute(request), func(ctx context.Context, p placement, a *lockedAttempt) error {
		ctx, cancel := j.limitAttempt(ctx)
		defer cancel()
		received, err := j.config().Plain.Do(ctx, connector.PlainCall{
			Upstream: p.upstream, Attempt: p.attempt, Host: request.Host, Method: request.Method, Path: request.Path,
			Query: request.Query, Header: request.Header, Body: request.Body, Deadline: j.deadline,
			SingleUse: !j.idempotent, OnSent: a.onSent,
		})
		response = received
		j.recordResponse(p, received, err)
		return err
	})
	if refusal != nil && j.lastFailure != nil {
		// The caller gets the upstream's own failure response, which a refusal would hide.
		response, refusal = *j.lastFailure, nil
	}
	response.Failures = j.failures
	return response, refusal
}

// limitAttempt limits the time of an attempt of an idempotent route, so that an upstream that does not respond leaves
// time for another one. The last attempt, and any that must not be retried, may take all of the remaining time.
func (j *job) limitAttempt(ctx context.Context) (context.Context, context.CancelFunc) {
	if !j.idempotent || j.attempts >= j.maxAttempts || j.entry.Route == nil {
		return context.WithCancel(ctx)
	}
	limit := max(time.Duration(attemptTimeFraction*float64(time.Until(j.deadline))), j.entry.Route.LatencyGoal.Std())
	return context.WithTimeoutCause(ctx, limit, &connector.UpstreamError{Failure: connector.FailureStalled, Err: errAttemptTimeout})
}

// recordResponse keeps the upstream's failure response, if there is one, and passes the load in its response to the
// router.
func (j *job) recordResponse(p placement, received connector.PlainResponse, err error) {
	var failed *connector.UpstreamError
	if errors.As(err, &failed) && failed.Response != nil {
		if failed.Response.Status == http.StatusInternalServerError {
			j.failures++
		}
		j.lastFailure = failed.Response
		received = *failed.Response
	}
	if received.Load == nil {
		return
	}
	report := *received.Load
	report.ID = p.upstream.ID
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	now := time.Now()
	j.d.router.Handle(now, router.LoadReported{Report: report})
	if err == nil {
		j.learnCall(now, p, report)
	}
}

// callWithPermit sends a non-idempotent call with an idempotency key only after a permit was granted, and records its
// end.
func (j *job) callWithPermit(ctx context.Context, request connector.PlainRequest) (connector.PlainResponse, *refuser.Refusal) {
	reply, err := j.config().Permits.Acquire(ctx, codec.PermitRequest{
		From: j.config().Host, Entry: j.entry.Name, Key: request.IdempotencyKey, Fingerprint: exactFingerprint(request),
	})
	if err != nil {
		return connector.PlainResponse{}, j.refuseWithoutPermit(ctx, err)
	}
	switch reply.Decision {
	case codec.PermitDecisionGranted:
	case codec.PermitDecisionAnswered:
		return replayResponse(reply.Answer), nil
	case codec.PermitDecisionOutcomeUnknown:
		j.outcome = codec.OutcomeUnknown
		return connector.PlainResponse{}, j.refuse(refuser.OutcomeUnknown, 0, "an earlier request with this key may have run; its response is unknown")
	case codec.PermitDecisionKeyReused:
		return connector.PlainResponse{}, j.refuse(refuser.KeyReused, 0, "the key belongs to a request with another body")
	default:
		return connector.PlainResponse{}, j.refuseByPermitReply(reply)
	}
	response, refusal := j.callAttempts(ctx, request)
	j.completePermit(request.IdempotencyKey, reply.PermitID, response, refusal)
	return response, refusal
}

func (j *job) refuseWithoutPermit(ctx context.Context, err error) *refuser.Refusal {
	if ctx.Err() != nil {
		return j.refuseContextEnded(ctx)
	}
	if refusal, ok := refuser.As(err); ok {
		return j.withCause(j.refuse(refusal.Reason, cmp.Or(refusal.RetryAfter, shortRetryAfter), "%s", refusal.Detail), err)
	}
	return j.withCause(j.refuse(refuser.StoreUnavailable, shortRetryAfter, "no permit was granted; the request was not sent"), err)
}

// refuseByPermitReply refuses a call for the reason that the permit owner gave. While an earlier request with the key
// is still running the outcome is unknown, since that run may succeed.
func (j *job) refuseByPermitReply(reply codec.PermitReply) *refuser.Refusal {
	reason := cmp.Or(refuser.Reason(reply.Reason), refuser.StoreUnavailable)
	if reason == refuser.KeyInProgress {
		j.outcome = codec.OutcomeUnknown
	}
	return j.refuse(reason, shortRetryAfter, "no permit was granted; the request was not sent")
}

func replayResponse(stored *codec.StoredAnswer) connector.PlainResponse {
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

// completePermit records the end of a permitted call in the background, so that the caller does not wait for the store.
// An unknown outcome is recorded without a response; otherwise repeats of the key would wait for one until their
// deadline.
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
		ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
		defer cancel()
		_ = j.config().Permits.Complete(ctx, completion)
	})
}
