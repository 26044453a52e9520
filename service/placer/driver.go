package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/leaseholder"
	"celerygap.example/service/updater"
)

const (
	// leaseKey is the store key of the lease whose holder sends orders.
	leaseKey = "leases/orders"
	// methodStandIn requests that another host holds the lease in place of this one, which cannot reach the store or the engines.
	methodStandIn = "orders_stand_in"
	// tickInterval bounds how late a due load is noticed.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds one call to an engine.
	callTimeout = time.Second
	// pollInterval is the time between two queries of the state of an engine that loads; a load takes about a second.
	pollInterval = 200 * time.Millisecond
	// pollTimeout bounds how long an engine is polled for the ordered version.
	pollTimeout = 4 * time.Second
	// resultCapacity is the number of results of calls that may wait for the driver.
	resultCapacity = 1024
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

// Driver feeds events to a Placer and sends its loads to the engines while this host holds the lease.
type Driver struct {
	config  DriverConfig
	holder  *leaseholder.Holder
	machine *Placer
	calls   *grouper.Group
	results *buffer.Ring[Event]
	// shareLogs holds what was logged of each pool's division.
	shareLogs map[identifier.PoolName]shareLog

	mu      sync.Mutex
	pending []Event
}

// NewDriver returns a Driver and registers its peer method; Run starts it.
func NewDriver(config DriverConfig) *Driver {
	d := &Driver{
		config: config, machine: New(), calls: grouper.NewGroup(-1), results: buffer.New[Event](resultCapacity),
		shareLogs: make(map[identifier.PoolName]shareLog),
	}
	d.holder = leaseholder.New(leaseholder.Config{
		Key: leaseKey, Method: methodStandIn, Store: config.Store, Members: config.Members, Peers: config.Peers, Timer: config.Timer,
		Log: config.Log, Duration: config.LeaseDuration, Fenced: config.Fenced, CallDelay: callTimeout, Settled: config.Settled,
		Substitute: config.Substitute, OnAcquired: func() { d.Handle(LeaseAcquired{}) },
	})
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
func (d *Driver) Drain(ctx context.Context) error { return d.holder.Drain(ctx) }

// Run holds the lease while this host should and sends orders under it, until ctx ends. It returns nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.calls.Wait()
	d.calls.Go(func() { _ = d.holder.Run(ctx) })
	ticks, stopTicks := d.config.Timer.Subscribe(tickInterval)
	defer stopTicks()
	stopFollowing := func() {}
	defer func() { stopFollowing() }()
	following := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-d.results.Items():
			d.machine.Handle(time.Now(), event)
		case <-d.holder.Changes():
		case <-ticks:
		}
		if wanted := d.holder.Wanted(); wanted != following {
			stopFollowing()
			stopFollowing = d.followVersions(ctx, wanted)
			following = wanted
		}
		d.startLoads(ctx)
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
			d.results.Offer(VersionAnnounced{Model: model, Version: version})
		}, func() { d.results.Offer(VersionsListed{}) })
	})
	return cancel
}

// applyPending applies the queued events.
func (d *Driver) applyPending() {
	d.mu.Lock()
	events := d.pending
	d.pending = nil
	d.mu.Unlock()
	for _, event := range events {
		d.machine.Handle(time.Now(), event)
	}
}

// startLoads applies the queued events and starts the loads that are due if the lease allows orders now. The lease is not released
// while it decides.
func (d *Driver) startLoads(ctx context.Context) {
	grant, allowed := d.holder.Begin()
	// A grant that Begin returns comes after the event that reports the lease, so the events are applied after it.
	d.applyPending()
	if !allowed {
		return
	}
	defer d.holder.End()
	for _, load := range d.machine.Handle(time.Now(), Tick{}) {
		if _, allowed := d.holder.Begin(); !allowed {
			d.machine.Handle(time.Now(), OrderEnded{Engine: load.Engine.ID, Model: load.Model, Failed: true})
			continue
		}
		d.calls.Go(func() {
			defer d.holder.End()
			d.results.Offer(d.order(ctx, load, grant))
		})
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
