package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/placer"
)

// Load test: compares the equal division with that by demand for one trainer with 1,440 events a step and one with 2,560, on
// engines that the larger one's equal share does not serve. Guards against steps that are late although engines idle, and
// against loads by needless moves.
func TestUnevenDemandIsServedInTime(t *testing.T) {
	events := map[identifier.ModelName]float64{"m0": 1440, "m1": 2560}
	for seed := uint64(1); seed <= 5; seed++ {
		equal, divided := newPlay(seed, 18, events, false), newPlay(seed, 18, events, true)
		equal.run(2 * time.Minute)
		divided.run(2 * time.Minute)
		for _, model := range equal.models {
			equalTook, equalLate := equal.took(model, 20*time.Second)
			dividedTook, dividedLate := divided.took(model, 20*time.Second)
			t.Logf("seed %d %s: equal %s, late %.2f; by demand %s, late %.2f", seed, model, equalTook, equalLate, dividedTook, dividedLate)
			require.LessOrEqual(t, dividedLate, 0.05)
		}
		t.Logf("seed %d: loads %d and %d, moves %d, engines %v", seed, equal.loads, divided.loads, len(divided.moves), divided.assigned(t))
		largeEqual, _ := equal.took("m1", 20*time.Second)
		largeDivided, _ := divided.took("m1", 20*time.Second)
		require.Less(t, largeDivided, largeEqual/2)
		require.LessOrEqual(t, divided.loads, equal.loads)
		require.LessOrEqual(t, len(divided.moves), 3)
	}
}

// Guards against engines that stay with a model whose trainer needs fewer of them, against a jump that moves many engines at
// once, and against engines that move on after they followed it.
func TestDivisionFollowsAJump(t *testing.T) {
	w := newPlay(1, 38, map[identifier.ModelName]float64{"m0": 720, "m1": 1280, "m2": 1280}, true)
	w.run(30 * time.Second)
	before := w.assigned(t)
	w.moves = nil
	w.events["m0"] = 2560
	jumped := w.now
	for range 30 {
		moves := len(w.moves)
		w.run(time.Second)
		require.LessOrEqual(t, len(w.moves)-moves, 1, "moves in one second")
	}
	after := w.assigned(t)
	t.Logf("%v, after the jump %v with %d moves", before, after, len(w.moves))
	require.InDelta(t, 8, before["m0"], 1.5)
	require.InDelta(t, 19, after["m0"], 2)
	moved := len(w.moves)
	require.LessOrEqual(t, moved, after["m0"]-before["m0"]+1)
	w.run(time.Minute)
	require.LessOrEqual(t, len(w.moves)-moved, 2, "moves since %s", w.now.Sub(jumped))
}

// Guards against engines that follow noise, each of which costs loads: statements that differ from second to second by half, and a model that no
// statement names for a few seconds, as while its jobs change hosts.
func TestNoiseMovesFewEngines(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(36)
		demand := map[identifier.ModelName]float64{"m0": 400, "m1": 600, "m2": 800}
		moves := 0
		for second := range 300 {
			stated := make(map[identifier.ModelName]placer.Demand)
			for _, model := range models {
				if second%60 < 57 || model != "m1" {
					stated[model] = placer.Demand{EventsPerSecond: demand[model] * (0.5 + random.Float64())}
				}
			}
			f.p.Handle(f.now, placer.DemandStated{Demand: map[identifier.PoolName]map[identifier.ModelName]placer.Demand{pool: stated}})
			f.p.Handle(f.now, placer.VersionsListed{})
			for range 10 {
				f.p.Handle(f.now, placer.Tick{})
				f.now = f.now.Add(100 * time.Millisecond)
			}
			moves += len(f.p.TakeMoves())
		}
		t.Logf("seed %d: %d moves in 300 s", seed, moves)
		require.LessOrEqual(t, moves, 15)
	}
}

// state states the demand of models for some seconds and runs the loads that follow.
func (f *fleet) state(t *testing.T, seconds int, demand map[identifier.ModelName]placer.Demand) (moves []placer.Move) {
	for range seconds {
		f.p.Handle(f.now, placer.DemandStated{Demand: map[identifier.PoolName]map[identifier.ModelName]placer.Demand{pool: demand}})
		f.run(t)
		moves = append(moves, f.p.TakeMoves()...)
		f.now = f.now.Add(time.Second)
	}
	return moves
}

func (f *fleet) shares() map[identifier.ModelName]placer.Share {
	shares := make(map[identifier.ModelName]placer.Share)
	for _, share := range f.p.Shares()[pool] {
		shares[share.Model] = share
	}
	return shares
}

// Guards against a late trainer that gets fewer engines, because it submits less while it waits.
func TestLateTrainerGetsMore(t *testing.T) {
	f := newFleet(18)
	f.announce(2, models...)
	f.run(t)
	demand := map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 400}, "m1": {EventsPerSecond: 400}, "m2": {EventsPerSecond: 400}}
	require.Empty(t, f.state(t, 20, demand))
	demand["m1"] = placer.Demand{EventsPerSecond: 400, Late: true}
	moves := f.state(t, 30, demand)
	require.NotEmpty(t, moves)
	for _, move := range moves {
		require.EqualValues(t, "m1", move.To)
	}
	require.GreaterOrEqual(t, f.shares()["m1"].Engines, 8)
}

