package scaler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/scaler"
)

func bounds(least, most int) codec.Autoscale {
	return codec.Autoscale{
		Min: least, Max: most, BootTime: identifier.Duration(bootTime), PreemptiblePrice: 0.3, ZonePrices: zonePrices,
	}
}

func regularOnly(least, most int) codec.Autoscale {
	limits := bounds(least, most)
	limits.PreemptiblePrice = 0
	return limits
}

// evenPrices returns bounds with which no engine is cheaper than another, so that only the work calls for orders.
func evenPrices(least, most int) codec.Autoscale {
	limits := regularOnly(least, most)
	limits.ZonePrices = map[string]float64{"a": 1, "b": 1, "c": 1}
	return limits
}

// Load test: a day with steps and bursts, in which the preemptible engines of two zones are taken away one after the other.
// Compares cost and waiting with the constant fleet that serves the same day. Guards against work that waits because engines were
// given back too early or came too late, and against a fleet that costs as much as the constant one.
func TestDayCostsLessThanAConstantFleet(t *testing.T) {
	constant, scaled := newPlatform(13, bounds(13, 13)), newPlatform(13, bounds(1, 20))
	constant.held = false
	for _, w := range []*platform{constant, scaled} {
		for elapsed := time.Duration(0); elapsed < 20*time.Minute; elapsed += playTick {
			switch elapsed {
			case 450 * time.Second:
				w.preempt("a")
			case 600 * time.Second:
				w.refused = map[place]bool{}
			case 820 * time.Second:
				w.preempt("b")
			}
			w.step(day(elapsed))
		}
	}
	t.Logf("constant fleet: cost %.0f, waited %.2f of %.0f slot seconds", constant.cost, constant.waited, constant.worked)
	t.Logf("scaled fleet: cost %.0f, waited %.2f slot seconds, least capacity %.2f of the work, %d orders", scaled.cost, scaled.waited, scaled.shortest, len(scaled.orders))
	require.Less(t, scaled.cost, 0.7*constant.cost)
	require.LessOrEqual(t, scaled.waited, 0.002*scaled.worked)
	require.Less(t, len(scaled.orders), 600)
}

// Guards against work that waits for long after a step: engines are ordered at once, and once for the same decision.
func TestStepIsServedAfterOneBoot(t *testing.T) {
	w := newPlatform(3, bounds(1, 20))
	w.run(40*time.Second, 30)
	w.orders = nil
	w.run(playTick, 120)
	ordered := 0
	for _, order := range w.orders {
		require.Equal(t, scaler.ReasonNeed, order.Reason)
		ordered += order.Engines - order.Former
	}
	require.GreaterOrEqual(t, ordered, 16)
	orders := len(w.orders)
	w.run(bootTime, 120)
	require.Len(t, w.orders, orders, "the ordered engines are on their way")
	w.run(time.Second, 120)
	require.GreaterOrEqual(t, w.serving()*slots, 150)
}

// Guards against engines that are given back during a pause of the work, or faster than one in 4 s for each zone.
func TestSurplusIsGivenBackSlowly(t *testing.T) {
	w := newPlatform(10, evenPrices(1, 20))
	w.run(60*time.Second, 140)
	w.orders = nil
	before := w.serving()
	w.run(40*time.Second, 20)
	for _, order := range w.orders {
		require.NotEqual(t, scaler.ReasonSurplus, order.Reason)
	}
	require.GreaterOrEqual(t, w.serving(), before)
	last := make(map[identifier.Zone]time.Time)
	for range 120 {
		w.orders = nil
		w.run(playTick, 20)
		for _, order := range w.orders {
			if order.Reason != scaler.ReasonSurplus {
				continue
			}
			require.Equal(t, order.Former-1, order.Engines)
			require.False(t, w.now.Sub(last[order.Zone]) < 4*time.Second, "zone %s", order.Zone)
			last[order.Zone] = w.now
		}
	}
	require.Less(t, w.serving(), before/2)
	w.run(3*time.Minute, 20)
	require.GreaterOrEqual(t, w.serving()*slots, 25)
}

