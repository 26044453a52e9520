package disseminator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/service/disseminator"
)

// bound is promise P9: an accepted catalogue is in effect everywhere within 13 s while paths exist.
const bound = 13 * time.Second

// Guards against reverts, wrong content, early readiness, and hosts that miss a revision, under any faults.
func TestEveryHostGetsEachRevisionUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newExchange(rapid.IntRange(1, 12).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		defer x.strict()()
		anyHost := func(t *rapid.T) *host { return rapid.SampledFrom(x.hosts).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				x.advance(time.Duration(rapid.IntRange(10, 15_000).Draw(t, "ms")) * time.Millisecond)
			},
			"edits": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "edits") {
					x.edit()
					x.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				}
			},
			"store": func(_ *rapid.T) { x.down, x.faultAt = !x.down, x.now },
			"cut":   func(_ *rapid.T) { x.cut, x.faultAt = !x.cut, x.now },
			"stale": func(_ *rapid.T) { x.stale = !x.stale },
			"lose": func(t *rapid.T) {
				x.loss, x.faultAt = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"), x.now
			},
			"crash":   func(t *rapid.T) { x.crash(anyHost(t)) },
			"restart": func(t *rapid.T) { x.start(anyHost(t)) },
			"freeze": func(t *rapid.T) {
				anyHost(t).frozen = x.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second)
			},
		})
		x.down, x.cut, x.stale, x.loss, x.faultAt = false, false, false, 0, x.now
		for _, h := range x.hosts {
			h.frozen = time.Time{}
		}
		x.members()
		if took := x.settle(bound); len(x.behind()) > 0 {
			t.Fatalf("hosts %v are behind revision %d after %v", x.behind(), x.latest(), took)
		}
	})
}

// Guards against a host that was paused while it asked for the highest revision and becomes ready by answers from before
// the pause. Found by rapid with seed 15594470567042730914: ready with revision 4, 5.243 s after revision 5.
func TestAnswersFromBeforeAPauseConfirmNothing(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self, peer := codec.Member{ID: "a", Address: "1"}, codec.Member{ID: "b", Address: "2"}
	d := disseminator.New(disseminator.Config{Self: self, Rand: rand.New(rand.NewPCG(1, 2))})
	d.Handle(start, disseminator.MembersChanged{Self: self, Live: []codec.Member{self, peer}})
	d.Handle(start, disseminator.Tick{})
	d.Handle(start.Add(10*time.Millisecond), disseminator.StoreSeen{Full: true})
	paused := start.Add(5200 * time.Millisecond)
	require.NotContains(t, d.Handle(paused, disseminator.MembersChanged{Self: self, Live: []codec.Member{self, peer}}), disseminator.SetReady{Ready: true})
	d.Handle(paused, disseminator.Tick{})
	d.Handle(paused, disseminator.StoreSeen{Full: true})
	require.Contains(t, d.Handle(paused.Add(1500*time.Millisecond), disseminator.Tick{}), disseminator.SetReady{Ready: true})
}

// Guards against slow dissemination: a change reaches 200 hosts within the bound, with a tenth of the messages lost.
func TestChangeReachesManyHostsWithinBound(t *testing.T) {
	x := newExchange(200, 1, t.Fatalf)
	defer x.strict()()
	x.advance(10 * time.Second)
	require.Empty(t, x.behind())
	for _, loss := range []float64{0, 0.1} {
		x.loss = loss
		x.edit()
		took := x.settle(time.Minute)
		t.Logf("200 hosts, loss %v: in force after %v", loss, took)
		require.Less(t, took, bound)
	}
}

// Guards against more or fewer waiting watches than two for each zone.
func TestTwoWatchersPerZone(t *testing.T) {
	x := newExchange(40, 2, t.Fatalf)
	x.advance(5 * time.Second)
	watchers := make(map[string]int)
	for _, h := range x.hosts {
		if h.watching {
			watchers[string(h.self.Zone)]++
		}
	}
	require.Equal(t, map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}, watchers)
}

