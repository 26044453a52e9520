package placer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/updater"
)

const (
	// leaseKey is the object whose holder gives orders.
	leaseKey = "leases/orders"
	// tickInterval is how late a lease or a load is looked at.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds one call to an engine or the store.
	callTimeout = time.Second
	// watchInterval is the time between two looks at an engine that loads; a load takes about a second.
	watchInterval = 200 * time.Millisecond
	// watchLimit is how long an order is followed.
	watchLimit = 4 * time.Second
	// eventCapacity holds the results of calls on their way to the driver.
	eventCapacity = 1024
	// marginPart divides the lease: so much before its end no more orders are given.
	marginPart = 6
	// renewalPart divides the lease: it is renewed that often.
	renewalPart = 3
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Store   connector.ObjectStore
	Orders  connector.WeightOrders
	Members connector.Members
	Peers   connector.Peers
	// Fenced tells that the engines refuse orders with an old fencing number.
	Fenced bool
	Timer  *timer.Service
	Log    *logger.Logger
	// LeaseDuration is how long the lease of the holder lasts without a renewal.
	LeaseDuration time.Duration
	// FollowVersions runs while this host should hold the lease and passes the named versions to the function.
	// It calls listed once all versions named so far have been passed.
	FollowVersions func(ctx context.Context, named func(identifier.ModelName, identifier.WeightVersion), listed func())
}

// Driver gives the orders while it holds the lease.
type Driver struct {
	config   DriverConfig
	lease    *updater.Lease
	machine  *Placer
	calls    *grouper.Group
	results  *buffer.Ring[result]
	leaseAt  time.Time
	held     bool
	inFlight int
	// failures counts the calls for the lease in a row that did not reach the store.
	failures  int
	startedAt time.Time

	mu       sync.Mutex
	pending  []Event
	draining bool
	drained  chan struct{}
	// standInUntil is how long this host wants the lease on behalf of one that cannot reach the store, yielded the
	// fencing number that the other host uses no more.
	standInUntil time.Time
	yielded      identifier.Fencing
	// passedUntil is how long this host leaves the lease to the one that stands in for it.
	passedUntil time.Time
}

// result carries the outcome of a call back to the driver; one of the events is set.
type result struct {
	lease updater.LeaseEvent
	event Event
}

// NewDriver returns a Driver.
func NewDriver(config DriverConfig) *Driver {
	holder := config.Members.Self().ID + holderMark + identifier.HostID(strconv.FormatInt(int64(config.Members.Self().Incarnation), 10))
	d := &Driver{
		config: config, machine: New(), calls: grouper.NewGroup(-1), results: buffer.New[result](eventCapacity),
		drained: make(chan struct{}), startedAt: time.Now(),
	}
	d.lease = updater.NewLease(updater.LeaseConfig{
		Holder: holder, Duration: config.LeaseDuration, Renewal: config.LeaseDuration / renewalPart,
		Margin: config.LeaseDuration / marginPart, Flight: callTimeout, Gone: d.gone,
	})
	config.Peers.Handle(methodStandIn, d.serveStandIn)
	return d
}

// Handle passes engines or pools to the state machine; it does not wait.
func (d *Driver) Handle(event Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = append(d.pending, event)
}

// Drain releases the lease once the outstanding orders have ended, as part of a planned stop.
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

// Run holds the lease when this host should and gives orders under it, until ctx ends.
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
			d.take(ctx, r)
		case <-ticks:
		}
		wanted, draining := d.wanted()
		if wanted != following {
			stopFollowing()
			stopFollowing = d.follow(ctx, wanted)
			following = wanted
		}
		d.step(ctx, wanted)
		if draining && !d.held && d.inFlight == 0 {
			d.finishDrain()
		}
	}
}

func (d *Driver) finishDrain() {
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}

