package scaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"celerygap.example/lib/identifier"
)

const (
	// reservePart is the reserve as a part of the peak.
	reservePart = 0.25
	// maxNeeded bounds the engines that any statement of work can call for.
	maxNeeded = 1e6
	// surplusTime is how long an engine must not have been needed before one is given back, and lowerInterval the least time
	// between two of a zone.
	surplusTime   = 15 * time.Second
	lowerInterval = 4 * time.Second
	// silenceTime is how long nothing was heard of a pool before it counts as idle: another host may serve it while the links to
	// this one are cut.
	silenceTime = 60 * time.Second
	// maxPreemptiblePart bounds the preemptible engines of a pool to the reserve, so that callers keep what they need if all of them
	// are taken away at once: a late step costs more than an engine.
	maxPreemptiblePart = reservePart / (1 + reservePart)
	// maxZonePart is the part of a pool's engines up to which a zone is chosen by its price.
	maxZonePart = 0.5
	// minGain is the least saving, as a part of the price, for which engines take the place of others.
	minGain = 0.1
	// cheaperInterval is the time between two engines that take the place of more expensive ones.
	cheaperInterval = 8 * time.Second
)

// plan decides and returns the orders that are due.
func (p *pool) plan(now time.Time) []Order {
	for _, known := range p.stocks {
		known.settle(now, p.boot())
	}
	peak := p.work(now)
	needed := int(min(maxNeeded, math.Ceil((1+reservePart)*peak/float64(p.engineSlots()))))
	needed = max(needed, p.models)
	p.fillMinimum(now)
	p.raise(now, needed)
	p.lower(now, needed)
	p.cheapen(now, needed)
	p.status = Status{Pool: p.name, Required: p.required(now, needed), Have: p.total(now), Peak: peak}
	var orders []Order
	for _, at := range p.places() {
		known := p.stocks[at]
		if known == nil || !known.due(now) {
			continue
		}
		known.calling = true
		orders = append(orders, Order{
			EngineOrder: p.engineOrder(at, known.desired), Reason: known.reason, Former: known.accepted, Peak: peak,
			Required: p.status.Required, Have: p.status.Have,
		})
	}
	return orders
}

// places returns all kinds and zones in order; a pool without a price for preemptible engines has none of these to order.
func (p *pool) places() []place {
	var places []place
	for _, zone := range p.zones() {
		places = append(places, place{zone, false}, place{zone, true})
	}
	return places
}

