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
	// ChecksFencing tells that the engine refuses orders with an old fencing number.
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
	// Parents holds, for each pool and region, the engines of other shards from which the shard's head loads. A pool
	// and region without parents loads from the weight store.
	Parents map[Place][]connector.Upstream
	// Children holds how many other shards load from the first parentCandidates engines of a pool and region.
	Children map[Place]int
}

// Place is the part of a pool in one region.
type Place struct {
	Pool   identifier.PoolName
	Region identifier.Region
}

// TargetsSet replaces the targets; a lower version of a known model is ignored.
type TargetsSet struct{ Targets []Target }

// Reported is the result of PollLoad.
type Reported struct {
	ID identifier.UpstreamID
	// Failed tells that no report came.
	Failed bool
	Models []codec.ModelState
}

// Ordered is the result of SendOrder.
type Ordered struct {
	ID     identifier.UpstreamID
	Order  codec.Order
	Status codec.OrderStatus
	// Unsent tells that the lease ended before the order was sent.
	Unsent bool
}

// GrantChanged tells the current right to send orders.
type GrantChanged struct{ Grant Grant }

// RolloutTimerFired is the event that SetRolloutTimer requested.
type RolloutTimerFired struct{}

func (TopologyChanged) isRolloutEvent()   {}
func (TargetsSet) isRolloutEvent()        {}
func (Reported) isRolloutEvent()          {}
func (Ordered) isRolloutEvent()           {}
func (GrantChanged) isRolloutEvent()      {}
func (RolloutTimerFired) isRolloutEvent() {}

// RolloutCommand is an output of a Rollout.
type RolloutCommand interface{ isRolloutCommand() }

// SendOrder sends an order if the grant is still valid immediately before.
type SendOrder struct {
	Engine Engine
	Order  codec.Order
	Grant  Grant
}

// PollLoad asks an engine for its load report.
type PollLoad struct{ Upstream connector.Upstream }

// SetRolloutTimer requests a RolloutTimerFired at a time; a later SetRolloutTimer replaces it.
type SetRolloutTimer struct{ At time.Time }

func (SendOrder) isRolloutCommand()       {}
func (PollLoad) isRolloutCommand()        {}
func (SetRolloutTimer) isRolloutCommand() {}
