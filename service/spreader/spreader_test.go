package spreader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/spreader"
)

// fleet returns the given number of hosts in each of three zones of region r, and as many in zone far of another region.
func fleet(count int) []codec.Member {
	var members []codec.Member
	for _, zone := range []identifier.Zone{"x", "y", "z", "far"} {
		region := identifier.Region("r")
		if zone == "far" {
			region = "s"
		}
		for i := range count {
			members = append(members, codec.Member{ID: identifier.HostID(fmt.Sprint(zone, i)), Zone: zone, Region: region})
		}
	}
	return members
}

// settled returns a state machine of each host that settled at now.
func settled(now time.Time, live []codec.Member) map[identifier.HostID]*spreader.Spreader {
	machines := make(map[identifier.HostID]*spreader.Spreader)
	for _, member := range live {
		machines[member.ID] = spreader.New(member, "kind/")
		machines[member.ID].Settle(now)
	}
	return machines
}

// followers returns the hosts that watch the store.
func followers(now time.Time, live []codec.Member, machines map[identifier.HostID]*spreader.Spreader) []identifier.HostID {
	var found []identifier.HostID
	for _, member := range live {
		if machines[member.ID].Role(now, live).Follow {
			found = append(found, member.ID)
		}
	}
	return found
}

func state(versions map[string]int64) map[string]codec.Object {
	objects := make(map[string]codec.Object)
	for key, version := range versions {
		objects[key] = codec.Object{Key: key, Version: version}
	}
	return objects
}

// Guards against regions with no watcher or with several, against a large fleet in which many hosts call the store, and
// against hosts to which no path of pushes leads.
func TestOneWatcherPerRegion(t *testing.T) {
	now := time.Now()
	for _, count := range []int{8, 30, 100} {
		live := fleet(count)
		machines := settled(now, live)
		roots := followers(now, live, machines)
		require.Len(t, roots, 2, "one for each region, whatever the size")
		reached := make(map[identifier.HostID]bool)
		for queue := roots; len(queue) > 0; queue = queue[1:] {
			if reached[queue[0]] {
				continue
			}
			reached[queue[0]] = true
			for _, recipient := range machines[queue[0]].Role(now, live).Recipients {
				queue = append(queue, recipient.ID)
			}
		}
		require.Len(t, reached, len(live))
	}
	require.Len(t, followers(now, fleet(3), settled(now, fleet(3))), 12, "in small zones all hosts watch the store")
}

// Guards against a fleet that starts at once and of which each host calls the store because it knows no other yet.
func TestUnsettledHostsDoNotWatch(t *testing.T) {
	now := time.Now()
	live := fleet(8)
	for _, member := range live {
		s := spreader.New(member, "kind/")
		require.False(t, s.Role(now, live[:1]).Follow)
		require.NotEmpty(t, s.Role(now, live).Sources, "a host without a state must know where to request it")
	}
}

// Guards against hosts of a small zone that request the state from each other again and again, although each watches the store
// itself and none has it confirmed.
func TestDirectHostsRequestOnlyTheirFirstState(t *testing.T) {
	now := time.Now()
	live := fleet(3)
	s := spreader.New(live[0], "kind/")
	s.Settle(now)
	require.NotEmpty(t, s.Role(now, live).Sources)
	s.Apply(1, state(map[string]int64{"x": 1}))
	s.Check(now)
	later := now.Add(10 * time.Second)
	require.True(t, s.Role(later, live).Follow)
	require.Empty(t, s.Role(later, live).Sources)
}

// Guards against a host that keeps an outdated state after its watcher fails, and against a failed watcher that makes all
// hosts call the store at once: the heads of the zones come first, then their substitutes, and no host waits longer than two
// seconds.
func TestSilentWatcherIsReplaced(t *testing.T) {
	now := time.Now()
	live := fleet(8)
	machines := settled(now, live)
	for _, c := range []struct {
		after   time.Duration
		follows int
	}{
		{900 * time.Millisecond, 2},
		{1100 * time.Millisecond, 4},
		{1600 * time.Millisecond, 8},
		{1900 * time.Millisecond, 12},
		{2100 * time.Millisecond, 32},
	} {
		require.Len(t, followers(now.Add(c.after), live, machines), c.follows, "after %s", c.after)
	}
	for _, machine := range machines {
		machine.Receive(now.Add(1900*time.Millisecond), codec.StatePush{Revision: 1})
	}
	require.Len(t, followers(now.Add(2100*time.Millisecond), live, machines), 2)
}

