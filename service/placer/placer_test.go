package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/placer"
)

const pool identifier.PoolName = "engines"

var models = []identifier.ModelName{"m0", "m1", "m2"}

// fleet simulates a pool of engines whose loads take a fixed time.
type fleet struct {
	p       *placer.Placer
	now     time.Time
	engines map[identifier.UpstreamID]codec.ListedHost
	loading map[identifier.UpstreamID]load
	loads   []placer.Load
}

type load struct {
	placer.Load
	ends time.Time
}

func newFleet(engines int) *fleet {
	f := &fleet{now: time.Now(), engines: make(map[identifier.UpstreamID]codec.ListedHost), loading: make(map[identifier.UpstreamID]load)}
	for i := range engines {
		id := identifier.UpstreamID(fmt.Sprintf("e%02d", i))
		host := codec.ListedHost{ID: id, Address: "10.0.0.1:80", Pool: pool, Zone: identifier.Zone(fmt.Sprint(i % 3)), State: codec.HostStateLive}
		for _, model := range models {
			host.Models = append(host.Models, codec.ModelState{Model: model, Serving: 1})
		}
		f.engines[id] = host
	}
	f.restart()
	return f
}

// restart replaces the placer, as when another host acquires the lease.
func (f *fleet) restart() {
	f.p = placer.New()
	f.p.Handle(f.now, placer.PoolsChanged{Pools: []codec.Pool{{Name: pool, Models: models}}})
	f.publish()
	f.p.Handle(f.now, placer.LeaseAcquired{})
}

func (f *fleet) publish() {
	hosts := make([]codec.ListedHost, 0, len(f.engines))
	for _, host := range f.engines {
		hosts = append(hosts, host)
	}
	f.p.Handle(f.now, placer.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: hosts}})
}

func (f *fleet) announce(version identifier.WeightVersion, announced ...identifier.ModelName) {
	for _, model := range announced {
		f.p.Handle(f.now, placer.VersionAnnounced{Model: model, Version: version})
	}
	f.p.Handle(f.now, placer.VersionsListed{})
}

// run advances the time until no load is in progress and returns how many loads at most ran at the same time.
func (f *fleet) run(t *testing.T) (most int) {
	for range 400 {
		started := f.p.Handle(f.now, placer.Tick{})
		for _, l := range started {
			_, twice := f.loading[l.Engine.ID]
			require.False(t, twice, "engine %s got an order while it loads", l.Engine.ID)
			f.loading[l.Engine.ID] = load{l, f.now.Add(900 * time.Millisecond)}
			f.loads = append(f.loads, l)
		}
		if len(f.loading) == 0 {
			return most
		}
		most = max(most, len(f.loading))
		f.now = f.now.Add(50 * time.Millisecond)
		for id, l := range f.loading {
			if f.now.Before(l.ends) {
				continue
			}
			delete(f.loading, id)
			host := f.engines[id]
			states := append([]codec.ModelState{}, host.Models...)
			for i := range states {
				if states[i].Model == l.Model {
					states[i].Serving = l.Version
				}
			}
			host.Models = states
			f.engines[id] = host
			f.publish()
			f.p.Handle(f.now, placer.OrderEnded{Engine: id, Model: l.Model, Version: l.Version})
		}
	}
	t.Fatal("loads are still in progress after 20 s of simulated time")
	return most
}

func (f *fleet) serving(model identifier.ModelName, version identifier.WeightVersion) (ids []identifier.UpstreamID) {
	for id, host := range f.engines {
		for _, state := range host.Models {
			if state.Model == model && state.Serving == version {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// Guards against more loads than one per engine, against too many loads at the same time, and against a model whose engines are
// all in one zone.
func TestEachModelGetsAnEqualShare(t *testing.T) {
	f := newFleet(9)
	f.announce(2, models...)
	require.LessOrEqual(t, f.run(t), 2)
	require.Len(t, f.loads, 9)
	for _, model := range models {
		ids := f.serving(model, 2)
		require.Len(t, ids, 3)
		zones := map[identifier.Zone]bool{}
		for _, id := range ids {
			zones[f.engines[id].Zone] = true
		}
		require.Len(t, zones, 3, "model %s", model)
	}
}

// Guards against orders before the announced versions are listed: until then no engine seems to be behind, so an engine
// could be assigned to another model than the one that it serves.
func TestNothingIsOrderedBeforeTheVersionsAreListed(t *testing.T) {
	f := newFleet(9)
	f.p.Handle(f.now, placer.VersionAnnounced{Model: "m0", Version: 2})
	require.Empty(t, f.p.Handle(f.now, placer.Tick{}))
}

// Guards against engines that change their models when another host acquires the lease: it has to infer the assignment from
// the engines' weights.
func TestNewHolderKeepsTheAssignment(t *testing.T) {
	f := newFleet(9)
	f.announce(2, models...)
	f.run(t)
	before := map[identifier.ModelName][]identifier.UpstreamID{}
	for _, model := range models {
		before[model] = f.serving(model, 2)
	}
	f.restart()
	f.loads = nil
	f.announce(3, models...)
	f.run(t)
	require.Len(t, f.loads, 9)
	for _, model := range models {
		require.ElementsMatch(t, before[model], f.serving(model, 3))
	}
}

// Guards against a model without engines after some of its engines are gone.
func TestLostEnginesAreReplaced(t *testing.T) {
	f := newFleet(9)
	f.announce(2, models...)
	f.run(t)
	for _, id := range f.serving("m1", 2) {
		delete(f.engines, id)
	}
	f.publish()
	f.run(t)
	require.Len(t, f.serving("m1", 2), 2)
}

// Guards against a training step that waits because all engines of its model load at the same time, although the version
// that they still serve is recent enough for the step.
func TestSomeEnginesKeepServing(t *testing.T) {
	f := newFleet(3)
	f.announce(2, models...)
	f.run(t)
	f = newFleet(9)
	f.announce(2, "m0")
	first := f.p.Handle(f.now, placer.Tick{})
	require.Len(t, first, 1)
}

// Guards against an engine that gets another order immediately after one that failed.
func TestFailedOrderBacksOff(t *testing.T) {
	f := newFleet(3)
	f.announce(2, models...)
	first := f.p.Handle(f.now, placer.Tick{})
	require.NotEmpty(t, first)
	f.p.Handle(f.now, placer.OrderEnded{Engine: first[0].Engine.ID, Model: first[0].Model, Failed: true})
	for _, again := range f.p.Handle(f.now, placer.Tick{}) {
		require.NotEqual(t, first[0].Engine.ID, again.Engine.ID)
	}
}
