package router

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// Event is an input of the router.
type Event interface{ isEvent() }

// PoolChanged replaces the known upstreams of a pool.
type PoolChanged struct {
	Pool      identifier.PoolName
	Upstreams []connector.Upstream
}

// LoadReported is a lagging load report of an upstream.
type LoadReported struct {
	Report codec.LoadReport
}

// VersionReported notes the weight version in a chunk of an upstream; it is newer than any lagging report.
type VersionReported struct {
	Upstream identifier.UpstreamID
	Model    identifier.ModelName
	Version  identifier.WeightVersion
}

// Route asks for an upstream; the answer is Chosen, Outdated or NoneAvailable.
type Route struct {
	Pool   identifier.PoolName
	Model  identifier.ModelName
	Prompt string
	// MinVersion excludes upstreams that are known to serve older weights.
	MinVersion identifier.WeightVersion
	// Excluded upstreams are never chosen.
	Excluded []identifier.UpstreamID
	// Avoided upstreams are chosen only when no other is left.
	Avoided []identifier.UpstreamID
	// Idle asks for the upstream with the fewest attempts of this host, in order to run an attempt alone on it.
	Idle bool
}

// Refused notes that an upstream refused an attempt because it was full.
type Refused struct{ Upstream identifier.UpstreamID }

// Failed notes that an upstream accepts no connections or crashed.
type Failed struct{ Upstream identifier.UpstreamID }

// Started counts an attempt on an upstream.
type Started struct{ Upstream identifier.UpstreamID }

// Ended ends the count of an attempt.
type Ended struct{ Upstream identifier.UpstreamID }

// Reserved keeps an upstream free of further attempts until Released.
type Reserved struct{ Upstream identifier.UpstreamID }

// Released ends a reservation.
type Released struct{ Upstream identifier.UpstreamID }

func (PoolChanged) isEvent()     {}
func (LoadReported) isEvent()    {}
func (VersionReported) isEvent() {}
func (Route) isEvent()           {}
func (Refused) isEvent()         {}
func (Failed) isEvent()          {}
func (Started) isEvent()         {}
func (Ended) isEvent()           {}
func (Reserved) isEvent()        {}
func (Released) isEvent()        {}

// Command is an output of the router.
type Command interface{ isCommand() }

// Chosen answers Route.
type Chosen struct{ Upstream connector.Upstream }

// Outdated answers Route when upstreams would take work but all are known to serve weights older than MinVersion.
type Outdated struct{}

// NoneAvailable answers Route when the pool has no upstream that may take work.
type NoneAvailable struct{}

func (Chosen) isCommand()        {}
func (Outdated) isCommand()      {}
func (NoneAvailable) isCommand() {}
