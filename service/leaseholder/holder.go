package leaseholder

import (
	"context"
	"strconv"
	"sync"
	"time"

	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/chronometer"
	"celerygap.example/service/connector"
	"celerygap.example/service/updater"
)

const (
	// tickInterval bounds how late a lease timer is noticed.
	tickInterval = 100 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// resultCapacity is the number of results of store calls that may wait; at most one call is outstanding.
	resultCapacity = 16
	// marginDivisor sets the margin: no calls are made during the last Duration/marginDivisor of the lease.
	marginDivisor = 6
	// renewalDivisor sets the renewal interval to Duration/renewalDivisor.
	renewalDivisor = 3
)

// Config configures a Holder.
type Config struct {
	// Key is the store key of the lease. Method is the peer method that requests a host to stand in as its holder.
	Key, Method string
	Store       connector.Store
	Members     connector.Members
	Peers       connector.Peers
	Timer       *timer.Service
	Log         *logger.Logger
	// Duration is how long the lease lasts without a renewal.
	Duration time.Duration
	// Fenced reports whether the receivers of the calls refuse an outdated fencing token.
	Fenced bool
	// CallDelay bounds the time from the check of the lease until a call of its holder takes effect. A host that takes over from
	// one that did not release the lease waits for it in addition to Duration.
	CallDelay time.Duration
	// Quiet is how long a new holder whose calls are not fenced makes no call after it saw the lease of another holder for the
	// first time. It keeps apart the calls of holders that release the lease shortly after each other; zero means that calls are
	// made at once.
	Quiet time.Duration
	// Settled reports whether Members holds most of the live hosts; nil means that it always does. Until then this host does not
	// try to acquire the lease, since it would take itself for the only candidate.
	Settled func() bool
	// Substitute returns a host that can do the duty while this one cannot, so that it holds the lease instead; nil means that
	// this host always can.
	Substitute func() (host identifier.HostID, ok bool)
	// KnownMethod is a peer method by which a host tells that it can hold the lease; empty means that each host can. Hosts of an
	// earlier build do not know it and are not considered as candidates.
	KnownMethod string
	// CanReach reports whether this host can connect to the receiver of the calls. ReachMethod is the peer method by which a holder
	// that cannot asks whether another host can, before it hands the lease over. Both are empty if it never does.
	CanReach    func(ctx context.Context) bool
	ReachMethod string
	// OnAcquired is called when this host acquires the lease, before Grant returns it. It must not block and must not call the
	// Holder.
	OnAcquired func()
}

// Holder holds one lease for this host while it should.
type Holder struct {
	config Config
	// name identifies this process in the lease.
	name      identifier.HostID
	calls     *grouper.Group
	results   *buffer.Ring[updater.LeaseEvent]
	wake      chan struct{}
	changes   chan struct{}
	startedAt time.Time
	// leaseTimer is when LeaseTimerFired is due; zero means that no timer is set.
	leaseTimer time.Time
	// failures counts the calls for the lease in a row that did not reach the store or got no response.
	failures int

	mu    sync.Mutex
	lease *updater.Lease
	// grant is the right to make calls; validBoot is its end on the boot-time clock, writtenBoot when the last write of the lease
	// began.
	grant                  updater.Grant
	validBoot, writtenBoot time.Duration
	isWanted               bool
	// inFlight counts the outstanding calls.
	inFlight int
	// foreign is the last state of the lease that was seen with another holder or none; this host makes no calls until quietUntil
	// because of it.
	foreign    codec.Lease
	quietUntil time.Time
	// refused is the highest fencing token that a receiver refused as outdated.
	refused identifier.Fencing
	// unreached counts the calls in a row that found no connection to the receiver. searching is set while this host asks whether
	// another one finds one; reaching is a host that does.
	unreached int
	searching bool
	reaching  identifier.HostID
	draining  bool
	drained   chan struct{}
	// standInUntil is how long this host wants the lease as stand-in holder for one that cannot do the duty; yielded is the
	// fencing token that the other host no longer uses.
	standInUntil time.Time
	yielded      identifier.Fencing
	// handedOverUntil is how long this host leaves the lease to its stand-in holder.
	handedOverUntil time.Time
	// known tells of the processes that were candidates whether they know KnownMethod. asking is set during a call of it, askAt is
	// when the candidate is checked next.
	known  map[candidacy]bool
	asking bool
	askAt  time.Time
	// written is the lease that this host wrote last; heard is the one that its holder announced last, at heardAt.
	written, heard codec.Lease
	heardAt        time.Time
}

