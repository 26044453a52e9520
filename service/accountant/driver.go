package accountant

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
	"celerygap.example/service/peerconnector"
	"celerygap.example/service/updater"
)

const (
	// methodCounts passes counts to a collecting host; methodQuery asks one for the counts of a window.
	methodCounts = "usage_counts"
	methodQuery  = "usage_query"
	// collectors is the number of hosts that collect counts: one, and one that replaces it.
	collectors = 2
	// tickInterval bounds how late a message, a write or a report is started.
	tickInterval = 200 * time.Millisecond
	// chooseInterval is how long a choice of the collecting hosts is used; the choice among many hosts takes about 0.1 ms.
	chooseInterval = 500 * time.Millisecond
	// peerTimeout bounds a call to another host, flushTimeout the sending of the last counts.
	peerTimeout  = 400 * time.Millisecond
	flushTimeout = time.Second
	// flushInterval is how often a planned stop checks whether the last counts are confirmed.
	flushInterval = 20 * time.Millisecond
	// eventCapacity is the number of results that may wait for the driver.
	eventCapacity = 64
)

// Lease is the right to report usage.
type Lease interface {
	Held() bool
	Fence() (fence connector.DutyFence, ok bool)
	Begin() (grant updater.Grant, ok bool)
	End()
	Refused(fencing identifier.Fencing)
	Reached(reached bool)
}

// DriverConfig configures a Driver.
type DriverConfig struct {
	// LeaseKey is the store key of the lease, by which the collecting hosts are chosen: its holder is one of them, mostly.
	LeaseKey string
	Lease    Lease
	// Fenced reports whether a rejected report means that the platform has seen a newer fencing token.
	Fenced  bool
	Members connector.Members
	Peers   connector.Peers
	Store   connector.Store
	Calls   connector.DutyCalls
	// Clock returns the true time.
	Clock func() time.Time
	Timer *timer.Service
	Log   *logger.Logger
	Meter *meter.Meter
	// Window is the length of a window; Within is the time after its end in which its report is due.
	Window, Within time.Duration
	// Process distinguishes the processes of this host.
	Process identifier.Incarnation
}

// Driver counts the requests of this host, collects the counts of others and reports usage while this host holds the lease. It is
// safe for concurrent use.
type Driver struct {
	config    DriverConfig
	windows   Windows
	startedAt identifier.UsageWindow
	work      *grouper.Group
	events    *buffer.Ring[Event]
	reporter  *Reporter

	mu        sync.Mutex
	counter   *Counter
	collector *Collector
	// lacking holds the processes of earlier builds, which know nothing of counts.
	lacking map[Destination]bool
	// failing holds the destinations whose last message failed, so that a lasting failure is logged once.
	failing map[Destination]bool
	leaving bool
	// passed holds the collecting processes to which this host passes on what it has collected.
	passed map[Destination]passing
	// chosen are the collecting hosts until chosenUntil.
	chosen      []codec.Member
	chosenUntil time.Time
}

// NewDriver returns a Driver and registers its peer methods; Run starts it.
func NewDriver(config DriverConfig) *Driver {
	windows := Windows{Length: config.Window}
	d := &Driver{
		config: config, windows: windows, startedAt: windows.At(config.Clock()), work: grouper.NewGroup(-1),
		events: buffer.New[Event](eventCapacity), reporter: NewReporter(windows), counter: NewCounter(windows),
		collector: NewCollector(windows), lacking: make(map[Destination]bool), failing: make(map[Destination]bool),
		passed: make(map[Destination]passing),
	}
	config.Peers.Handle(methodCounts, d.serveCounts)
	config.Peers.Handle(methodQuery, d.serveQuery)
	return d
}

// Started counts a request of a customer whose first attempt was sent at a time.
func (d *Driver) Started(customer identifier.CustomerName, at time.Time) {
	began := d.config.Clock().Add(-time.Since(at))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.Started(customer, began)
}

// Run sends counts and, while this host holds the lease, reports usage, until ctx ends. It returns nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	ticks, stop := d.config.Timer.Subscribe(tickInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-d.events.Items():
			d.handle(ctx, event)
		case <-ticks:
			d.send(ctx, false)
		}
		d.handle(ctx, Tick{Holding: d.config.Lease.Held(), Earliest: d.earliest()})
	}
}

