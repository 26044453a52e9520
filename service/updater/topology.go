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

// parentCandidates is how many engines of a parent shard a head may load from.
const parentCandidates = 3

// divide assigns the engines to shards. In each pool and region the shards form a tree in which each shard's first
// engine loads from the first engines of its parent; the root loads from the weight store.
func divide(engines []Engine, shards int) []TopologyChanged {
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(hashOf(a.ID), hashOf(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	topologies := make([]TopologyChanged, shards)
	for i := range topologies {
		topologies[i].Parents = make(map[Place][]connector.Upstream)
		topologies[i].Children = make(map[Place]int)
	}
	// heads holds, for each place, the first engines of the shards that have engines there.
	heads := make(map[Place]map[int][]connector.Upstream)
	for _, engine := range engines {
		shard := shardOf(engine.ID, shards)
		topologies[shard].Engines = append(topologies[shard].Engines, engine)
		place := Place{Pool: engine.Pool, Region: engine.Region}
		if heads[place] == nil {
			heads[place] = make(map[int][]connector.Upstream)
		}
		if len(heads[place][shard]) < parentCandidates && !engine.Leaving {
			heads[place][shard] = append(heads[place][shard], engine.Upstream)
		}
	}
	for place, byShard := range heads {
		linkParents(topologies, place, byShard)
	}
	return topologies
}

func linkParents(topologies []TopologyChanged, place Place, byShard map[int][]connector.Upstream) {
	present := make([]int, 0, len(byShard))
	for shard := range topologies {
		if len(byShard[shard]) > 0 {
			present = append(present, shard)
		}
	}
	for i, shard := range present {
		if i > 0 {
			parent := present[(i-1)/headFanOut]
			topologies[shard].Parents[place] = byShard[parent]
			topologies[parent].Children[place]++
		}
	}
}

func hashOf(id identifier.UpstreamID) uint64 { return xxhash.Sum64String(string(id)) }

func shardOf(id identifier.UpstreamID, shards int) int { return int(hashOf(id) % uint64(shards)) }

// enginesOf lists the engines of all pools that the catalogue's model entries name.
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

// targetsOf derives the targets from the announced versions; of trainers that share a model the highest counts.
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
