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
	// demandMaxAge is how long a stated demand holds; owners of jobs state it once a second.
	demandMaxAge = 5 * time.Second
	// silenceTime is how long the demand of a model of which nothing is heard, while others are stated, counts as unchanged, and
	// as the mean of the others' if nothing was heard of it before. Hosts with an older build own its jobs, or it is idle.
	silenceTime = 3 * time.Minute
	// divisionMemory is how long a pool without any demand is still divided one engine at a time; after it the pool is divided as
	// one whose models never had a demand.
	divisionMemory = time.Minute
	// riseTime and fallTime are the time constants with which the smoothed demand follows the stated one. It falls slowly, because
	// a step that is late costs more than an engine that idles, and a trainer pauses between two steps.
	riseTime = 4 * time.Second
	fallTime = 12 * time.Second
	// latenessGain is how much the share of a model grows in a second while its jobs are late for want of engines, up to
	// maxLateness; it returns to normal with the time constant latenessTime.
	latenessGain = 0.05
	maxLateness  = 2
	latenessTime = 30 * time.Second
	// moveGain is the least sum of the engines that the one model lacks and the other has too many of for a move: a whole engine
	// for each of them. A move back needs a change of demand by two engines.
	moveGain = 2
	// movePersistence is how long the same move must have paid, and moveInterval the least time between two moves of a pool. A
	// load takes about 0.9 s of an engine, so a move that lasts for seconds pays.
	movePersistence = 4 * time.Second
	moveInterval    = time.Second
	// moveRest is how long an engine that was moved stays with its model.
	moveRest = 10 * time.Second
	// minDemand is the demand in events per second below which a model counts as idle.
	minDemand = 0.01
)

// Demand is the work of one model that batch jobs bring to a pool.
type Demand struct {
	// EventsPerSecond is the rate at which the model's engines must generate.
	EventsPerSecond float64
	// Late is set while items of jobs that are late, or will be, wait for engines.
	Late bool
}

// DemandStated replaces the demand of the models of all pools, as the owners of jobs state it. Pools that it does not contain
// have none.
type DemandStated struct {
	Demand map[identifier.PoolName]map[identifier.ModelName]Demand
}

func (DemandStated) isEvent() {}

// Move tells that an engine was assigned to another model because of the demand.
type Move struct {
	Engine               identifier.UpstreamID
	Pool                 identifier.PoolName
	From, To             identifier.ModelName
	FromEngines          int
	ToEngines            int
	FromWanted, ToWanted float64
}

// Share is the part of a pool that a model's demand calls for.
type Share struct {
	Model identifier.ModelName
	// EventsPerSecond is the smoothed demand, and Lateness the factor for jobs that are late.
	EventsPerSecond, Lateness float64
	Engines                   int
	Wanted                    float64
}

// division divides the engines of one pool among its models in proportion to their smoothed demand. It holds a few numbers for
// each model.
type division struct {
	// stated is the last demand of each model, and heardAt when it was stated; beganAt is when the first demand of any was.
	stated    map[identifier.ModelName]Demand
	heardAt   map[identifier.ModelName]time.Time
	beganAt   time.Time
	statedAt  time.Time
	updatedAt time.Time
	smoothed  map[identifier.ModelName]float64
	lateness  map[identifier.ModelName]float64
	// wanted is when the demand began to call for the move from one model to another.
	wanted  map[modelPair]time.Time
	movedAt time.Time
	shares  []Share
}

// modelPair is a possible move of an engine.
type modelPair struct{ from, to identifier.ModelName }

// stateDemand applies the stated demand to the pools.
func (p *Placer) stateDemand(now time.Time, e DemandStated) {
	for name, demand := range e.Demand {
		pl, ok := p.pools[name]
		if !ok || len(demand) == 0 {
			continue
		}
		if pl.division == nil {
			pl.division = &division{
				smoothed: make(map[identifier.ModelName]float64), lateness: make(map[identifier.ModelName]float64),
				wanted: make(map[modelPair]time.Time), stated: make(map[identifier.ModelName]Demand),
				heardAt: make(map[identifier.ModelName]time.Time), beganAt: now,
			}
		}
		pl.division.advance(now, pl.models)
		pl.division.state(now, pl.models, demand)
	}
}

// state applies the stated demand of models.
func (d *division) state(now time.Time, models []identifier.ModelName, demand map[identifier.ModelName]Demand) {
	d.statedAt = now
	for _, model := range models {
		stated, ok := demand[model]
		if !ok {
			continue
		}
		d.stated[model] = stated
		d.heardAt[model] = now
		if d.smoothed[model] < minDemand {
			// The first demand of a model counts at once; a move still waits until it persists.
			d.smoothed[model] = stated.EventsPerSecond
		}
	}
}

