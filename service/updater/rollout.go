package updater

import (
	"math/rand/v2"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// The default settings of a Rollout.
const (
	// DefaultMaxChildren is how many engines load from one engine at a time.
	DefaultMaxChildren = 4
	// DefaultPollInterval is how often a settled engine is asked for its load report.
	DefaultPollInterval = 5 * time.Second
	// DefaultFastPoll is how often an engine is asked whose state matters for the next order.
	DefaultFastPoll = 300 * time.Millisecond
	// DefaultReportLag is how long a load report may lag; older knowledge from an order's result takes precedence.
	DefaultReportLag = 3 * time.Second
	// DefaultSourceWait is how long a head waits for an engine of another shard before it uses the weight store.
	DefaultSourceWait = 30 * time.Second
	// DefaultBackoff is the first pause after a failed order; it doubles up to DefaultMaxBackoff.
	DefaultBackoff    = time.Second
	DefaultMaxBackoff = 30 * time.Second
)

const (
	// headFanOut is how many heads of other shards load from one head; the rest of MaxChildren is for its own shard.
	headFanOut = 3
	// storeAfterFailures is how many loads from other engines may fail before the weight store is used.
	storeAfterFailures = 3
	// keptVersions is how many loaded versions an engine keeps; requests of the former version may still run.
	keptVersions = 2
)

// RolloutConfig configures a Rollout; zero values mean the defaults.
type RolloutConfig struct {
	MaxChildren  int
	PollInterval time.Duration
	FastPoll     time.Duration
	ReportLag    time.Duration
	SourceWait   time.Duration
	Backoff      time.Duration
	MaxBackoff   time.Duration
	// Flight is the time within which a sent order must start; it is the order's expiry.
	Flight time.Duration
	Rand   *rand.Rand
}

// engineState is what the shard's owner knows of one engine.
type engineState struct {
	engine Engine
	// present is cleared before each topology to find the engines that are gone.
	present bool
	known   bool
	models  map[identifier.ModelName]*modelState
	// polling tells that a load report is outstanding since polledAt.
	polling  bool
	polledAt time.Time
	pollAt   time.Time
	// order is the outstanding order, and source the engine from which it loads.
	order     *codec.Order
	source    identifier.UpstreamID
	children  int
	failures  int
	notBefore time.Time
}

// modelState is the state of one model on one engine.
type modelState struct {
	serving identifier.WeightVersion
	loaded  []identifier.WeightVersion
	// changedAt is when an order's result changed the state; reports asked for before its lag has passed are ignored.
	changedAt time.Time
	// verified tells that a load report has shown the serving version.
	verified bool
}

type target struct {
	Target
	since time.Time
}

type targetKey struct {
	pool  identifier.PoolName
	model identifier.ModelName
}

// Rollout decides on the orders to the engines of one shard.
type Rollout struct {
	config  RolloutConfig
	grant   Grant
	engines map[identifier.UpstreamID]*engineState
	order   []*engineState
	// reserved is how many places of an engine are kept for the heads of other shards that may load from it.
	reserved map[identifier.UpstreamID]int
	parents  map[Place][]connector.Upstream
	remote   map[identifier.UpstreamID]*engineState
	targets  map[targetKey]*target
	firsts   []first
	sequence int64
	commands []RolloutCommand
	wakeAt   time.Time
}

// NewRollout returns a rollout without engines, targets or a grant.
func NewRollout(config RolloutConfig) *Rollout {
	if config.MaxChildren <= headFanOut {
		config.MaxChildren = DefaultMaxChildren
	}
	setDefault(&config.PollInterval, DefaultPollInterval)
	setDefault(&config.FastPoll, DefaultFastPoll)
	setDefault(&config.ReportLag, DefaultReportLag)
	setDefault(&config.SourceWait, DefaultSourceWait)
	setDefault(&config.Backoff, DefaultBackoff)
	setDefault(&config.MaxBackoff, DefaultMaxBackoff)
	setDefault(&config.Flight, DefaultOrderFlight)
	return &Rollout{
		config:  config,
		engines: make(map[identifier.UpstreamID]*engineState),
		remote:  make(map[identifier.UpstreamID]*engineState),
		targets: make(map[targetKey]*target),
	}
}

// InFlight returns the number of orders without a result.
func (r *Rollout) InFlight() int {
	n := 0
	for _, state := range r.order {
		if state.order != nil {
			n++
		}
	}
	return n
}

// Handle applies an event.
func (r *Rollout) Handle(now time.Time, event RolloutEvent) []RolloutCommand {
	r.commands = nil
	r.wakeAt = now.Add(r.config.PollInterval)
	switch e := event.(type) {
	case TopologyChanged:
		r.seeTopology(e)
	case TargetsSet:
		r.setTargets(now, e.Targets)
	case Reported:
		r.reported(now, e)
	case Ordered:
		r.ordered(now, e)
	case GrantChanged:
		r.grant = e.Grant
	case RolloutTimerFired:
	}
	if r.grant.Valid(now) {
		r.plan(now)
		r.commands = append(r.commands, SetRolloutTimer{At: r.wakeAt})
	}
	return r.commands
}

func (r *Rollout) wakeBy(at time.Time) { r.wakeAt = earlier(r.wakeAt, at) }

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (r *Rollout) seeTopology(event TopologyChanged) {
	for _, state := range r.order {
		state.present = false
	}
	order := make([]*engineState, 0, len(event.Engines))
	for _, engine := range event.Engines {
		state := r.engines[engine.ID]
		if state == nil {
			state = newEngineState()
			r.engines[engine.ID] = state
		}
		state.engine = engine
		state.present = true
		order = append(order, state)
	}
	for _, state := range r.order {
		if !state.present {
			r.releaseSource(state)
			delete(r.engines, state.engine.ID)
		}
	}
	r.order = order
	r.reserve(event.Children)
	r.parents = event.Parents
	r.keepRemotes()
}

func (r *Rollout) reserve(children map[Place]int) {
	r.reserved = make(map[identifier.UpstreamID]int)
	candidates := make(map[Place]int)
	for _, state := range r.order {
		place := placeOf(state)
		if !state.engine.Leaving && candidates[place] < parentCandidates {
			candidates[place]++
			r.reserved[state.engine.ID] = children[place]
		}
	}
}

func newEngineState() *engineState {
	return &engineState{models: make(map[identifier.ModelName]*modelState)}
}

func (r *Rollout) keepRemotes() {
	kept := make(map[identifier.UpstreamID]*engineState)
	for _, upstreams := range r.parents {
		for _, upstream := range upstreams {
			state := r.remote[upstream.ID]
			if state == nil {
				state = newEngineState()
			}
			state.engine.Upstream = upstream
			kept[upstream.ID] = state
		}
	}
	r.remote = kept
}

func (r *Rollout) setTargets(now time.Time, targets []Target) {
	wanted := make(map[targetKey]*target, len(targets))
	for _, next := range targets {
		key := targetKey{pool: next.Pool, model: next.Model}
		current := r.targets[key]
		if current == nil || next.Version > current.Version {
			current = &target{Target: next, since: now}
		}
		wanted[key] = current
	}
	r.targets = wanted
}

func (r *Rollout) reported(now time.Time, event Reported) {
	for _, state := range []*engineState{r.engines[event.ID], r.remote[event.ID]} {
		if state != nil && state.polling {
			r.applyReport(now, state, event)
		}
	}
}

// applyReport replaces the known state, except for what an order's result has changed since the report may have been made.
func (r *Rollout) applyReport(now time.Time, state *engineState, event Reported) {
	state.polling = false
	state.pollAt = now.Add(r.config.PollInterval)
	if event.Failed {
		state.pollAt = now.Add(r.config.Backoff)
		return
	}
	state.known = true
	reported := make(map[identifier.ModelName]*modelState, len(event.Models))
	for _, model := range event.Models {
		reported[model.Model] = &modelState{serving: model.Serving, loaded: slices.Clone(model.Loaded), verified: true}
	}
	for name, known := range state.models {
		if state.polledAt.Before(known.changedAt.Add(r.config.ReportLag)) && !confirms(reported[name], known) {
			reported[name] = known
		}
	}
	state.models = reported
}

// confirms reports whether a report shows at least the state that is known from orders.
func confirms(reported, known *modelState) bool {
	return reported != nil && reported.serving >= known.serving && highest(reported.loaded) >= highest(known.loaded)
}

func highest(versions []identifier.WeightVersion) identifier.WeightVersion {
	if len(versions) == 0 {
		return 0
	}
	return slices.Max(versions)
}

func (r *Rollout) ordered(now time.Time, event Ordered) {
	state := r.engines[event.ID]
	if state == nil || state.order == nil || state.order.OrderID != event.Order.OrderID {
		return
	}
	r.releaseSource(state)
	state.order = nil
	if event.Unsent {
		return
	}
	if event.Status != codec.OrderStatusDone {
		state.failures++
		state.notBefore = now.Add(r.backoff(state.failures))
		return
	}
	state.failures = 0
	r.applyOrder(now, state, event.Order)
}

func (r *Rollout) backoff(failures int) time.Duration {
	pause := r.config.MaxBackoff
	if failures < 16 {
		pause = min(pause, r.config.Backoff<<(failures-1))
	}
	// Jitter keeps engines that failed together from loading together.
	return pause/2 + time.Duration(r.config.Rand.Int64N(int64(pause)))/2
}

func (r *Rollout) releaseSource(state *engineState) {
	if source := r.engines[state.source]; source != nil {
		source.children--
	}
	state.source = ""
}

func (r *Rollout) applyOrder(now time.Time, state *engineState, order codec.Order) {
	model := state.models[order.Model]
	if model == nil {
		model = &modelState{}
		state.models[order.Model] = model
	}
	switch order.Kind {
	case codec.OrderKindLoad, codec.OrderKindLoadAdapter:
		model.loaded = append(model.loaded, order.Version)
	case codec.OrderKindServe:
		model.serving = max(model.serving, order.Version)
		state.pollAt = now.Add(r.config.ReportLag)
	case codec.OrderKindUnload:
		model.loaded = slices.DeleteFunc(model.loaded, func(v identifier.WeightVersion) bool { return v == order.Version })
	case codec.OrderKindSetRole:
	}
	model.changedAt = now
	model.verified = false
}
