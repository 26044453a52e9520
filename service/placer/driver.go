package placer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/updater"
)

const (
	// leaseKey is the store key of the lease whose holder sends orders.
	leaseKey = "leases/orders"
	// tickInterval bounds how late a lease timer or a due load is noticed.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds one call to an engine or the store.
	callTimeout = time.Second
	// pollInterval is the time between two queries of the state of an engine that loads; a load takes about a second.
	pollInterval = 200 * time.Millisecond
	// pollTimeout bounds how long an engine is polled for the ordered version.
	pollTimeout = 4 * time.Second
	// resultCapacity is the number of results of calls that may wait for the driver.
	resultCapacity = 1024
	// marginDivisor sets the margin: no orders are sent during the last LeaseDuration/marginDivisor of the lease.
	marginDivisor = 6
	// renewalDivisor sets the renewal interval to LeaseDuration/renewalDivisor.
	renewalDivisor = 3
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Store   connector.ObjectStore
	Orders  connector.WeightOrders
	Members connector.Members
	Peers   connector.Peers
	// Fenced reports whether the engines refuse orders with an old fencing token.
	Fenced bool
	Timer  *timer.Service
	Log    *logger.Logger
	// LeaseDuration is how long the lease of the holder lasts without a renewal.
	LeaseDuration time.Duration
	// Settled reports whether Members holds most of the live hosts; nil means that it always does. Until then this host does
	// not try to acquire the lease, since it would take itself for the only candidate.
	Settled func() bool
	// FollowVersions runs while this host should hold the lease and passes each announced version to announced.
	// It calls listed once all versions announced so far have been passed.
	FollowVersions func(ctx context.Context, announced func(identifier.ModelName, identifier.WeightVersion), listed func())
	// Substitute returns a host that reaches the engines while this one does not, so that it holds the lease instead; nil means
	// that this host always reaches them.
	Substitute func() (host identifier.HostID, ok bool)
	// CheckPath is called for an engine to which no connection could be opened, so that Substitute knows about it; it may be nil.
	CheckPath func(ctx context.Context, upstream connector.Upstream)
	// Meter may be nil.
	Meter *meter.Meter
}

// Driver acquires the lease, feeds events to a Placer and sends its loads to the engines while it holds the lease.
type Driver struct {
	config  DriverConfig
	lease   *updater.Lease
	machine *Placer
	calls   *grouper.Group
	results *buffer.Ring[result]
	// leaseTimer is when LeaseTimerFired is due; zero means that no timer is set.
	leaseTimer time.Time
	held       bool
	// inFlight counts the outstanding orders.
	inFlight int
	// failures counts the calls for the lease in a row that did not reach the store or got no response.
	failures  int
	startedAt time.Time
	// holding reports whether the lease allowed orders at the last check; shareLogs holds what was logged of each pool's division.
	holding   atomic.Bool
	shareLogs map[identifier.PoolName]shareLog

	mu       sync.Mutex
	pending  []Event
	draining bool
	drained  chan struct{}
	// standInUntil is how long this host wants the lease as stand-in holder for one that cannot reach the store; yielded is
	// the fencing token that the other host no longer uses.
	standInUntil time.Time
	yielded      identifier.Fencing
	// handedOverUntil is how long this host leaves the lease to its stand-in holder.
	handedOverUntil time.Time
}

// result carries the outcome of a call back to the driver; exactly one of its fields is set.
type result struct {
	lease updater.LeaseEvent
	event Event
}

// NewDriver returns a Driver and registers its peer method; Run starts it.
func NewDriver(config DriverConfig) *Driver {
	holder := config.Members.Self().ID + holderSeparator + identifier.HostID(strconv.FormatInt(int64(config.Members.Self().Incarnation), 10))
	d := &Driver{
		config: config, machine: New(), calls: grouper.NewGroup(-1), results: buffer.New[result](resultCapacity),
		drained: make(chan struct{}), startedAt: time.Now(), shareLogs: make(map[identifier.PoolName]shareLog),
	}
	d.lease = updater.NewLease(updater.LeaseConfig{
		Holder: holder, Duration: config.LeaseDuration, Renewal: config.LeaseDuration / renewalDivisor,
		Margin: config.LeaseDuration / marginDivisor, MaxOrderDelay: callTimeout, HolderGone: d.holderGone,
	})
	config.Peers.Handle(methodStandIn, d.serveStandIn)
	return d
}

// Handle queues an event for the state machine without waiting; Run applies it.
func (d *Driver) Handle(event Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = append(d.pending, event)
}

