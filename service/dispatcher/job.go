package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/limiter"
)

const (
	// shortRetryAfter is the hint for conditions that usually pass at once.
	shortRetryAfter = time.Second
	// maxAnswerDelay is how long after the decision a final refusal may leave.
	maxAnswerDelay = time.Second
)

// job is one request on its way through admission and attempts.
type job struct {
	d  *Dispatcher
	id uint64
	// requestID is the caller's own id of the request.
	requestID string
	// answeredBy is the upstream whose response the caller gets.
	answeredBy  identifier.UpstreamID
	entry       codec.Entry
	model       *codec.ModelSpec
	pool        identifier.PoolName
	class       codec.EntryClass
	priority    int
	idempotent  bool
	keyed       bool
	fingerprint identifier.Fingerprint
	accepted    time.Time
	deadline    time.Time
	outcome     codec.Outcome
	// unsettled counts the attempts that were sent and of which the upstream did not state that nothing ran. It is kept
	// apart from outcome, so that the invariant compares two accounts.
	unsettled int
	attempts  int
	avoid     []identifier.UpstreamID
	givenUp   time.Time
	counted   bool
	// maxAttempts bounds the attempts of this request.
	maxAttempts int
	// failures counts the attempts that upstreams answered with a failure of their own; failed is the last such answer.
	failures int
	failed   *connector.PlainResponse
	// recovered is set once a repeat after a crash was not charged to the retry budget.
	recovered bool
}

// newJob looks up the entry and counts the request.
func (d *Dispatcher) newJob(name identifier.EntryName, wantModel bool) (*job, *refuser.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	j := &job{d: d, id: d.nextID(), accepted: now, outcome: codec.OutcomeNotRun, maxAttempts: d.config.MaxAttempts}
	j.entry.Name = name
	catalogue := d.refreshCatalogue()
	if d.draining {
		return j, j.refuse(refuser.Draining, shortRetryAfter, "this host is stopping")
	}
	entry, ok := findEntry(catalogue, name)
	j.model = modelOf(catalogue, entry)
	j.pool = d.choosePool(catalogue, entry)
	if !ok || wantModel != (j.model != nil) || j.pool == "" {
		return j, j.refuse(refuser.UnknownEntry, 0, "the catalogue has no such entry: %s", name)
	}
	j.entry = entry
	if entry.Route != nil {
		j.maxAttempts = cmp.Or(entry.Route.MaxAttempts, j.maxAttempts)
	}
	j.class = entry.Class
	j.counted = true
	d.running++
	d.requests++
	d.demand[name]++
	d.config.Meter.Requested(string(name))
	return j, nil
}

func findEntry(catalogue *codec.Catalogue, name identifier.EntryName) (codec.Entry, bool) {
	for _, entry := range catalogue.Entries {
		if entry.Name == name {
			return entry, true
		}
	}
	return codec.Entry{}, false
}

// setDeadline takes the earliest of the caller's, the entry's and the default deadline.
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

// admit waits until the limiter admits the request.
func (j *job) admit(ctx context.Context) *refuser.Refusal {
	d := j.d
	id := limiter.RequestID(j.id)
	decided := make(chan limiter.Command, 1)
	d.mu.Lock()
	d.admitted[id] = decided
	d.limit(limiter.Arrived{ID: id, Entry: j.entry.Name, Class: j.class, Priority: j.priority, Deadline: j.deadline})
	waits := d.limiter.Waiting() > 0
	d.mu.Unlock()
	if waits {
		d.wakeQueue()
	}
	select {
	case command := <-decided:
		return j.admission(command)
	case <-ctx.Done():
	}
	d.mu.Lock()
	delete(d.admitted, id)
	d.limit(limiter.CallerLeft{ID: id})
	d.mu.Unlock()
	select {
	case command := <-decided:
		// The answer crossed the end of the context.
		if refusal := j.admission(command); refusal != nil {
			return refusal
		}
		j.release()
	default:
	}
	return j.refuseEnded(ctx)
}

// wakeQueue makes the duty look at the queue; the duty finds out itself when nothing waits any more.
func (d *Dispatcher) wakeQueue() {
	select {
	case d.waiting <- struct{}{}:
	default:
	}
}

func (j *job) admission(command limiter.Command) *refuser.Refusal {
	if refused, ok := command.(limiter.Refused); ok {
		return j.refuse(refused.Reason, refused.RetryAfter, "entry %s is at its limits", j.entry.Name)
	}
	return nil
}

// release returns the place that admit took.
func (j *job) release() {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.limit(limiter.Finished{ID: limiter.RequestID(j.id)})
}

// refuse gives the request up; the refusal must reach the caller at once.
func (j *job) refuse(reason refuser.Reason, retryAfter time.Duration, format string, args ...any) *refuser.Refusal {
	j.givenUp = time.Now()
	if j.outcome == codec.OutcomeNotRun {
		return refuser.NotRun(reason, retryAfter, format, args...)
	}
	return refuser.Unknown(reason, retryAfter, format, args...)
}

// refuseEnded gives up because the caller left or the deadline passed.
func (j *job) refuseEnded(ctx context.Context) *refuser.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return j.refuse(refuser.CallerGone, 0, "the caller closed its connection")
	}
	return j.refuse(refuser.DeadlineExceeded, shortRetryAfter, "the deadline passed after %s", time.Since(j.accepted).Round(time.Millisecond))
}

// finish counts the end of the request and checks what its refusal says.
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
		d.config.Meter.Answered(string(j.entry.Name), time.Since(j.accepted).Seconds())
		d.config.Log.Info(logger.RequestCompleted).Str("request", j.requestID).Str("entry", string(j.entry.Name)).
			Str("upstream", string(j.answeredBy)).Int("attempts", j.attempts).Int("upstream_failures", j.failures).
			Dur("took", time.Since(j.accepted)).Int64("revision", int64(d.config.Catalogue.Current().Revision)).Send()
		return
	}
	d.config.Meter.Refused(string(j.entry.Name), refusal)
	d.config.Log.Info(logger.RequestRefused).Str("request", j.requestID).Str("entry", string(j.entry.Name)).Str("reason", string(refusal.Reason)).
		Str("outcome", string(refusal.Outcome)).
		Int("attempts", j.attempts).Dur("took", time.Since(j.accepted)).Int64("revision", int64(d.config.Catalogue.Current().Revision)).
		Msg(refusal.Detail)
	asserter.Check(asserter.NotRunIsTrue, refusal.Outcome != codec.OutcomeNotRun || j.unsettled == 0,
		"entry %s: refused as not run after %d attempts that may have run", j.entry.Name, j.unsettled)
	delay := time.Since(j.givenUp)
	asserter.Check(asserter.FinalResponseImmediate, delay < maxAnswerDelay,
		"entry %s: refusal %s left %s after the decision", j.entry.Name, refusal.Reason, delay)
}

// askRetry asks the retry budget.
func (j *job) askRetry() (allowed bool, retryAfter time.Duration) {
	d := j.d
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, command := range d.limiter.Handle(time.Now(), limiter.RetryAsked{Entry: j.entry.Name}) {
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
