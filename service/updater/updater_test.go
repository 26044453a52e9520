package updater_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/storekeeper"
	"celerygap.example/service/updater"
)

// Guards against engines that miss a version, against more loads from the weight store than one for each region and each
// failed load, and against engines with too many children.
func TestAnnouncementReachesAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		f := newFakeEngines(60, time.Second)
		f.failLoads = 5
		store := storekeeper.New()
		c := startCluster(t, f, updater.Config{}, store, store, store)
		require.NoError(t, c.updater(0).Announce(t.Context(), "t", 2))
		time.Sleep(40 * time.Second)
		require.Equal(t, 60, f.serving(2))
		require.LessOrEqual(t, f.maxChildren, updater.DefaultMaxChildren)
		require.LessOrEqual(t, f.storeLoads, 2+5)
		require.EqualValues(t, 2, c.updater(2).Current("t"))
	})
}

// Guards against a holder that freezes between the check of its lease and the sending of an order: its successor must finish
// the rollout, and the late orders must not leave an engine at a lower version. Engines that check neither fencing tokens
// nor expiry revert for a time.
func TestFrozenHolderDoesNotUndoItsSuccessor(t *testing.T) {
	cases := map[string]struct{ checksFencing, checksExpiry, reverts bool }{
		"engines check fencing": {checksFencing: true},
		"engines check expiry":  {checksExpiry: true},
		"engines check neither": {reverts: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failOnViolation(t)
				f := newFakeEngines(20, 100*time.Millisecond)
				f.checksFencing, f.checksExpiry = c.checksFencing, c.checksExpiry
				store := storekeeper.New()
				hosts := []*freezable{{Store: store, Engines: f}, {Store: store, Engines: f}}
				m := startCluster(t, f, updater.Config{}, hosts[0], hosts[1])
				first, second := m.members[:1], m.members[1:]
				m.live.Store(&first)
				require.NoError(t, m.updater(0).Announce(t.Context(), "t", 2))
				time.Sleep(10 * time.Second)
				require.Equal(t, 20, f.serving(2))
				hosts[0].freeze(60 * time.Second)
				require.NoError(t, m.updater(1).Announce(t.Context(), "t", 3))
				time.Sleep(time.Second)
				m.live.Store(&second)
				time.Sleep(40 * time.Second)
				require.NoError(t, m.updater(1).Announce(t.Context(), "t", 4))
				time.Sleep(50 * time.Second)
				require.Equal(t, 20, f.serving(4))
				require.Equal(t, c.reverts, len(f.reversions) > 0, "late orders of the frozen holder: %v", f.reversions)
			})
		})
	}
}

// Guards against an announcement that fails or is lost while the store is down: the hosts send it to each other and save it
// later.
func TestAnnouncementDuringOutageIsSavedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		f := newFakeEngines(4, time.Second)
		store := storekeeper.New()
		c := startCluster(t, f, updater.Config{}, store, store, store)
		time.Sleep(time.Second)
		store.SetFaults(storekeeper.Faults{Down: true})
		require.NoError(t, c.updater(1).Announce(t.Context(), "t", 5))
		require.EqualValues(t, 5, c.updater(0).Current("t"))
		store.SetFaults(storekeeper.Faults{LoseResponses: 1})
		time.Sleep(20 * time.Second)
		object, err := store.Get(t.Context(), "weights/t")
		require.NoError(t, err)
		require.JSONEq(t, `{"version":5}`, string(object.Value))
		require.Equal(t, 4, f.serving(5))
	})
}

// Guards against accepting a lower version or an unknown trainer, and against confirming a version that only one host holds.
func TestAnnounceRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storekeeper.New()
		c := startCluster(t, newFakeEngines(1, 0), updater.Config{}, store, store)
		require.NoError(t, c.updater(0).Announce(t.Context(), "t", 5))
		require.NoError(t, c.updater(1).Announce(t.Context(), "t", 5))
		reverted, _ := refuser.As(c.updater(1).Announce(t.Context(), "t", 4))
		require.Equal(t, refuser.VersionReverted, reverted.Reason)
		unknown, _ := refuser.As(c.updater(0).Announce(t.Context(), "other", 4))
		require.Equal(t, refuser.UnknownEntry, unknown.Reason)
		store.SetFaults(storekeeper.Faults{Down: true})
		gone := []codec.Member{c.members[0], {ID: "gone"}}
		c.live.Store(&gone)
		alone, _ := refuser.As(c.updater(0).Announce(t.Context(), "t", 6))
		require.Equal(t, codec.OutcomeUnknown, alone.Outcome)
	})
}

// Guards against an engine that restarts without the announced version and never gets it again.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		f := newFakeEngines(6, time.Second)
		store := storekeeper.New()
		c := startCluster(t, f, updater.Config{}, store)
		require.NoError(t, c.updater(0).Announce(t.Context(), "t", 2))
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		*f.engines["e0003"] = engine{}
		f.mu.Unlock()
		time.Sleep(20 * time.Second)
		require.Equal(t, 6, f.serving(2))
	})
}