// New returns a Holder and registers its peer method; Run starts it.
func New(config Config) *Holder {
	self := config.Members.Self()
	h := &Holder{
		config: config, name: self.ID + holderSeparator + identifier.HostID(strconv.FormatInt(int64(self.Incarnation), 10)), calls: grouper.NewGroup(-1), results: buffer.New[updater.LeaseEvent](resultCapacity),
		wake: make(chan struct{}, 1), changes: make(chan struct{}, 1), drained: make(chan struct{}), startedAt: time.Now(), known: make(map[candidacy]bool),
	}
	h.lease = updater.NewLease(updater.LeaseConfig{
		Holder: h.name, Duration: config.Duration, Renewal: config.Duration / renewalDivisor,
		Margin: config.Duration / marginDivisor, MaxOrderDelay: config.CallDelay, HolderGone: h.holderGone,
	})
	config.Peers.Handle(config.Method, h.serveStandIn)
	if config.KnownMethod != "" {
		config.Peers.Handle(config.KnownMethod, h.serveKnown)
	}
	if config.ReachMethod != "" {
		config.Peers.Handle(config.ReachMethod, h.serveReach)
	}
	return h
}

// Grant returns the right to make calls; its Until is zero while this host does not hold the lease.
func (h *Holder) Grant() updater.Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grant
}

// Held reports whether this host holds the lease. The right to make a call ends before that and is checked with Fence or Begin.
func (h *Holder) Held() bool { return !h.Grant().Until.IsZero() }

// Wanted reports whether this host holds the lease or tries to acquire it.
func (h *Holder) Wanted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isWanted
}

// Changes returns a channel that receives a value after a change of Held or Wanted. It has one reader.
func (h *Holder) Changes() <-chan struct{} { return h.changes }

// Fence returns what identifies this host to the receiver of a call; ok is false unless a call may be made now. It must be called
// immediately before each call, because the process may have been paused since an earlier check.
func (h *Holder) Fence() (fence connector.DutyFence, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayCall(time.Now()) {
		return connector.DutyFence{}, false
	}
	return connector.DutyFence{Holder: h.config.Members.Self().ID, Fencing: h.grant.Fencing}, true
}

// Begin registers a call and returns the grant under which it is made; ok is false unless calls may be made now. End must be called
// once the call has ended: the lease is not released before.
func (h *Holder) Begin() (grant updater.Grant, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayCall(time.Now()) {
		return updater.Grant{}, false
	}
	h.inFlight++
	return h.grant, true
}

// End registers the end of a call that Begin registered.
func (h *Holder) End() {
	h.mu.Lock()
	h.inFlight--
	h.mu.Unlock()
	notify(h.wake)
}

// mayCall reports whether the lease allows a call now. The boot-time clock counts the time for which the machine was suspended;
// the other clocks may not.
func (h *Holder) mayCall(now time.Time) bool {
	return h.grant.Valid(now) && chronometer.SinceBoot() < h.validBoot && h.grant.Fencing > h.refused && !now.Before(h.quietUntil)
}

// Refused reports that the receiver of a call refused a fencing token as outdated. No further call is made with it: this host
// releases the lease if it still holds it, and acquires it again with a higher token if it should.
func (h *Holder) Refused(fencing identifier.Fencing) {
	h.mu.Lock()
	h.refused = max(h.refused, fencing)
	h.mu.Unlock()
	h.config.Log.Warn(logger.FencingRefused).Str("lease", h.config.Key).Int64("fencing", int64(fencing)).Send()
	notify(h.wake)
}

// Reached reports whether a call found a connection to its receiver. After several calls that did not, the lease is handed over to
// a host that finds one.
func (h *Holder) Reached(reached bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreached++
	if reached {
		h.unreached, h.reaching = 0, ""
	}
}

// Drain makes Run release the lease once the calls in flight have ended, and waits for that. It returns the error of ctx if ctx
// ends first.
func (h *Holder) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	notify(h.wake)
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run holds the lease while this host should, until ctx ends. It returns nil.
func (h *Holder) Run(ctx context.Context) error {
	defer h.calls.Wait()
	ticks, stopTicks := h.config.Timer.Subscribe(tickInterval)
	defer stopTicks()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-h.results.Items():
			h.countFailures(ctx, event)
			h.handle(ctx, event)
		case <-ticks:
		case <-h.wake:
		}
		h.askCandidate(ctx)
		h.searchReach(ctx)
		h.advance(ctx)
	}
}

