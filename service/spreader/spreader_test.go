package spreader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/spreader"
)

// zone returns a member of another zone, followed by count members of zone z.
func zone(count int) []codec.Member {
	members := []codec.Member{{ID: "far", Zone: "other"}}
	for i := range count {
		members = append(members, codec.Member{ID: identifier.HostID(rune('a' + i)), Zone: "z"})
	}
	return members
}

func state(versions map[string]int64) map[string]codec.Object {
	objects := make(map[string]codec.Object)
	for key, version := range versions {
		objects[key] = codec.Object{Key: key, Version: version}
	}
	return objects
}

// Guards against zones with no watcher or with several, and against a large fleet in which all hosts call the store.
func TestOneWatcherPerZone(t *testing.T) {
	now := time.Now()
	live := zone(8)
	watchers := 0
	for _, member := range live[1:] {
		s := spreader.New(member, "kind/")
		require.True(t, s.Role(now, live).Follow, "a host without a confirmation follows the store itself")
		s.Receive(now, codec.StatePush{Revision: 1})
		role := s.Role(now, live)
		if role.Follow {
			watchers++
			require.Len(t, role.Recipients, 7)
		}
	}
	require.Equal(t, 1, watchers)
	require.Equal(t, spreader.Role{Follow: true}, spreader.New(live[1], "kind/").Role(now, zone(3)))
}

// Guards against a host that keeps an outdated state after its watcher fails: without confirmations, a host follows the store
// itself.
func TestSilentWatcherIsReplaced(t *testing.T) {
	now := time.Now()
	live := zone(8)
	for _, member := range live[1:] {
		s := spreader.New(member, "kind/")
		s.Receive(now, codec.StatePush{Revision: 1})
		require.True(t, s.Role(now.Add(1100*time.Millisecond), live).Follow)
	}
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
	other := spreader.New(codec.Member{ID: "b", Zone: "z"}, "kind/")
	watcher.Apply(3, state(map[string]int64{"x": 1, "y": 3}))
	reply, changed := other.Receive(now, watcher.Push(0))
	require.True(t, changed)
	watcher.Apply(5, state(map[string]int64{"x": 1, "z": 5}))
	push := watcher.Push(reply.Revision)
	require.Len(t, push.Objects, 1)
	_, changed = other.Receive(now, push)
	require.True(t, changed)
	require.Equal(t, watcher.Objects(), other.Objects())

	watcher.Apply(6, state(map[string]int64{"x": 6, "z": 5}))
	push = watcher.Push(5)
	require.False(t, push.SameKeys, "the keys changed at the receiver's revision")
	reply, _ = other.Receive(now, push)
	watcher.Apply(8, state(map[string]int64{"x": 8, "z": 5}))
	push = watcher.Push(reply.Revision)
	require.True(t, push.SameKeys)
	require.Empty(t, push.Keys)
	require.Len(t, push.Objects, 1)
	reply, changed = other.Receive(now, push)
	require.True(t, changed)
	require.Equal(t, watcher.Objects(), other.Objects())
	require.Empty(t, watcher.Push(reply.Revision).Objects)
	other.Apply(9, state(map[string]int64{"x": 9}))
	watcher.Apply(10, state(map[string]int64{"x": 10, "z": 5}))
	reply, _ = other.Receive(now, watcher.Push(8))
	require.Zero(t, reply.Revision, "a host that followed the store itself requests the complete state")
	other.Receive(now, watcher.Push(reply.Revision))
	require.Equal(t, watcher.Objects(), other.Objects())

	restarted := spreader.New(codec.Member{ID: "b", Zone: "z"}, "kind/")
	reply, _ = restarted.Receive(now, watcher.Push(10))
	require.Zero(t, reply.Revision)
	restarted.Receive(now, watcher.Push(reply.Revision))
	require.Equal(t, watcher.Objects(), restarted.Objects())
}
