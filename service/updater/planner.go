package updater

import (
	"slices"
	"strconv"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// sourceSet holds the engines of one pool and region from which others there can load a target.
type sourceSet struct {
	// sources is sorted by the number of children; the engines before next have no capacity left.
	sources []*engineState
	next    int
	// loading is set while an engine of the pool and region is loading the target.
	loading bool
}

type sourceKey struct {
	poolRegion PoolRegion
	model      identifier.ModelName
}

// plan sends the next order to each engine that needs one and requests the load reports on which orders depend.
func (r *Rollout) plan(now time.Time) {
	sourceSets := r.sourceSets()
	// The engines are planned in reverse order: the first ones reserve capacity for other shards, so as sources they
	// would serve fewer engines of this shard.
	for _, state := range slices.Backward(r.engineList) {
		r.planPoll(now, state)
		if !state.known || state.order != nil || state.engine.Leaving {
			continue
		}
		if now.Before(state.notBefore) {
			r.wakeBy(state.notBefore)
			continue
		}
		r.planEngine(now, state, sourceSets)
	}
	r.planFirstLoads(now)
}

func (r *Rollout) planPoll(now time.Time, state *engineState) {
	if state.polling {
		return
	}
	if now.Before(state.pollAt) {
		r.wakeBy(state.pollAt)
		return
	}
	r.poll(now, state)
}

func (r *Rollout) poll(now time.Time, state *engineState) {
	state.polling = true
	state.polledAt = now
	r.commands = append(r.commands, PollLoad{Upstream: state.engine.Upstream})
}

// sourceSets collects the engines that hold each target, those with the fewest children first.
func (r *Rollout) sourceSets() map[sourceKey]*sourceSet {
	sourceSets := make(map[sourceKey]*sourceSet)
	for _, state := range r.engineList {
		for key, target := range r.targets {
			if key.pool != state.engine.Pool {
				continue
			}
			id := sourceKey{poolRegion: poolRegionOf(state), model: key.model}
			s := sourceSets[id]
			if s == nil {
				s = &sourceSet{}
				sourceSets[id] = s
			}
			if state.holds(target.Target) && !state.engine.Leaving {
				s.sources = append(s.sources, state)
			}
			s.loading = s.loading || state.loads(target.Target)
		}
	}
	for _, s := range sourceSets {
		slices.SortStableFunc(s.sources, func(a, b *engineState) int { return a.children - b.children })
	}
	return sourceSets
}

func poolRegionOf(state *engineState) PoolRegion {
	return PoolRegion{Pool: state.engine.Pool, Region: state.engine.Region}
}

func (e *engineState) holds(target Target) bool {
	model := e.models[target.Model]
	return model != nil && slices.Contains(model.loaded, target.Version)
}

func (e *engineState) loads(target Target) bool {
	if e.order == nil || e.order.Model != target.Model || e.order.Version != target.Version {
		return false
	}
	return e.order.Kind == codec.OrderKindLoad || e.order.Kind == codec.OrderKindLoadAdapter
}

func (r *Rollout) planEngine(now time.Time, state *engineState, sourceSets map[sourceKey]*sourceSet) {
	for key, target := range r.targets {
		if key.pool != state.engine.Pool || state.order != nil {
			continue
		}
		set := sourceSets[sourceKey{poolRegion: poolRegionOf(state), model: key.model}]
		model := state.models[key.model]
		if model == nil {
			model = &modelState{}
		}
		switch {
		case model.serving >= target.Version:
			r.planUnload(now, state, target, model)
		case slices.Contains(model.loaded, target.Version):
			r.send(now, state, target, codec.OrderKindServe, target.Version, "")
		case highest(model.loaded) > target.Version:
			// A newer version is already loaded. This host will learn of its announcement, so it orders nothing until then.
		default:
			r.planLoad(now, state, target, set)
		}
	}
}

func (r *Rollout) planLoad(now time.Time, state *engineState, target *targetState, set *sourceSet) {
	kind := codec.OrderKindLoad
	if target.Adapter != "" {
		kind = codec.OrderKindLoadAdapter
	}
	if state.failures >= storeAfterFailures {
		r.send(now, state, target, kind, target.Version, "")
		return
	}
	if source := r.takeSource(set); source != nil {
		source.children++
		state.source = source
		r.send(now, state, target, kind, target.Version, source.engine.Address)
		return
	}
	if len(set.sources) == 0 && !set.loading {
		r.firstLoads = append(r.firstLoads, firstLoad{state: state, target: target, kind: kind, set: set})
	}
}

// firstLoad is an engine that may be the first of its pool and region in this shard to load a version.
type firstLoad struct {
	state  *engineState
	target *targetState
	kind   codec.OrderKind
	set    *sourceSet
}

// planFirstLoads starts the first load of each pool and region on its first usable engine, from which other shards may load.
// The candidates are in reverse order of the engine list.
func (r *Rollout) planFirstLoads(now time.Time) {
	for _, f := range slices.Backward(r.firstLoads) {
		if f.set.loading || f.state.order != nil {
			continue
		}
		if address, ok := r.headSource(now, f.state, f.target); ok {
			f.set.loading = true
			r.send(now, f.state, f.target, f.kind, f.target.Version, address)
		}
	}
	r.firstLoads = r.firstLoads[:0]
}

// takeSource returns a source that has capacity for another child, or nil.
func (r *Rollout) takeSource(set *sourceSet) *engineState {
	for ; set.next < len(set.sources); set.next++ {
		source := set.sources[set.next]
		if source.children+r.reserved[source.engine.ID] < r.config.MaxChildren {
			return source
		}
	}
	return nil
}

// headSource returns the address from which the first engine of a pool and region loads: an engine of the parent shard,
// or empty for the weight store if there is no parent shard or its engines have not loaded the version within SourceWait.
// It returns false while the engine has to wait for the parent shard.
func (r *Rollout) headSource(now time.Time, state *engineState, target *targetState) (address string, ok bool) {
	parents := r.parents[poolRegionOf(state)]
	if len(parents) == 0 {
		return "", true
	}
	for _, parent := range parents {
		if parentState := r.parentStates[parent.ID]; parentState != nil && parentState.holds(target.Target) {
			return parent.Address, true
		}
	}
	if now.Sub(target.since) >= r.config.SourceWait {
		return "", true
	}
	for _, parent := range parents {
		r.pollParent(now, r.parentStates[parent.ID])
	}
	return "", false
}

func (r *Rollout) pollParent(now time.Time, state *engineState) {
	if state == nil || state.polling {
		return
	}
	if due := state.polledAt.Add(r.config.FastPoll); now.Before(due) {
		r.wakeBy(due)
		return
	}
	r.poll(now, state)
}

// planUnload unloads the oldest version that is no longer needed. Engines that do not check fencing tokens get no unload
// near the end of the lease, since a late one could interfere with the orders of the next holder.
func (r *Rollout) planUnload(now time.Time, state *engineState, target *targetState, model *modelState) {
	if !model.verified || len(model.loaded) <= keptVersions {
		return
	}
	if !state.engine.ChecksFencing && !r.grant.Valid(now.Add(r.config.MaxOrderDelay)) {
		return
	}
	oldest := slices.Min(model.loaded)
	if oldest < model.serving {
		r.send(now, state, target, codec.OrderKindUnload, oldest, "")
	}
}

func (r *Rollout) send(now time.Time, state *engineState, target *targetState, kind codec.OrderKind, version identifier.WeightVersion, source string) {
	r.sequence++
	order := codec.Order{
		OrderID:   strconv.FormatInt(int64(r.grant.Fencing), 10) + "-" + strconv.FormatInt(r.sequence, 10),
		Kind:      kind,
		Model:     target.Model,
		Adapter:   target.Adapter,
		Version:   version,
		Fencing:   r.grant.Fencing,
		ExpiresAt: now.Add(r.config.MaxOrderDelay).Round(0).UTC(),
		Source:    source,
	}
	state.order = &order
	r.commands = append(r.commands, SendOrder{Engine: state.engine, Order: order, Grant: r.grant})
}
