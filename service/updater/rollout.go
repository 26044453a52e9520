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
	// DefaultMaxChildren is how many engines (its children) may load from one engine at a time.
	DefaultMaxChildren = 4
	// DefaultPollInterval is how often the load report of each engine is requested.
	DefaultPollInterval = 5 * time.Second
	// DefaultFastPoll is how often the load report of an engine is requested while another engine waits to load from it.
	DefaultFastPoll = 300 * time.Millisecond
	// DefaultReportLag is how far a load report may lag behind the engine's state. A report requested within this time
	// after an order's result does not override the result.
	DefaultReportLag = 3 * time.Second
	// DefaultSourceWait is how long the head of a shard (its first engine of a pool and region) waits for the parent shard
	// to load a new version, before it loads the version from the weight store.
	DefaultSourceWait = 30 * time.Second
	// DefaultBackoff is the first delay after a failed order; it doubles with each further failure.
	DefaultBackoff = time.Second
	// DefaultMaxBackoff is the longest delay after a failed order.
	DefaultMaxBackoff = 30 * time.Second
)

const (
	// headFanOut is how many heads of other shards load from one head. The rest of MaxChildren is for engines of the own
	// shard.
	headFanOut = 3
	// storeAfterFailures is the number of failed orders in a row after which an engine loads from the weight store.
	storeAfterFailures = 3
	// keptVersions is how many versions an engine keeps loaded, since requests of the former version may still run.
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
	// MaxOrderDelay is the time within which a sent order must start; it is the order's expiry.
	MaxOrderDelay time.Duration
	Rand          *rand.Rand
}

// engineState is what the rollout knows of one engine.
type engineState struct {
	engine Engine
	// present is cleared before a topology is applied, to find the engines that it no longer contains.
	present bool
	// known is set once a load report has been applied; until then the engine gets no order.
	known  bool
	models map[identifier.ModelName]*modelState
	// polling is set while a load report, requested at polledAt, is outstanding. The next one is due at pollAt.
	polling  bool
	polledAt time.Time
	pollAt   time.Time
	// order is the outstanding order, and source the engine from which it loads. source is not looked up again by its id: the
	// engine may have left and come back meanwhile, without its children.
	order  *codec.Order
	source *engineState
	// children counts the outstanding loads from this engine.
	children int
	// failures counts the failed orders in a row; the next order waits until notBefore.
	failures  int
	notBefore time.Time
}

// modelState is the state of one model on one engine.
type modelState struct {
	serving identifier.WeightVersion
	loaded  []identifier.WeightVersion
	// changedAt is when an order's result last changed the state. A report requested within ReportLag after it is ignored
	// unless it confirms the state.
	changedAt time.Time
	// verified is set while the state comes from a load report, not from an order's result.
	verified bool
}

type targetState struct {
	Target
	// since is when the version became the target.
	since time.Time
}

type targetKey struct {
	pool  identifier.PoolName
	model identifier.ModelName
}

// Rollout is the state machine that chooses the orders to the engines of one shard.
type Rollout struct {
	config     RolloutConfig
	grant      Grant
	engines    map[identifier.UpstreamID]*engineState
	engineList []*engineState
	// reserved is how many children of an engine are reserved for the heads of other shards that may load from it.
	reserved map[identifier.UpstreamID]int
	// parents holds the engines from which the heads of this shard load, and parentStates what is known of them.
	parents      map[PoolRegion][]connector.Upstream
	parentStates map[identifier.UpstreamID]*engineState
	targets      map[targetKey]*targetState
	firstLoads   []firstLoad
	sequence     int64
	commands     []RolloutCommand
	wakeAt       time.Time
}

// NewRollout returns a rollout without engines, targets or a grant; it sends no orders until it has all three.
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
	setDefault(&config.MaxOrderDelay, DefaultMaxOrderDelay)
	return &Rollout{
		config:       config,
		engines:      make(map[identifier.UpstreamID]*engineState),
		parentStates: make(map[identifier.UpstreamID]*engineState),
		targets:      make(map[targetKey]*targetState),
	}
}

