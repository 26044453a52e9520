package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/deliverer"
)

const (
	// MaxWait is the longest time that a page request may wait for samples.
	MaxWait = 60 * time.Second
	// callMargin is added to the wait of a forwarded page request, for transfer and processing.
	callMargin = 5 * time.Second
	// takeoverDelay is how long a host must be unreachable before page requests go to its successor, which then generates
	// all missing slots.
	takeoverDelay = 2 * time.Second
	forwardPause  = 250 * time.Millisecond
	// failureGap is the longest time between two failed calls that count as one outage of a host.
	failureGap = 2*MaxWait + callMargin
)

// Page returns the next page after a cursor and waits for samples for at most the given time, limited to MaxWait. It can be
// called on any host: the page comes from the host that schedules the trainer, or is derived from the cursor alone if the
// trainer holds the complete step. Errors are refusals.
func (d *Driver) Page(ctx context.Context, fetch codec.FetchPage, wait time.Duration) (codec.SamplePage, error) {
	if refusal := d.checkTrainer(fetch.Trainer); refusal != nil {
		return codec.SamplePage{}, refusal
	}
	if fetch.Cursor != "" {
		cursor, err := deliverer.Decode(fetch.Trainer, fetch.Step, fetch.Cursor)
		if err != nil {
			return codec.SamplePage{}, err
		}
		if cursor.Complete() {
			return deliverer.CompletePage(fetch.Trainer, cursor), nil
		}
	}
	fetch.From = d.config.Members.Self().ID
	fetch.Wait = identifier.Duration(min(max(wait, 0), MaxWait))
	return d.forward(ctx, fetch)
}

// forward sends the request to the hosts that may schedule the trainer, until one responds or the wait has passed.
func (d *Driver) forward(ctx context.Context, fetch codec.FetchPage) (codec.SamplePage, error) {
	limit := d.config.Timer.Now().Add(fetch.Wait.Std())
	for {
		reply, reached := d.forwardOnce(ctx, fetch)
		if reached && reply.Page != nil {
			return *reply.Page, nil
		}
		if refusal := refusalFrom(reply.Problem); reached && refusal != nil {
			return codec.SamplePage{}, refusal
		}
		if ctx.Err() != nil {
			return codec.SamplePage{}, callerGone(ctx)
		}
		if !d.config.Timer.Now().Add(forwardPause).Before(limit) {
			return codec.SamplePage{}, refuser.NotRun(refuser.NotReady, busyRetry,
				"no host that schedules trainer %s can be reached", fetch.Trainer)
		}
		select {
		case <-ctx.Done():
		case <-time.After(forwardPause):
		}
	}
}

// forwardOnce sends the request to the owner. It goes to the successor at once if the owner is stopping, and after
// takeoverDelay if the owner cannot be reached. The second result reports whether a host responded.
func (d *Driver) forwardOnce(ctx context.Context, fetch codec.FetchPage) (codec.PageReply, bool) {
	for _, member := range rank(fetch.Trainer, d.config.Members.Live()) {
		reply, err := d.callPage(ctx, member, fetch)
		now := d.config.Timer.Now()
		if err != nil {
			if d.failures.recordFailure(member.ID, now) < takeoverDelay {
				return codec.PageReply{}, false
			}
			continue
		}
		d.failures.recordSuccess(member.ID)
		if reply.Problem == nil || refuser.Reason(reply.Problem.Reason) != refuser.Draining {
			return reply, true
		}
	}
	return codec.PageReply{}, false
}

func (d *Driver) callPage(ctx context.Context, to codec.Member, fetch codec.FetchPage) (codec.PageReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, fetch.Wait.Std()+callMargin)
	defer cancel()
	var reply codec.PageReply
	err := d.config.Peers.Call(callCtx, to, methodFetchPage, fetch, &reply)
	if err != nil {
		d.config.Log.Warn(logger.AttemptFailed).Err(annotator.Wrap(methodFetchPage, annotator.Peer(to.ID), err)).Send()
	}
	return reply, err
}