// Guards against too few engines when the platform takes away all preemptible engines of a zone at once.
func TestAnyZonesPreemptibleEnginesCanGo(t *testing.T) {
	for _, zone := range []identifier.Zone{"a", "b", "c"} {
		w := newPlatform(8, bounds(1, 20))
		w.run(4*time.Minute, 80)
		preemptible := w.count(place{zone, true}, false)
		require.Positive(t, preemptible)
		w.waited = 0
		w.orders = nil
		w.preempt(zone)
		w.run(30*time.Second, 80)
		require.Zero(t, w.waited)
		for _, order := range w.orders {
			if order.Engines > order.Former {
				require.NotEqual(t, place{zone, true}, place{order.Zone, order.Preemptible}, "the zone was just emptied")
			}
		}
	}
}

// Failure test: guards against work that waits because a zone has no engines: after a refusal the rest is ordered elsewhere at once,
// and the zone is not asked again for 5 s.
func TestRefusedOrdersGoElsewhere(t *testing.T) {
	w := newPlatform(3, bounds(1, 20))
	for _, zone := range []identifier.Zone{"a", "b", "c"} {
		w.refused[place{zone, true}] = true
	}
	w.refused[place{"b", false}] = true
	w.run(30*time.Second, 30)
	w.orders = nil
	asked := make(map[place][]time.Time)
	for range 20 {
		w.orders = nil
		w.run(playTick, 120)
		for _, order := range w.orders {
			at := place{order.Zone, order.Preemptible}
			if w.refused[at] {
				asked[at] = append(asked[at], w.now)
			}
		}
	}
	for at, times := range asked {
		for i := 1; i < len(times); i++ {
			require.GreaterOrEqual(t, times[i].Sub(times[i-1]), 5*time.Second, "%v", at)
		}
	}
	require.GreaterOrEqual(t, w.serving()*slots, 150)
}

// Failure test: guards against orders that are lost, or undone by an older one that the platform carries out late. A call without
// a response is repeated with the same number after 1 s, and once more when no older call can come any more.
func TestOrderWithoutAResponseIsRepeated(t *testing.T) {
	w := newPlatform(3, evenPrices(1, 20))
	w.run(40*time.Second, 30)
	lost := 0
	w.respond = func(scaler.Order) (scaler.Outcome, bool) {
		lost++
		return connector.DutyOutcomeUnknown, false
	}
	w.orders = nil
	w.run(playTick, 60)
	require.NotEmpty(t, w.orders)
	first := sortOrders(w.orders)
	require.Equal(t, lost, len(first))
	w.respond = func(scaler.Order) (scaler.Outcome, bool) { return connector.DutyThrottled, false }
	w.orders = nil
	w.run(time.Second, 60)
	repeated := sortOrders(w.orders)
	require.Len(t, repeated, len(first))
	for i := range first {
		require.Equal(t, first[i].EngineOrder, repeated[i].EngineOrder)
	}
	w.respond = nil
	w.run(4*time.Second, 60)
	w.orders = nil
	w.run(8*time.Second, 60)
	require.Len(t, w.orders, len(first), "the number is confirmed once more after the last lost call")
	w.orders = nil
	w.run(10*time.Second, 60)
	require.Empty(t, w.orders)
}

// Failure test: guards against a new holder that orders engines twice which the former one has ordered, or gives engines back
// because it does not know the work yet.
func TestNewHolderStartsFromTheListedEngines(t *testing.T) {
	w := newPlatform(6, bounds(1, 20))
	w.run(2*time.Minute, 60)
	w.run(time.Second, 120)
	listed := w.serving()
	w.s = scaler.New()
	w.s.Handle(w.now, scaler.PoolsChanged{Pools: []codec.Pool{{Name: pool, Autoscale: &w.bounds}}})
	w.list()
	w.orders = nil
	w.run(bootTime-playTick, 120)
	require.Empty(t, w.orders)
	require.Greater(t, w.serving(), listed, "the former holder's engines have come")
	w.run(25*time.Second, 60)
	for _, order := range w.orders {
		require.NotEqual(t, scaler.ReasonSurplus, order.Reason)
	}
}