// earliest returns the first window to report if none was ever reported.
func (d *Driver) earliest() identifier.UsageWindow {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first, ok := d.collector.First(); ok {
		return min(first, d.startedAt)
	}
	return d.startedAt
}

// Flush sends the last counts of this host to the collecting hosts and waits until they are confirmed, at most for flushTimeout.
func (d *Driver) Flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	d.mu.Lock()
	d.leaving, d.chosenUntil = true, time.Time{}
	// A collecting host may lack what came while it was not reached.
	clear(d.passed)
	d.mu.Unlock()
	ticks, stop := d.config.Timer.Subscribe(flushInterval)
	defer stop()
	for {
		d.send(ctx, true)
		d.mu.Lock()
		chosen := destinations(d.collecting())
		confirmed := d.counter.Confirmed(chosen) && !slices.ContainsFunc(chosen, func(to Destination) bool { return !d.passed[to].done })
		d.mu.Unlock()
		if confirmed {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
	}
}

// destinations returns the processes of some hosts.
func destinations(members []codec.Member) []Destination {
	found := make([]Destination, 0, len(members))
	for _, member := range members {
		found = append(found, Destination{member.ID, member.Incarnation})
	}
	return found
}

// collecting returns the collecting hosts. The mutex must be held.
func (d *Driver) collecting() []codec.Member {
	if now := time.Now(); now.After(d.chosenUntil) {
		d.chosen, d.chosenUntil = d.choose(), now.Add(chooseInterval)
	}
	return d.chosen
}

func (d *Driver) choose() []codec.Member {
	live := d.config.Members.Live()
	var without []identifier.HostID
	if d.leaving {
		without = append(without, d.config.Members.Self().ID)
	}
	for destination := range d.lacking {
		if member, ok := elector.Find(destination.Host, live); !ok || member.Incarnation != destination.Incarnation {
			delete(d.lacking, destination)
			continue
		}
		without = append(without, destination.Host)
	}
	return elector.Rank(d.config.LeaseKey, live, collectors, without...)
}

// send sends the counts that are due.
func (d *Driver) send(ctx context.Context, flush bool) {
	d.mu.Lock()
	members := d.collecting()
	sends := d.counter.Due(d.config.Clock(), destinations(members), flush)
	d.passOn(ctx, members)
	d.mu.Unlock()
	for _, send := range sends {
		to, _ := elector.Find(send.To.Host, members)
		d.work.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			d.sent(send, d.config.Peers.Call(ctx, to, methodCounts, codec.UsageCounts{
				From: d.config.Members.Self().ID, Process: d.config.Process, Windows: send.Windows,
			}, nil))
		})
	}
}

// passing is the state of passing on what this host has collected to a collecting process.
type passing struct {
	begunAt    time.Time
	busy, done bool
}

