package updater

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// parentCandidates is how many engines of the parent shard a head may load from.
const parentCandidates = 3

// divide assigns the engines to shards. In each pool and region the shards form a tree: the head of each shard, which is its
// first engine there, loads from the first engines of the parent shard, and the head of the root from the weight store.
func divide(engines []Engine, shards int) []TopologyChanged {
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(hashOf(a.ID), hashOf(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	topologies := make([]TopologyChanged, shards)
	for i := range topologies {
		topologies[i].Parents = make(map[PoolRegion][]connector.Upstream)
		topologies[i].Children = make(map[PoolRegion]int)
	}
	// heads holds, for each pool and region, the first engines of each shard that has engines there.
	heads := make(map[PoolRegion]map[int][]connector.Upstream)
	for _, engine := range engines {
		shard := shardOf(engine.ID, shards)
		topologies[shard].Engines = append(topologies[shard].Engines, engine)
		poolRegion := PoolRegion{Pool: engine.Pool, Region: engine.Region}
		if heads[poolRegion] == nil {
			heads[poolRegion] = make(map[int][]connector.Upstream)
		}
		if len(heads[poolRegion][shard]) < parentCandidates && !engine.Leaving {
			heads[poolRegion][shard] = append(heads[poolRegion][shard], engine.Upstream)
		}
	}
	for poolRegion, byShard := range heads {
		linkParents(topologies, poolRegion, byShard)
	}
	return topologies
}

func linkParents(topologies []TopologyChanged, poolRegion PoolRegion, byShard map[int][]connector.Upstream) {
	present := make([]int, 0, len(byShard))
	for shard := range topologies {
		if len(byShard[shard]) > 0 {
			present = append(present, shard)
		}
	}
	for i, shard := range present {
		if i > 0 {
			parent := present[(i-1)/headFanOut]
			topologies[shard].Parents[poolRegion] = byShard[parent]
			topologies[parent].Children[poolRegion]++
		}
	}
}

func hashOf(id identifier.UpstreamID) uint64 { return xxhash.Sum64String(string(id)) }

func shardOf(id identifier.UpstreamID, shards int) int { return int(hashOf(id) % uint64(shards)) }

// enginesOf lists the engines of all engine pools of the catalogue.
func enginesOf(catalogue *codec.Catalogue, upstreams connector.Upstreams) []Engine {
	var engines []Engine
	for _, pool := range catalogue.Pools {
		if pool.Kind != codec.PoolKindEngine {
			continue
		}
		for _, upstream := range upstreams.Pool(pool.Name) {
			engines = append(engines, Engine{Upstream: upstream, Pool: pool.Name, ChecksFencing: pool.ChecksFencing})
		}
	}
	return engines
}

// targetsOf derives the targets from the announced versions; among trainers that share a model the highest version counts.
func targetsOf(catalogue *codec.Catalogue, versions func(identifier.EntryName) identifier.WeightVersion) []Target {
	models := make(map[identifier.EntryName]*codec.ModelSpec)
	for _, entry := range catalogue.Entries {
		if entry.Model != nil {
			models[entry.Name] = entry.Model
		}
	}
	highestOf := make(map[targetKey]Target)
	for _, entry := range catalogue.Entries {
		if entry.Trainer == nil || models[entry.Trainer.ModelEntry] == nil {
			continue
		}
		model := models[entry.Trainer.ModelEntry]
		next := Target{Pool: model.Pool, Model: model.Model, Adapter: model.Adapter, Version: versions(entry.Name)}
		key := targetKey{pool: next.Pool, model: next.Model}
		if next.Version > highestOf[key].Version {
			highestOf[key] = next
		}
	}
	targets := make([]Target, 0, len(highestOf))
	for _, next := range highestOf {
		targets = append(targets, next)
	}
	return targets
}

func leaseKey(shard int) string { return fmt.Sprintf("leases/orders/%d", shard) }
