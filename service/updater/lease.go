package updater

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// The default settings of a lease.
const (
	DefaultLeaseDuration = 10 * time.Second
	DefaultLeaseRenewal  = 3 * time.Second
	// DefaultLeaseMargin is how long before the end of its lease a holder stops sending orders.
	DefaultLeaseMargin = 2 * time.Second
	// DefaultMaxOrderDelay bounds the time from the check of the lease until the engine starts to execute the order.
	DefaultMaxOrderDelay = 5 * time.Second
	// leaseRetry is the pause after a failed call and between two reads of another holder's lease.
	leaseRetry = 500 * time.Millisecond
)

// StoreResult is how a call to the store ended.
type StoreResult string

// The results of a call to the store.
const (
	StoreOK       StoreResult = "ok"
	StoreConflict StoreResult = "conflict"
	StoreMissing  StoreResult = "missing"
	// StoreUnavailable means that the call certainly had no effect.
	StoreUnavailable StoreResult = "down"
	// StoreOutcomeUnknown means that a write may have taken effect.
	StoreOutcomeUnknown StoreResult = "uncertain"
)

// LeaseEvent is an input of a Lease.
type LeaseEvent interface{ isLeaseEvent() }

// LeaseWanted sets whether this process should hold the lease, and how many of its orders are in flight.
type LeaseWanted struct {
	Wanted   bool
	InFlight int
}

// LeaseRead is the result of ReadLease. Since is a time at which the object is known to have held the lease already, apart from the
// read itself; zero means none.
type LeaseRead struct {
	Result  StoreResult
	Version int64
	Lease   codec.Lease
	Since   time.Time
}

// LeaseWritten is the result of WriteLease; after a conflict it carries the current lease.
type LeaseWritten struct {
	Result  StoreResult
	Version int64
	Lease   codec.Lease
}

// LeaseTimerFired is the event that SetLeaseTimer requested.
type LeaseTimerFired struct{}

func (LeaseWanted) isLeaseEvent()     {}
func (LeaseRead) isLeaseEvent()       {}
func (LeaseWritten) isLeaseEvent()    {}
func (LeaseTimerFired) isLeaseEvent() {}

// LeaseCommand is an output of a Lease.
type LeaseCommand interface{ isLeaseCommand() }

// ReadLease reads the lease object.
type ReadLease struct{}

// WriteLease writes the lease object if its version is still Expected.
type WriteLease struct {
	Expected int64
	Lease    codec.Lease
}

// SetLeaseTimer requests a LeaseTimerFired at a time; a later SetLeaseTimer replaces it.
type SetLeaseTimer struct{ At time.Time }

func (ReadLease) isLeaseCommand()     {}
func (WriteLease) isLeaseCommand()    {}
func (SetLeaseTimer) isLeaseCommand() {}

// LeaseConfig configures a Lease; zero durations mean the defaults.
type LeaseConfig struct {
	// Holder identifies this process; a restarted process on the same host must have another one.
	Holder        identifier.HostID
	Duration      time.Duration
	Renewal       time.Duration
	Margin        time.Duration
	MaxOrderDelay time.Duration
	// HolderGone reports whether no further order of a holder can take effect: its host is known to be dead and the engines
	// check fencing tokens, or it has yielded the lease. Nil means that no holder is known to be gone.
	HolderGone func(holder identifier.HostID, fencing identifier.Fencing) bool
}

// Lease is the state machine that acquires, renews and releases one lease for this process.
type Lease struct {
	config LeaseConfig
	wanted bool
	// inFlight counts the orders of this process without a result; the lease is not released before they have ended.
	inFlight int
	// calling is set while a call to the store is outstanding.
	calling bool
	// attempt is the lease that this process attempted to write last, at attemptedAt.
	attemptedAt time.Time
	attempt     codec.Lease
	// own is the lease that this process wrote last; while held, it is valid until validUntil on the monotonic clock.
	held       bool
	own        codec.Lease
	validUntil time.Time
	// observed is the last known state of the lease object, and observedAt is when this process first observed that
	// version. known is cleared when the object has to be read again.
	known      bool
	observed   codec.Lease
	version    int64
	observedAt time.Time
	nextAt     time.Time
}

// NewLease returns a lease that is not held.
func NewLease(config LeaseConfig) *Lease {
	setDefault(&config.Duration, DefaultLeaseDuration)
	setDefault(&config.Renewal, DefaultLeaseRenewal)
	setDefault(&config.Margin, DefaultLeaseMargin)
	setDefault(&config.MaxOrderDelay, DefaultMaxOrderDelay)
	return &Lease{config: config}
}

func setDefault(duration *time.Duration, value time.Duration) {
	if *duration <= 0 {
		*duration = value
	}
}

// Grant is the right to send orders until a time on the monotonic clock, which is the end of the lease less the margin.
type Grant struct {
	Fencing identifier.Fencing
	Until   time.Time
}

// Valid reports whether orders may be sent at a time.
func (g Grant) Valid(now time.Time) bool {
	return stillValid(g.Until.Sub(now), g.Until.Round(0).Sub(now.Round(0)))
}

