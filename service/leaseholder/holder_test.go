package leaseholder_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
	"celerygap.example/service/leaseholder"
	"celerygap.example/service/storekeeper"
)

const duration = 600 * time.Millisecond

// endpoint is the access of one host to the members and peers of a test.
type endpoint struct {
	fleet *fleet
	id    identifier.HostID
}

func (p endpoint) Self() codec.Member { return codec.Member{ID: p.id, Incarnation: 1} }

func (p endpoint) Live() []codec.Member {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.live
}

func (p endpoint) Handle(method string, handler connector.Handler) {
	p.fleet.handlers[method+" "+string(p.id)] = handler
}

func (p endpoint) Call(ctx context.Context, to codec.Member, method string, params, _ any) error {
	handler, ok := p.fleet.handlers[method+" "+string(to.ID)]
	if !ok {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = handler(ctx, text)
	return err
}

// fleet is some hosts with one store that would all make calls as often as they may.
type fleet struct {
	t        *testing.T
	store    *storekeeper.Store
	handlers map[string]connector.Handler
	holders  map[identifier.HostID]*leaseholder.Holder
	// kills holds the functions that end a host without a release of the lease.
	kills map[identifier.HostID]context.CancelFunc
	// reachable is set while the hosts find a connection to the receiver of the calls.
	reachable atomic.Bool

	mu   sync.Mutex
	live []codec.Member
}

func newFleet(t *testing.T, fenced bool, ids ...identifier.HostID) *fleet {
	f := &fleet{
		t: t, store: storekeeper.New(), handlers: make(map[string]connector.Handler),
		holders: make(map[identifier.HostID]*leaseholder.Holder), kills: make(map[identifier.HostID]context.CancelFunc),
	}
	for _, id := range ids {
		f.live = append(f.live, codec.Member{ID: id, Incarnation: 1})
	}
	service := timer.New(timer.Config{Resolution: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = service.Run(ctx) })
	for _, id := range ids {
		f.holders[id] = leaseholder.New(leaseholder.Config{
			Key: "leases/duties", Method: "duties_stand_in", Store: f.store, Members: endpoint{f, id}, Peers: endpoint{f, id},
			Timer: service, Log: logger.Discard(), Duration: duration, Fenced: fenced, CallDelay: 300 * time.Millisecond,
			Quiet: duration, KnownMethod: "duties_known", ReachMethod: "duties_reach",
			CanReach: func(context.Context) bool { return f.reachable.Load() },
		})
	}
	for id, holder := range f.holders {
		ctx, kill := context.WithCancel(ctx)
		f.kills[id] = kill
		group.Go(func() { _ = holder.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

// await returns the first fence with a token above a value.
func (f *fleet) await(above identifier.Fencing, within time.Duration) connector.DutyFence {
	var found connector.DutyFence
	require.Eventually(f.t, func() bool {
		for _, holder := range f.holders {
			if fence, ok := holder.Fence(); ok && fence.Fencing > above {
				found = fence
				return true
			}
		}
		return false
	}, within, time.Millisecond, "no host may make calls with a token above %d", above)
	return found
}

// Guards against a duty that nobody does during an upgrade, because the hosts that would be chosen run a build that does not know it.
func TestHostOfAnEarlierBuildIsNoCandidate(t *testing.T) {
	f := newFleet(t, true, "a")
	f.mu.Lock()
	for _, id := range []identifier.HostID{"old1", "old2", "old3", "old4", "old5", "old6"} {
		f.live = append(f.live, codec.Member{ID: id, Incarnation: 1})
	}
	first, _ := elector.Choose("leases/duties", f.live)
	f.mu.Unlock()
	require.NotEqual(t, identifier.HostID("a"), first.ID, "the test needs a host of an earlier build as first candidate")
	require.Equal(t, identifier.HostID("a"), f.await(0, 12*time.Second).Holder)
}

// Guards against a call with a lower fencing token that takes effect after one with a higher token, and against holders that
// alternate within the duration of the lease, where the receiver checks no tokens and the former holder has just released the lease.
func TestSuccessorWaitsAfterARelease(t *testing.T) {
	f := newFleet(t, false, "a", "b")
	first := f.await(0, 3*time.Second)
	require.NoError(t, f.holders[first.Holder].Drain(t.Context()))
	released := time.Now()
	f.lose(first.Holder)
	second := f.await(first.Fencing, 5*time.Second)
	require.NotEqual(t, first.Holder, second.Holder)
	require.GreaterOrEqual(t, time.Since(released), duration)
	_, ok := f.holders[first.Holder].Fence()
	require.False(t, ok)
}

// lose makes the other hosts know that a host is gone.
func (f *fleet) lose(id identifier.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = slices.DeleteFunc(slices.Clone(f.live), func(member codec.Member) bool { return member.ID == id })
}

// Guards against a successor that counts the lease of a killed holder only from the moment at which it takes that host for dead,
// which made the report of a window late by a second; and against one that does not wait for the holder's last call.
func TestSuccessorOfAKilledHolderWaitsFromTheLastRenewal(t *testing.T) {
	f := newFleet(t, false, "a", "b", "c")
	first := f.await(0, 3*time.Second)
	time.Sleep(duration)
	f.kills[first.Holder]()
	killed := time.Now()
	time.Sleep(1500 * time.Millisecond)
	f.lose(first.Holder)
	delete(f.holders, first.Holder)
	second := f.await(first.Fencing, 5*time.Second)
	require.Equal(t, first.Fencing+1, second.Fencing)
	require.Less(t, time.Since(killed), 2300*time.Millisecond)
}

// Guards against further calls with a token that the receiver refused.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	f := newFleet(t, true, "a", "b")
	first := f.await(0, 3*time.Second)
	f.holders[first.Holder].Refused(first.Fencing)
	_, ok := f.holders[first.Holder].Fence()
	require.False(t, ok)
	next := f.await(0, 3*time.Second)
	require.Greater(t, next.Fencing, first.Fencing)
}

// Guards against a duty that nobody does while only its holder finds no connection to the receiver of the calls, and against hosts
// that hold the lease in turn while none of them finds one.
func TestHolderThatReachesNothingHandsTheLeaseOver(t *testing.T) {
	f := newFleet(t, true, "a", "b")
	first := f.await(0, 3*time.Second)
	report := func() {
		if fence, ok := f.holders[first.Holder].Fence(); ok && fence.Holder == first.Holder {
			f.holders[first.Holder].Reached(false)
		}
	}
	for range 10 {
		report()
		time.Sleep(50 * time.Millisecond)
	}
	require.True(t, f.holders[first.Holder].Held(), "no other host reaches the receiver")
	f.reachable.Store(true)
	require.Eventually(t, func() bool {
		report()
		for id, holder := range f.holders {
			if _, ok := holder.Fence(); ok && id != first.Holder {
				return true
			}
		}
		return false
	}, 8*time.Second, 50*time.Millisecond)
}

// Guards against a successor that makes calls while one of the former holder is in flight.
func TestLeaseIsReleasedAfterTheCallsInFlight(t *testing.T) {
	f := newFleet(t, true, "a")
	fence := f.await(0, 3*time.Second)
	holder := f.holders["a"]
	grant, ok := holder.Begin()
	require.True(t, ok)
	require.Equal(t, fence.Fencing, grant.Fencing)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, holder.Drain(ctx), context.DeadlineExceeded)
	_, ok = holder.Begin()
	require.False(t, ok, "a host that drains begins no call")
	require.Contains(t, f.stored(), `"holder":"a#1"`)
	holder.End()
	require.NoError(t, holder.Drain(t.Context()))
	require.Eventually(t, func() bool { return !containsHolder(f.stored()) }, time.Second, 5*time.Millisecond)
}

func (f *fleet) stored() string {
	object, err := f.store.Get(f.t.Context(), "leases/duties")
	require.NoError(f.t, err)
	return string(object.Value)
}

func containsHolder(text string) bool {
	var lease codec.Lease
	return json.Unmarshal([]byte(text), &lease) == nil && lease.Holder != ""
}