// advance moves the smoothed demand towards the stated one, which holds for demandMaxAge. After that the smoothed demand stays until
// the demand is stated again, or for silenceTime while that of other models is stated.
func (d *division) advance(now time.Time, models []identifier.ModelName) {
	elapsed := now.Sub(d.updatedAt).Seconds()
	first := d.updatedAt.IsZero()
	d.updatedAt = now
	if first || elapsed <= 0 || !d.current(now) {
		return
	}
	for _, model := range models {
		stated := d.stated[model]
		if silence := now.Sub(d.heardAt[model]); silence > silenceTime {
			stated = Demand{}
		} else if silence > demandMaxAge {
			continue
		}
		constant := riseTime
		if stated.EventsPerSecond < d.smoothed[model] {
			constant = fallTime
		}
		d.smoothed[model] += (stated.EventsPerSecond - d.smoothed[model]) * (1 - math.Exp(-elapsed/constant.Seconds()))
		lateness := max(1, d.lateness[model])
		if stated.Late {
			lateness = min(maxLateness, lateness+latenessGain*elapsed)
		} else {
			lateness = 1 + (lateness-1)*math.Exp(-elapsed/latenessTime.Seconds())
		}
		d.lateness[model] = lateness
	}
}

func (d *division) current(now time.Time) bool { return now.Sub(d.statedAt) <= demandMaxAge }

// targets returns the engines that each model should have, which sum up to the engines of the pool. Each model gets at least one;
// models share equally while no demand is known.
func (d *division) targets(now time.Time, models []identifier.ModelName, engines int) map[identifier.ModelName]float64 {
	if !d.current(now) {
		return divide(models, nil, engines)
	}
	weights := make(map[identifier.ModelName]float64, len(models))
	var unknown []identifier.ModelName
	total := 0.0
	for _, model := range models {
		if _, heard := d.heardAt[model]; !heard && now.Sub(d.beganAt) <= silenceTime {
			unknown = append(unknown, model)
			continue
		}
		weights[model] = d.smoothed[model] * max(1, d.lateness[model])
		total += weights[model]
	}
	for _, model := range unknown {
		weights[model] = total / float64(len(models)-len(unknown))
	}
	return divide(models, weights, engines)
}

// divide divides engines in proportion to weights, with at least one for each model as far as there are enough.
func divide(models []identifier.ModelName, weights map[identifier.ModelName]float64, engines int) map[identifier.ModelName]float64 {
	targets := make(map[identifier.ModelName]float64, len(models))
	least := min(1, float64(engines)/float64(len(models)))
	open, left, total := slices.Clone(models), float64(engines), 0.0
	for _, model := range models {
		total += weights[model]
	}
	if total < minDemand {
		for _, model := range models {
			targets[model] = left / float64(len(models))
		}
		return targets
	}
	for len(open) > 0 {
		small := slices.IndexFunc(open, func(model identifier.ModelName) bool { return total <= 0 || left*weights[model]/total < least })
		if small < 0 {
			break
		}
		targets[open[small]] = least
		left -= least
		total -= weights[open[small]]
		open = slices.Delete(open, small, small+1)
	}
	for _, model := range open {
		targets[model] = left * weights[model] / total
	}
	return targets
}

// assignByDemand assigns the engines of a pool whose models have a demand. Engines without a model get one at once; others are
// moved one at a time.
func (p *Placer) assignByDemand(now time.Time, pl *pool) {
	d := pl.division
	d.advance(now, pl.models)
	targets := d.targets(now, pl.models, len(pl.engines))
	counts := pl.counts()
	for _, e := range pl.engines {
		if e.model == "" {
			e.model = p.pickByDemand(pl, e, counts, targets)
			counts[e.model]++
		}
	}
	p.balance(pl, counts, min(1, len(pl.engines)/len(pl.models)))
	p.moveByDemand(now, pl, counts, targets)
	d.shares = d.shares[:0]
	for _, model := range pl.models {
		d.shares = append(d.shares, Share{
			Model: model, EventsPerSecond: d.smoothed[model], Lateness: max(1, d.lateness[model]), Engines: counts[model], Wanted: targets[model],
		})
	}
}

