package spreader

import "time"

const (
	// pauseLimit is the time without a sign of this process above which it may have been paused. Its loop runs four times a second.
	pauseLimit = time.Second
	// pauseDistrust is how long after a pause messages may be those that had arrived during it.
	pauseDistrust = time.Second
	// watchDistrust is how much longer the watch of the store may not have brought the changes that came during the pause: it may have
	// ended meanwhile, and the list that follows takes some time.
	watchDistrust = time.Second
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

// Compared records that the store responded to a request of this host while it watches the store. After a pause that does not show
// that the state is current: the changes of that time may not have been read yet, or the watch has ended meanwhile.
func (c *Confirmation) Compared(now, requested time.Time) {
	c.Alive(now)
	if c.distrustUntil.IsZero() || !now.Before(c.distrustUntil.Add(watchDistrust)) {
		c.at = latest(c.at, requested)
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
