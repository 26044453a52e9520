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

// bound is the limit of promise P9: an accepted catalogue is in effect on every host within 13 s while network paths exist.
const bound = 13 * time.Second

// Guards against revisions that revert, wrong content, hosts that are ready too early and hosts that miss a revision, under
// any combination of faults.
func TestEveryHostGetsEachRevisionUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 12).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		defer c.failOnViolation()()
		anyHost := func(t *rapid.T) *host { return rapid.SampledFrom(c.hosts).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(10, 15_000).Draw(t, "ms")) * time.Millisecond)
			},
			"edits": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "edits") {
					c.edit()
					c.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				}
			},
			"store": func(_ *rapid.T) { c.storeDown, c.faultAt = !c.storeDown, c.now },
			"cut":   func(_ *rapid.T) { c.partitioned, c.faultAt = !c.partitioned, c.now },
			"stale": func(_ *rapid.T) { c.staleWatch = !c.staleWatch },
			"lose": func(t *rapid.T) {
				c.loss, c.faultAt = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"), c.now
			},
			"crash":   func(t *rapid.T) { c.crash(anyHost(t)) },
			"restart": func(t *rapid.T) { c.start(anyHost(t)) },
			"freeze": func(t *rapid.T) {
				anyHost(t).frozen = c.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second)
			},
		})
		c.storeDown, c.partitioned, c.staleWatch, c.loss, c.faultAt = false, false, false, 0, c.now
		for _, h := range c.hosts {
			h.frozen = time.Time{}
		}
		c.notifyMembers()
		if took := c.runUntilCurrent(bound); len(c.behind()) > 0 {
			t.Fatalf("hosts %v are behind revision %d after %v", c.behind(), c.latest(), took)
		}
	})
}

// Guards against a host that is paused during a confirmation round and becomes ready by responses from before the pause: a
// host became ready with revision 4, 5.243 s after the store had accepted revision 5.
func TestResponsesFromBeforePauseDoNotConfirm(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self, peer := codec.Member{ID: "a", Address: "1"}, codec.Member{ID: "b", Address: "2"}
	d := disseminator.New(disseminator.Config{Self: self, Rand: rand.New(rand.NewPCG(1, 2))})
	d.Handle(start, disseminator.MembersChanged{Self: self, Live: []codec.Member{self, peer}})
	d.Handle(start, disseminator.Tick{})
	d.Handle(start.Add(10*time.Millisecond), disseminator.StoreListed{Full: true})
	paused := start.Add(5200 * time.Millisecond)
	require.NotContains(t, d.Handle(paused, disseminator.MembersChanged{Self: self, Live: []codec.Member{self, peer}}), disseminator.SetReady{Ready: true})
	d.Handle(paused, disseminator.Tick{})
	d.Handle(paused, disseminator.StoreListed{Full: true})
	require.Contains(t, d.Handle(paused.Add(1500*time.Millisecond), disseminator.Tick{}), disseminator.SetReady{Ready: true})
}

// Guards against slow dissemination: a change reaches 200 hosts within the bound, also with a tenth of the messages lost.
func TestChangeReachesManyHostsWithinBound(t *testing.T) {
	c := newCluster(200, 1, t.Fatalf)
	defer c.failOnViolation()()
	c.advance(10 * time.Second)
	require.Empty(t, c.behind())
	for _, loss := range []float64{0, 0.1} {
		c.loss = loss
		c.edit()
		took := c.runUntilCurrent(time.Minute)
		t.Logf("200 hosts, loss %v: in effect after %v", loss, took)
		require.Less(t, took, bound)
	}
}

// Guards against zones with more or fewer than two hosts that watch the store.
func TestTwoWatchersPerZone(t *testing.T) {
	c := newCluster(40, 2, t.Fatalf)
	c.advance(5 * time.Second)
	watchers := make(map[string]int)
	for _, h := range c.hosts {
		if h.watching {
			watchers[string(h.self.Zone)]++
		}
	}
	require.Equal(t, map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}, watchers)
}

