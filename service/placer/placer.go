package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// maxLoadingFraction is the largest fraction of a pool's engines that load at the same time; with more, each load
	// takes longer.
	maxLoadingFraction = 0.2
	// minLoadingLimit is the number of engines of a pool that may load at the same time however small the pool is.
	minLoadingLimit = 2
	// failureBackoff is the time after a failed order in which the engine gets no other one.
	failureBackoff = time.Second
	// loadTimeout is how long a load counts as in progress when the engine's list entry does not show its end.
	loadTimeout = 6 * time.Second
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// EnginesChanged replaces the usable engines of all pools. Leaving engines are ignored.
type EnginesChanged struct {
	Engines map[identifier.PoolName][]codec.ListedHost
}

// PoolsChanged replaces the models of each pool.
type PoolsChanged struct {
	Pools []codec.Pool
	// FinishRuns holds the models whose running requests must end under the version with which they began.
	FinishRuns map[identifier.ModelName]bool
}

// VersionAnnounced reports a version of a model; engines are ordered to load the newest one announced.
type VersionAnnounced struct {
	Model   identifier.ModelName
	Version identifier.WeightVersion
}

// OrderEnded reports that the order to an engine has ended. Version is the one that the engine serves, or zero if that is
// not known.
type OrderEnded struct {
	Engine  identifier.UpstreamID
	Model   identifier.ModelName
	Version identifier.WeightVersion
	Failed  bool
}

// VersionsListed reports that all versions announced so far have been passed in; no load is ordered before it.
type VersionsListed struct{}

// LeaseAcquired reports that this host may send orders from now on. Another holder may have changed the assignment of
// engines to models meanwhile, so it is inferred again from the engines' weights.
type LeaseAcquired struct{}

// Tick advances the time of the state machine and is the only event that returns loads.
type Tick struct{}

func (VersionsListed) isEvent()   {}
func (LeaseAcquired) isEvent()    {}
func (EnginesChanged) isEvent()   {}
func (PoolsChanged) isEvent()     {}
func (VersionAnnounced) isEvent() {}
func (OrderEnded) isEvent()       {}
func (Tick) isEvent()             {}

// Load is the command to order an engine to load and serve a version. FinishRuns makes the engine's running requests end
// under the version with which they began.
type Load struct {
	Engine     codec.ListedHost
	Model      identifier.ModelName
	Version    identifier.WeightVersion
	FinishRuns bool
}

// Placer is the state machine that assigns engines to models and decides when they load; it is not safe for concurrent
// use.
type Placer struct {
	pools          map[identifier.PoolName]*pool
	newest         map[identifier.ModelName]identifier.WeightVersion
	engines        map[identifier.UpstreamID]*engine
	finishRuns     map[identifier.ModelName]bool
	versionsListed bool
	// moves holds the moves that TakeMoves has not returned yet.
	moves []Move
}

type pool struct {
	models []identifier.ModelName
	// division divides the engines by demand; nil without one.
	division *division
	// engines is sorted by zone and id, so that assigning them to the models in turn spreads each model over the zones.
	engines []*engine
}

type engine struct {
	host codec.ListedHost
	// model is the model to which the engine is assigned, or empty.
	model identifier.ModelName
	// seenVersions holds the versions shown by ended orders; the engine's list entry may not show them yet.
	seenVersions map[identifier.ModelName]identifier.WeightVersion
	loading      bool
	loadingSince time.Time
	backoffUntil time.Time
	// movedAt is when the engine was moved to its model because of the demand.
	movedAt time.Time
}

// New returns a placer that knows no engines.
func New() *Placer {
	return &Placer{
		pools: make(map[identifier.PoolName]*pool), newest: make(map[identifier.ModelName]identifier.WeightVersion),
		engines: make(map[identifier.UpstreamID]*engine), finishRuns: make(map[identifier.ModelName]bool),
	}
}