// counts returns the engines of each model and clears the assignment to models that the pool no longer has.
func (pl *pool) counts() map[identifier.ModelName]int {
	counts := make(map[identifier.ModelName]int, len(pl.models))
	for _, e := range pl.engines {
		if !slices.Contains(pl.models, e.model) {
			e.model = ""
		}
		if e.model != "" {
			counts[e.model]++
		}
	}
	return counts
}

// pickByDemand returns the model for an engine: the one of which it has the newest weights unless that model then has a whole
// engine too many, otherwise the one that lacks the most engines.
func (p *Placer) pickByDemand(pl *pool, e *engine, counts map[identifier.ModelName]int, targets map[identifier.ModelName]float64) identifier.ModelName {
	if own, ok := p.leastBehind(pl, e); ok && float64(counts[own]) < targets[own]+1 {
		return own
	}
	return slices.MaxFunc(pl.models, func(x, y identifier.ModelName) int {
		return cmp.Compare(targets[x]-float64(counts[x]), targets[y]-float64(counts[y]))
	})
}

// moveByDemand moves one engine from the model with the most engines beyond its target to the one that lacks the most, if that
// has paid for movePersistence.
func (p *Placer) moveByDemand(now time.Time, pl *pool, counts map[identifier.ModelName]int, targets map[identifier.ModelName]float64) {
	d := pl.division
	var best modelPair
	bestGain := 0.0
	for _, from := range pl.models {
		for _, to := range pl.models {
			pair := modelPair{from, to}
			gain := float64(counts[from]) - targets[from] + targets[to] - float64(counts[to])
			if from == to || counts[from] <= 1 || gain < moveGain {
				delete(d.wanted, pair)
				continue
			}
			since, ok := d.wanted[pair]
			if !ok {
				since = now
				d.wanted[pair] = now
			}
			if now.Sub(since) >= movePersistence && gain > bestGain {
				best, bestGain = pair, gain
			}
		}
	}
	if bestGain == 0 || now.Sub(d.movedAt) < moveInterval {
		return
	}
	e := p.pickEngine(now, pl, best)
	if e == nil {
		return
	}
	p.moves = append(p.moves, Move{
		Engine: e.host.ID, Pool: e.host.Pool, From: best.from, To: best.to, FromEngines: counts[best.from], ToEngines: counts[best.to],
		FromWanted: targets[best.from], ToWanted: targets[best.to],
	})
	e.model = best.to
	e.movedAt = now
	d.movedAt = now
	counts[best.from]--
	counts[best.to]++
}

// pickEngine returns the engine to move, or nil: one that does not load and has not moved lately, from the zone in which the old
// model has the most engines in relation to the new one. Among equal ones it prefers an engine whose weights of the new model
// are recent, and one that has to load in any case.
func (p *Placer) pickEngine(now time.Time, pl *pool, pair modelPair) *engine {
	surplus := make(map[identifier.Zone]int)
	for _, e := range pl.engines {
		switch e.model {
		case pair.from:
			surplus[e.host.Zone]++
		case pair.to:
			surplus[e.host.Zone]--
		}
	}
	var best *engine
	for _, e := range pl.engines {
		if e.model != pair.from || e.loading || now.Sub(e.movedAt) < moveRest {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(surplus[e.host.Zone], surplus[best.host.Zone]),
			cmp.Compare(p.lag(best, pair.to), p.lag(e, pair.to)),
			cmp.Compare(p.lag(e, pair.from), p.lag(best, pair.from)),
		) > 0 {
			best = e
		}
	}
	return best
}

// byDemand reports whether the engines of a pool are divided by demand: its models have one, or had one lately.
func (pl *pool) byDemand(now time.Time) bool {
	if pl.division != nil && now.Sub(pl.division.statedAt) > divisionMemory {
		pl.division = nil
	}
	return pl.division != nil
}

// TakeMoves returns the moves since the last call.
func (p *Placer) TakeMoves() []Move {
	moves := p.moves
	p.moves = nil
	return moves
}

// Shares returns the division of the pools whose engines are divided by demand, as of the last Tick.
func (p *Placer) Shares() map[identifier.PoolName][]Share {
	shares := make(map[identifier.PoolName][]Share)
	for name, pl := range p.pools {
		if pl.division != nil {
			shares[name] = slices.Clone(pl.division.shares)
		}
	}
	return shares
}

// DemandOf converts the stated demand of one model on one pool.
func DemandOf(stated codec.ModelDemand) Demand {
	return Demand{EventsPerSecond: max(0, stated.Arriving, stated.Needed), Late: stated.Late}
}
