package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/service/connector"
	"celerygap.example/service/follower"
	"celerygap.example/service/storekeeper"
)

const (
	// contactTime is the time after an outage of the store from which on hosts must keep up with it; leavingBound is the time from
	// a change until all hosts act on it. Both are bounds of the platform.
	contactTime  = 4 * time.Second
	leavingBound = 2500 * time.Millisecond
	// callTimeout is the time limit of a call, in addition to the wait of a watch.
	callTimeout = 1500 * time.Millisecond
)

// silentStore does not answer calls that arrive while it is silent, not even later.
type silentStore struct {
	connector.ObjectStore
	silent atomic.Bool
}

func (s *silentStore) lose(ctx context.Context, timeout time.Duration) error {
	if !s.silent.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return connector.ErrUnavailable
}

func (s *silentStore) List(ctx context.Context, prefix string) (codec.ObjectList, error) {
	if err := s.lose(ctx, callTimeout); err != nil {
		return codec.ObjectList{}, err
	}
	return s.ObjectStore.List(ctx, prefix)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (codec.ObjectList, error) {
	if err := s.lose(ctx, wait+callTimeout); err != nil {
		return codec.ObjectList{}, err
	}
	return s.ObjectStore.Watch(ctx, prefix, after, wait)
}

// Guards against a watch that was sent during a silent outage of the store, is never answered, and hides all changes until it
// times out: an upstream that leaves once the store is stable again must be known within its bound.
func TestWatchLostInASilentOutageHidesNoChangeAfterIt(t *testing.T) {
	for _, lostAt := range []time.Duration{0, time.Second, 3200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			objects := storekeeper.New()
			put(t, objects, "kind/a")
			store := &silentStore{ObjectStore: objects}
			var known atomic.Int64
			f := follower.New(follower.Config{Store: store, Prefix: "kind/", OnUpdate: func(u follower.Update) { known.Store(int64(len(u.Objects))) }})
			ctx, cancel := context.WithCancel(t.Context())
			group := grouper.NewGroup(-1)
			group.Go(func() { _ = f.Run(ctx) })
			time.Sleep(time.Second)
			store.silent.Store(true)
			time.Sleep(lostAt)
			// The change ends the watch in progress, so that the next one is sent during the outage.
			put(t, objects, "kind/b")
			time.Sleep(3300*time.Millisecond - lostAt)
			store.silent.Store(false)
			time.Sleep(contactTime)
			put(t, objects, "kind/c")
			time.Sleep(leavingBound)
			require.EqualValues(t, 3, known.Load(), "objects known after the bound; the watch was lost %s into the outage", lostAt)
			cancel()
			group.Wait()
		})
	}
}

// Guards against a host that confirms its state to others by other calls to the store while its own watch is never answered.
func TestSuspectedWatchIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := storekeeper.New()
		put(t, objects, "kind/a")
		store := &silentStore{ObjectStore: objects}
		var known atomic.Int64
		f := follower.New(follower.Config{
			Store: store, Prefix: "kind/", Wait: time.Minute, OnUpdate: func(u follower.Update) { known.Store(int64(len(u.Objects))) },
		})
		f.Suspect()
		ctx, cancel := context.WithCancel(t.Context())
		group := grouper.NewGroup(-1)
		group.Go(func() { _ = f.Run(ctx) })
		time.Sleep(time.Second)
		store.silent.Store(true)
		put(t, objects, "kind/b")
		time.Sleep(2 * time.Second)
		f.Suspect()
		store.silent.Store(false)
		put(t, objects, "kind/c")
		time.Sleep(time.Second)
		require.EqualValues(t, 3, known.Load())
		cancel()
		group.Wait()
	})
}