// Handle applies one event; only Tick returns loads.
func (p *Placer) Handle(now time.Time, event Event) []Load {
	switch e := event.(type) {
	case EnginesChanged:
		p.replaceEngines(e)
	case PoolsChanged:
		p.replacePools(e)
	case VersionAnnounced:
		p.newest[e.Model] = max(p.newest[e.Model], e.Version)
	case OrderEnded:
		p.endOrder(now, e)
	case DemandStated:
		p.stateDemand(now, e)
	case VersionsListed:
		p.versionsListed = true
	case LeaseAcquired:
		for _, e := range p.engines {
			e.model = ""
		}
	case Tick:
		return p.plan(now)
	}
	return nil
}

// plan assigns the engines and returns the loads to order. It returns none until the announced versions are listed: until
// then no engine seems to be behind, so the models that engines serve can't be inferred from their weights.
func (p *Placer) plan(now time.Time) []Load {
	if !p.versionsListed {
		return nil
	}
	var loads []Load
	for _, pl := range p.pools {
		if pl.byDemand(now) {
			p.assignByDemand(now, pl)
		} else {
			p.assign(pl)
		}
		loads = append(loads, p.startLoads(now, pl)...)
	}
	return loads
}

func (p *Placer) replacePools(e PoolsChanged) {
	p.finishRuns = e.FinishRuns
	next := make(map[identifier.PoolName]*pool)
	for _, spec := range e.Pools {
		if len(spec.Models) == 0 {
			continue
		}
		pl, ok := p.pools[spec.Name]
		if !ok {
			pl = &pool{}
		}
		pl.models = spec.Models
		next[spec.Name] = pl
	}
	p.pools = next
	p.sortEngines()
}

func (p *Placer) replaceEngines(e EnginesChanged) {
	next := make(map[identifier.UpstreamID]*engine)
	for _, hosts := range e.Engines {
		for _, host := range hosts {
			if host.State == codec.HostStateLeaving {
				continue
			}
			known, ok := p.engines[host.ID]
			if !ok || known.host.Address != host.Address || !known.host.StartedAt.Equal(host.StartedAt) {
				known = &engine{seenVersions: make(map[identifier.ModelName]identifier.WeightVersion)}
			}
			known.host = host
			next[host.ID] = known
		}
	}
	p.engines = next
	p.sortEngines()
}

// sortEngines rebuilds the sorted engines of each pool.
func (p *Placer) sortEngines() {
	for _, pl := range p.pools {
		pl.engines = nil
	}
	for _, e := range p.engines {
		if pl, ok := p.pools[e.host.Pool]; ok {
			pl.engines = append(pl.engines, e)
		}
	}
	for _, pl := range p.pools {
		slices.SortFunc(pl.engines, func(x, y *engine) int {
			return cmp.Or(cmp.Compare(x.host.Zone, y.host.Zone), cmp.Compare(x.host.ID, y.host.ID))
		})
	}
}

// assign divides the engines of a pool equally among its models. An engine keeps its model; one without a model gets the
// one of which it has the newest weights, because an earlier holder of the lease assigned it that model.
func (p *Placer) assign(pl *pool) {
	counts := pl.counts()
	maxPerModel := (len(pl.engines) + len(pl.models) - 1) / len(pl.models)
	minPerModel := len(pl.engines) / len(pl.models)
	for i, e := range pl.engines {
		if e.model == "" {
			e.model = p.pickModel(pl, e, i, counts, maxPerModel)
			counts[e.model]++
		}
	}
	p.balance(pl, counts, minPerModel)
}

// pickModel returns the model for an engine: the one of which it has the newest weights if that model has fewer than
// maxPerModel engines, otherwise the one with the fewest engines.
func (p *Placer) pickModel(pl *pool, e *engine, index int, counts map[identifier.ModelName]int, maxPerModel int) identifier.ModelName {
	if own, ok := p.leastBehind(pl, e); ok && counts[own] < maxPerModel {
		return own
	}
	start := index % len(pl.models)
	best := pl.models[start]
	for i := range pl.models {
		if candidate := pl.models[(start+i)%len(pl.models)]; counts[candidate] < counts[best] {
			best = candidate
		}
	}
	return best
}

