package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/isolator"
	"celerygap.example/service/router"
)

const (
	// minBackoff and maxBackoff bound the wait between attempts once every upstream has failed.
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = time.Second
	cancelTimeout = time.Second
	// secondProbeDelay is the delay before an upstream that still accepts connections is probed a second time: a
	// crashing process may close its streams some milliseconds before its listener.
	secondProbeDelay = 30 * time.Millisecond
)

// lockedAttempt makes an Attempt safe for concurrent use: the transport reports the first byte from a goroutine of its
// own.
type lockedAttempt struct {
	mu      sync.Mutex
	attempt *Attempt
	sent    bool
	// start is the notice of the request's start; sentAt and grace are set once the attempt was sent if it is wanted.
	start  *startNotice
	sentAt time.Time
	grace  *time.Timer
}

func (a *lockedAttempt) handle(event AttemptEvent) (conclusion Conclude) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := event.(Sent); ok {
		a.sent = true
	}
	for _, command := range a.attempt.Handle(time.Now(), event) {
		if c, ok := command.(Conclude); ok {
			conclusion = c
		}
	}
	a.watchStart(event, conclusion)
	return conclusion
}

func (a *lockedAttempt) onSent() { a.handle(Sent{}) }

func (a *lockedAttempt) wasSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// attemptFunc runs one attempt on the upstream of its placement.
type attemptFunc func(ctx context.Context, p placement, a *lockedAttempt) error

// runAttempts runs attempts until one completes or the request is refused.
func (j *job) runAttempts(ctx context.Context, want router.Route, run attemptFunc) *refuser.Refusal {
	for {
		p, refusal := j.startAttempt(ctx, want)
		if refusal != nil {
			return refusal
		}
		a := &lockedAttempt{attempt: NewAttempt(AttemptConfig{Idempotent: j.idempotent}), start: &j.start}
		err := j.runStoppable(ctx, p, a, run)
		if err == nil {
			a.handle(Completed{})
			j.respondedBy = p.upstream
			j.d.config.Upstreams.Report(p.upstream.ID, connector.EvidenceResponded)
			j.endAttempt(&p, isolator.EndResponded)
			return nil
		}
		if refusal := j.conclude(ctx, p, a, err); refusal != nil {
			return refusal
		}
	}
}

// runStoppable runs an attempt that the isolator may stop.
func (j *job) runStoppable(ctx context.Context, p placement, a *lockedAttempt, run attemptFunc) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	j.d.mu.Lock()
	j.d.attemptCancels[p.attempt] = stop
	j.d.mu.Unlock()
	err := run(ctx, p, a)
	j.d.mu.Lock()
	delete(j.d.attemptCancels, p.attempt)
	j.d.mu.Unlock()
	return err
}

// conclude applies Rules to a failed attempt; nil means that the request is retried.
func (j *job) conclude(ctx context.Context, p placement, a *lockedAttempt, err error) *refuser.Refusal {
	failure := connector.FailureOf(err)
	if ctx.Err() != nil {
		failure = connector.FailureCancelled
	}
	conclusion := a.handle(Failed{failure})
	rule := conclusion.Rule
	j.recordOutcome(a, rule, err)
	end := j.classifyEnd(ctx, p, rule)
	j.config().Log.Warn(logger.AttemptFailed).Str("request", j.requestID).Str("entry", string(j.entry.Name)).Str("upstream", string(p.upstream.ID)).
		Str("software", string(p.upstream.Software)).
		Str("attempt", string(p.attempt)).Str("failure", string(failure)).Str("end", string(end)).Str("fingerprint", string(j.fingerprint)).Str("kind", string(j.kind)).
		Bool("alone", p.isolated).Err(err).Send()
	j.reportToRouter(p, rule, end)
	j.endAttempt(&p, end)
	j.cancelGeneration(p, a, rule)
	if rule.Evidence != "" {
		j.config().Upstreams.Report(p.upstream.ID, rule.Evidence)
	}
	if !slices.Contains(j.avoid, p.upstream.ID) {
		j.avoid = append(j.avoid, p.upstream.ID)
	}
	return j.retry(ctx, conclusion, end, err)
}

// bindSoftware makes the upstream of a placement the only software version that may continue the response.
func (j *job) bindSoftware(p placement) {
	if j.software == nil {
		j.software = &p.upstream.Software
	}
}

func (j *job) config() *Config { return &j.d.config }

// reportToRouter makes the router avoid the upstream for a short time, until load reports and the lister reflect the
// failure.
func (j *job) reportToRouter(p placement, rule *Rule, end isolator.End) {
	var event router.Event
	switch {
	case rule.Evidence == connector.EvidenceRefused:
		event = router.AttemptRefused{Upstream: p.upstream.ID}
	case rule.Evidence == connector.EvidenceConnectFailed, end == isolator.EndCrashed:
		event = router.UpstreamFailed{Upstream: p.upstream.ID}
	default:
		return
	}
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.router.Handle(time.Now(), event)
}