// InFlight returns the number of orders without a result.
func (r *Rollout) InFlight() int {
	n := 0
	for _, state := range r.engineList {
		if state.order != nil {
			n++
		}
	}
	return n
}

// Handle applies an event and returns the commands to execute.
func (r *Rollout) Handle(now time.Time, event RolloutEvent) []RolloutCommand {
	r.commands = nil
	r.wakeAt = now.Add(r.config.PollInterval)
	switch e := event.(type) {
	case TopologyChanged:
		r.setTopology(e)
	case TargetsSet:
		r.setTargets(now, e.Targets)
	case LoadReported:
		r.loadReported(now, e)
	case OrderFinished:
		r.orderFinished(now, e)
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

func (r *Rollout) setTopology(event TopologyChanged) {
	for _, state := range r.engineList {
		state.present = false
	}
	list := make([]*engineState, 0, len(event.Engines))
	for _, engine := range event.Engines {
		state := r.engines[engine.ID]
		if state == nil {
			state = newEngineState()
			r.engines[engine.ID] = state
		}
		state.engine = engine
		state.present = true
		list = append(list, state)
	}
	for _, state := range r.engineList {
		if !state.present {
			r.releaseSource(state)
			delete(r.engines, state.engine.ID)
		}
	}
	r.engineList = list
	r.reserve(event.Children)
	r.parents = event.Parents
	r.setParentStates()
}

func (r *Rollout) reserve(children map[PoolRegion]int) {
	r.reserved = make(map[identifier.UpstreamID]int)
	candidates := make(map[PoolRegion]int)
	for _, state := range r.engineList {
		poolRegion := poolRegionOf(state)
		if !state.engine.Leaving && candidates[poolRegion] < parentCandidates {
			candidates[poolRegion]++
			r.reserved[state.engine.ID] = children[poolRegion]
		}
	}
}

func newEngineState() *engineState {
	return &engineState{models: make(map[identifier.ModelName]*modelState)}
}

func (r *Rollout) setParentStates() {
	kept := make(map[identifier.UpstreamID]*engineState)
	for _, upstreams := range r.parents {
		for _, upstream := range upstreams {
			state := r.parentStates[upstream.ID]
			if state == nil {
				state = newEngineState()
			}
			state.engine.Upstream = upstream
			kept[upstream.ID] = state
		}
	}
	r.parentStates = kept
}

func (r *Rollout) setTargets(now time.Time, targets []Target) {
	wanted := make(map[targetKey]*targetState, len(targets))
	for _, next := range targets {
		key := targetKey{pool: next.Pool, model: next.Model}
		current := r.targets[key]
		if current == nil || next.Version > current.Version {
			current = &targetState{Target: next, since: now}
		}
		wanted[key] = current
	}
	r.targets = wanted
}

func (r *Rollout) loadReported(now time.Time, event LoadReported) {
	for _, state := range []*engineState{r.engines[event.ID], r.parentStates[event.ID]} {
		if state != nil && state.polling {
			r.applyReport(now, state, event)
		}
	}
}

// applyReport replaces the known state, except for models whose state an order's result changed after the report may have
// been built.
func (r *Rollout) applyReport(now time.Time, state *engineState, event LoadReported) {
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

// confirms reports whether a load report shows at least the versions that are known from the results of orders.
func confirms(reported, known *modelState) bool {
	return reported != nil && reported.serving >= known.serving && highest(reported.loaded) >= highest(known.loaded)
}

func highest(versions []identifier.WeightVersion) identifier.WeightVersion {
	if len(versions) == 0 {
		return 0
	}
	return slices.Max(versions)
}

func (r *Rollout) orderFinished(now time.Time, event OrderFinished) {
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
	// Jitter keeps engines that failed at the same time from retrying at the same time.
	return pause/2 + time.Duration(r.config.Rand.Int64N(int64(pause)))/2
}

func (r *Rollout) releaseSource(state *engineState) {
	if state.source != nil {
		state.source.children--
	}
	state.source = nil
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