// failureTimes records since when calls to hosts have been failing.
type failureTimes struct {
	mu    sync.Mutex
	spans map[identifier.HostID]failureSpan
}

type failureSpan struct {
	first time.Time
	last  time.Time
}

func newFailureTimes() *failureTimes {
	return &failureTimes{spans: make(map[identifier.HostID]failureSpan)}
}

// recordFailure records a failed call and returns for how long calls to the host have been failing. A failure more than
// failureGap after the last one starts a new outage.
func (f *failureTimes) recordFailure(host identifier.HostID, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	span, ok := f.spans[host]
	if !ok || now.Sub(span.last) > failureGap {
		span.first = now
	}
	span.last = now
	f.spans[host] = span
	return now.Sub(span.first)
}

func (f *failureTimes) recordSuccess(host identifier.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.spans, host)
}

// handleFetch serves the peer method fetch_page.
func (d *Driver) handleFetch(ctx context.Context, params json.RawMessage) (any, error) {
	var fetch codec.FetchPage
	if err := json.Unmarshal(params, &fetch); err != nil {
		return nil, fmt.Errorf("decode %s: %w", methodFetchPage, err)
	}
	page, err := d.servePage(ctx, fetch)
	if err != nil {
		return codec.PageReply{Problem: problemOf(err)}, nil
	}
	return codec.PageReply{Page: &page}, nil
}

// servePage serves a page request from this host's scheduler and takes over the step first if the scheduler lacks it.
func (d *Driver) servePage(ctx context.Context, fetch codec.FetchPage) (codec.SamplePage, error) {
	if d.draining.Load() {
		return codec.SamplePage{}, draining()
	}
	wait := min(fetch.Wait.Std(), MaxWait)
	page, err := d.requestPage(ctx, fetch, wait)
	refusal, refused := refuser.As(err)
	if !refused || refusal.Reason != refuser.StepUnknown {
		return page, err
	}
	if err := d.loadStep(ctx, stepKey{fetch.Trainer, fetch.Step}, fetch.Cursor); err != nil {
		return codec.SamplePage{}, err
	}
	return d.requestPage(ctx, fetch, wait)
}

// loadStep takes over a step that this host does not have, with the copies of its finished samples, and the later steps.
func (d *Driver) loadStep(ctx context.Context, key stepKey, cursor string) error {
	value, unknown := d.declarations.load(ctx, key)
	copies := d.loadCopies(ctx, key)
	declaration := firstDeclaration(copies)
	if value != nil {
		declaration = &codec.StepDeclaration{}
		if err := json.Unmarshal(value, declaration); err != nil {
			return refuser.NotRun(refuser.StepUnknown, 0, "cannot decode the declaration of step %d: %v", key.step, err)
		}
	}
	if declaration == nil {
		if unknown {
			return refuser.NotRun(refuser.StepUnknown, 0, "trainer %s has not declared step %d", key.trainer, key.step)
		}
		return refuser.NotRun(refuser.StoreUnavailable, storeRetry, "the store does not respond and no reachable host has step %d", key.step)
	}
	declared := StepDeclared{Trainer: key.trainer, Declaration: *declaration, Cursor: cursor, Copies: copies}
	if err := d.submit(ctx, declared); err != nil {
		return err
	}
	d.declarations.takeOver(key)
	return d.loadLaterSteps(ctx, key)
}

func firstDeclaration(copies []codec.SampleCopies) *codec.StepDeclaration {
	for _, reply := range copies {
		if reply.Declaration != nil {
			return reply.Declaration
		}
	}
	return nil
}

// loadLaterSteps takes over the steps that the trainer declared after the given one.
func (d *Driver) loadLaterSteps(ctx context.Context, key stepKey) error {
	var failed error
	for _, declaration := range d.declarations.laterSteps(ctx, key) {
		failed = errors.Join(failed, d.submit(ctx, StepDeclared{Trainer: key.trainer, Declaration: declaration}))
	}
	return failed
}
