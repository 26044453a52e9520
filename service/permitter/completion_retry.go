package permitter

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
)

const (
	// completionRetryCapacity bounds the completions that wait for a retry in the background. Further ones are dropped,
	// which leaves their keys blocked but is safe.
	completionRetryCapacity = 4096
	completionRetryInterval = time.Second
	completionRetryCalls    = 8
	// completionRetryLimit is how long a completion is retried; then its permit counts as abandoned.
	completionRetryLimit = DefaultRunningLimit
)

type pendingCompletion struct {
	completion codec.PermitCompletion
	until      time.Time
	done       bool
}

// withdraw frees a key whose permit may be recorded although this host did not receive the grant. Only the requesting host
// may do so, since only it knows that the permit is not used.
func (p *Permitter) withdraw(request codec.PermitRequest) {
	p.unrecorded.Offer(codec.PermitCompletion{
		From: request.From, Entry: request.Entry, Key: request.Key, PermitID: request.PermitID, NotRun: true,
	})
}

// runCompletionRetries retries the completions and withdrawals that are not recorded yet.
func (p *Permitter) runCompletionRetries(ctx context.Context) error {
	var waiting []*pendingCompletion
	ticks, cancel := p.config.Timer.Subscribe(completionRetryInterval)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case completion := <-p.unrecorded.Items():
			if len(waiting) < completionRetryCapacity {
				waiting = append(waiting, &pendingCompletion{completion: completion, until: time.Now().Add(completionRetryLimit)})
			}
		case <-ticks:
			waiting = p.retryCompletions(ctx, waiting)
		}
	}
}

func (p *Permitter) retryCompletions(ctx context.Context, waiting []*pendingCompletion) []*pendingCompletion {
	calls := grouper.NewGroup(completionRetryCalls)
	for _, w := range waiting {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
			defer cancel()
			w.done = p.complete(callCtx, w.completion) == nil
		})
	}
	calls.Wait()
	kept := waiting[:0]
	for _, w := range waiting {
		if !w.done && time.Now().Before(w.until) {
			kept = append(kept, w)
		}
	}
	clear(waiting[len(kept):])
	return kept
}
