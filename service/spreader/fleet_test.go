package spreader_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/follower"
	"celerygap.example/service/spreader"
	"celerygap.example/service/storekeeper"
)

// countingStore counts the calls to a store; while it is down, the calls fail.
type countingStore struct {
	*storekeeper.Store
	calls atomic.Int64
	// checks counts the cheap reads.
	checks atomic.Int64
	down   atomic.Bool
}

func (s *countingStore) count() error {
	s.calls.Add(1)
	if s.down.Load() {
		return connector.ErrUnavailable
	}
	return nil
}

func (s *countingStore) List(ctx context.Context, prefix string) (codec.ObjectList, error) {
	if err := s.count(); err != nil {
		return codec.ObjectList{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) ListStale(ctx context.Context, prefix string) (codec.ObjectList, error) {
	s.checks.Add(1)
	if s.down.Load() {
		return codec.ObjectList{}, connector.ErrUnavailable
	}
	return s.Store.ListStale(ctx, prefix)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (codec.ObjectList, error) {
	if err := s.count(); err != nil {
		return codec.ObjectList{}, err
	}
	return s.Store.Watch(ctx, prefix, after, min(wait, time.Second))
}

// lan connects the drivers of a test.
type lan struct {
	mu       sync.Mutex
	members  []codec.Member
	handlers map[identifier.HostID]map[string]connector.Handler
	dead     map[identifier.HostID]bool
}

// port is the access of one host to the lan.
type port struct {
	lan  *lan
	self codec.Member
}

func (p port) Self() codec.Member { return p.self }

// Live still holds a dead host: the members need seconds to notice.
func (p port) Live() []codec.Member { return p.lan.members }

func (p port) Handle(method string, handler connector.Handler) {
	p.lan.mu.Lock()
	defer p.lan.mu.Unlock()
	if p.lan.handlers[p.self.ID] == nil {
		p.lan.handlers[p.self.ID] = make(map[string]connector.Handler)
	}
	p.lan.handlers[p.self.ID][method] = handler
}

func (p port) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	p.lan.mu.Lock()
	handler, dead := p.lan.handlers[to.ID][method], p.lan.dead[to.ID] || p.lan.dead[p.self.ID]
	p.lan.mu.Unlock()
	if dead {
		return errors.New("unreachable")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := handler(ctx, text)
	if err != nil || result == nil {
		return err
	}
	if text, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// nodes is a running fleet whose hosts follow one kind of objects.
type nodes struct {
	lan   *lan
	store *countingStore
	mu    sync.Mutex
	seen  map[identifier.HostID]int
	// confirmAlways makes all hosts need confirmations.
	confirmAlways atomic.Bool
	drivers       []*spreader.Driver
}

// startNodes starts a fleet of which the hosts settle after a moment.
func startNodes(t *testing.T, perZone int) *nodes {
	f := &nodes{
		lan: &lan{
			members: fleet(perZone), handlers: make(map[identifier.HostID]map[string]connector.Handler), dead: make(map[identifier.HostID]bool),
		},
		store: &countingStore{Store: storekeeper.New()}, seen: make(map[identifier.HostID]int),
	}
	_, err := f.store.Put(t.Context(), "kind/x", 0, json.RawMessage(`1`))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	started := time.Now()
	timers := timer.New(timer.Config{})
	group.Go(func() { _ = timers.Run(ctx) })
	for _, member := range f.lan.members {
		p := port{f.lan, member}
		f.drivers = append(f.drivers, spreader.NewDriver(spreader.DriverConfig{
			Follower: follower.Config{Store: f.store, Prefix: "kind/", Log: logger.Discard()},
			Members:  p, Peers: p, Timer: timers, Log: logger.Discard(),
			ConfirmAlways: f.confirmAlways.Load,
			Settled:       func() bool { return time.Since(started) > 300*time.Millisecond },
			OnUpdate: func(update follower.Update) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.seen[member.ID] = len(update.Objects)
			},
		}))
	}
	for _, d := range f.drivers {
		group.Go(func() { _ = d.Run(ctx) })
	}
	return f
}

// know returns the number of hosts that know the given number of objects.
func (f *nodes) know(objects int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, seen := range f.seen {
		if seen == objects {
			count++
		}
	}
	return count
}

// Guards against calls to the store that grow with the fleet: its start, a change and an outage cost about as many calls with
// 120 and 300 hosts as with 32, and every host learns of the change.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, perZone := range []int{8, 30, 75} {
		t.Run(fmt.Sprint(4*perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startNodes(t, perZone)
				time.Sleep(2 * time.Second)
				require.Equal(t, 4*perZone, f.know(1))
				_, err := f.store.Put(t.Context(), "kind/y", 0, json.RawMessage(`1`))
				require.NoError(t, err)
				time.Sleep(2 * time.Second)
				require.Equal(t, 4*perZone, f.know(2))
				require.LessOrEqual(t, f.store.calls.Load(), int64(30), "calls at the start and for one change")

				before := f.store.calls.Load()
				f.store.down.Store(true)
				time.Sleep(3 * time.Second)
				require.LessOrEqual(t, f.store.calls.Load()-before, int64(130), "calls during an outage")
				f.store.down.Store(false)
				_, err = f.store.Put(t.Context(), "kind/z", 0, json.RawMessage(`1`))
				require.NoError(t, err)
				time.Sleep(2 * time.Second)
				require.Equal(t, 4*perZone, f.know(3))
			})
		})
	}
}