// advance passes to the lease whether this host should hold it, and its timer.
func (h *Holder) advance(ctx context.Context) {
	wanted, draining := h.wanted()
	if h.Held() {
		if host, ok := h.substitute(); ok {
			h.handOverTo(ctx, host)
			wanted = wanted && !h.handedOver()
		}
	}
	h.mu.Lock()
	changed := wanted != h.isWanted
	h.isWanted = wanted
	inFlight := h.inFlight
	h.mu.Unlock()
	h.handle(ctx, updater.LeaseWanted{Wanted: wanted})
	if changed {
		notify(h.changes)
	}
	if !h.leaseTimer.IsZero() && !h.leaseTimer.After(time.Now()) {
		h.leaseTimer = time.Time{}
		h.handle(ctx, updater.LeaseTimerFired{})
	}
	if draining && !h.Held() && inFlight == 0 {
		h.finishDrain()
	}
}

// finishDrain ends the calls of Drain; it may be called repeatedly.
func (h *Holder) finishDrain() {
	select {
	case <-h.drained:
	default:
		close(h.drained)
	}
}

// handle passes an event to the lease, executes its commands and notes whether this host holds the lease.
func (h *Holder) handle(ctx context.Context, event updater.LeaseEvent) {
	commands, renewed := h.apply(event)
	if renewed.Holder != "" {
		h.announce(ctx, renewed)
	}
	for _, command := range commands {
		switch c := command.(type) {
		case updater.SetLeaseTimer:
			h.leaseTimer = c.At
		case updater.ReadLease:
			h.calls.Go(func() { h.results.Offer(updater.ReadLeaseObject(ctx, h.config.Store, h.config.Key, storeTimeout)) })
		case updater.WriteLease:
			h.calls.Go(func() { h.results.Offer(updater.WriteLeaseObject(ctx, h.config.Store, h.config.Key, storeTimeout, c)) })
		}
	}
}

// apply passes an event to the lease and updates the grant; renewed is the lease that this host renewed by it, if any. It does so with the mutex held: between the count of the calls in flight
// and the decision to release the lease no call may begin.
func (h *Holder) apply(event updater.LeaseEvent) (commands []updater.LeaseCommand, renewed codec.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if e, ok := event.(updater.LeaseWanted); ok {
		e.InFlight = h.inFlight
		event = e
	}
	if e, ok := event.(updater.LeaseRead); ok && e.Lease == h.heard {
		e.Since = h.heardAt
		event = e
	}
	h.noteForeign(now, event)
	commands = h.lease.Handle(now, event)
	grant := h.lease.Grant()
	held := !grant.Until.IsZero()
	if held && !grant.Until.Equal(h.grant.Until) {
		// The last write that was begun is the one that the new grant counts from.
		h.validBoot = h.writtenBoot + h.config.Duration - h.config.Duration/marginDivisor
		renewed = h.written
	}
	if held != !h.grant.Until.IsZero() {
		title := logger.LeaseLost
		if held {
			title = logger.LeaseAcquired
			h.unreached, h.reaching = 0, ""
			if h.config.OnAcquired != nil {
				h.config.OnAcquired()
			}
		}
		h.config.Log.Info(title).Str("lease", h.config.Key).Int64("fencing", int64(grant.Fencing)).Send()
		notify(h.changes)
	}
	h.grant = grant
	for _, command := range commands {
		if write, ok := command.(updater.WriteLease); ok {
			h.writtenBoot, h.written = chronometer.SinceBoot(), write.Lease
		}
	}
	return commands, renewed
}

// noteForeign starts the quiet time when a state of the lease that another process wrote is seen for the first time.
func (h *Holder) noteForeign(now time.Time, event updater.LeaseEvent) {
	var lease codec.Lease
	seenAt := now
	switch e := event.(type) {
	case updater.LeaseRead:
		if e.Result != updater.StoreOK {
			return
		}
		lease = e.Lease
		if !e.Since.IsZero() {
			seenAt = e.Since
		}
	case updater.LeaseWritten:
		if e.Result != updater.StoreConflict {
			return
		}
		lease = e.Lease
	default:
		return
	}
	if h.config.Fenced || h.config.Quiet <= 0 || lease == h.foreign || lease.Holder == h.name {
		return
	}
	h.foreign, h.quietUntil = lease, seenAt.Add(h.config.Quiet)
}

// notify puts a value in a channel of capacity one unless it holds one.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
