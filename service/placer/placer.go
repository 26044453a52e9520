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
	// loadingPart is the part of a pool's engines that load at the same time; beyond it each load takes longer.
	loadingPart = 0.2
	// leastLoading is the least number of engines that may load at the same time.
	leastLoading = 2
	// failurePause keeps an engine from being ordered again right after an order that failed.
	failurePause = time.Second
	// loadLimit is how long a load counts as in progress when the engine's entry does not show its end.
	loadLimit = 6 * time.Second
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// EnginesChanged replaces the usable engines of all pools.
type EnginesChanged struct {
	Engines map[identifier.PoolName][]codec.ListedHost
}

// PoolsChanged replaces the models of each pool.
type PoolsChanged struct {
	Pools []codec.Pool
	// FinishRuns holds the models whose texts must be made by a single version.
	FinishRuns map[identifier.ModelName]bool
}

// VersionNamed notes the newest version of a model.
type VersionNamed struct {
	Model   identifier.ModelName
	Version identifier.WeightVersion
}

// OrderEnded tells that the order to an engine is over; Version is the one that the engine serves, or zero.
type OrderEnded struct {
	Engine  identifier.UpstreamID
	Model   identifier.ModelName
	Version identifier.WeightVersion
	Failed  bool
}

// VersionsListed tells that all versions named so far are known.
type VersionsListed struct{}

// LeaseTaken tells that this host begins to give orders. What it believed of the placement before may be outdated, so it
// is inferred anew from the engines' weights.
type LeaseTaken struct{}

// Tick advances the time of the state machine; orders may be given.
type Tick struct{}

func (VersionsListed) isEvent() {}
func (LeaseTaken) isEvent()     {}
func (EnginesChanged) isEvent() {}
func (PoolsChanged) isEvent()   {}
func (VersionNamed) isEvent()   {}
func (OrderEnded) isEvent()     {}
func (Tick) isEvent()           {}

// Load is the command to make an engine serve a version.
type Load struct {
	Engine     codec.ListedHost
	Model      identifier.ModelName
	Version    identifier.WeightVersion
	FinishRuns bool
}

// Placer decides about placement and loads; it is not safe for concurrent use.
type Placer struct {
	pools   map[identifier.PoolName]*pool
	named   map[identifier.ModelName]identifier.WeightVersion
	engines map[identifier.UpstreamID]*engine
	finish  map[identifier.ModelName]bool
	listed  bool
}

type pool struct {
	models []identifier.ModelName
	// order holds the engines by zone and id, so that dealing them to the models in turn spreads each model over the
	// zones.
	order []*engine
}

type engine struct {
	host codec.ListedHost
	// model is the model that the engine serves; empty until it is assigned.
	model identifier.ModelName
	// seen holds versions that are newer than the engine's entry.
	seen    map[identifier.ModelName]identifier.WeightVersion
	loading bool
	since   time.Time
	notTill time.Time
}

// New returns a placer that knows no engines.
func New() *Placer {
	return &Placer{
		pools: make(map[identifier.PoolName]*pool), named: make(map[identifier.ModelName]identifier.WeightVersion),
		engines: make(map[identifier.UpstreamID]*engine), finish: make(map[identifier.ModelName]bool),
	}
}

// Handle processes one event; only Tick returns loads to order.
func (p *Placer) Handle(now time.Time, event Event) []Load {
	switch e := event.(type) {
	case EnginesChanged:
		p.replaceEngines(e)
	case PoolsChanged:
		p.replacePools(e)
	case VersionNamed:
		p.named[e.Model] = max(p.named[e.Model], e.Version)
	case OrderEnded:
		p.endOrder(now, e)
	case VersionsListed:
		p.listed = true
	case LeaseTaken:
		for _, e := range p.engines {
			e.model = ""
		}
	case Tick:
		return p.review(now)
	}
	return nil
}

// review assigns the engines and returns the loads to order; it waits for the named versions, because before them no
// engine seems to be behind.
func (p *Placer) review(now time.Time) []Load {
	if !p.listed {
		return nil
	}
	var loads []Load
	for _, pl := range p.pools {
		p.assign(pl)
		loads = append(loads, p.load(now, pl)...)
	}
	return loads
}

func (p *Placer) replacePools(e PoolsChanged) {
	p.finish = e.FinishRuns
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
	p.orderEngines()
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
				known = &engine{seen: make(map[identifier.ModelName]identifier.WeightVersion)}
			}
			known.host = host
			next[host.ID] = known
		}
	}
	p.engines = next
	p.orderEngines()
}

