package scaler

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

const (
	// demandMaxAge is how long a stated demand holds, and loadMaxAge a stated load: engines state it when a response begins, which
	// may take many seconds.
	demandMaxAge = 5 * time.Second
	loadMaxAge   = 10 * time.Second
	// relayedLoadAge is the age up to which this host passes on the loads that it heard.
	relayedLoadAge = 1500 * time.Millisecond
	// defaultBoot is the boot time of engines for which the configuration names none; defaultSlots is the same for slots.
	defaultBoot  = 10 * time.Second
	defaultSlots = 8
	// lateWeight is the weight of the work of a model whose jobs are late for want of engines.
	lateWeight = 1.25
	// maxExtrapolation bounds the estimated load of a pool as a multiple of that of the engines whose load is known; most of the
	// others are idle if these are few.
	maxExtrapolation = 4
)

// Scaler is the state machine that decides the number of engines; it is not safe for concurrent use.
type Scaler struct {
	pools map[identifier.PoolName]*pool
	// listed holds the engines that were listed last, for pools that come later.
	listed map[identifier.PoolName][]codec.ListedHost
	// held is set while this host holds the lease.
	held bool
}

// pool is the state of one pool whose engines are ordered.
type pool struct {
	name    identifier.PoolName
	bounds  codec.Autoscale
	slots   int
	models  int
	stocks  map[place]*stock
	engines map[identifier.UpstreamID]*engine

	demand   map[identifier.ModelName]codec.ModelDemand
	demandAt time.Time
	// knownSince is when the work on the engines was known first, and knownAt when it was known last.
	knownSince, knownAt time.Time
	// jobs holds the peaks of the items that run or wait, running of those that run, and other of all other requests.
	jobs, running, other peak
	// readyAt is when orders are allowed after this host acquired the lease.
	readyAt time.Time
	// surplusSince is since when an engine was not needed, or zero; loweredAt is the last reduction of each zone.
	surplusSince time.Time
	loweredAt    map[identifier.Zone]time.Time
	// raisedAt is when engines were needed last, cheaperAt when one was ordered to take the place of another.
	raisedAt, cheaperAt time.Time
	status              Status
}

// Status is the result of the last decision about a pool.
type Status struct {
	Pool           identifier.PoolName
	Peak           float64
	Required, Have int
}

type engine struct {
	host codec.ListedHost
	// listedAt is when the engine was listed first.
	listedAt time.Time
	load     int
	loadAt   time.Time
}

// New returns a Scaler that knows no pools.
func New() *Scaler { return &Scaler{pools: make(map[identifier.PoolName]*pool)} }

// Handle applies one event; only Tick returns orders.
func (s *Scaler) Handle(now time.Time, event Event) []Order {
	switch e := event.(type) {
	case PoolsChanged:
		s.replacePools(now, e)
	case EnginesChanged:
		s.listed = e.Engines
		for name, p := range s.pools {
			p.replaceEngines(now, e.Engines[name])
		}
	case DemandStated:
		for name, p := range s.pools {
			if demand := e.Demand[name]; len(demand) > 0 {
				p.demand, p.demandAt = demand, now
			}
		}
		for id, heard := range e.Loads {
			s.applyLoad(id, heard)
		}
	case LoadReported:
		s.applyLoad(e.Engine, HeardLoad{Requests: e.Load.Running + e.Load.Queued, At: now})
	case OrderEnded:
		if p, ok := s.pools[e.Order.Pool]; ok {
			p.stock(place{e.Order.Zone, e.Order.Preemptible}).end(now, e.Order.Engines, e.Outcome)
		}
	case Tick:
		return s.tick(now, e.Held)
	}
	return nil
}

func (s *Scaler) replacePools(now time.Time, e PoolsChanged) {
	next := make(map[identifier.PoolName]*pool)
	for _, spec := range e.Pools {
		if spec.Autoscale == nil {
			continue
		}
		p, ok := s.pools[spec.Name]
		if !ok {
			p = &pool{
				name: spec.Name, stocks: make(map[place]*stock), engines: make(map[identifier.UpstreamID]*engine),
				loweredAt: make(map[identifier.Zone]time.Time),
			}
			p.replaceEngines(now, s.listed[spec.Name])
		}
		p.bounds = *spec.Autoscale
		p.slots = spec.Slots
		p.models = len(spec.Models)
		next[spec.Name] = p
	}
	s.pools = next
}

// Active reports whether there is a pool whose engines are ordered.
func (s *Scaler) Active() bool { return len(s.pools) > 0 }

func (s *Scaler) applyLoad(id identifier.UpstreamID, heard HeardLoad) {
	for _, p := range s.pools {
		if known, ok := p.engines[id]; ok && heard.At.After(known.loadAt) {
			known.load, known.loadAt = heard.Requests, heard.At
		}
	}
}

// Loads returns the loads that engines stated lately, for the host that decides.
func (s *Scaler) Loads(now time.Time) []codec.HeardLoad {
	var loads []codec.HeardLoad
	for _, p := range s.pools {
		for id, known := range p.engines {
			if age := now.Sub(known.loadAt); age <= relayedLoadAge {
				loads = append(loads, codec.HeardLoad{Engine: id, Requests: known.load, Age: identifier.Duration(age)})
			}
		}
	}
	return loads
}