// passOn sends what this host has collected to collecting processes that are new, since processes that have ended do not send their
// counts again. A failed attempt is repeated after sendInterval. The mutex must be held.
func (d *Driver) passOn(ctx context.Context, members []codec.Member) {
	chosen := destinations(members)
	maps.DeleteFunc(d.passed, func(to Destination, _ passing) bool { return !slices.Contains(chosen, to) })
	for i, to := range chosen {
		state := d.passed[to]
		if state.busy || state.done || time.Since(state.begunAt) < sendInterval || to.Host == d.config.Members.Self().ID {
			continue
		}
		d.passed[to] = passing{begunAt: time.Now(), busy: true}
		messages := d.collector.All()
		d.work.Go(func() {
			var err error
			for _, message := range messages {
				callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
				err = errors.Join(err, d.config.Peers.Call(callCtx, members[i], methodCounts, message, nil))
				cancel()
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.passed[to] = passing{begunAt: d.passed[to].begunAt, done: err == nil}
		})
	}
}

// sent records the result of a message.
func (d *Driver) sent(send Send, err error) {
	d.mu.Lock()
	d.counter.Ended(send.To, err == nil)
	first := err != nil && !d.failing[send.To]
	delete(d.failing, send.To)
	result := "ok"
	switch {
	case peerconnector.LacksMethod(err):
		result = "lacking"
		d.lacking[send.To] = true
		d.chosenUntil = time.Time{}
	case err != nil:
		result = "failed"
		// The map holds at most the collecting hosts of this moment.
		clear(d.failing)
		d.failing[send.To] = true
	}
	d.mu.Unlock()
	d.config.Meter.CountsSent(result)
	if first {
		d.config.Log.Warn(logger.CountsNotSent).Str("peer", string(send.To.Host)).Int("windows", len(send.Windows)).Err(err).Send()
	}
}

func (d *Driver) serveCounts(_ context.Context, params json.RawMessage) (any, error) {
	var message codec.UsageCounts
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, annotator.Wrap("decode counts", "peer", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.collector.Received(d.config.Clock(), message)
	return struct{}{}, nil
}

func (d *Driver) serveQuery(_ context.Context, params json.RawMessage) (any, error) {
	var query codec.UsageQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, annotator.Wrap("decode query for counts", "peer", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.collector.Reply(query), nil
}

// handle passes an event to the reporter and executes its commands.
func (d *Driver) handle(ctx context.Context, event Event) {
	for _, command := range d.reporter.Handle(d.config.Clock(), event) {
		switch c := command.(type) {
		case ReadLedger:
			d.work.Go(func() { d.events.Offer(d.readLedger(ctx)) })
		case WriteLedger:
			d.work.Go(func() { d.events.Offer(d.writeLedger(ctx, c)) })
		case Collect:
			d.work.Go(func() { d.events.Offer(d.collect(ctx, c.Window)) })
		case Report:
			d.work.Go(func() { d.events.Offer(d.report(ctx, c.Window)) })
		case GaveUp:
			d.config.Meter.WindowEnded("given_up")
			d.config.Log.Error(logger.UsageOverdue).Int64("window", int64(c.Window.Window)).Bool("written", c.Window.Counts != nil).
				Interface("counts", c.Window.Counts).Send()
		}
	}
}

// collect gets the counts of a window that another collecting host holds, for example while the links of some hosts to this one
// are cut, and returns the sum.
func (d *Driver) collect(ctx context.Context, window identifier.UsageWindow) Collected {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	d.mu.Lock()
	members := d.collecting()
	query := d.collector.Query(window)
	d.mu.Unlock()
	group := grouper.NewGroup(-1)
	for _, member := range members {
		if member.ID == d.config.Members.Self().ID {
			continue
		}
		group.Go(func() {
			var reply codec.UsageReply
			if err := d.config.Peers.Call(ctx, member, methodQuery, query, &reply); err != nil {
				d.config.Log.Warn(logger.CountsNotSent).Str("peer", string(member.ID)).Int64("window", int64(window)).Err(err).Send()
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, counts := range reply.Counts {
				d.collector.Received(d.config.Clock(), counts)
			}
		})
	}
	group.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	sum, _ := d.collector.Sum(window)
	return Collected{Window: window, Counts: sum}
}

// report makes the call for a window; it checks the lease immediately before.
func (d *Driver) report(ctx context.Context, window codec.WindowCounts) CallEnded {
	ended := CallEnded{Window: window.Window, Outcome: connector.DutyFailed}
	if _, ok := d.config.Lease.Begin(); !ok {
		return ended
	}
	defer d.config.Lease.End()
	fence, ok := d.config.Lease.Fence()
	if !ok {
		return ended
	}
	outcome, err := d.config.Calls.ReportUsage(ctx, fence, connector.UsageReport{Window: window.Window, Counts: window.Counts})
	ended.Outcome = outcome
	late := d.config.Clock().Sub(d.windows.End(window.Window))
	if outcome == connector.DutyRejected && d.config.Fenced {
		d.config.Lease.Refused(fence.Fencing)
	}
	d.config.Lease.Reached(connector.FailureOf(err) != connector.FailureConnectFailed)
	line := d.config.Log.Info(logger.UsageReported)
	if outcome != connector.DutyAccepted {
		line = d.config.Log.Warn(logger.UsageFailed)
	} else {
		d.config.Meter.WindowEnded("reported")
	}
	line.Int64("window", int64(window.Window)).Int64("requests", total(window.Counts)).Int("customers", len(window.Counts)).
		Int64("fencing", int64(fence.Fencing)).Str("outcome", string(outcome)).Dur("late", late).
		Bool("overdue", late > cmp.Or(d.config.Within, keepTime)).Err(err).Send()
	return ended
}
