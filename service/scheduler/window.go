package scheduler

import (
	"math"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/refuser"
)

const (
	// probeInterval is how often a window grows without a success, to detect capacity that other work has freed.
	probeInterval = time.Second
	probeGrowth   = 1.05
)

// window limits the running generations of a trainer to what the engines accept, like a congestion window. Refused slots
// do not back off one by one, because exponential delays would leave freed engines without work.
type window struct {
	// size is zero, which means no limit, until a generation is refused.
	size        float64
	grownAt     time.Time
	pausedUntil time.Time
}

// overloaded reports whether a refusal means that nothing ran because capacity is lacking at the moment.
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

// shrinkWindow reduces the window to the running generations after a refusal. The end of a running generation starts the
// next one, so a pause is needed only if none runs.
func (t *trainer) shrinkWindow(now time.Time, pause time.Duration) {
	t.window.size = math.Max(1, float64(t.running))
	t.window.grownAt = now
	if t.running == 0 {
		t.window.pausedUntil = now.Add(pause)
	}
}

// recordSuccess grows the window by one for each window of successes, and removes it above the limit.
func (t *trainer) recordSuccess(limit int) {
	if t.window.size == 0 {
		return
	}
	t.window.size += 1 / t.window.size
	if t.window.size > float64(limit) {
		t.window = window{}
	}
}

// probeWindow grows the window once per probeInterval.
func (t *trainer) probeWindow(now time.Time) {
	if t.window.size == 0 || now.Sub(t.window.grownAt) < probeInterval {
		return
	}
	t.window.grownAt = now
	t.window.size = math.Max(t.window.size+1, t.window.size*probeGrowth)
}
