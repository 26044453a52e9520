package scaler

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// PoolsChanged replaces the pools; only those with bounds for autoscaling count.
type PoolsChanged struct{ Pools []codec.Pool }

// EnginesChanged replaces the listed engines of all pools.
type EnginesChanged struct {
	Engines map[identifier.PoolName][]codec.ListedHost
}

// DemandStated replaces the demand of batch jobs, as their owners state it, and delivers the loads that other hosts heard.
type DemandStated struct {
	Demand map[identifier.PoolName]map[identifier.ModelName]codec.ModelDemand
	Loads  map[identifier.UpstreamID]HeardLoad
}

// HeardLoad is the number of requests on an engine, as it stated at a time.
type HeardLoad struct {
	Requests int
	At       time.Time
}

// LoadReported delivers the load that an engine has stated in a response.
type LoadReported struct {
	Engine identifier.UpstreamID
	Load   codec.LoadReport
}

// OrderEnded reports the outcome of an Order.
type OrderEnded struct {
	Order   Order
	Outcome Outcome
}

// Tick advances the time of the state machine and is the only event that returns orders. Held reports whether this host holds the
// lease for duties.
type Tick struct{ Held bool }

func (PoolsChanged) isEvent()   {}
func (EnginesChanged) isEvent() {}
func (DemandStated) isEvent()   {}
func (LoadReported) isEvent()   {}
func (OrderEnded) isEvent()     {}
func (Tick) isEvent()           {}

// Outcome is how an order ended.
type Outcome = connector.DutyOutcome

// NotSent is the outcome of an order that was not sent, because the lease had ended.
const NotSent Outcome = "not_sent"

// Reason is why a number of engines is ordered, as it appears in logs.
type Reason string

// The reasons of orders.
const (
	// ReasonMinimum means that a zone has fewer engines than its bounds allow.
	ReasonMinimum Reason = "minimum"
	// ReasonNeed means that the capacity is less than the peak, the reserve and the replacement of one zone's preemptible engines.
	ReasonNeed Reason = "need"
	// ReasonSurplus means that an engine was not needed for surplusTime.
	ReasonSurplus Reason = "surplus"
	// ReasonCheaper means that the engine is to take the place of a more expensive one, of the other kind or in another zone.
	ReasonCheaper Reason = "cheaper"
)

// Order is the command to order a number of engines of one kind in a zone.
type Order struct {
	connector.EngineOrder
	Reason Reason
	// Former is the number that was ordered, or listed, before.
	Former int
	// Peak is the number of requests and items at the peak of the last 30 s, Required the engines that follow from it, and Have
	// those listed and on their way; all are of the whole pool.
	Peak     float64
	Required int
	Have     int
}