// Guards against hosts that do not learn of a change while the watcher of their region and the heads of their zones are gone
// but still listed as live.
func TestChangesPassLostWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startNodes(t, 8)
		time.Sleep(2 * time.Second)
		require.Equal(t, 32, f.know(1))
		lost := 0
		for _, member := range f.lan.members {
			s := spreader.New(member, "kind/")
			s.Settle(time.Now())
			if role := s.Role(time.Now(), f.lan.members); len(role.Recipients) > 0 {
				f.lan.mu.Lock()
				f.lan.dead[member.ID] = true
				f.lan.mu.Unlock()
				lost++
			}
		}
		require.GreaterOrEqual(t, lost, 4)
		time.Sleep(300 * time.Millisecond)
		_, err := f.store.Put(t.Context(), "kind/y", 0, json.RawMessage(`1`))
		require.NoError(t, err)
		time.Sleep(2500 * time.Millisecond)
		require.GreaterOrEqual(t, f.know(2), 32-lost)
	})
}

// oldest returns the longest time since a host's state was confirmed.
func (f *nodes) oldest() time.Duration {
	var oldest time.Duration
	for _, d := range f.drivers {
		oldest = max(oldest, time.Since(d.ConfirmedAt()))
	}
	return oldest
}

// Guards against hosts that do not know that their state is current although they need to, in small zones, whose hosts watch the
// store themselves, and in large ones; against hosts that believe so without the store; and against reads of the store where nobody
// needs that.
func TestStateIsConfirmedWhereItIsNeeded(t *testing.T) {
	for _, perZone := range []int{1, 3, 8} {
		t.Run(fmt.Sprint(4*perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startNodes(t, perZone)
				time.Sleep(4 * time.Second)
				before := f.store.checks.Load()
				time.Sleep(4 * time.Second)
				if perZone <= 3 {
					require.Equal(t, before, f.store.checks.Load())
				}
				f.confirmAlways.Store(true)
				time.Sleep(2 * time.Second)
				before = f.store.checks.Load()
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					require.LessOrEqual(t, f.oldest(), 1700*time.Millisecond)
				}
				require.LessOrEqual(t, f.store.checks.Load()-before, int64(60), "two reads a second in each of two regions, and some")
				f.store.down.Store(true)
				time.Sleep(5 * time.Second)
				for _, d := range f.drivers {
					require.Greater(t, time.Since(d.ConfirmedAt()), 3*time.Second)
				}
				f.store.down.Store(false)
				time.Sleep(3 * time.Second)
				require.LessOrEqual(t, f.oldest(), 1700*time.Millisecond)
			})
		})
	}
}