// stillValid reports whether time is left by both the monotonic clock and the wall clock, since the monotonic clock stops
// while the machine is suspended.
func stillValid(monotonic, wallClock time.Duration) bool { return monotonic > 0 && wallClock > 0 }

// Grant returns the current right to send orders; its Until is zero while the lease is not held or not wanted.
func (l *Lease) Grant() Grant {
	if !l.held || !l.wanted {
		return Grant{}
	}
	return Grant{Fencing: l.own.Fencing, Until: l.validUntil.Add(-l.config.Margin)}
}

// Handle applies an event and returns the commands to execute.
func (l *Lease) Handle(now time.Time, event LeaseEvent) []LeaseCommand {
	switch e := event.(type) {
	case LeaseWanted:
		l.want(now, e)
	case LeaseRead:
		l.calling = false
		l.read(now, e)
	case LeaseWritten:
		l.calling = false
		l.written(now, e)
	case LeaseTimerFired:
	}
	if l.held && !now.Before(l.validUntil) {
		l.held = false
	}
	return l.next(now)
}

func (l *Lease) want(now time.Time, event LeaseWanted) {
	if event.Wanted && !l.wanted {
		// The last observed state may be outdated, and the wait for another holder's lease must start with a new read.
		l.known = false
	}
	if event.Wanted != l.wanted {
		l.nextAt = now
	}
	l.wanted = event.Wanted
	l.inFlight = event.InFlight
}

func (l *Lease) read(now time.Time, event LeaseRead) {
	switch event.Result {
	case StoreOK:
		l.observe(now, event.Version, event.Lease)
		if !event.Since.IsZero() && event.Since.Before(l.observedAt) {
			l.observedAt = event.Since
		}
	case StoreMissing:
		l.observe(now, 0, codec.Lease{})
	case StoreConflict, StoreUnavailable, StoreOutcomeUnknown:
		l.nextAt = now.Add(leaseRetry)
	}
}

func (l *Lease) written(now time.Time, event LeaseWritten) {
	switch event.Result {
	case StoreOK:
		l.observe(now, event.Version, l.attempt)
	case StoreConflict:
		l.observe(now, event.Version, event.Lease)
	case StoreOutcomeUnknown:
		l.known = false
		l.nextAt = now
	case StoreUnavailable, StoreMissing:
		l.nextAt = now.Add(leaseRetry)
	}
}

// observe records a state of the lease object. If the object holds the last attempt of this process, the lease counts
// from the time of that attempt, whether the write or a later read showed it.
func (l *Lease) observe(now time.Time, version int64, lease codec.Lease) {
	if !l.known || version != l.version {
		l.observedAt = now
	}
	l.known = true
	l.version = version
	l.observed = lease
	l.held = false
	l.nextAt = now.Add(leaseRetry)
	if lease.Holder != l.config.Holder || lease != l.attempt {
		return
	}
	l.own = lease
	l.validUntil = l.attemptedAt.Add(l.config.Duration)
	l.held = now.Before(l.validUntil)
	l.nextAt = l.attemptedAt.Add(l.config.Renewal)
}

// next returns the next call to the store if it is due, or the timer for it.
func (l *Lease) next(now time.Time) []LeaseCommand {
	if l.calling {
		return nil
	}
	if !l.wanted && (!l.held || l.inFlight > 0) {
		return nil
	}
	if now.Before(l.nextAt) {
		return []LeaseCommand{SetLeaseTimer{At: l.nextAt}}
	}
	switch {
	case !l.known:
		return l.call(ReadLease{})
	case !l.wanted:
		return l.write(now, codec.Lease{Fencing: l.observed.Fencing})
	case l.held:
		return l.write(now, codec.Lease{Holder: l.config.Holder, Fencing: l.observed.Fencing})
	case l.free(now):
		return l.write(now, codec.Lease{Holder: l.config.Holder, Fencing: l.observed.Fencing + 1})
	default:
		return l.call(ReadLease{})
	}
}

// free reports whether the lease may be acquired: it has no holder, this process is its last holder, its holder is gone,
// or this process has observed no renewal for the lease duration plus MaxOrderDelay, within which the holder's last order
// starts.
func (l *Lease) free(now time.Time) bool {
	if l.observed.Holder == "" || l.observed.Holder == l.config.Holder {
		return true
	}
	if l.config.HolderGone != nil && l.config.HolderGone(l.observed.Holder, l.observed.Fencing) {
		return true
	}
	return now.Sub(l.observedAt) >= l.config.Duration+l.config.MaxOrderDelay
}

// write attempts to write a lease that differs from each earlier attempt of this process. An earlier attempt that takes
// effect late could otherwise be mistaken for this one, and the lease would count from the wrong time.
func (l *Lease) write(now time.Time, lease codec.Lease) []LeaseCommand {
	lease.Renewal = max(l.observed.Renewal, l.attempt.Renewal) + 1
	l.attemptedAt = now
	l.attempt = lease
	if lease.Holder == "" {
		l.held = false
	}
	return l.call(WriteLease{Expected: l.version, Lease: lease})
}

func (l *Lease) call(command LeaseCommand) []LeaseCommand {
	l.calling = true
	return []LeaseCommand{command}
}
