package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/estimator"
	"celerygap.example/service/limiter"
	"celerygap.example/service/router"
)

const (
	// shortRetryAfter is the Retry-After hint for short-lived conditions.
	shortRetryAfter = time.Second
	// maxRefusalDelay is the longest allowed time between the decision to refuse a request and the return of the
	// refusal.
	maxRefusalDelay = time.Second
)

// job is the state of one request from its arrival to its end.
type job struct {
	d  *Dispatcher
	id uint64
	// requestID is the id that the caller gave the request.
	requestID string
	// respondedBy is the upstream whose response is returned to the caller.
	respondedBy connector.Upstream
	entry       codec.Entry
	model       *codec.ModelSpec
	pool        identifier.PoolName
	class       codec.EntryClass
	priority    int
	// customer is that of the caller; rank follows from its priority, and better ones are lower.
	customer identifier.CustomerName
	rank     int
	// waited is how long the request waited for admission.
	waited      time.Duration
	idempotent  bool
	hasKey      bool
	fingerprint identifier.Fingerprint
	// kind is shared with requests that differ only in ids of their callers.
	kind identifier.Fingerprint
	// sound is set for a request that is never the cause of a crash.
	sound    bool
	accepted time.Time
	deadline time.Time
	outcome  codec.Outcome
	// maybeRun counts the attempts that were sent and for which the upstream did not state that nothing ran. It is kept
	// independently of outcome, so that the invariant in finish can compare the two.
	maybeRun int
	attempts int
	avoid    []identifier.UpstreamID
	// costKey is the class of the request by which its cost is estimated, and choice the choice of the last upstream.
	costKey   estimator.Key
	choice    router.Chosen
	refusedAt time.Time
	counted   bool
	// maxAttempts bounds the attempts of this request.
	maxAttempts int
	// failures counts the attempts that ended with status 500; lastFailure is the last failure response of an upstream,
	// whatever its status.
	failures    int
	lastFailure *connector.PlainResponse
	// software is the version that brought the part of the response that the caller has; nil while it has none. Upstreams of
	// another version cannot continue it.
	software *identifier.SoftwareVersion
	// freeRetryUsed is set once a retry after a crash was not charged to the retry budget.
	freeRetryUsed bool
	// start is the notice that an upstream began the request.
	start startNotice
	// waitsForTurn is set while the request is counted in turnWaiters.
	waitsForTurn bool
}

// newJob looks up the entry of a request and counts the request; it refuses unknown entries and, while draining, all
// requests. The job is never nil.
func (d *Dispatcher) newJob(name identifier.EntryName, route *codec.RouteSpec, wantModel bool) (*job, *refuser.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	j := &job{d: d, id: d.nextID(), accepted: now, outcome: codec.OutcomeNotRun, maxAttempts: d.config.MaxAttempts}
	j.entry.Name = name
	catalogue := d.refreshCatalogue()
	if d.draining {
		return j, j.refuse(refuser.Draining, shortRetryAfter, "this host is stopping")
	}
	entry, ok := findEntry(catalogue, name, route)
	j.model = modelOf(catalogue, entry)
	j.pool = d.choosePool(catalogue, entry)
	if !ok || wantModel != (j.model != nil) || j.pool == "" {
		return j, j.refuse(refuser.UnknownEntry, 0, "the catalogue has no entry %s of the requested kind with a pool", name)
	}
	j.entry = entry
	if entry.Route != nil {
		j.maxAttempts = cmp.Or(entry.Route.MaxAttempts, j.maxAttempts)
	}
	j.class = entry.Class
	j.counted = true
	d.running++
	d.requests++
	d.demand[entry.Name]++
	d.config.Meter.Requested(string(entry.Name))
	return j, nil
}

// findEntry returns the entry with a name or, for a request that a route matched, the one whose route matches the same requests: the
// catalogue may have changed since, and the name may belong to another route.
func findEntry(catalogue *codec.Catalogue, name identifier.EntryName, route *codec.RouteSpec) (codec.Entry, bool) {
	for _, entry := range catalogue.Entries {
		if route == nil && entry.Name == name || route != nil && sameRoute(entry.Route, route) {
			return entry, true
		}
	}
	return codec.Entry{}, false
}

// sameRoute reports whether two routes match the same requests.
func sameRoute(x, y *codec.RouteSpec) bool {
	return x != nil && x.PathPrefix == y.PathPrefix && strings.EqualFold(x.Host, y.Host)
}

// setDeadline sets the deadline from the entry's limit, or the default without one; a caller may only shorten it.
func (j *job) setDeadline(wanted time.Time) {
	limit := j.d.config.Deadline
	if own := j.entry.Limits.Deadline.Std(); own > 0 {
		limit = own
	}
	j.deadline = j.accepted.Add(limit)
	if !wanted.IsZero() && wanted.Before(j.deadline) {
		j.deadline = wanted
	}
}

// usualPriority is the priority of requests whose customer has none.
const usualPriority = 5

// setCustomer sets the customer of a request and its rank.
func (j *job) setCustomer(request connector.PlainRequest) {
	j.customer = request.Customer
	if request.Priority != nil {
		j.rank = *request.Priority - usualPriority
	}
}

