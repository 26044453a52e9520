package demandkeeper

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// MaxAge is how long a statement holds without a newer one; hosts send one each second.
	MaxAge = 5 * time.Second
	// maxHosts and maxModels bound what is kept.
	maxHosts  = 512
	maxModels = 256
	maxLoads  = 4096
)

// Demand is the demand of models by pool.
type Demand map[identifier.PoolName]map[identifier.ModelName]codec.ModelDemand

// Keeper holds the last statement of each host; it is not safe for concurrent use.
type Keeper struct {
	statements map[identifier.HostID]statement
}

type statement struct {
	receivedAt time.Time
	models     []codec.ModelDemand
	loads      []codec.HeardLoad
}

// Load is the number of requests on an engine, as it stated at a time.
type Load struct {
	Requests int
	At       time.Time
}

// New returns a Keeper without statements.
func New() *Keeper { return &Keeper{statements: make(map[identifier.HostID]statement)} }

// State replaces the statement of a host and reports whether it is kept.
func (k *Keeper) State(now time.Time, stated codec.PlacementDemand) (kept bool) {
	k.expire(now)
	if _, known := k.statements[stated.From]; !known && len(k.statements) >= maxHosts {
		return false
	}
	k.statements[stated.From] = statement{
		receivedAt: now, models: stated.Models[:min(len(stated.Models), maxModels)], loads: stated.Loads[:min(len(stated.Loads), maxLoads)],
	}
	return true
}

// Loads returns the newest load of each engine that was heard lately.
func (k *Keeper) Loads(now time.Time) map[identifier.UpstreamID]Load {
	k.expire(now)
	loads := make(map[identifier.UpstreamID]Load)
	for _, stated := range k.statements {
		for _, heard := range stated.loads {
			at := stated.receivedAt.Add(-max(0, heard.Age.Std()))
			if known, ok := loads[heard.Engine]; !ok || at.After(known.At) {
				loads[heard.Engine] = Load{Requests: heard.Requests, At: at}
			}
		}
	}
	return loads
}

// Demand returns the sum of the statements that hold. Late is set if one of them says so.
func (k *Keeper) Demand(now time.Time) Demand {
	k.expire(now)
	sum := make(Demand)
	for _, stated := range k.statements {
		for _, model := range stated.models {
			pool, ok := sum[model.Pool]
			if !ok {
				pool = make(map[identifier.ModelName]codec.ModelDemand)
				sum[model.Pool] = pool
			}
			pool[model.Model] = add(pool[model.Model], model)
		}
	}
	return sum
}

func (k *Keeper) expire(now time.Time) {
	for host, stated := range k.statements {
		if now.Sub(stated.receivedAt) > MaxAge {
			delete(k.statements, host)
		}
	}
}

func add(x, y codec.ModelDemand) codec.ModelDemand {
	due := y.DueIn
	if x.DueIn != 0 {
		due = min(x.DueIn, y.DueIn)
	}
	return codec.ModelDemand{
		Pool: y.Pool, Model: y.Model,
		WaitingItems: x.WaitingItems + y.WaitingItems, RunningItems: x.RunningItems + y.RunningItems,
		WaitingEvents: x.WaitingEvents + y.WaitingEvents, RunningEvents: x.RunningEvents + y.RunningEvents,
		Arriving: x.Arriving + y.Arriving, Needed: x.Needed + y.Needed, DueIn: due, Late: x.Late || y.Late,
	}
}
