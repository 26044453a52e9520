package dispatcher

import (
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// startGrace is how long after an attempt was sent the upstream counts as having begun the request, although no part of the response
// has arrived. A rejection as not run arrives within some ten milliseconds, the response to a long request after many seconds.
const startGrace = 300 * time.Millisecond

// startNotice calls OnStarted once for a request. The zero value calls nothing.
type startNotice struct {
	customer identifier.CustomerName
	call     func(identifier.CustomerName, time.Time)
	done     atomic.Bool
}

// expectStart makes the job report the start of a request that a customer waits for.
func (j *job) expectStart(customer identifier.CustomerName, sound bool) {
	if customer != "" && !sound && j.d.config.OnStarted != nil {
		j.start.customer, j.start.call = customer, j.d.config.OnStarted
	}
}

func (n *startNotice) give(at time.Time) {
	if n.call != nil && !n.done.Swap(true) {
		n.call(n.customer, at)
	}
}

// watchStart gives the notice as soon as the event that was handled last, or startGrace, shows that the upstream began the request.
// The mutex must be held.
func (a *lockedAttempt) watchStart(event AttemptEvent, conclusion Conclude) {
	if a.start == nil || a.start.call == nil || !a.sent {
		return
	}
	switch event.(type) {
	case Sent:
		if !a.sentAt.IsZero() {
			return
		}
		a.sentAt = time.Now()
		a.grace = time.AfterFunc(startGrace, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.attempt.State() != StateFinished {
				a.start.give(a.sentAt)
			}
		})
	case ResponseStarted, Completed:
		a.grace.Stop()
		a.start.give(a.sentAt)
	case Failed:
		a.grace.Stop()
		if conclusion.Rule != nil && conclusion.Rule.Outcome != codec.OutcomeNotRun {
			a.start.give(a.sentAt)
		}
	}
}
