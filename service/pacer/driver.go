package pacer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
)

const (
	// methodTurns requests turns from the host that hands them out for an upstream.
	methodTurns = "take_turns"
	// electionPrefix distinguishes the choice of the host for an upstream from other choices with the same key.
	electionPrefix = "turns/"
	// callTimeout bounds a request for turns; the longest network path has a delay of some ten milliseconds.
	callTimeout = 300 * time.Millisecond
	// avoidTime is how long a host that did not reply is not asked again.
	avoidTime = 2 * time.Second
	// expiryInterval is how often limits that are not in use any more are forgotten.
	expiryInterval = time.Minute
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Members connector.Members
	Peers   connector.Peers
	Timer   *timer.Service
	Log     *logger.Logger
	// OnTurn is called when a turn may have become available, or a limit may have ended. It must not wait.
	OnTurn func()
}

// Driver requests turns from other hosts and hands them out. It is safe for concurrent use.
type Driver struct {
	config DriverConfig
	work   *grouper.Group
	base   context.Context
	cancel context.CancelFunc
	// limited is the number of limited upstreams, so that responses cost nothing while there are none.
	limited atomic.Int64

	mu        sync.Mutex
	machine   *Pacer
	scheduler *Scheduler
	// avoided holds the hosts that did not reply, and until when they are not asked.
	avoided map[identifier.HostID]time.Time
}

var _ connector.Pacer = (*Driver)(nil)

// NewDriver returns a Driver and registers its method with the peers.
func NewDriver(config DriverConfig) *Driver {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	base, cancel := context.WithCancel(context.Background())
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), base: base, cancel: cancel, machine: New(), scheduler: NewScheduler(),
		avoided: make(map[identifier.HostID]time.Time),
	}
	config.Peers.Handle(methodTurns, d.serveTurns)
	return d
}

// Run forgets old limits until ctx ends, then waits for the requests under way; its error is always nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	defer d.cancel()
	d.config.Timer.Each(ctx, expiryInterval, func() {
		d.handle(Tick{})
		d.mu.Lock()
		defer d.mu.Unlock()
		d.scheduler.Expire(time.Now())
	})
	return nil
}

// Take uses up a turn for one request to an upstream, if there is one. Otherwise it requests one and returns the earliest time
// at which there can be one, or zero if that is not known.
func (d *Driver) Take(id identifier.UpstreamID) (ok bool, earliest time.Time) {
	if d.limited.Load() == 0 {
		return true, time.Time{}
	}
	for _, command := range d.handle(TurnWanted{Upstream: id}) {
		switch c := command.(type) {
		case Proceed:
			return true, time.Time{}
		case Wait:
			earliest = c.Earliest
		}
	}
	return false, earliest
}

// Available reports whether Take would succeed now.
func (d *Driver) Available(id identifier.UpstreamID) bool {
	if d.limited.Load() == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Available(time.Now(), id)
}

// Limit returns the requests a second that an upstream takes from all hosts together, or zero if it names no limit.
func (d *Driver) Limit(id identifier.UpstreamID) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Limit(id)
}

// ReportLimit records the limit in the response to a request that was sent at the given time; zero means that it named none.
func (d *Driver) ReportLimit(id identifier.UpstreamID, perSecond float64, sentAt time.Time) {
	if perSecond <= 0 && d.limited.Load() == 0 {
		return
	}
	d.handle(ResponseReceived{Upstream: id, PerSecond: perSecond, SentAt: sentAt})
}

// handle passes an event to the state machine, starts what its commands require, and returns them.
func (d *Driver) handle(event Event) []Command {
	d.mu.Lock()
	commands := d.machine.Handle(time.Now(), event)
	d.limited.Store(int64(d.machine.Limited()))
	d.mu.Unlock()
	for _, command := range commands {
		switch c := command.(type) {
		case RequestTurns:
			d.work.Go(func() { d.request(c.Request) })
		case LogLimit:
			d.config.Log.Info(logger.UpstreamLimited).Str("upstream", string(c.Upstream)).Float64("per_second", c.PerSecond).Send()
			d.config.OnTurn()
		}
	}
	return commands
}

// request requests turns from the first host that replies, and calls OnTurn when they may be used or requested again.
func (d *Driver) request(request codec.TurnRequest) {
	reply, err := d.call(request)
	switch {
	case request.Count == 0 || d.base.Err() != nil:
		return
	case err != nil:
		d.handle(RequestFailed{Upstream: request.Upstream})
		d.config.OnTurn()
		return
	}
	d.handle(TurnsReceived{Upstream: request.Upstream, Reply: reply})
	waits := reply.Turns
	if len(waits) == 0 {
		waits = []identifier.Duration{max(reply.RetryAfter, identifier.Duration(minRetryDelay))}
	}
	received := time.Now()
	for _, wait := range waits {
		if !d.sleep(time.Until(received.Add(wait.Std()))) {
			return
		}
		d.config.OnTurn()
	}
}

// call calls the hosts that may hand out turns for an upstream in order, until one replies. This host is among them, so the
// last one always does.
func (d *Driver) call(request codec.TurnRequest) (codec.TurnReply, error) {
	for {
		host := d.host(request.Upstream)
		ctx, cancel := context.WithTimeout(d.base, callTimeout)
		var reply codec.TurnReply
		err := d.config.Peers.Call(ctx, host, methodTurns, request, &reply)
		cancel()
		if err == nil || d.base.Err() != nil || host.ID == d.config.Members.Self().ID {
			return reply, err
		}
		d.config.Log.Warn(logger.TurnsUnavailable).Str("upstream", string(request.Upstream)).Str("peer", string(host.ID)).Err(err).Send()
		d.mu.Lock()
		d.avoided[host.ID] = time.Now().Add(avoidTime)
		d.mu.Unlock()
	}
}

// host returns the host to ask for turns: the first choice among the live hosts, without those that did not reply lately.
func (d *Driver) host(id identifier.UpstreamID) codec.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var without []identifier.HostID
	for host, until := range d.avoided {
		if now.Before(until) {
			without = append(without, host)
		} else {
			delete(d.avoided, host)
		}
	}
	if host, ok := elector.Choose(electionPrefix+string(id), d.config.Members.Live(), without...); ok {
		return host
	}
	return d.config.Members.Self()
}

// serveTurns hands out turns to another host, or to this one.
func (d *Driver) serveTurns(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.TurnRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode request for turns", "peer", err)
	}
	first, ok := elector.Choose(electionPrefix+string(request.Upstream), d.config.Members.Live())
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Grant(time.Now(), request, !ok || first.ID == d.config.Members.Self().ID), nil
}

// sleep waits and reports whether the driver is still running.
func (d *Driver) sleep(wait time.Duration) bool {
	if wait <= 0 {
		return d.base.Err() == nil
	}
	pause := time.NewTimer(wait)
	defer pause.Stop()
	select {
	case <-d.base.Done():
		return false
	case <-pause.C:
		return true
	}
}
