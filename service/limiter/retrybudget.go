package limiter

import (
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/identifier"
)

// retryBudget counts an entry's requests and retries in a sliding window. Without a window, the budget would grow without
// bound while there are no failures and then allow a retry storm, and an entry with few requests would never regain the
// retries that the floor allows. Requests that run longer than the window still count while they run: otherwise the crash of one
// of many upstreams would exhaust the budget.
type retryBudget struct {
	fraction float64
	floor    int
	window   time.Duration
	counts   [windowParts]windowCount
}

// windowCount counts the requests and retries of one part of the window.
type windowCount struct {
	start    time.Time
	requests int
	retries  int
}

func newRetryBudget(config Config) *retryBudget {
	return &retryBudget{fraction: config.RetryFraction, floor: config.RetryFloor, window: config.RetryWindow}
}

// current returns the count of the part of the window that contains now; it replaces an expired one.
func (b *retryBudget) current(now time.Time) *windowCount {
	length := b.window / windowParts
	start := now.Truncate(length)
	count := &b.counts[int(start.UnixNano()/int64(length))%windowParts]
	if !count.start.Equal(start) {
		*count = windowCount{start: start}
	}
	return count
}

func (b *retryBudget) addRequest(now time.Time) { b.current(now).requests++ }

func (b *retryBudget) sum(now time.Time) (requests, retries int) {
	for _, count := range b.counts {
		if now.Sub(count.start) < b.window {
			requests += count.requests
			retries += count.retries
		}
	}
	return requests, retries
}

// base returns the number of requests from which the budget is derived and the number of retries that have used it.
func (b *retryBudget) base(now time.Time, running int) (requests, retries int) {
	requests, retries = b.sum(now)
	return max(requests, running), retries
}

// take counts one retry if the budget allows it, and reports whether it does.
func (b *retryBudget) take(now time.Time, running int) bool {
	requests, retries := b.base(now, running)
	if float64(retries+1) > b.fraction*float64(requests)+float64(b.floor)+retryBudgetTolerance {
		return false
	}
	b.current(now).retries++
	return true
}

func (l *Limiter) requestRetry(now time.Time, name identifier.EntryName) []Command {
	target := l.entry(name)
	if !target.retries.take(now, target.inFlight) {
		return []Command{RetryDenied{RetryAfter: bounded(target.retries.window / windowParts)}}
	}
	requests, retries := target.retries.base(now, target.inFlight)
	allowed := l.config.RetryFraction*float64(requests) + float64(l.config.RetryFloor)
	asserter.Check(asserter.RetryBudgetNotOverspent, float64(retries) <= allowed+retryBudgetTolerance,
		"entry %s has %d retries for %d requests", name, retries, requests)
	return []Command{RetryAllowed{}}
}