// recordOutcome updates outcome and maybeRun after a failed attempt.
func (j *job) recordOutcome(a *lockedAttempt, rule *Rule, err error) {
	if rule.Outcome == codec.OutcomeUnknown {
		j.outcome = codec.OutcomeUnknown
	}
	if a.wasSent() && !errors.Is(err, connector.ErrNotStarted) {
		j.maybeRun++
	}
}

// classifyEnd returns how the isolator counts the end of a failed attempt. A lost connection is a crash only if the
// upstream no longer accepts connections; an upstream that is leaving closes its connections on purpose.
func (j *job) classifyEnd(ctx context.Context, p placement, rule *Rule) isolator.End {
	if rule.Failure != connector.FailureConnectionLost || ctx.Err() != nil || j.isLeaving(p.upstream.ID) {
		return isolator.EndOther
	}
	for _, wait := range []time.Duration{0, secondProbeDelay} {
		if end := j.probe(ctx, p.upstream, wait); end != isolator.EndAborted {
			return end
		}
	}
	return isolator.EndAborted
}

func (j *job) probe(ctx context.Context, upstream connector.Upstream, wait time.Duration) isolator.End {
	ctx, cancel := context.WithTimeout(ctx, j.config().ProbeTimeout)
	defer cancel()
	time.Sleep(wait)
	err := j.config().Plain.Probe(ctx, upstream)
	switch {
	case err == nil:
		return isolator.EndAborted
	case ctx.Err() != nil:
		return isolator.EndOther
	default:
		return isolator.EndCrashed
	}
}

func (j *job) isLeaving(id identifier.UpstreamID) bool {
	return slices.ContainsFunc(j.config().Upstreams.Pool(j.pool), func(u connector.Upstream) bool {
		return u.ID == id && u.Leaving
	})
}

// cancelGeneration cancels a failed attempt at its engine, which may still be generating.
func (j *job) cancelGeneration(p placement, a *lockedAttempt, rule *Rule) {
	if j.model == nil || !a.wasSent() || rule.Outcome == codec.OutcomeNotRun || rule.Failure == connector.FailureConnectionLost {
		return
	}
	// The engine also stops when it sees the closed connection, so the cancellation may be skipped if too many are
	// running.
	j.d.cancellations.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = j.config().Engines.Cancel(ctx, p.upstream, p.attempt)
	})
}

// retry decides whether the request is retried and waits for the backoff. The first retry after a crash is not charged
// to the retry budget: a crash can end more attempts at the same time than the budget of 10% of the requests covers, and
// the other requests on the upstream must still get responses. Each request gets one such retry, so retries stay bounded.
func (j *job) retry(ctx context.Context, conclusion Conclude, end isolator.End, err error) *refuser.Refusal {
	rule := conclusion.Rule
	switch {
	case ctx.Err() != nil:
		return j.refuseContextEnded(ctx)
	case !conclusion.Retry:
		return j.withCause(j.refuse(rule.Refusal, j.retryAfter(rule, err), "%s", rule.Text), err)
	case j.attempts >= j.maxAttempts:
		return j.withCause(j.refuse(refuser.AttemptsExhausted, shortRetryAfter, "%d attempts failed; the last failure: %s", j.attempts, rule.Text), err)
	}
	if end == isolator.EndCrashed && !j.freeRetryUsed {
		j.freeRetryUsed = true
	} else if allowed, retryAfter := j.requestRetry(); !allowed {
		return j.withCause(j.refuse(refuser.RetryBudgetSpent, retryAfter, "the retry budget of entry %s is spent", j.entry.Name), err)
	}
	j.countRetry(rule.RetryReason)
	return j.backOff(ctx)
}

func (j *job) withCause(refusal *refuser.Refusal, err error) *refuser.Refusal {
	refusal.Err = err
	return refusal
}

// retryAfter returns the Retry-After hint of a refusal; zero, for none, when a retry would fail in the same way or
// could run the request twice.
func (j *job) retryAfter(rule *Rule, err error) time.Duration {
	if rule.Retryable == RetryNever || j.outcome == codec.OutcomeUnknown && !j.idempotent && !j.hasKey {
		return 0
	}
	var failed *connector.UpstreamError
	if errors.As(err, &failed) && failed.RetryAfter > 0 {
		return failed.RetryAfter
	}
	return shortRetryAfter
}

// backOff waits before a retry if every upstream has failed once; otherwise another upstream is tried immediately.
func (j *job) backOff(ctx context.Context) *refuser.Refusal {
	for _, upstream := range j.config().Upstreams.Pool(j.pool) {
		if !upstream.Leaving && !slices.Contains(j.avoid, upstream.ID) {
			return nil
		}
	}
	longest := min(minBackoff<<min(j.attempts, 10), maxBackoff)
	wait := time.NewTimer(longest/2 + rand.N(longest/2))
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return j.refuseContextEnded(ctx)
	}
}