// Guards against a host that is ready during an outage without the revision that its peers hold, and against hosts that
// treat an unknown catalogue as empty when all of them restart during an outage.
func TestHostsStartedDuringOutage(t *testing.T) {
	c := newCluster(6, 3, t.Fatalf)
	defer c.failOnViolation()()
	c.edit()
	c.advance(10 * time.Second)
	c.storeDown = true
	c.start(c.hosts[0])
	require.False(t, c.hosts[0].ready)
	c.advance(5 * time.Second)
	require.True(t, c.hosts[0].ready)
	require.EqualValues(t, 1, c.hosts[0].current.Revision)
	for _, h := range c.hosts {
		h.crashed = true
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	c.advance(time.Minute)
	for _, h := range c.hosts {
		require.False(t, h.ready)
	}
	c.storeDown = false
	require.Less(t, c.runUntilCurrent(bound), bound)
}

// Guards against an empty store that keeps hosts from becoming ready.
func TestEmptyStoreIsReady(t *testing.T) {
	c := newCluster(3, 4, t.Fatalf)
	c.advance(5 * time.Second)
	for _, h := range c.hosts {
		require.True(t, h.ready)
		require.Zero(t, h.current.Revision)
	}
}

// Guards against a region that loses its catalogue or readiness while it is partitioned from the store, or that stays
// behind afterwards.
func TestRegionWithoutStoreKeepsItsRevision(t *testing.T) {
	c := newCluster(12, 5, t.Fatalf)
	defer c.failOnViolation()()
	c.edit()
	c.advance(20 * time.Second)
	c.partitioned = true
	c.edit()
	c.start(c.hosts[1])
	c.advance(time.Minute)
	for _, h := range c.hosts {
		require.True(t, h.ready, "%s in region %d", h.self.ID, h.region)
		require.EqualValues(t, 2-h.region, h.current.Revision)
	}
	c.partitioned = false
	require.Less(t, c.runUntilCurrent(bound), bound)
}

// Guards against a frozen host that is still ready with an old revision when it resumes.
func TestResumedHostConfirmsItsRevisionFirst(t *testing.T) {
	c := newCluster(6, 6, t.Fatalf)
	defer c.failOnViolation()()
	c.advance(10 * time.Second)
	h := c.hosts[2]
	h.frozen = c.now.Add(time.Minute)
	c.advance(30 * time.Second)
	c.edit()
	c.advance(30*time.Second - time.Millisecond)
	c.handle(h, disseminator.Tick{})
	require.False(t, h.ready)
	require.Less(t, c.runUntilCurrent(bound), bound)
}

// Guards against a damaged delta that is applied, and against a host that then does not request the complete catalogue.
func TestDeltaWithWrongDigestIsRefused(t *testing.T) {
	c := newCluster(3, 7, t.Fatalf)
	defer c.failOnViolation()()
	c.edit()
	c.advance(10 * time.Second)
	h := c.hosts[0]
	damaged := codec.CatalogueDelta{From: c.hosts[1].self.ID, BaseRevision: 1, Revision: 2, Digest: "wrong"}
	var rejected, queried bool
	for _, command := range h.Handle(c.now, disseminator.Pushed{Delta: damaged}) {
		switch cmd := command.(type) {
		case disseminator.Apply:
			t.Fatalf("applied revision %d", cmd.Catalogue.Revision)
		case disseminator.Rejected:
			rejected = true
		case disseminator.Compare:
			queried = cmd.Digest.Revision == 0 && cmd.To.ID == c.hosts[1].self.ID
		}
	}
	require.True(t, rejected)
	require.True(t, queried)
}

// Guards against a starting host that is ready while a live host is known to hold a higher revision.
func TestHostIsNotReadyBelowAKnownRevision(t *testing.T) {
	self := codec.Member{ID: "a", Address: "a"}
	peers := []codec.Member{self, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
	d := disseminator.New(disseminator.Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(1_700_000_000, 0)
	ready := func(event disseminator.Event) (ready bool) {
		for _, command := range d.Handle(now, event) {
			if cmd, ok := command.(disseminator.SetReady); ok {
				ready = cmd.Ready
			}
		}
		return ready
	}
	require.False(t, ready(disseminator.MembersChanged{Self: self, Live: peers}))
	require.False(t, ready(disseminator.Tick{}))
	require.False(t, ready(disseminator.StoreFailed{}))
	require.False(t, ready(disseminator.RevisionReported{Host: peers[1], Revision: 5}))
	known := codec.CatalogueDigest{From: "c", Known: true}
	require.False(t, ready(disseminator.Responded{From: peers[2], Response: codec.CatalogueAnswer{Digest: known}}))
	require.False(t, ready(disseminator.Failed{To: peers[1]}))
	require.True(t, ready(disseminator.MembersChanged{Self: self, Live: []codec.Member{self, peers[2]}}), "b is not reachable")
}
