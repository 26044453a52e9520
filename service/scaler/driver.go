package scaler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

const (
	// tickInterval is the time between two decisions.
	tickInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the platform's API.
	callTimeout = 2 * time.Second
	// rateDivisor sets the orders in a second to the platform's limit divided by it; the limit counts the calls of all hosts and
	// of all duties together. maxRate bounds them where the limit is high or not known.
	rateDivisor = 3
	maxRate     = 2
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	// Holder returns the fencing token of this host while the lease for duties is valid. It is called immediately before each call.
	Holder func() (connector.DutyFence, bool)
	Calls  connector.DutyCalls
	// CallsPerSecond is the platform's limit for the calls of all hosts together; zero means that it is not known.
	CallsPerSecond float64
	Timer          *timer.Service
	Log            *logger.Logger
	// Meter may be nil.
	Meter *meter.Meter
}

// Driver feeds events to a Scaler and sends its orders while this host holds the lease for duties. It is safe for concurrent use.
type Driver struct {
	config DriverConfig
	calls  *grouper.Group
	// active reports whether there are pools whose engines are ordered, so that others cost nothing.
	active atomic.Bool

	mu      sync.Mutex
	machine *Scaler
	held    bool
	// queue holds the decided orders until the limit of calls allows them.
	queue    []Order
	lastSent time.Time
}

// NewDriver returns a Driver; Run starts it.
func NewDriver(config DriverConfig) *Driver {
	return &Driver{config: config, calls: grouper.NewGroup(-1), machine: New()}
}

// Handle applies an event without waiting.
func (d *Driver) Handle(event Event) {
	if _, ok := event.(PoolsChanged); !ok && !d.active.Load() {
		if _, ok := event.(EnginesChanged); !ok {
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Handle(time.Now(), event)
	d.active.Store(d.machine.Active())
}

// Loads returns the loads that this host heard lately of engines whose number is decided by load.
func (d *Driver) Loads() []codec.HeardLoad {
	if !d.active.Load() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Loads(time.Now())
}

// Run decides and sends orders until ctx ends. It returns nil after the calls under way have ended.
func (d *Driver) Run(ctx context.Context) error {
	defer d.calls.Wait()
	d.config.Timer.Each(ctx, tickInterval, func() {
		if d.active.Load() {
			d.tick(ctx, time.Now())
		}
	})
	return nil
}

// tick decides, and starts the call that is due.
func (d *Driver) tick(ctx context.Context, now time.Time) {
	fence, held := d.config.Holder()
	d.mu.Lock()
	defer d.mu.Unlock()
	if held != d.held {
		d.held = held
		d.config.Log.Info(logger.DutyOrdersBegan).Bool("held", held).Int64("fencing", int64(fence.Fencing)).Send()
	}
	if !held {
		for _, order := range d.queue {
			d.machine.Handle(now, OrderEnded{Order: order, Outcome: NotSent})
		}
		d.queue = nil
	}
	d.queue = append(d.queue, d.machine.Handle(now, Tick{Held: held})...)
	for _, status := range d.machine.Status() {
		d.config.Meter.EnginesRequired(string(status.Pool), status.Required, status.Have)
	}
	for len(d.queue) > 0 && now.Sub(d.lastSent) >= d.sendInterval() {
		order := d.machine.Current(d.next())
		d.lastSent = now
		d.calls.Go(func() { d.order(ctx, order) })
	}
}

// next removes and returns the order to send first: one that adds engines before one that gives some back.
func (d *Driver) next() Order {
	first := 0
	for i, order := range d.queue {
		if order.Engines > order.Former {
			first = i
			break
		}
	}
	order := d.queue[first]
	d.queue = append(d.queue[:first:first], d.queue[first+1:]...)
	return order
}

// sendInterval is the least time between two calls.
func (d *Driver) sendInterval() time.Duration {
	rate := float64(maxRate)
	if d.config.CallsPerSecond > 0 {
		rate = min(rate, d.config.CallsPerSecond/rateDivisor)
	}
	return time.Duration(float64(time.Second) / rate)
}

// order checks the lease immediately before it sends an order: a process that was paused since the decision must not send it after
// the lease has ended.
func (d *Driver) order(ctx context.Context, order Order) {
	fence, held := d.config.Holder()
	outcome, err := NotSent, error(nil)
	if held {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome, err = d.config.Calls.OrderEngines(callCtx, fence, order.EngineOrder)
		cancel()
	}
	line := d.config.Log.Info(logger.EnginesOrdered)
	if outcome != connector.DutyAccepted {
		line = d.config.Log.Warn(logger.EngineOrderFailed).Err(err)
	}
	line.Str("pool", string(order.Pool)).Str("zone", string(order.Zone)).Bool("preemptible", order.Preemptible).Int("engines", order.Engines).
		Int("former", order.Former).Str("reason", string(order.Reason)).Float64("peak", order.Peak).Int("required", order.Required).
		Int("have", order.Have).Int64("fencing", int64(fence.Fencing)).Str("outcome", string(outcome)).Send()
	d.config.Meter.EnginesOrdered(string(order.Pool), string(order.Zone), string(outcome))
	d.Handle(OrderEnded{Order: order, Outcome: outcome})
}