// zones returns the zones with a price or a listed engine, in order.
func (p *pool) zones() []identifier.Zone {
	var zones []identifier.Zone
	for zone := range p.bounds.ZonePrices {
		zones = append(zones, identifier.Zone(zone))
	}
	for at := range p.stocks {
		zones = append(zones, at.zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// price returns the price of an engine; a zone without a price costs as much as the others do usually.
func (p *pool) price(at place) float64 {
	price, ok := p.bounds.ZonePrices[string(at.zone)]
	if !ok {
		price = 1
	}
	if at.preemptible {
		price *= p.bounds.PreemptiblePrice
	}
	return price
}

func (p *pool) have(now time.Time, at place) int {
	known, ok := p.stocks[at]
	if !ok {
		return 0
	}
	return known.have(now, p.boot())
}

func (p *pool) zoneTotal(now time.Time, zone identifier.Zone) int {
	return p.have(now, place{zone, false}) + p.have(now, place{zone, true})
}

func (p *pool) total(now time.Time) int {
	total := 0
	for _, zone := range p.zones() {
		total += p.zoneTotal(now, zone)
	}
	return total
}

// preemptibles returns the preemptible engines, and those of the zone with the most of them.
func (p *pool) preemptibles(now time.Time) (total, largest int) {
	for _, zone := range p.zones() {
		have := p.have(now, place{zone, true})
		total += have
		largest = max(largest, have)
	}
	return total, largest
}

// required returns the engines that the pool must have: those needed, and as many again as one zone's preemptible ones.
func (p *pool) required(now time.Time, needed int) int {
	_, largest := p.preemptibles(now)
	return needed + largest
}

// usesPreemptibles reports whether preemptible engines save enough: one in each zone takes the place of one regular engine fewer
// than there are zones, because the loss of a zone must be made up for.
func (p *pool) usesPreemptibles() bool {
	zones := float64(len(p.zones()))
	return p.bounds.PreemptiblePrice > 0 && zones > 1 && zones*p.bounds.PreemptiblePrice <= (1-minGain)*(zones-1)
}

// open reports whether another engine may be ordered in a place.
func (p *pool) open(now time.Time, at place) bool {
	if known, ok := p.stocks[at]; ok && now.Before(known.refusedUntil) {
		return false
	}
	return p.zoneTotal(now, at.zone) < p.bounds.Max
}

// add orders another engine in a place. The number is never below the last one decided: the list may lack engines that exist.
func (p *pool) add(now time.Time, at place, reason Reason) {
	known := p.stock(at)
	known.decide(now, max(known.desired, known.have(now, p.boot())+1), reason)
}

func (p *pool) fillMinimum(now time.Time) {
	for _, zone := range p.zones() {
		for p.zoneTotal(now, zone) < p.bounds.Min {
			at := place{zone, false}
			if !p.open(now, at) {
				at.preemptible = p.bounds.PreemptiblePrice > 0
			}
			if !p.open(now, at) {
				break
			}
			p.add(now, at, ReasonMinimum)
		}
	}
}

// raise orders engines until there are as many as required, or no place takes another one.
func (p *pool) raise(now time.Time, needed int) {
	for p.total(now) < p.required(now, needed) {
		at, ok := p.cheapestOpen(now, 1)
		if !ok {
			return
		}
		p.add(now, at, ReasonNeed)
		p.raisedAt = now
		p.surplusSince = time.Time{}
	}
}

// cheapestOpen returns the place in which to order the next engine: a preemptible one where there are the fewest, unless there are
// enough of them; otherwise a regular one in the cheapest zone that does not hold most of the engines already. The total changes by
// change.
func (p *pool) cheapestOpen(now time.Time, change int) (best place, ok bool) {
	if p.usesPreemptibles() && p.allowsPreemptible(now, change) {
		if at, ok := p.fewestPreemptibles(now); ok {
			return at, true
		}
	}
	var bestCrowded bool
	for _, zone := range p.zones() {
		at := place{zone, false}
		if !p.open(now, at) {
			continue
		}
		crowded := p.fills(now, zone, change)
		if !ok || !crowded && bestCrowded || crowded == bestCrowded && p.price(at) < p.price(best) {
			best, bestCrowded, ok = at, crowded, true
		}
	}
	if !ok && p.bounds.PreemptiblePrice > 0 {
		return p.fewestPreemptibles(now)
	}
	return best, ok
}

// fills reports whether a zone would hold most of the engines with one more, when the total changes by change.
func (p *pool) fills(now time.Time, zone identifier.Zone, change int) bool {
	return float64(p.zoneTotal(now, zone)+1) > maxZonePart*float64(p.total(now)+change)
}

// allowsPreemptible reports whether there may be one more preemptible engine when the total changes by change.
func (p *pool) allowsPreemptible(now time.Time, change int) bool {
	preemptible, _ := p.preemptibles(now)
	return float64(preemptible+1) <= maxPreemptiblePart*float64(p.total(now)+change)
}

func (p *pool) fewestPreemptibles(now time.Time) (best place, ok bool) {
	for _, zone := range p.zones() {
		at := place{zone, true}
		if !p.open(now, at) {
			continue
		}
		if !ok || cmp.Or(cmp.Compare(p.have(now, at), p.have(now, best)), cmp.Compare(p.price(at), p.price(best))) < 0 {
			best, ok = at, true
		}
	}
	return best, ok
}

// lower gives back one engine that was not needed for surplusTime, the most expensive one first.
func (p *pool) lower(now time.Time, needed int) {
	if p.total(now) <= p.required(now, needed) || !p.knowsWork(now) || p.changing(now) {
		p.surplusSince = time.Time{}
		return
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = now
	}
	if now.Sub(p.surplusSince) < surplusTime {
		return
	}
	if at, ok := p.dearest(now); ok {
		known := p.stock(at)
		known.decide(now, known.have(now, p.boot())-1, ReasonSurplus)
		p.loweredAt[at.zone] = now
	}
}

// knowsWork reports whether the work of the last peakWindow is known, or the pool is idle.
func (p *pool) knowsWork(now time.Time) bool {
	if p.knownSince.IsZero() || now.Sub(p.knownSince) < peakWindow {
		return false
	}
	silence := now.Sub(p.knownAt)
	return silence <= demandMaxAge || silence >= silenceTime
}

// changing reports whether ordered engines have not come yet, or engines that are not needed any more have not left yet.
func (p *pool) changing(now time.Time) bool {
	for _, known := range p.stocks {
		if now.Sub(known.desiredAt) < 2*p.boot() && known.reason != ReasonSurplus && known.alive < known.desired {
			return true
		}
	}
	return false
}

// dearest returns the place that gives back an engine: of the kind and zone with the highest price, unless regular engines would
// be too few.
func (p *pool) dearest(now time.Time) (best place, ok bool) {
	preemptible, _ := p.preemptibles(now)
	rest := float64(p.total(now) - 1)
	keepRegular := float64(preemptible) > maxPreemptiblePart*rest
	crowded := slices.ContainsFunc(p.zones(), func(zone identifier.Zone) bool { return p.crowded(now, zone, rest) })
	for _, at := range p.places() {
		have := p.have(now, at)
		if crowded && !p.crowded(now, at.zone, rest) {
			continue
		}
		if have == 0 || p.zoneTotal(now, at.zone) <= p.bounds.Min || now.Sub(p.loweredAt[at.zone]) < lowerInterval {
			continue
		}
		if known := p.stocks[at]; known.calling || keepRegular && preemptible > 0 && !at.preemptible {
			continue
		}
		if !ok || cmp.Or(cmp.Compare(p.price(at), p.price(best)), cmp.Compare(have, p.have(now, best))) > 0 {
			best, ok = at, true
		}
	}
	return best, ok
}

// crowded reports whether a zone holds so many of a number of engines that its price does not count.
func (p *pool) crowded(now time.Time, zone identifier.Zone, engines float64) bool {
	return float64(p.zoneTotal(now, zone)) > maxZonePart*engines+1
}

// cheapen orders an engine that is to take the place of a more expensive one, which the surplus gives back later. Soon after engines
// were needed it does nothing, because each replacement costs prompts and weights that are read again.
func (p *pool) cheapen(now time.Time, needed int) {
	if p.total(now) != p.required(now, needed) || !p.knowsWork(now) || p.changing(now) || now.Sub(p.cheaperAt) < cheaperInterval ||
		now.Sub(p.raisedAt) < surplusTime {
		return
	}
	dearest, ok := p.dearest(now)
	if !ok {
		return
	}
	at, ok := p.cheapestOpen(now, 0)
	if !ok || p.price(at) > (1-minGain)*p.price(dearest) {
		return
	}
	// A zone that would hold most of the engines afterwards would be the one to give one back.
	if !at.preemptible && p.fills(now, at.zone, 0) {
		return
	}
	p.add(now, at, ReasonCheaper)
	p.cheaperAt = now
}