// Guards against a model without engines because the others have all the demand.
func TestEachModelKeepsAnEngine(t *testing.T) {
	f := newFleet(9)
	f.announce(2, models...)
	f.run(t)
	f.state(t, 60, map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 5000}, "m1": {}, "m2": {}})
	require.Equal(t, 1, f.shares()["m1"].Engines)
	require.Equal(t, 1, f.shares()["m2"].Engines)
	require.Equal(t, 7, f.shares()["m0"].Engines)
	zones := map[identifier.Zone]int{}
	f.announce(3, "m0")
	f.run(t)
	for _, id := range f.serving("m0", 3) {
		zones[f.engines[id].Zone]++
	}
	for zone, engines := range zones {
		require.LessOrEqual(t, engines, 3, "zone %s", zone)
	}
}

// Guards against a model that loses its engines because an older build, which states no demand, owns its jobs: it keeps the share
// that it had, or an equal one, for some minutes.
func TestSilentModelKeepsItsShare(t *testing.T) {
	f := newFleet(18)
	f.announce(2, models...)
	f.run(t)
	f.state(t, 60, map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 600}, "m1": {EventsPerSecond: 600}})
	require.Equal(t, 6, f.shares()["m2"].Engines)
	f.state(t, 60, map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 600}, "m1": {EventsPerSecond: 600}, "m2": {EventsPerSecond: 1200}})
	require.InDelta(t, 9, f.shares()["m2"].Engines, 1)
	f.state(t, 120, map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 600}, "m1": {EventsPerSecond: 600}})
	require.InDelta(t, 9, f.shares()["m2"].Engines, 1)
	f.state(t, 180, map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 600}, "m1": {EventsPerSecond: 600}})
	require.LessOrEqual(t, f.shares()["m2"].Engines, 2)
}

// Guards against many loads when another host acquires the lease: the substitute has the demand, so it infers the uneven
// division from the engines' weights and keeps it. Without demand it divides equally, as a host does that knows none.
func TestNewHolderKeepsTheUnevenDivision(t *testing.T) {
	demand := map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 200}, "m1": {EventsPerSecond: 300}, "m2": {EventsPerSecond: 400}}
	f := newFleet(18)
	f.announce(2, models...)
	f.run(t)
	f.state(t, 30, demand)
	f.announce(3, models...)
	f.run(t)
	before := map[identifier.ModelName][]identifier.UpstreamID{}
	for _, model := range models {
		before[model] = f.serving(model, 3)
	}
	require.Len(t, before["m0"], 4)
	require.Len(t, before["m2"], 8)
	f.restart()
	f.p.Handle(f.now, placer.DemandStated{Demand: map[identifier.PoolName]map[identifier.ModelName]placer.Demand{pool: demand}})
	f.loads = nil
	f.announce(4, models...)
	f.run(t)
	require.Len(t, f.loads, 18)
	for _, model := range models {
		require.ElementsMatch(t, before[model], f.serving(model, 4))
	}
	f.restart()
	f.announce(5, models...)
	f.run(t)
	for _, model := range models {
		require.Len(t, f.serving(model, 5), 6)
	}
}

// Guards against a division that stays uneven after the demand is gone: it returns to equal shares, one engine in a second.
func TestEqualDivisionReturnsWithoutDemand(t *testing.T) {
	f := newFleet(18)
	f.announce(2, models...)
	f.run(t)
	f.state(t, 60, map[identifier.ModelName]placer.Demand{"m0": {EventsPerSecond: 1}, "m1": {EventsPerSecond: 1000}, "m2": {EventsPerSecond: 1000}})
	require.LessOrEqual(t, f.shares()["m0"].Engines, 2)
	for range 20 {
		f.run(t)
		require.LessOrEqual(t, len(f.p.TakeMoves()), 1)
		f.now = f.now.Add(time.Second)
	}
	require.GreaterOrEqual(t, f.shares()["m0"].Engines, 5)
	f.now = f.now.Add(time.Minute)
	f.run(t)
	require.Empty(t, f.p.Shares())
	f.announce(3, models...)
	f.run(t)
	for _, model := range models {
		require.Len(t, f.serving(model, 3), 6)
	}
}

// Guards against an engine that is moved while it loads, and so loads twice.
func TestLoadingEngineIsNotMoved(t *testing.T) {
	f := newFleet(6)
	demand := map[identifier.PoolName]map[identifier.ModelName]placer.Demand{pool: {"m0": {EventsPerSecond: 1}, "m1": {EventsPerSecond: 1}, "m2": {EventsPerSecond: 1}}}
	f.p.Handle(f.now, placer.DemandStated{Demand: demand})
	f.announce(2, models...)
	loading := map[identifier.UpstreamID]bool{}
	for second := range 5 {
		demand[pool]["m0"] = placer.Demand{EventsPerSecond: 1000}
		f.p.Handle(f.now, placer.DemandStated{Demand: demand})
		for _, load := range f.p.Handle(f.now, placer.Tick{}) {
			loading[load.Engine.ID] = true
		}
		for _, move := range f.p.TakeMoves() {
			require.False(t, loading[move.Engine], "second %d: engine %s loads", second, move.Engine)
		}
		f.now = f.now.Add(time.Second)
	}
	require.NotEmpty(t, loading)
}