// leastBehind returns the model whose weights on the engine are the fewest versions behind; it returns false when several
// models tie.
func (p *Placer) leastBehind(pl *pool, e *engine) (identifier.ModelName, bool) {
	var best identifier.ModelName
	var bestLag identifier.WeightVersion
	unique := false
	for _, model := range pl.models {
		lag := p.lag(e, model)
		switch {
		case best == "" || lag < bestLag:
			best, bestLag, unique = model, lag, true
		case lag == bestLag:
			unique = false
		}
	}
	return best, unique
}

// balance reassigns engines from the models with the most engines to those with fewer than minPerModel.
func (p *Placer) balance(pl *pool, counts map[identifier.ModelName]int, minPerModel int) {
	for _, model := range pl.models {
		for counts[model] < minPerModel {
			donor := slices.MaxFunc(pl.models, func(x, y identifier.ModelName) int { return cmp.Compare(counts[x], counts[y]) })
			i := slices.IndexFunc(pl.engines, func(e *engine) bool { return e.model == donor && !e.loading })
			if i < 0 || counts[donor] <= minPerModel {
				return
			}
			pl.engines[i].model = model
			counts[donor]--
			counts[model]++
		}
	}
}

// lag returns how many versions an engine is behind the newest one of a model.
func (p *Placer) lag(e *engine, model identifier.ModelName) identifier.WeightVersion {
	return max(0, p.newest[model]-e.version(model))
}

// version returns the version of a model that the engine serves, as far as this host knows.
func (e *engine) version(model identifier.ModelName) identifier.WeightVersion {
	version := e.seenVersions[model]
	for _, state := range e.host.Models {
		if state.Model == model {
			version = max(version, state.Serving)
		}
	}
	return version
}

// startLoads marks engines as loading and returns their loads, those that are most versions behind first. An engine that
// is one version behind can still serve the model's next step, so it does not start to load while half of the model's
// engines, or one if there are fewer than four, are loading. Engines that are further behind can't serve that step, so only
// the limit of the pool holds for them.
func (p *Placer) startLoads(now time.Time, pl *pool) []Load {
	loading := make(map[identifier.ModelName]int)
	total := 0
	assigned := make(map[identifier.ModelName]int)
	for _, e := range pl.engines {
		if e.loading && (now.Sub(e.loadingSince) > loadTimeout || p.lag(e, e.model) == 0) {
			e.loading = false
		}
		assigned[e.model]++
		if e.loading {
			loading[e.model]++
			total++
		}
	}
	limit := max(minLoadingLimit, int(math.Round(maxLoadingFraction*float64(len(pl.engines)))))
	candidates := slices.Clone(pl.engines)
	slices.SortStableFunc(candidates, func(x, y *engine) int { return cmp.Compare(p.lag(y, y.model), p.lag(x, x.model)) })
	var loads []Load
	for _, e := range candidates {
		lag := p.lag(e, e.model)
		if total >= limit || lag == 0 {
			break
		}
		if e.loading || now.Before(e.backoffUntil) || lag == 1 && loading[e.model] >= max(1, assigned[e.model]/2) {
			continue
		}
		e.loading = true
		e.loadingSince = now
		loading[e.model]++
		total++
		loads = append(loads, Load{Engine: e.host, Model: e.model, Version: p.newest[e.model], FinishRuns: p.finishRuns[e.model]})
	}
	return loads
}

func (p *Placer) endOrder(now time.Time, event OrderEnded) {
	e, ok := p.engines[event.Engine]
	if !ok {
		return
	}
	e.loading = false
	e.seenVersions[event.Model] = max(e.seenVersions[event.Model], event.Version)
	if event.Failed {
		e.backoffUntil = now.Add(failureBackoff)
	}
}