func (d *Driver) follow(ctx context.Context, wanted bool) (stop func()) {
	if !wanted {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	d.calls.Go(func() {
		d.config.FollowVersions(ctx, func(model identifier.ModelName, version identifier.WeightVersion) {
			d.results.Offer(result{event: VersionNamed{Model: model, Version: version}})
		}, func() { d.results.Offer(result{event: VersionsListed{}}) })
	})
	return cancel
}

// wanted reports whether this host should hold the lease. A holder keeps it while it lives: a change of holders without
// need would make two hosts give orders shortly after each other.
func (d *Driver) wanted() (wanted, draining bool) {
	d.mu.Lock()
	draining = d.draining
	d.mu.Unlock()
	if draining {
		return false, true
	}
	if d.passedOn() {
		return false, false
	}
	if d.held || d.standsIn() {
		return true, false
	}
	first, ok := d.candidate()
	return !ok || first.ID == d.config.Members.Self().ID, false
}

func (d *Driver) take(ctx context.Context, r result) {
	switch {
	case r.lease != nil:
		d.countFailures(ctx, r.lease)
		d.handleLease(ctx, r.lease)
	case r.event != nil:
		if _, ok := r.event.(OrderEnded); ok {
			d.inFlight--
		}
		d.decide(ctx, r.event)
	}
}

// step looks at the lease and at what was told since the last step.
func (d *Driver) step(ctx context.Context, wanted bool) {
	d.handleLease(ctx, updater.LeaseWanted{Wanted: wanted, InFlight: d.inFlight})
	if !d.leaseAt.IsZero() && !d.leaseAt.After(time.Now()) {
		d.leaseAt = time.Time{}
		d.handleLease(ctx, updater.LeaseTimerFired{})
	}
	d.mu.Lock()
	events := d.pending
	d.pending = nil
	d.mu.Unlock()
	for _, event := range events {
		d.machine.Handle(time.Now(), event)
	}
	d.giveOrders(ctx)
}

func (d *Driver) handleLease(ctx context.Context, event updater.LeaseEvent) {
	for _, command := range d.lease.Handle(time.Now(), event) {
		switch c := command.(type) {
		case updater.SetLeaseTimer:
			d.leaseAt = c.At
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
		d.machine.Handle(time.Now(), LeaseTaken{})
	}
	d.held = held
}

// decide passes an event to the state machine and orders what follows from it.
func (d *Driver) decide(ctx context.Context, event Event) {
	d.machine.Handle(time.Now(), event)
	d.giveOrders(ctx)
}

// giveOrders starts the loads that are due, under the lease only.
func (d *Driver) giveOrders(ctx context.Context) {
	grant := d.lease.Grant()
	if !grant.Valid(time.Now()) {
		return
	}
	for _, load := range d.machine.Handle(time.Now(), Tick{}) {
		d.inFlight++
		d.calls.Go(func() { d.results.Offer(result{event: d.order(ctx, load, grant)}) })
	}
}

// order makes an engine load a version and follows it until the engine shows the version.
func (d *Driver) order(ctx context.Context, load Load, grant updater.Grant) OrderEnded {
	ended := OrderEnded{Engine: load.Engine.ID, Model: load.Model, Failed: true}
	upstream := connector.Upstream{ID: load.Engine.ID, Address: load.Engine.Address, Zone: load.Engine.Zone, Region: load.Engine.Region}
	state, err := d.state(ctx, upstream)
	if err != nil {
		d.logOrder(load, grant, "", err)
		return ended
	}
	if serving(state, load.Model) >= load.Version {
		ended.Version, ended.Failed = serving(state, load.Model), false
		return ended
	}
	outcome, err := d.send(ctx, upstream, load, grant, state)
	d.logOrder(load, grant, outcome, err)
	if outcome != connector.OrderAccepted && outcome != connector.OrderOutcomeUnknown && outcome != connector.OrderHolds {
		return ended
	}
	ended.Version = d.watch(ctx, upstream, load)
	ended.Failed = ended.Version < load.Version
	return ended
}

// send checks the lease immediately before the order: a process that was paused since the decision must not send it.
func (d *Driver) send(ctx context.Context, upstream connector.Upstream, load Load, grant updater.Grant, state connector.EngineState) (connector.OrderOutcome, error) {
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
	return d.config.Orders.State(ctx, upstream)
}

// watch looks at the engine until it serves the version or the limit has passed.
func (d *Driver) watch(ctx context.Context, upstream connector.Upstream, load Load) identifier.WeightVersion {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	ticks, stop := d.config.Timer.Subscribe(watchInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-ticks:
		}
		state, err := d.state(ctx, upstream)
		if err == nil && serving(state, load.Model) >= load.Version {
			return serving(state, load.Model)
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

func serving(state connector.EngineState, model identifier.ModelName) identifier.WeightVersion {
	for _, m := range state.Models {
		if m.Model == model {
			return m.Serving
		}
	}
	return 0
}