// Guards against a host that counts as ready during an outage without the revision that its peers hold, and against a
// fleet that takes an unknown catalogue for an empty one when all hosts restart during an outage.
func TestHostsStartedDuringOutage(t *testing.T) {
	x := newExchange(6, 3, t.Fatalf)
	defer x.strict()()
	x.edit()
	x.advance(10 * time.Second)
	x.down = true
	x.start(x.hosts[0])
	require.False(t, x.hosts[0].ready)
	x.advance(5 * time.Second)
	require.True(t, x.hosts[0].ready)
	require.EqualValues(t, 1, x.hosts[0].current.Revision)
	for _, h := range x.hosts {
		h.crashed = true
	}
	for _, h := range x.hosts {
		x.start(h)
	}
	x.advance(time.Minute)
	for _, h := range x.hosts {
		require.False(t, h.ready)
	}
	x.down = false
	require.Less(t, x.settle(bound), bound)
}

// Guards against an empty store that keeps hosts from becoming ready.
func TestEmptyStoreIsReady(t *testing.T) {
	x := newExchange(3, 4, t.Fatalf)
	x.advance(5 * time.Second)
	for _, h := range x.hosts {
		require.True(t, h.ready)
		require.Zero(t, h.current.Revision)
	}
}

// Guards against a region that loses its catalogue or readiness while it is cut off, and that stays behind afterwards.
func TestRegionWithoutStoreKeepsItsRevision(t *testing.T) {
	x := newExchange(12, 5, t.Fatalf)
	defer x.strict()()
	x.edit()
	x.advance(20 * time.Second)
	x.cut = true
	x.edit()
	x.start(x.hosts[1])
	x.advance(time.Minute)
	for _, h := range x.hosts {
		require.True(t, h.ready, "%s in region %d", h.self.ID, h.region)
		require.EqualValues(t, 2-h.region, h.current.Revision)
	}
	x.cut = false
	require.Less(t, x.settle(bound), bound)
}

// Guards against a frozen host that serves on as ready with an old revision.
func TestResumedHostConfirmsItsRevisionFirst(t *testing.T) {
	x := newExchange(6, 6, t.Fatalf)
	defer x.strict()()
	x.advance(10 * time.Second)
	h := x.hosts[2]
	h.frozen = x.now.Add(time.Minute)
	x.advance(30 * time.Second)
	x.edit()
	x.advance(30*time.Second - time.Millisecond)
	x.give(h, disseminator.Tick{})
	require.False(t, h.ready)
	require.Less(t, x.settle(bound), bound)
}

// Guards against a damaged delta that is applied, and against a host that does not ask for the whole catalogue then.
func TestDeltaWithWrongDigestIsRefused(t *testing.T) {
	x := newExchange(3, 7, t.Fatalf)
	defer x.strict()()
	x.edit()
	x.advance(10 * time.Second)
	h := x.hosts[0]
	damaged := codec.CatalogueDelta{From: x.hosts[1].self.ID, BaseRevision: 1, Revision: 2, Digest: "wrong"}
	var rejected, asked bool
	for _, command := range h.Handle(x.now, disseminator.Pushed{Delta: damaged}) {
		switch c := command.(type) {
		case disseminator.Apply:
			t.Fatalf("applied revision %d", c.Catalogue.Revision)
		case disseminator.Rejected:
			rejected = true
		case disseminator.Compare:
			asked = c.Digest.Revision == 0 && c.To.ID == x.hosts[1].self.ID
		}
	}
	require.True(t, rejected)
	require.True(t, asked)
}

// Guards against a starting host that counts as ready while a live host is known to hold a higher revision.
func TestHostIsNotReadyBelowAKnownRevision(t *testing.T) {
	self := codec.Member{ID: "a", Address: "a"}
	peers := []codec.Member{self, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
	d := disseminator.New(disseminator.Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(1_700_000_000, 0)
	ready := func(event disseminator.Event) (ready bool) {
		for _, command := range d.Handle(now, event) {
			if c, ok := command.(disseminator.SetReady); ok {
				ready = c.Ready
			}
		}
		return ready
	}
	require.False(t, ready(disseminator.MembersChanged{Self: self, Live: peers}))
	require.False(t, ready(disseminator.Tick{}))
	require.False(t, ready(disseminator.StoreFailed{}))
	require.False(t, ready(disseminator.RevisionReported{Host: peers[1], Revision: 5}))
	known := codec.CatalogueDigest{From: "c", Known: true}
	require.False(t, ready(disseminator.Answered{From: peers[2], Answer: codec.CatalogueAnswer{Digest: known}}))
	require.False(t, ready(disseminator.Failed{To: peers[1]}))
	require.True(t, ready(disseminator.MembersChanged{Self: self, Live: []codec.Member{self, peers[2]}}), "b is not reachable")
}
