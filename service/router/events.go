package router

import (
	"time"

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

// LoadReported delivers a load report of an upstream, which describes an earlier moment.
type LoadReported struct {
	Report codec.LoadReport
}

// VersionReported delivers the weight version in a chunk of an upstream; it is more recent than that of the last load
// report.
type VersionReported struct {
	Upstream identifier.UpstreamID
	Model    identifier.ModelName
	Version  identifier.WeightVersion
}

// Route requests an upstream for an attempt; the command returned is Chosen, Outdated or NoneAvailable.
type Route struct {
	Pool   identifier.PoolName
	Model  identifier.ModelName
	Prompt string
	// MinVersion excludes upstreams that are known to serve older weights.
	MinVersion identifier.WeightVersion
	// Software, unless nil, is the only software version whose upstreams may be chosen.
	Software *identifier.SoftwareVersion
	// Excluded upstreams are never chosen.
	Excluded []identifier.UpstreamID
	// Avoided upstreams are chosen only when no other is left.
	Avoided []identifier.UpstreamID
	// Idle requests the upstream with the fewest attempts of this host, in order to run an isolated attempt on it.
	Idle bool
	// IsolationKey ranks the upstreams for an isolated attempt that have equally few attempts. Hosts that isolate different
	// requests at the same time then choose different upstreams; otherwise a request that crashes one would take another with it.
	IsolationKey string
	// Work is the expected work of the attempt, in the unit of Worked, and Bytes the size of its body; zero means unknown.
	Work  float64
	Bytes identifier.Bytes
}

// Worked delivers the time that an upstream took for an amount of work; Rough is set if the amount is an estimate.
type Worked struct {
	Upstream identifier.UpstreamID
	Work     float64
	Took     time.Duration
	Rough    bool
}

// AttemptRefused means that an upstream refused an attempt because it was full.
type AttemptRefused struct{ Upstream identifier.UpstreamID }

// UpstreamFailed means that an upstream accepts no connections or crashed.
type UpstreamFailed struct{ Upstream identifier.UpstreamID }

// AttemptStarted adds an attempt to the in-flight count of an upstream.
type AttemptStarted struct {
	Upstream identifier.UpstreamID
	// Work is the expected work of the attempt; zero means unknown.
	Work float64
}

// AttemptEnded subtracts an attempt from the in-flight count of an upstream.
type AttemptEnded struct {
	Upstream identifier.UpstreamID
	// StartedAt is when AttemptStarted was handled; zero if that is not known.
	StartedAt time.Time
	// Work is that of AttemptStarted.
	Work float64
}

// Reserved excludes an upstream from routing until Released.
type Reserved struct{ Upstream identifier.UpstreamID }

// Released ends a reservation.
type Released struct{ Upstream identifier.UpstreamID }

func (PoolChanged) isEvent()     {}
func (LoadReported) isEvent()    {}
func (VersionReported) isEvent() {}
func (Route) isEvent()           {}
func (Worked) isEvent()          {}
func (AttemptRefused) isEvent()  {}
func (UpstreamFailed) isEvent()  {}
func (AttemptStarted) isEvent()  {}
func (AttemptEnded) isEvent()    {}
func (Reserved) isEvent()        {}
func (Released) isEvent()        {}

// Command is an output of the router.
type Command interface{ isCommand() }

// Chosen is returned for Route with the upstream on which the attempt runs.
type Chosen struct {
	Upstream connector.Upstream
	// ByCost is set if the upstream was chosen by its expected time to the response, and Fallback if it should have been.
	ByCost   bool
	Expected time.Duration
	Fallback Fallback
}

// Outdated is returned for Route when every upstream that could run the attempt is known to serve weights older than
// MinVersion.
type Outdated struct{}

// NoneAvailable is returned for Route when every upstream of the pool is leaving, reserved or excluded.
type NoneAvailable struct{}

func (Chosen) isCommand()        {}
func (Outdated) isCommand()      {}
func (NoneAvailable) isCommand() {}
