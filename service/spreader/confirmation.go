package spreader

import "time"

const (
	// pauseLimit is the time without a sign of this process above which it may have been paused. Its loop runs four times a second.
	pauseLimit = time.Second
	// pauseDistrust is how long after a pause messages may be those that had arrived during it.
	pauseDistrust = time.Second
)

// Confirmation tells when a state was current for certain. Unlike the ages by which hosts choose their roles, it does not trust messages
// that may have waited while this process was paused: they say that a state is current which may have been replaced since.
type Confirmation struct {
	at, alive, distrustUntil time.Time
}

// Alive records that this process runs.
func (c *Confirmation) Alive(now time.Time) {
	if !c.alive.IsZero() && between(c.alive, now) > pauseLimit {
		c.distrustUntil = now.Add(pauseDistrust)
	}
	c.alive = now
}

// Told records a message, received now, by which the state was current at the given time.
func (c *Confirmation) Told(now, current time.Time) {
	c.Alive(now)
	if !now.Before(c.distrustUntil) {
		c.at = latest(c.at, current)
	}
}

// Asked records the reply to a request of this host, by which the state was current the given time before the request or later.
func (c *Confirmation) Asked(requested time.Time, age time.Duration) {
	c.at = latest(c.at, requested.Add(-age))
}

// At returns when the state was last known to be current; it is zero if that was never known.
func (c *Confirmation) At(now time.Time) time.Time {
	c.Alive(now)
	return c.at
}

// between returns the time between two moments, by the wall clock if that is longer: the monotonic clock stops while a machine is
// suspended.
func between(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
