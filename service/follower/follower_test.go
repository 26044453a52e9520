package follower_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/service/follower"
	"celerygap.example/service/storekeeper"
)

const hold = 2 * time.Second

func object(key string, version int64) codec.Object {
	return codec.Object{Key: key, Version: version, Revision: version, Value: json.RawMessage("1")}
}

func list(revision int64, objects ...codec.Object) codec.ObjectList {
	return codec.ObjectList{Revision: revision, Objects: objects}
}

// Guards against losing live engines: entries that expired during an outage of the store are written again shortly after it.
func TestMirrorHoldsMissingObjectsAfterAnOutage(t *testing.T) {
	start := time.Now()
	m := follower.NewMirror(hold)
	m.Replace(start, list(5, object("a", 1), object("b", 2)))
	m.Fail()
	recovered := start.Add(10 * time.Second)
	m.Replace(recovered, list(9, object("a", 1)))
	require.Len(t, m.Objects(), 2, "b may be written again")
	require.False(t, m.Expire(recovered.Add(hold-time.Millisecond)))
	require.True(t, m.Expire(recovered.Add(hold)))
	require.Len(t, m.Objects(), 1)
}

// Guards against keeping an object that was removed outside an outage: an engine that left must get no more work.
func TestMirrorRemovesAtOnceWithoutAnOutage(t *testing.T) {
	start := time.Now()
	m := follower.NewMirror(hold)
	m.Replace(start, list(5, object("a", 1)))
	removed := object("a", 6)
	removed.Deleted = true
	require.True(t, m.Apply(start.Add(time.Second), list(6, removed)))
	require.Empty(t, m.Objects())
}

// Guards against removing an object that was written again within the hold time, and against replacing an object by an older
// version.
func TestMirrorKeepsReturnedAndNewerObjects(t *testing.T) {
	start := time.Now()
	m := follower.NewMirror(hold)
	m.Replace(start, list(5, object("a", 5)))
	m.Fail()
	m.Replace(start.Add(time.Second), list(6))
	m.Apply(start.Add(2*time.Second), list(7, object("a", 7)))
	m.Apply(start.Add(2*time.Second), list(7, object("a", 6)))
	require.False(t, m.Expire(start.Add(time.Minute)))
	require.EqualValues(t, 7, m.Objects()["a"].Version)
}

// Guards against missing changes whose history the store has compacted: the kind must be listed again.
func TestFollowerListsAgainAfterCompaction(t *testing.T) {
	store := storekeeper.New()
	put(t, store, "kind/a")
	updates := make(chan follower.Update, 16)
	f := follower.New(follower.Config{Store: store, Prefix: "kind/", Wait: time.Second, OnUpdate: func(u follower.Update) { updates <- u }})
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = f.Run(ctx) })
	require.Len(t, (<-updates).Objects, 1)
	store.SetFaults(storekeeper.Faults{Down: true})
	noFaults := storekeeper.Faults{}
	time.Sleep(50 * time.Millisecond)
	store.SetFaults(noFaults)
	put(t, store, "kind/b")
	store.Compact()
	require.Eventually(t, func() bool {
		select {
		case u := <-updates:
			return len(u.Objects) == 2
		default:
			return false
		}
	}, 5*time.Second, 10*time.Millisecond)
	cancel()
	group.Wait()
}

func put(t *testing.T, store *storekeeper.Store, key string) {
	t.Helper()
	_, err := store.Put(t.Context(), key, 0, json.RawMessage("1"))
	require.NoError(t, err)
}