func (p *pool) stock(at place) *stock {
	known, ok := p.stocks[at]
	if !ok {
		known = &stock{}
		p.stocks[at] = known
	}
	return known
}

func (p *pool) boot() time.Duration { return cmp.Or(p.bounds.BootTime.Std(), defaultBoot) }

// replaceEngines applies the listed engines and notes those that have begun to leave.
func (p *pool) replaceEngines(now time.Time, hosts []codec.ListedHost) {
	next := make(map[identifier.UpstreamID]*engine, len(hosts))
	alive, left := make(map[place]int), make(map[place]int)
	for _, host := range hosts {
		known, ok := p.engines[host.ID]
		if !ok || !known.host.StartedAt.Equal(host.StartedAt) {
			known = &engine{host: host, listedAt: now}
		}
		at := placeOf(host)
		switch {
		case host.State != codec.HostStateLeaving:
			alive[at]++
		case ok && known.host.State != codec.HostStateLeaving:
			left[at]++
		}
		known.host = host
		next[host.ID] = known
	}
	p.engines = next
	for at := range alive {
		p.stock(at)
	}
	for at, known := range p.stocks {
		known.list(now, alive[at], left[at], at.preemptible)
	}
}

func placeOf(host codec.ListedHost) place { return place{host.Zone, host.Preemptible} }

// tick records the work and returns the orders that are due.
func (s *Scaler) tick(now time.Time, held bool) []Order {
	acquired := held && !s.held
	s.held = held
	var orders []Order
	for _, name := range s.names() {
		p := s.pools[name]
		p.record(now)
		if acquired || held && p.readyAt.IsZero() {
			p.start(now)
		}
		if !held {
			p.readyAt = time.Time{}
			continue
		}
		if now.Before(p.readyAt) {
			p.adopt()
			continue
		}
		orders = append(orders, p.plan(now)...)
	}
	return orders
}

// Current returns an order that has not been sent yet with the number that is decided at present.
func (s *Scaler) Current(order Order) Order {
	if p, ok := s.pools[order.Pool]; ok {
		known := p.stock(place{order.Zone, order.Preemptible})
		order.Engines, order.Reason = known.desired, known.reason
	}
	return order
}

// Status returns the results of the last decisions, in order of the pools' names, while this host decides.
func (s *Scaler) Status() []Status {
	var statuses []Status
	if s.held {
		for _, name := range s.names() {
			statuses = append(statuses, s.pools[name].status)
		}
	}
	return statuses
}

func (s *Scaler) names() []identifier.PoolName {
	names := make([]identifier.PoolName, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// start begins with the listed engines, since a former holder's orders are not known. Engines that it ordered are listed after the
// boot time.
func (p *pool) start(now time.Time) {
	p.readyAt = now.Add(p.boot())
	p.surplusSince = time.Time{}
	p.adopt()
}

func (p *pool) adopt() {
	for _, known := range p.stocks {
		known.reset()
	}
}

// record adds the present work to the peaks. The models of a pool share its reserve: their peaks seldom coincide, and engines are
// divided among them by demand.
func (p *pool) record(now time.Time) {
	if now.Sub(p.demandAt) <= demandMaxAge {
		running, work := 0, 0.0
		for _, stated := range p.demand {
			items := float64(stated.RunningItems + stated.WaitingItems)
			if stated.Late {
				items *= lateWeight
			}
			running += stated.RunningItems
			work += items
		}
		p.jobs.add(now, work)
		p.running.add(now, float64(running))
	}
	load, ok := p.load(now)
	if !ok {
		return
	}
	if now.Sub(p.knownAt) > demandMaxAge {
		p.knownSince = now
	}
	p.knownAt = now
	// The loads may be as old as loadMaxAge, so the items that they contain are those that ran at some time since then.
	p.other.add(now, max(0, load-p.running.highestOf(now, loadMaxAge+demandMaxAge)))
}

// load estimates the requests on the engines from those whose load is known. Engines that were listed only now count as idle.
func (p *pool) load(now time.Time) (load float64, ok bool) {
	requests, heard, engines := 0, 0, 0
	for _, known := range p.engines {
		if known.host.State == codec.HostStateLeaving {
			continue
		}
		if now.Sub(known.loadAt) <= loadMaxAge {
			requests += known.load
			heard++
			engines++
		} else if now.Sub(known.listedAt) > loadMaxAge {
			engines++
		}
	}
	if heard == 0 {
		return 0, false
	}
	return float64(requests) * min(maxExtrapolation, float64(engines)/float64(heard)), true
}

// work returns the work at the peak of the last peakWindow.
func (p *pool) work(now time.Time) float64 { return p.jobs.highest(now) + p.other.highest(now) }

// engineSlots returns the slots of one engine: the fewest that a listed one has.
func (p *pool) engineSlots() int {
	fewest := 0
	for _, known := range p.engines {
		if known.host.Slots > 0 && (fewest == 0 || known.host.Slots < fewest) {
			fewest = known.host.Slots
		}
	}
	return cmp.Or(fewest, p.slots, defaultSlots)
}

// engineOrder returns the order of the decided number of a place.
func (p *pool) engineOrder(at place, desired int) connector.EngineOrder {
	return connector.EngineOrder{Pool: p.name, Zone: at.zone, Preemptible: at.preemptible, Engines: desired}
}