func (p *Placer) orderEngines() {
	for _, pl := range p.pools {
		pl.order = nil
	}
	for _, e := range p.engines {
		if pl, ok := p.pools[e.host.Pool]; ok {
			pl.order = append(pl.order, e)
		}
	}
	for _, pl := range p.pools {
		slices.SortFunc(pl.order, func(x, y *engine) int {
			return cmp.Or(cmp.Compare(x.host.Zone, y.host.Zone), cmp.Compare(x.host.ID, y.host.ID))
		})
	}
}

// assign divides the engines of a pool among its models in equal parts. An engine keeps its model; one without takes the
// model of which it has the newest weights, which is what an earlier holder of the lease gave it.
func (p *Placer) assign(pl *pool) {
	counts := make(map[identifier.ModelName]int, len(pl.models))
	for _, e := range pl.order {
		if !slices.Contains(pl.models, e.model) {
			e.model = ""
		}
		if e.model != "" {
			counts[e.model]++
		}
	}
	most := (len(pl.order) + len(pl.models) - 1) / len(pl.models)
	least := len(pl.order) / len(pl.models)
	for i, e := range pl.order {
		if e.model == "" {
			e.model = p.pick(pl, e, i, counts, most)
			counts[e.model]++
		}
	}
	p.balance(pl, counts, least)
}

// pick returns the model for an engine: the one with its newest weights if that model has room, else the one that
// lacks most.
func (p *Placer) pick(pl *pool, e *engine, index int, counts map[identifier.ModelName]int, most int) identifier.ModelName {
	if own, ok := p.freshest(pl, e); ok && counts[own] < most {
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

// freshest returns the model whose weights on the engine are the least behind, if there is only one.
func (p *Placer) freshest(pl *pool, e *engine) (identifier.ModelName, bool) {
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

// balance gives engines of the models with most to those with fewer than their part.
func (p *Placer) balance(pl *pool, counts map[identifier.ModelName]int, least int) {
	for _, model := range pl.models {
		for counts[model] < least {
			donor := slices.MaxFunc(pl.models, func(x, y identifier.ModelName) int { return cmp.Compare(counts[x], counts[y]) })
			i := slices.IndexFunc(pl.order, func(e *engine) bool { return e.model == donor && !e.loading })
			if i < 0 || counts[donor] <= least {
				return
			}
			pl.order[i].model = model
			counts[donor]--
			counts[model]++
		}
	}
}

// lag is how many versions an engine is behind the newest one of a model.
func (p *Placer) lag(e *engine, model identifier.ModelName) identifier.WeightVersion {
	return max(0, p.named[model]-e.version(model))
}

func (e *engine) version(model identifier.ModelName) identifier.WeightVersion {
	version := e.seen[model]
	for _, state := range e.host.Models {
		if state.Model == model {
			version = max(version, state.Serving)
		}
	}
	return version
}

// load orders the engines that are most behind first, and never all engines of a model at once unless none can serve
// its next step anyway.
func (p *Placer) load(now time.Time, pl *pool) []Load {
	loading := make(map[identifier.ModelName]int)
	total := 0
	assigned := make(map[identifier.ModelName]int)
	for _, e := range pl.order {
		if e.loading && (now.Sub(e.since) > loadLimit || p.lag(e, e.model) == 0) {
			e.loading = false
		}
		assigned[e.model]++
		if e.loading {
			loading[e.model]++
			total++
		}
	}
	limit := max(leastLoading, int(math.Round(loadingPart*float64(len(pl.order)))))
	behind := slices.Clone(pl.order)
	slices.SortStableFunc(behind, func(x, y *engine) int { return cmp.Compare(p.lag(y, y.model), p.lag(x, x.model)) })
	var loads []Load
	for _, e := range behind {
		lag := p.lag(e, e.model)
		if total >= limit || lag == 0 {
			break
		}
		if e.loading || now.Before(e.notTill) || lag == 1 && loading[e.model] >= max(1, assigned[e.model]/2) {
			continue
		}
		e.loading = true
		e.since = now
		loading[e.model]++
		total++
		loads = append(loads, Load{Engine: e.host, Model: e.model, Version: p.named[e.model], FinishRuns: p.finish[e.model]})
	}
	return loads
}

func (p *Placer) endOrder(now time.Time, event OrderEnded) {
	e, ok := p.engines[event.Engine]
	if !ok {
		return
	}
	e.loading = false
	e.seen[event.Model] = max(e.seen[event.Model], event.Version)
	if event.Failed {
		e.notTill = now.Add(failurePause)
	}
}