// Drain makes Run release the lease once the outstanding orders have ended, and waits for that. It returns the error of ctx
// if ctx ends first.
func (d *Driver) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run holds the lease while this host should and sends orders under it, until ctx ends. It returns nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.calls.Wait()
	ticks, stopTicks := d.config.Timer.Subscribe(tickInterval)
	defer stopTicks()
	stopFollowing := func() {}
	defer func() { stopFollowing() }()
	following := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.results.Items():
			d.handleResult(ctx, r)
		case <-ticks:
		}
		wanted, draining := d.wanted()
		if wanted != following {
			stopFollowing()
			stopFollowing = d.followVersions(ctx, wanted)
			following = wanted
		}
		d.advance(ctx, wanted)
		if draining && !d.held && d.inFlight == 0 {
			d.finishDrain()
		}
	}
}

// finishDrain ends the calls of Drain; it may be called repeatedly.
func (d *Driver) finishDrain() {
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}

// followVersions starts to follow the announced versions if wanted, and returns the function that stops it.
func (d *Driver) followVersions(ctx context.Context, wanted bool) (stop func()) {
	if !wanted {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	d.calls.Go(func() {
		d.config.FollowVersions(ctx, func(model identifier.ModelName, version identifier.WeightVersion) {
			d.results.Offer(result{event: VersionAnnounced{Model: model, Version: version}})
		}, func() { d.results.Offer(result{event: VersionsListed{}}) })
	})
	return cancel
}

// wanted reports whether this host should hold the lease, and whether it drains. A holder keeps the lease until it drains
// or hands over: a needless change of holders would make two hosts send orders shortly after each other.
func (d *Driver) wanted() (wanted, draining bool) {
	d.mu.Lock()
	draining = d.draining
	d.mu.Unlock()
	if draining {
		return false, true
	}
	if d.handedOver() || d.config.Settled != nil && !d.config.Settled() {
		return false, false
	}
	if d.held || d.standsIn() {
		return true, false
	}
	first, ok := d.candidate()
	return !ok || first.ID == d.config.Members.Self().ID, false
}

func (d *Driver) handleResult(ctx context.Context, r result) {
	switch {
	case r.lease != nil:
		d.countFailures(ctx, r.lease)
		d.handleLease(ctx, r.lease)
	case r.event != nil:
		if _, ok := r.event.(OrderEnded); ok {
			d.inFlight--
		}
		d.handleEvent(ctx, r.event)
	}
}

// advance updates the lease, applies the queued events and starts the loads that are due.
func (d *Driver) advance(ctx context.Context, wanted bool) {
	if d.held && d.config.Substitute != nil {
		if host, ok := d.config.Substitute(); ok {
			d.handOverTo(ctx, host)
			wanted = wanted && !d.handedOver()
		}
	}
	d.handleLease(ctx, updater.LeaseWanted{Wanted: wanted, InFlight: d.inFlight})
	if !d.leaseTimer.IsZero() && !d.leaseTimer.After(time.Now()) {
		d.leaseTimer = time.Time{}
		d.handleLease(ctx, updater.LeaseTimerFired{})
	}
	d.mu.Lock()
	events := d.pending
	d.pending = nil
	d.mu.Unlock()
	for _, event := range events {
		d.machine.Handle(time.Now(), event)
	}
	d.startLoads(ctx)
}

// handleLease passes an event to the lease, executes its commands and notes whether this host holds the lease.
func (d *Driver) handleLease(ctx context.Context, event updater.LeaseEvent) {
	for _, command := range d.lease.Handle(time.Now(), event) {
		switch c := command.(type) {
		case updater.SetLeaseTimer:
			d.leaseTimer = c.At
		case updater.ReadLease:
			d.calls.Go(func() {
				d.results.Offer(result{lease: updater.ReadLeaseObject(ctx, d.config.Store, leaseKey, callTimeout)})
			})
		case updater.WriteLease:
			d.calls.Go(func() {
				d.results.Offer(result{lease: updater.WriteLeaseObject(ctx, d.config.Store, leaseKey, callTimeout, c)})
			})
		}
	}
	held := !d.lease.Grant().Until.IsZero()
	if held != d.held {
		title := logger.LeaseLost
		if held {
			title = logger.LeaseAcquired
		}
		d.config.Log.Info(title).Str("lease", leaseKey).Int64("fencing", int64(d.lease.Grant().Fencing)).Send()
	}
	if held && !d.held {
		d.machine.Handle(time.Now(), LeaseAcquired{})
	}
	d.held = held
}

// handleEvent passes an event to the state machine and starts the loads that are due.
func (d *Driver) handleEvent(ctx context.Context, event Event) {
	d.machine.Handle(time.Now(), event)
	d.startLoads(ctx)
}

// startLoads starts the loads that are due if the lease allows orders now.
func (d *Driver) startLoads(ctx context.Context) {
	grant := d.lease.Grant()
	valid := grant.Valid(time.Now())
	d.holding.Store(valid)
	if !valid {
		return
	}
	for _, load := range d.machine.Handle(time.Now(), Tick{}) {
		d.inFlight++
		d.calls.Go(func() { d.results.Offer(result{event: d.order(ctx, load, grant)}) })
	}
	d.reportDivision(time.Now())
}

// order orders an engine to load a version and polls it until it serves that version.
func (d *Driver) order(ctx context.Context, load Load, grant updater.Grant) OrderEnded {
	ended := OrderEnded{Engine: load.Engine.ID, Model: load.Model, Failed: true}
	upstream := connector.Upstream{ID: load.Engine.ID, Address: load.Engine.Address, Zone: load.Engine.Zone, Region: load.Engine.Region}
	state, err := d.state(ctx, upstream)
	if err != nil {
		d.logOrder(load, grant, "", err)
		return ended
	}
	if servedVersion(state, load.Model) >= load.Version {
		ended.Version, ended.Failed = servedVersion(state, load.Model), false
		return ended
	}
	outcome, err := d.sendOrder(ctx, upstream, load, grant, state)
	d.logOrder(load, grant, outcome, err)
	if outcome != connector.OrderAccepted && outcome != connector.OrderOutcomeUnknown && outcome != connector.OrderAlreadyApplied {
		return ended
	}
	ended.Version = d.awaitVersion(ctx, upstream, load)
	ended.Failed = ended.Version < load.Version
	return ended
}

// sendOrder checks the lease immediately before it sends the order: a process that was paused since the load was decided
// must not send it after the lease has ended.
func (d *Driver) sendOrder(ctx context.Context, upstream connector.Upstream, load Load, grant updater.Grant, state connector.EngineState) (connector.OrderOutcome, error) {
	now := time.Now()
	if !grant.Valid(now) {
		return connector.OrderRefused, errLeaseEnded
	}
	asserter.Check(asserter.OrderWithinLease, now.Before(grant.Until), "order to %s at %s, allowed until %s", upstream.ID, now, grant.Until)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.config.Orders.Order(ctx, upstream, connector.WeightOrder{
		Model: load.Model, Version: load.Version, FinishRuns: load.FinishRuns, Holder: d.config.Members.Self().ID,
		Fencing: grant.Fencing, AfterOrders: state.Orders,
	})
}

var errLeaseEnded = errors.New("the lease ended before the order was sent")

func (d *Driver) state(ctx context.Context, upstream connector.Upstream) (connector.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := d.config.Orders.State(ctx, upstream)
	if err != nil && d.config.CheckPath != nil && connector.FailureOf(err) == connector.FailureConnectFailed {
		d.config.CheckPath(ctx, upstream)
	}
	return state, err
}

// awaitVersion polls an engine until it serves the ordered version and returns the version served, or zero after
// pollTimeout.
func (d *Driver) awaitVersion(ctx context.Context, upstream connector.Upstream, load Load) identifier.WeightVersion {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ticks, stop := d.config.Timer.Subscribe(pollInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-ticks:
		}
		state, err := d.state(ctx, upstream)
		if err == nil && servedVersion(state, load.Model) >= load.Version {
			return servedVersion(state, load.Model)
		}
	}
}

func (d *Driver) logOrder(load Load, grant updater.Grant, outcome connector.OrderOutcome, err error) {
	line := d.config.Log.Info(logger.OrderGiven)
	if err != nil || outcome == connector.OrderConflict || outcome == connector.OrderFenced {
		line = d.config.Log.Warn(logger.OrderFailed).Err(err)
	}
	line.Str("engine", string(load.Engine.ID)).Str("model", string(load.Model)).Int64("version", int64(load.Version)).
		Int64("fencing", int64(grant.Fencing)).Str("outcome", string(outcome)).Send()
}

// servedVersion returns the version of a model that an engine serves, or zero.
func servedVersion(state connector.EngineState, model identifier.ModelName) identifier.WeightVersion {
	for _, m := range state.Models {
		if m.Model == model {
			return m.Serving
		}
	}
	return 0
}