// Guards against an outage of the store in which every host calls it, and against hosts that rely on the word of a few for
// good: the heads and their substitutes keep trying, the others wait for them at most four seconds.
func TestOutageIsProbedByFew(t *testing.T) {
	now := time.Now()
	live := fleet(8)
	machines := settled(now, live)
	for after := time.Duration(0); after < 5*time.Second; after += 500 * time.Millisecond {
		at := now.Add(after)
		for _, machine := range machines {
			machine.Receive(at, codec.StatePush{StoreDown: true})
		}
		if after < 4*time.Second {
			require.LessOrEqual(t, len(followers(at, live, machines)), 12, "after %s", after)
		} else if after > 4*time.Second {
			require.Len(t, followers(at, live, machines), 32, "after %s", after)
		}
	}
	require.False(t, machines["x0"].Known(), "a report that the store is down is no state")
}

// Guards against hosts that rely on a state whose holder has lost the store.
func TestOnlyCurrentStatesArePassedOn(t *testing.T) {
	now := time.Now()
	s := spreader.New(codec.Member{ID: "a", Zone: "z"}, "kind/")
	s.Check(now)
	require.False(t, s.Current(now))
	s.Apply(3, state(map[string]int64{"x": 1}))
	require.True(t, s.Current(now))
	require.False(t, s.Current(now.Add(1100*time.Millisecond)))
	s.Receive(now.Add(time.Second), codec.StatePush{Revision: 3, Base: 3, SameKeys: true})
	require.True(t, s.Current(now.Add(1100*time.Millisecond)))
	// A host that holds this state and asks this one after the loss of their watcher must not count it as new.
	later := now.Add(1900 * time.Millisecond)
	other := spreader.New(codec.Member{ID: "b", Zone: "z"}, "kind/")
	other.Receive(later, s.Push(later, 0))
	require.True(t, other.Current(later))
	require.False(t, other.Current(later.Add(200*time.Millisecond)))
	s.Receive(later, other.Push(later, s.Revision()))
	require.False(t, s.Current(later.Add(200*time.Millisecond)))
}

// Guards against a host that reverts to an older state, and against confirmations by a watcher with an older revision.
func TestOlderStatesAreIgnored(t *testing.T) {
	now := time.Now()
	s := spreader.New(codec.Member{ID: "a", Zone: "z"}, "kind/")
	require.True(t, s.Apply(9, state(map[string]int64{"k": 9})))
	reply, changed := s.Receive(now, codec.StatePush{Revision: 8, Keys: []string{}})
	require.False(t, changed)
	require.EqualValues(t, 9, reply.Revision)
	require.Len(t, s.Objects(), 1)
	require.False(t, s.Apply(8, nil))
	require.True(t, s.Apply(9, nil), "an object that the follower kept after an outage is removed at the same revision")
}

// Guards against states that differ between the watcher and its zone after changes, removals and lost pushes.
func TestPushCarriesWhatIsMissing(t *testing.T) {
	now := time.Now()
	watcher := spreader.New(codec.Member{ID: "a", Zone: "z"}, "kind/")
	watcher.Check(now)
	other := spreader.New(codec.Member{ID: "b", Zone: "z"}, "kind/")
	watcher.Apply(3, state(map[string]int64{"x": 1, "y": 3}))
	reply, changed := other.Receive(now, watcher.Push(now, 0))
	require.True(t, changed)
	watcher.Apply(5, state(map[string]int64{"x": 1, "z": 5}))
	push := watcher.Push(now, reply.Revision)
	require.Len(t, push.Objects, 1)
	_, changed = other.Receive(now, push)
	require.True(t, changed)
	require.Equal(t, watcher.Objects(), other.Objects())

	watcher.Apply(6, state(map[string]int64{"x": 6, "z": 5}))
	push = watcher.Push(now, 5)
	require.False(t, push.SameKeys, "the keys changed at the receiver's revision")
	reply, _ = other.Receive(now, push)
	watcher.Apply(8, state(map[string]int64{"x": 8, "z": 5}))
	push = watcher.Push(now, reply.Revision)
	require.True(t, push.SameKeys)
	require.Empty(t, push.Keys)
	require.Len(t, push.Objects, 1)
	reply, changed = other.Receive(now, push)
	require.True(t, changed)
	require.Equal(t, watcher.Objects(), other.Objects())
	require.Empty(t, watcher.Push(now, reply.Revision).Objects)
	other.Apply(9, state(map[string]int64{"x": 9}))
	watcher.Apply(10, state(map[string]int64{"x": 10, "z": 5}))
	reply, _ = other.Receive(now, watcher.Push(now, 8))
	require.Zero(t, reply.Revision, "a host that followed the store itself requests the complete state")
	other.Receive(now, watcher.Push(now, reply.Revision))
	require.Equal(t, watcher.Objects(), other.Objects())

	restarted := spreader.New(codec.Member{ID: "b", Zone: "z"}, "kind/")
	reply, _ = restarted.Receive(now, watcher.Push(now, 10))
	require.Zero(t, reply.Revision)
	restarted.Receive(now, watcher.Push(now, reply.Revision))
	require.Equal(t, watcher.Objects(), restarted.Objects())
}
