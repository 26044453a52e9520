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

// Waits between attempts once every upstream has failed.
const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	cancelTime   = time.Second
	// probeAgain is the wait before an upstream that still accepts connections is probed a second time, because a
	// crashing process may lose its streams some milliseconds before its listener.
	probeAgain = 30 * time.Millisecond
)

// tracker guards an attempt: the transport reports the first byte from a goroutine of its own.
type tracker struct {
	mu      sync.Mutex
	attempt *Attempt
	sent    bool
}

func (t *tracker) handle(event AttemptEvent) (conclusion Conclude) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := event.(Sent); ok {
		t.sent = true
	}
	for _, command := range t.attempt.Handle(time.Now(), event) {
		if c, ok := command.(Conclude); ok {
			conclusion = c
		}
	}
	return conclusion
}

func (t *tracker) onSent() { t.handle(Sent{}) }

func (t *tracker) wasSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

// runner runs one attempt at a place.
type runner func(ctx context.Context, p place, t *tracker) error

// runAttempts repeats attempts until one completes or the request is given up.
func (j *job) runAttempts(ctx context.Context, want router.Route, run runner) *refuser.Refusal {
	for {
		p, refusal := j.findPlace(ctx, want)
		if refusal != nil {
			return refusal
		}
		t := &tracker{attempt: NewAttempt(AttemptConfig{Idempotent: j.idempotent})}
		err := j.runStoppable(ctx, p, t, run)
		if err == nil {
			t.handle(Completed{})
			j.answeredBy = p.upstream.ID
			j.d.config.Upstreams.Report(p.upstream.ID, connector.EvidenceResponded)
			j.leave(&p, isolator.EndResponded)
			return nil
		}
		if refusal := j.conclude(ctx, p, t, err); refusal != nil {
			return refusal
		}
	}
}

// runStoppable runs an attempt that the isolator may stop.
func (j *job) runStoppable(ctx context.Context, p place, t *tracker, run runner) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	j.d.mu.Lock()
	j.d.stops[p.attempt] = stop
	j.d.mu.Unlock()
	err := run(ctx, p, t)
	j.d.mu.Lock()
	delete(j.d.stops, p.attempt)
	j.d.mu.Unlock()
	return err
}

// conclude applies the table to a failed attempt; nil means that the request is attempted again.
func (j *job) conclude(ctx context.Context, p place, t *tracker, err error) *refuser.Refusal {
	failure := connector.FailureOf(err)
	if ctx.Err() != nil {
		failure = connector.FailureCancelled
	}
	conclusion := t.handle(Failed{failure})
	rule := conclusion.Rule
	j.settle(t, rule, err)
	end := j.examine(ctx, p, rule)
	j.config().Log.Warn(logger.AttemptFailed).Str("request", j.requestID).Str("entry", string(j.entry.Name)).Str("upstream", string(p.upstream.ID)).
		Str("attempt", string(p.attempt)).Str("failure", string(failure)).Str("end", string(end)).Str("fingerprint", string(j.fingerprint)).
		Bool("alone", p.alone).Err(err).Send()
	j.tellRouter(p, rule, end)
	j.leave(&p, end)
	j.stopRemains(p, t, rule)
	if rule.Evidence != "" {
		j.config().Upstreams.Report(p.upstream.ID, rule.Evidence)
	}
	if !slices.Contains(j.avoid, p.upstream.ID) {
		j.avoid = append(j.avoid, p.upstream.ID)
	}
	return j.repeat(ctx, conclusion, end, err)
}

func (j *job) config() *Config { return &j.d.config }

// tellRouter makes other requests pass the upstream over until the load reports and the lister know better.
func (j *job) tellRouter(p place, rule *Rule, end isolator.End) {
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

// settle keeps the two accounts of whether anything may have run.
func (j *job) settle(t *tracker, rule *Rule, err error) {
	if rule.Outcome == codec.OutcomeUnknown {
		j.outcome = codec.OutcomeUnknown
	}
	if t.wasSent() && !errors.Is(err, connector.ErrNotStarted) {
		j.unsettled++
	}
}

// examine tells the isolator's view of a failed attempt. A lost connection is a crash only if the upstream no longer
// accepts connections; one that is leaving closes its connections on purpose.
func (j *job) examine(ctx context.Context, p place, rule *Rule) isolator.End {
	if rule.Failure != connector.FailureLost || ctx.Err() != nil || j.isLeaving(p.upstream.ID) {
		return isolator.EndOther
	}
	for _, wait := range []time.Duration{0, probeAgain} {
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

// stopRemains cancels what an engine may still generate for a failed attempt.
func (j *job) stopRemains(p place, t *tracker, rule *Rule) {
	if j.model == nil || !t.wasSent() || rule.Outcome == codec.OutcomeNotRun || rule.Failure == connector.FailureLost {
		return
	}
	// The engine also sees the closed connection, so nothing is lost when the group is full.
	j.d.background.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
		defer cancel()
		_ = j.config().Engines.Cancel(ctx, p.upstream, p.attempt)
	})
}

// repeat decides whether the request is attempted again and waits for the backoff. The first repeat after a crash is
// not charged to the retry budget: a crash can end more attempts at once than 10% of the requests, and the requests
// beside the one that caused it must still be answered. Each request gets this once, so repeats stay bounded.
func (j *job) repeat(ctx context.Context, conclusion Conclude, end isolator.End, err error) *refuser.Refusal {
	rule := conclusion.Rule
	switch {
	case ctx.Err() != nil:
		return j.refuseEnded(ctx)
	case !conclusion.Repeat:
		return j.withCause(j.refuse(rule.Refusal, j.retryAfter(rule, err), "%s", rule.Text), err)
	case j.attempts >= j.maxAttempts:
		return j.withCause(j.refuse(refuser.AttemptsExhausted, shortRetryAfter, "%d attempts failed; the last: %s", j.attempts, rule.Text), err)
	}
	if end == isolator.EndCrashed && !j.recovered {
		j.recovered = true
	} else if allowed, retryAfter := j.askRetry(); !allowed {
		return j.withCause(j.refuse(refuser.RetryBudgetSpent, retryAfter, "the retry budget of entry %s is used up", j.entry.Name), err)
	}
	j.countRetry(rule.Retry)
	return j.backOff(ctx)
}

func (j *job) withCause(refusal *refuser.Refusal, err error) *refuser.Refusal {
	refusal.Err = err
	return refusal
}

// retryAfter is zero when a repeat would fail in the same way or could run the request twice.
func (j *job) retryAfter(rule *Rule, err error) time.Duration {
	if rule.Repeat == RepeatNever || j.outcome == codec.OutcomeUnknown && !j.idempotent && !j.keyed {
		return 0
	}
	var failed *connector.UpstreamError
	if errors.As(err, &failed) && failed.RetryAfter > 0 {
		return failed.RetryAfter
	}
	return shortRetryAfter
}

// backOff waits only when every upstream has failed once; otherwise another one is tried at once.
func (j *job) backOff(ctx context.Context) *refuser.Refusal {
	for _, upstream := range j.config().Upstreams.Pool(j.pool) {
		if !upstream.Leaving && !slices.Contains(j.avoid, upstream.ID) {
			return nil
		}
	}
	longest := min(firstBackoff<<min(j.attempts, 10), maxBackoff)
	wait := time.NewTimer(longest/2 + rand.N(longest/2))
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return j.refuseEnded(ctx)
	}
}
