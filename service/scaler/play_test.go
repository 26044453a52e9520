package scaler_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/scaler"
)

const (
	pool     identifier.PoolName = "engines"
	slots                        = 6
	bootTime                     = 4 * time.Second
	playTick                     = 500 * time.Millisecond
	// drainTime is how long an engine that is given back, or taken away, stays listed as leaving.
	drainTime = 2 * time.Second
)

var zonePrices = map[string]float64{"a": 1, "b": 0.85, "c": 1.2}

type place struct {
	zone        identifier.Zone
	preemptible bool
}

// platform plays the engines of a pool, and the calls that change their number.
type platform struct {
	s      *scaler.Scaler
	now    time.Time
	start  time.Time
	bounds codec.Autoscale
	// engines are those that are listed or boot.
	engines []*playEngine
	next    int
	desired map[place]int
	// refused holds the places without available engines; respond replaces the response to a call if it is set.
	refused map[place]bool
	respond func(scaler.Order) (outcome scaler.Outcome, executed bool)
	orders  []scaler.Order
	held    bool
	late    bool
	// cost is the price of all engine seconds; worked and waited are slot seconds of work, and of work that waited.
	cost, worked, waited float64
	// shortest is the least capacity in relation to the work.
	shortest float64
}

type playEngine struct {
	host    codec.ListedHost
	readyAt time.Time
	goneAt  time.Time
}

func newPlatform(perZone int, bounds codec.Autoscale) *platform {
	w := &platform{
		s: scaler.New(), now: time.Now(), bounds: bounds, desired: make(map[place]int), refused: make(map[place]bool), held: true,
		shortest: math.Inf(1),
	}
	w.start = w.now
	for _, zone := range []identifier.Zone{"a", "b", "c"} {
		for range perZone {
			w.boot(place{zone, false}, w.now)
		}
		w.desired[place{zone, false}] = perZone
	}
	w.s.Handle(w.now, scaler.PoolsChanged{Pools: []codec.Pool{{Name: pool, Autoscale: &w.bounds}}})
	w.list()
	return w
}

func (w *platform) boot(at place, ready time.Time) {
	w.next++
	w.engines = append(w.engines, &playEngine{readyAt: ready, host: codec.ListedHost{
		ID: identifier.UpstreamID(fmt.Sprintf("e%04d", w.next)), Pool: pool, Zone: at.zone, State: codec.HostStateLive, Slots: slots,
		Preemptible: at.preemptible,
	}})
}

func (w *platform) list() {
	var hosts []codec.ListedHost
	for _, e := range w.engines {
		if !w.now.Before(e.readyAt) {
			hosts = append(hosts, e.host)
		}
	}
	w.s.Handle(w.now, scaler.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: hosts}})
}

// count returns the engines that serve, or boot if booting is set, in a place.
func (w *platform) count(at place, booting bool) int {
	count := 0
	for _, e := range w.engines {
		if e.goneAt.IsZero() && e.host.Zone == at.zone && e.host.Preemptible == at.preemptible && (booting || !w.now.Before(e.readyAt)) {
			count++
		}
	}
	return count
}

func (w *platform) serving() int {
	count := 0
	for _, zone := range []identifier.Zone{"a", "b", "c"} {
		count += w.count(place{zone, false}, false) + w.count(place{zone, true}, false)
	}
	return count
}

// preempt takes away the preemptible engines of a zone and refuses new ones there.
func (w *platform) preempt(zone identifier.Zone) {
	at := place{zone, true}
	for _, e := range w.engines {
		if e.host.Preemptible && e.host.Zone == zone {
			w.leave(e)
		}
	}
	w.desired[at] = 0
	w.refused[at] = true
}

func (w *platform) leave(e *playEngine) {
	e.goneAt = w.now.Add(drainTime)
	e.host.State = codec.HostStateLeaving
}

// execute carries out an order.
func (w *platform) execute(order scaler.Order) {
	at := place{order.Zone, order.Preemptible}
	w.desired[at] = order.Engines
	for w.count(at, true) < order.Engines {
		w.boot(at, w.now.Add(bootTime))
	}
	for excess := w.count(at, true) - order.Engines; excess > 0; excess-- {
		i := slices.IndexFunc(w.engines, func(e *playEngine) bool {
			return e.goneAt.IsZero() && e.host.Zone == at.zone && e.host.Preemptible == at.preemptible
		})
		w.leave(w.engines[i])
	}
}

// step plays one tick in which work requests want a slot.
func (w *platform) step(work float64) {
	w.engines = slices.DeleteFunc(w.engines, func(e *playEngine) bool { return !e.goneAt.IsZero() && !w.now.Before(e.goneAt) })
	w.list()
	capacity := float64(w.serving() * slots)
	w.account(work, capacity)
	running := min(work, capacity)
	demand := codec.ModelDemand{
		Pool: pool, Model: "m", RunningItems: int(running), WaitingItems: int(math.Ceil(work - running)), Late: w.late,
	}
	loads := make(map[identifier.UpstreamID]scaler.HeardLoad)
	for _, e := range w.engines {
		loads[e.host.ID] = scaler.HeardLoad{Requests: int(running) / max(1, w.serving()), At: w.now}
	}
	w.s.Handle(w.now, scaler.DemandStated{
		Demand: map[identifier.PoolName]map[identifier.ModelName]codec.ModelDemand{pool: {"m": demand}}, Loads: loads,
	})
	w.decide()
	w.now = w.now.Add(playTick)
}

func (w *platform) decide() {
	for _, order := range w.s.Handle(w.now, scaler.Tick{Held: w.held}) {
		w.orders = append(w.orders, order)
		outcome, executed := scaler.Outcome(connector.DutyAccepted), true
		if at := (place{order.Zone, order.Preemptible}); w.refused[at] && order.Engines > w.count(at, true) {
			outcome, executed = connector.DutyRejected, false
		}
		if w.respond != nil && executed {
			outcome, executed = w.respond(order)
		}
		if executed {
			w.execute(order)
		}
		w.s.Handle(w.now, scaler.OrderEnded{Order: order, Outcome: outcome})
	}
}

func (w *platform) account(work, capacity float64) {
	seconds := playTick.Seconds()
	for _, e := range w.engines {
		price := zonePrices[string(e.host.Zone)]
		if e.host.Preemptible {
			price *= w.bounds.PreemptiblePrice
		}
		w.cost += price * seconds
	}
	w.worked += work * seconds
	w.waited += max(0, work-capacity) * seconds
	if work > 0 {
		w.shortest = min(w.shortest, capacity/work)
	}
}

// run plays a constant work.
func (w *platform) run(length time.Duration, work float64) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.step(work)
	}
}

// day returns the work at a time of a day that is played in 20 minutes: it rises and falls, with steps, and with bursts of a few
// seconds.
func day(elapsed time.Duration) float64 {
	seconds := elapsed.Seconds()
	work := 70 - 50*math.Cos(2*math.Pi*seconds/1200)
	if seconds >= 420 && seconds < 540 || seconds >= 800 && seconds < 860 {
		work *= 1.4
	}
	if math.Mod(seconds, 47) < 3 {
		work *= 1.2
	}
	return work
}

func sortOrders(orders []scaler.Order) []scaler.Order {
	sorted := slices.Clone(orders)
	slices.SortStableFunc(sorted, func(x, y scaler.Order) int { return cmp.Compare(x.Zone, y.Zone) })
	return sorted
}
