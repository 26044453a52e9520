package updater

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// Engine is an engine of the shard.
type Engine struct {
	connector.Upstream
	Pool identifier.PoolName
	// ChecksFencing is set if the engine refuses orders with an outdated fencing token.
	ChecksFencing bool
}

// Target is a version that all engines of a pool should serve.
type Target struct {
	Pool    identifier.PoolName
	Model   identifier.ModelName
	Adapter string
	Version identifier.WeightVersion
}

// RolloutEvent is an input of a Rollout.
type RolloutEvent interface{ isRolloutEvent() }

// TopologyChanged replaces the engines of the shard, in a fixed order.
type TopologyChanged struct {
	Engines []Engine
	// Parents holds, for each pool and region, the engines of the parent shard from which this shard's head loads. The
	// head of a pool and region without parents loads from the weight store.
	Parents map[PoolRegion][]connector.Upstream
	// Children holds how many other shards load from the first parentCandidates engines of a pool and region.
	Children map[PoolRegion]int
}

// PoolRegion identifies the part of a pool that is in one region.
type PoolRegion struct {
	Pool   identifier.PoolName
	Region identifier.Region
}

// TargetsSet replaces the targets; a lower version of a known model is ignored.
type TargetsSet struct{ Targets []Target }

// LoadReported is the result of PollLoad.
type LoadReported struct {
	ID identifier.UpstreamID
	// Failed is set if no load report was received.
	Failed bool
	Models []codec.ModelState
}

// OrderFinished is the result of SendOrder.
type OrderFinished struct {
	ID     identifier.UpstreamID
	Order  codec.Order
	Status codec.OrderStatus
	// Unsent is set if the grant ended before the order was sent.
	Unsent bool
}

// GrantChanged replaces the grant under which orders are sent.
type GrantChanged struct{ Grant Grant }

// RolloutTimerFired is the event that SetRolloutTimer requested.
type RolloutTimerFired struct{}

func (TopologyChanged) isRolloutEvent()   {}
func (TargetsSet) isRolloutEvent()        {}
func (LoadReported) isRolloutEvent()      {}
func (OrderFinished) isRolloutEvent()     {}
func (GrantChanged) isRolloutEvent()      {}
func (RolloutTimerFired) isRolloutEvent() {}

// RolloutCommand is an output of a Rollout.
type RolloutCommand interface{ isRolloutCommand() }

// SendOrder sends an order if the grant is still valid immediately before the call.
type SendOrder struct {
	Engine Engine
	Order  codec.Order
	Grant  Grant
}

// PollLoad requests the load report of an engine.
type PollLoad struct{ Upstream connector.Upstream }

// SetRolloutTimer requests a RolloutTimerFired at a time; a later SetRolloutTimer replaces it.
type SetRolloutTimer struct{ At time.Time }

func (SendOrder) isRolloutCommand()       {}
func (PollLoad) isRolloutCommand()        {}
func (SetRolloutTimer) isRolloutCommand() {}
