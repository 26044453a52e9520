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
	// DefaultLeaseMargin is how long before its end a lease allows no more orders.
	DefaultLeaseMargin = 2 * time.Second
	// DefaultOrderFlight bounds the time from the check of the lease to the start of the order at the engine.
	DefaultOrderFlight = 5 * time.Second
	// leaseRetry is the pause after a failed call and between two looks at another holder's lease.
	leaseRetry = 500 * time.Millisecond
)

// StoreResult says how a call to the store ended.
type StoreResult string

// The results of a call to the store.
const (
	StoreOK       StoreResult = "ok"
	StoreConflict StoreResult = "conflict"
	StoreMissing  StoreResult = "missing"
	// StoreDown means that the call certainly had no effect.
	StoreDown StoreResult = "down"
	// StoreOutcomeUnknown means that a write may have taken effect.
	StoreOutcomeUnknown StoreResult = "uncertain"
)

// LeaseEvent is an input of a Lease.
type LeaseEvent interface{ isLeaseEvent() }

// LeaseWanted reports whether this host should hold the lease, and how many of its orders are on their way.
type LeaseWanted struct {
	Wanted   bool
	InFlight int
}

// LeaseRead is the result of ReadLease.
type LeaseRead struct {
	Result  StoreResult
	Version int64
	Lease   codec.Lease
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
	Holder   identifier.HostID
	Duration time.Duration
	Renewal  time.Duration
	Margin   time.Duration
	Flight   time.Duration
	// Gone tells that a holder certainly gives no more orders that count: its host is known to be dead and the engines
	// check fencing numbers, or it has yielded. It may be nil.
	Gone func(holder identifier.HostID, fencing identifier.Fencing) bool
}

// Lease decides when this process holds the lease of one shard.
type Lease struct {
	config LeaseConfig
	wanted bool
	// inFlight counts this process's orders on their way; the lease is not released before they have ended.
	inFlight int
	// calling tells that a call to the store is outstanding.
	calling bool
	askedAt time.Time
	attempt codec.Lease
	// own is the lease that this process wrote last, valid until validUntil on this process's monotonic clock.
	held       bool
	own        codec.Lease
	validUntil time.Time
	// seen is the last state of the object and seenAt when this process first saw it.
	known   bool
	seen    codec.Lease
	version int64
	seenAt  time.Time
	nextAt  time.Time
}

// NewLease returns a lease that is not held.
func NewLease(config LeaseConfig) *Lease {
	setDefault(&config.Duration, DefaultLeaseDuration)
	setDefault(&config.Renewal, DefaultLeaseRenewal)
	setDefault(&config.Margin, DefaultLeaseMargin)
	setDefault(&config.Flight, DefaultOrderFlight)
	return &Lease{config: config}
}

func setDefault(duration *time.Duration, value time.Duration) {
	if *duration <= 0 {
		*duration = value
	}
}

// Grant is the right to send orders until a time on the monotonic clock, margin deducted.
type Grant struct {
	Fencing identifier.Fencing
	Until   time.Time
}

// Valid reports whether orders may be sent at a time.
func (g Grant) Valid(now time.Time) bool {
	return stillValid(g.Until.Sub(now), g.Until.Round(0).Sub(now.Round(0)))
}

// stillValid takes the time that is left by the monotonic clock and by the time of day, since the first stands still while
// a machine is suspended.
func stillValid(steady, day time.Duration) bool { return steady > 0 && day > 0 }

// Grant returns the current right to send orders; its Until is zero while the lease is not held or not wanted.
func (l *Lease) Grant() Grant {
	if !l.held || !l.wanted {
		return Grant{}
	}
	return Grant{Fencing: l.own.Fencing, Until: l.validUntil.Add(-l.config.Margin)}
}

// Handle applies an event.
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
		// What was seen before may be old; the wait for another holder's lease starts with a new look.
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
		l.see(now, event.Version, event.Lease)
	case StoreMissing:
		l.see(now, 0, codec.Lease{})
	case StoreConflict, StoreDown, StoreOutcomeUnknown:
		l.nextAt = now.Add(leaseRetry)
	}
}

func (l *Lease) written(now time.Time, event LeaseWritten) {
	switch event.Result {
	case StoreOK:
		l.see(now, event.Version, l.attempt)
	case StoreConflict:
		l.see(now, event.Version, event.Lease)
	case StoreOutcomeUnknown:
		l.known = false
		l.nextAt = now
	case StoreDown, StoreMissing:
		l.nextAt = now.Add(leaseRetry)
	}
}

// see records the state of the lease object. The lease that this process attempted to write last counts as written
// at the time of the attempt, however the result became known.
func (l *Lease) see(now time.Time, version int64, lease codec.Lease) {
	if !l.known || version != l.version {
		l.seenAt = now
	}
	l.known = true
	l.version = version
	l.seen = lease
	l.held = false
	l.nextAt = now.Add(leaseRetry)
	if lease.Holder != l.config.Holder || lease != l.attempt {
		return
	}
	l.own = lease
	l.validUntil = l.askedAt.Add(l.config.Duration)
	l.held = now.Before(l.validUntil)
	l.nextAt = l.askedAt.Add(l.config.Renewal)
}

// next starts the next call to the store when it is due, and sets the next wake-up.
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
		return l.write(now, codec.Lease{Fencing: l.seen.Fencing})
	case l.held:
		return l.write(now, codec.Lease{Holder: l.config.Holder, Fencing: l.seen.Fencing})
	case l.free(now):
		return l.write(now, codec.Lease{Holder: l.config.Holder, Fencing: l.seen.Fencing + 1})
	default:
		return l.call(ReadLease{})
	}
}

// free reports whether the lease may be taken: nobody holds it, this process held it last, or its holder has not
// renewed it for the lease duration and the flight time of its last order, by this process's own clock.
func (l *Lease) free(now time.Time) bool {
	if l.seen.Holder == "" || l.seen.Holder == l.config.Holder {
		return true
	}
	if l.config.Gone != nil && l.config.Gone(l.seen.Holder, l.seen.Fencing) {
		return true
	}
	return now.Sub(l.seenAt) >= l.config.Duration+l.config.Flight
}

// write attempts a lease that differs from each earlier attempt of this process: an earlier one that takes effect late
// must not be taken for this one, whose time of asking it does not share.
func (l *Lease) write(now time.Time, lease codec.Lease) []LeaseCommand {
	lease.Renewal = max(l.seen.Renewal, l.attempt.Renewal) + 1
	l.askedAt = now
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