// admit waits until the limiter admits the request.
func (j *job) admit(ctx context.Context) *refuser.Refusal {
	d := j.d
	id := limiter.RequestID(j.id)
	defer j.recordWait(time.Now())
	decision := make(chan limiter.Command, 1)
	d.mu.Lock()
	d.admissionWaiters[id] = decision
	d.handleLimiter(limiter.Arrived{ID: id, Entry: j.entry.Name, Class: j.class, Rank: j.rank, Priority: j.priority, Customer: j.customer, Deadline: j.deadline})
	waits := d.limiter.Waiting() > 0
	d.mu.Unlock()
	if waits {
		d.wakeQueueTicks()
	}
	select {
	case command := <-decision:
		return j.admissionRefusal(command)
	case <-ctx.Done():
	}
	d.mu.Lock()
	delete(d.admissionWaiters, id)
	d.handleLimiter(limiter.CallerLeft{ID: id})
	d.mu.Unlock()
	select {
	case command := <-decision:
		// The limiter decided at the moment when the context ended.
		if refusal := j.admissionRefusal(command); refusal != nil {
			return refusal
		}
		j.release()
	default:
	}
	return j.refuseContextEnded(ctx)
}

// recordWait records how long the request waited for its admission or refusal.
func (j *job) recordWait(since time.Time) {
	j.waited = time.Since(since)
	if j.customer != "" {
		j.d.config.Meter.WaitedForAdmission(string(j.entry.Name), j.rank+usualPriority, j.waited.Seconds())
	}
}

// wakeQueueTicks makes Run send ticks to the limiter's queue; Run stops them once no request waits.
func (d *Dispatcher) wakeQueueTicks() {
	select {
	case d.queueWake <- struct{}{}:
	default:
	}
}

func (j *job) admissionRefusal(command limiter.Command) *refuser.Refusal {
	if refused, ok := command.(limiter.Refused); ok {
		return j.refuse(refused.Reason, refused.RetryAfter, "entry %s has reached its limits", j.entry.Name)
	}
	return nil
}

// release ends the admission of the request at the limiter.
func (j *job) release() {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.handleLimiter(limiter.Finished{ID: limiter.RequestID(j.id)})
}

// refuse returns a refusal with the outcome known so far; it must be returned to the caller within maxRefusalDelay.
func (j *job) refuse(reason refuser.Reason, retryAfter time.Duration, format string, args ...any) *refuser.Refusal {
	j.refusedAt = time.Now()
	if j.outcome == codec.OutcomeNotRun {
		return refuser.NotRun(reason, retryAfter, format, args...)
	}
	return refuser.Unknown(reason, retryAfter, format, args...)
}

// refuseContextEnded refuses a request whose context ended: the caller disconnected or the deadline passed.
func (j *job) refuseContextEnded(ctx context.Context) *refuser.Refusal {
	if errors.Is(context.Cause(ctx), connector.ErrDraining) {
		return j.refuse(refuser.Draining, shortRetryAfter, "this host is being stopped")
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return j.refuse(refuser.CallerGone, 0, "the caller closed its connection")
	}
	return j.refuse(refuser.DeadlineExceeded, shortRetryAfter, "the deadline passed after %s", time.Since(j.accepted).Round(time.Millisecond))
}

// finish counts and logs the end of the request and checks the invariants of a refusal.
func (j *job) finish(refusal *refuser.Refusal) {
	d := j.d
	d.mu.Lock()
	if j.counted {
		d.running--
		d.notifyChange()
	}
	if refusal != nil {
		d.refusals[refusal.Reason]++
	}
	d.mu.Unlock()
	if refusal == nil {
		d.config.Meter.Completed(string(j.entry.Name), time.Since(j.accepted).Seconds())
		line := d.config.Log.Info(logger.RequestCompleted)
		switch {
		case j.choice.ByCost:
			line.Str("chosen_by", chosenByCost).Dur("expected", j.choice.Expected)
		case j.choice.Fallback != "":
			line.Str("chosen_by", chosenByFallback).Str("fallback", string(j.choice.Fallback))
		}
		line.Str("request", j.requestID).Str("entry", string(j.entry.Name)).Str("customer", string(j.customer)).
			Str("upstream", string(j.respondedBy.ID)).Str("software", string(j.respondedBy.Software)).Int("attempts", j.attempts).Int("upstream_failures", j.failures).
			Dur("waited", j.waited).Dur("took", time.Since(j.accepted)).Int64("revision", int64(d.config.Catalogue.Current().Revision)).Send()
		return
	}
	d.config.Meter.Refused(string(j.entry.Name), refusal)
	d.config.Log.Info(logger.RequestRefused).Str("request", j.requestID).Str("entry", string(j.entry.Name)).Str("reason", string(refusal.Reason)).
		Str("outcome", string(refusal.Outcome)).Str("customer", string(j.customer)).Int("rank", j.rank).Dur("waited", j.waited).
		Int("attempts", j.attempts).Dur("took", time.Since(j.accepted)).Int64("revision", int64(d.config.Catalogue.Current().Revision)).
		Msg(refusal.Detail)
	asserter.Check(asserter.NotRunIsTrue, refusal.Outcome != codec.OutcomeNotRun || j.maybeRun == 0,
		"entry %s: refused as not run although %d attempts may have run", j.entry.Name, j.maybeRun)
	delay := time.Since(j.refusedAt)
	asserter.Check(asserter.FinalResponseImmediate, delay < maxRefusalDelay,
		"entry %s: refusal %s was returned %s after the decision", j.entry.Name, refusal.Reason, delay)
}

// requestRetry reports whether the retry budget allows one more attempt and, if not, when to retry the request.
func (j *job) requestRetry() (allowed bool, retryAfter time.Duration) {
	d := j.d
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, command := range d.limiter.Handle(time.Now(), limiter.RetryRequested{Entry: j.entry.Name}) {
		switch c := command.(type) {
		case limiter.RetryAllowed:
			return true, 0
		case limiter.RetryDenied:
			return false, c.RetryAfter
		}
	}
	return false, shortRetryAfter
}

func (j *job) countRetry(reason refuser.RetryReason) {
	j.d.config.Meter.Retried(string(j.entry.Name), reason)
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.retries[reason]++
}
