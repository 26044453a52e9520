package scheduler

import (
	"math"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/refuser"
)

const (
	// probeInterval is how often a window grows without a success, to find capacity that others have freed.
	probeInterval = time.Second
	probeGrowth   = 1.05
)

// window bounds the running generations of a trainer to what the engines accept. Refused work is not delayed slot by
// slot: an exponential delay would leave freed engines without work.
type window struct {
	// size is zero while nothing has been refused.
	size        float64
	grown       time.Time
	pausedUntil time.Time
}

// overloaded reports whether a refusal means that nothing ran because there is no capacity for now.
func overloaded(refusal *refuser.Refusal) bool {
	if refusal.Outcome != codec.OutcomeNotRun {
		return false
	}
	switch refusal.Reason {
	case refuser.RateLimited, refuser.QueueFull, refuser.NoUpstream, refuser.NotReady, refuser.RetryBudgetSpent,
		refuser.Draining, refuser.DeadlineTooShort:
		return true
	}
	return false
}

// full reports whether the trainer may not start another generation.
func (t *trainer) full(now time.Time) bool {
	if t.settings.MaxRunning > 0 && t.running >= t.settings.MaxRunning {
		return true
	}
	if now.Before(t.window.pausedUntil) {
		return true
	}
	return t.window.size > 0 && t.running >= int(t.window.size)
}

// refused shrinks the window to what still runs. The end of a running generation starts the next one, so a pause is
// needed only if nothing runs.
func (t *trainer) refused(now time.Time, pause time.Duration) {
	t.window.size = math.Max(1, float64(t.running))
	t.window.grown = now
	if t.running == 0 {
		t.window.pausedUntil = now.Add(pause)
	}
}

// succeeded grows the window by one for each window of successes.
func (t *trainer) succeeded(limit int) {
	if t.window.size == 0 {
		return
	}
	t.window.size += 1 / t.window.size
	if t.window.size > float64(limit) {
		t.window = window{}
	}
}

func (t *trainer) grow(now time.Time) {
	if t.window.size == 0 || now.Sub(t.window.grown) < probeInterval {
		return
	}
	t.window.grown = now
	t.window.size = math.Max(t.window.size+1, t.window.size*probeGrowth)
}