// Failure test: guards against engines that are given back because nothing is heard of their work: the links to the hosts that
// serve it may be cut. A host without the lease orders nothing.
func TestNothingIsGivenBackInTheDark(t *testing.T) {
	w := newPlatform(6, bounds(1, 20))
	w.run(time.Minute, 90)
	before := w.serving()
	w.orders = nil
	for range 110 {
		w.list()
		w.decide()
		w.now = w.now.Add(playTick)
	}
	require.Empty(t, w.orders)
	require.GreaterOrEqual(t, w.serving(), before)
	w.held = false
	for range 200 {
		w.list()
		w.decide()
		w.now = w.now.Add(playTick)
	}
	require.Empty(t, w.orders)
}

// Guards against an order that waited for its turn and is sent with a number that has changed meanwhile.
func TestWaitingOrderIsSentWithTheNewNumber(t *testing.T) {
	w := newPlatform(3, evenPrices(1, 20))
	w.run(40*time.Second, 30)
	demand := func(items int) {
		w.s.Handle(w.now, scaler.DemandStated{Demand: map[identifier.PoolName]map[identifier.ModelName]codec.ModelDemand{
			pool: {"m": {Pool: pool, Model: "m", WaitingItems: items}},
		}})
	}
	demand(60)
	first := w.s.Handle(w.now, scaler.Tick{Held: true})
	require.NotEmpty(t, first)
	demand(300)
	for _, order := range w.s.Handle(w.now, scaler.Tick{Held: true}) {
		require.NotEqual(t, first[0].Zone, order.Zone, "one order of a place is under way")
	}
	current := w.s.Current(first[0])
	require.Greater(t, current.Engines, first[0].Engines)
	w.s.Handle(w.now, scaler.OrderEnded{Order: current, Outcome: connector.DutyAccepted})
	for _, order := range w.s.Handle(w.now, scaler.Tick{Held: true}) {
		require.NotEqual(t, order.EngineOrder, current.EngineOrder)
	}
}

// Guards against a fleet that stays in the expensive zones while its size does not change, and against one that moves without end.
func TestCheaperEnginesTakeThePlaceOfOthers(t *testing.T) {
	for _, limits := range []codec.Autoscale{bounds(1, 20), regularOnly(1, 20)} {
		w := newPlatform(5, limits)
		w.run(10*time.Minute, 60)
		require.Less(t, w.count(place{"c", false}, true), 3)
		w.orders = nil
		before := w.cost
		w.run(10*time.Minute, 60)
		require.Empty(t, w.orders)
		require.Zero(t, w.waited)
		regular := 0.0
		for _, price := range zonePrices {
			regular += 5 * price * 600
		}
		t.Logf("cost of 10 min %.0f, of the former fleet %.0f", w.cost-before, regular)
		require.Less(t, w.cost-before, 0.95*regular)
	}
}

// Guards against numbers outside the bounds of the configuration, of both kinds together, and against a change of pools without
// these bounds.
func TestBoundsHold(t *testing.T) {
	w := newPlatform(2, bounds(3, 5))
	w.run(time.Minute, 500)
	for _, zone := range []identifier.Zone{"a", "b", "c"} {
		require.LessOrEqual(t, w.count(place{zone, false}, true)+w.count(place{zone, true}, true), 5)
	}
	require.Equal(t, 15, w.serving())
	w.run(5*time.Minute, 1)
	for _, zone := range []identifier.Zone{"a", "b", "c"} {
		require.GreaterOrEqual(t, w.count(place{zone, false}, true)+w.count(place{zone, true}, true), 3)
	}
	w.s.Handle(w.now, scaler.PoolsChanged{Pools: []codec.Pool{{Name: pool}}})
	w.orders = nil
	w.run(time.Minute, 500)
	require.Empty(t, w.orders)
}

// Guards against orders that count on an incomplete list and so take engines away: the number of a place is never below the one
// that was ordered, unless engines are given back.
func TestIncompleteListTakesNoEnginesAway(t *testing.T) {
	w := newPlatform(8, bounds(1, 20))
	w.run(90*time.Second, 100)
	missing := w.engines[4:]
	w.engines = w.engines[:4]
	desired := make(map[place]int)
	for at, engines := range w.desired {
		desired[at] = engines
	}
	w.respond = func(order scaler.Order) (scaler.Outcome, bool) {
		require.GreaterOrEqual(t, order.Engines, desired[place{order.Zone, order.Preemptible}])
		return connector.DutyAccepted, false
	}
	w.run(8*time.Second, 100)
	w.engines = append(w.engines, missing...)
}
