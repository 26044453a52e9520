package binder_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/service/binder"
	"celerygap.example/service/connector"
)

var errDown = errors.New("host is down")

// fleet connects the drivers of several hosts in memory.
type fleet struct {
	mu       sync.Mutex
	handlers map[identifier.HostID]map[string]connector.Handler
	down     map[identifier.HostID]bool
	all      []codec.Member
	// called counts the calls of each method, if set.
	called map[string]int
	// delay is how long each call takes to arrive.
	delay time.Duration
}

type peers struct {
	fleet *fleet
	self  identifier.HostID
}

func (p peers) Handle(method string, handler connector.Handler) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.handlers[p.self] == nil {
		p.fleet.handlers[p.self] = make(map[string]connector.Handler)
	}
	p.fleet.handlers[p.self][method] = handler
}

func (p peers) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	time.Sleep(p.fleet.delay)
	p.fleet.mu.Lock()
	if p.fleet.called != nil {
		p.fleet.called[method]++
	}
	handler, down := p.fleet.handlers[to.ID][method], p.fleet.down[to.ID] || p.fleet.down[p.self]
	p.fleet.mu.Unlock()
	if down {
		return errDown
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

type members struct {
	self identifier.HostID
	all  []codec.Member
}

func (m members) Self() codec.Member   { return codec.Member{ID: m.self} }
func (m members) Live() []codec.Member { return m.all }

func newFleet(count int, delay time.Duration) (*fleet, []*binder.Driver) {
	f := &fleet{handlers: make(map[identifier.HostID]map[string]connector.Handler), down: make(map[identifier.HostID]bool), delay: delay}
	for i := range count {
		f.all = append(f.all, codec.Member{ID: identifier.HostID(fmt.Sprint("h", i))})
	}
	drivers := make([]*binder.Driver, count)
	for i := range f.all {
		drivers[i] = f.restart(i)
	}
	return f, drivers
}

// restart returns the driver of a new process of a host, which gets the calls to it from now on.
func (f *fleet) restart(index int) *binder.Driver {
	self := f.all[index].ID
	return binder.NewDriver(binder.DriverConfig{
		Members: members{self, f.all}, Peers: peers{f, self}, Timer: timer.New(timer.Config{}),
	})
}

// calls returns the number of calls of a method.
func (f *fleet) calls(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.called[method]
}

func (f *fleet) setDown(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[identifier.HostID(fmt.Sprint("h", index))] = true
}

var origin = codec.StreamOrigin{Pool: "p", Software: "v2"}

// Guards against streams that cannot go on after the host that began them and another one were lost, whichever these are.
func TestOriginIsFoundAfterHostsWereLost(t *testing.T) {
	for lost := 1; lost < 8; lost++ {
		f, drivers := newFleet(8, 0)
		stream := identifier.StreamID(fmt.Sprint("s", lost))
		drivers[0].Record(stream, origin, time.Minute)
		time.Sleep(50 * time.Millisecond)
		f.setDown(0)
		f.setDown(lost)
		for i, d := range drivers {
			if i == 0 || i == lost {
				continue
			}
			found, ok := d.Find(t.Context(), stream)
			require.True(t, ok, "host %d", i)
			require.Equal(t, origin, found)
		}
	}
}

// Guards against directory hosts that are down while a stream begins: others take their place.
func TestSpareHostsKeepTheRecord(t *testing.T) {
	for lost := 2; lost < 8; lost++ {
		f, drivers := newFleet(8, 0)
		f.setDown(lost)
		f.setDown(1)
		stream := identifier.StreamID(fmt.Sprint("s", lost))
		drivers[0].Record(stream, origin, time.Minute)
		time.Sleep(50 * time.Millisecond)
		f.setDown(0)
		for i, d := range drivers {
			if i < 2 || i == lost {
				continue
			}
			_, ok := d.Find(t.Context(), stream)
			require.True(t, ok, "host %d", i)
		}
	}
}

// Guards against a caller that comes to another host sooner than the record of its stream arrives there.
func TestLookupWaitsForARecordUnderWay(t *testing.T) {
	_, drivers := newFleet(4, 20*time.Millisecond)
	time.AfterFunc(30*time.Millisecond, func() { drivers[0].Record("s", origin, time.Minute) })
	found, ok := drivers[1].Find(t.Context(), "s")
	require.True(t, ok)
	require.Equal(t, origin, found)
}

// Guards against a stream that is lost for good because the record of its former host arrives only after the directory hosts
// were started again.
func TestRecordOfAFormerProcessArrivesLate(t *testing.T) {
	f, drivers := newFleet(6, 0)
	former := drivers[0]
	for i := range drivers {
		drivers[i] = f.restart(i)
	}
	_, ok := drivers[1].Find(t.Context(), "s")
	require.False(t, ok, "no process has the record any more")
	former.Record("s", origin, time.Minute)
	for i, d := range drivers[1:] {
		found, ok := d.Find(t.Context(), "s")
		require.True(t, ok, "host %d", i+1)
		require.Equal(t, origin, found)
	}
}

// Guards against a stream that goes on at the version of another one with the same id: a caller who got no event sends its attempt
// again, which another host begins at another version, and the record of the first attempt arrives late, or first.
func TestContradictingRecordsAreNotTrusted(t *testing.T) {
	other := codec.StreamOrigin{Pool: "p", Software: "v1"}
	for name, order := range map[string][]codec.StreamOrigin{"late": {origin, other}, "first": {other, origin}} {
		t.Run(name, func(t *testing.T) {
			f, drivers := newFleet(8, 0)
			for i, recorded := range order {
				drivers[i].Record("s", recorded, time.Minute)
				time.Sleep(50 * time.Millisecond)
			}
			f.setDown(0)
			f.setDown(1)
			for i, d := range drivers[2:] {
				_, ok := d.Find(t.Context(), "s")
				require.False(t, ok, "host %d", i+2)
			}
		})
	}
}

// Guards against a lookup of an unknown stream that keeps its caller waiting, and against a request without a stream.
func TestUnknownStreamIsReportedSoon(t *testing.T) {
	f, drivers := newFleet(6, 0)
	f.setDown(2)
	started := time.Now()
	_, ok := drivers[0].Find(t.Context(), "unknown")
	require.False(t, ok)
	_, ok = drivers[0].Find(t.Context(), "")
	require.False(t, ok)
	require.Less(t, time.Since(started), 300*time.Millisecond)
}

// Guards against records that change, that outlive their time, and that callers can make arbitrarily large or many.
func TestRecordsAreFixedAndBounded(t *testing.T) {
	now := time.Now()
	r := binder.NewRecords()
	r.Put("s", origin, now.Add(time.Second))
	r.Put("s", origin, now.Add(2*time.Second))
	found, until, ok := r.Get(now, "s")
	require.True(t, ok)
	require.Equal(t, origin, found)
	require.Equal(t, now.Add(2*time.Second), until)
	r.Put("s", codec.StreamOrigin{Pool: "p", Software: "v1"}, now.Add(time.Second))
	r.Put("s", origin, now.Add(time.Second))
	_, _, ok = r.Get(now, "s")
	require.False(t, ok, "two origins were recorded")
	require.True(t, r.Contradicted("s"))
	_, _, ok = r.Get(now.Add(2*time.Second), "s")
	require.False(t, ok)
	r.Expire(now.Add(2 * time.Second))
	r.Put("s", codec.StreamOrigin{Pool: "p", Software: "v1"}, now.Add(time.Hour))
	found, _, _ = r.Get(now, "s")
	require.EqualValues(t, "v1", found.Software)

	long := identifier.StreamID(strings.Repeat("x", 300))
	r.Put(long, origin, now.Add(time.Hour))
	_, _, ok = r.Get(now, long)
	require.False(t, ok)
	for i := range 1<<16 + 10 {
		r.Put(identifier.StreamID(fmt.Sprint("n", i)), origin, now.Add(time.Hour))
	}
	_, _, ok = r.Get(now, "n0")
	require.False(t, ok, "the oldest record makes room for a new one")
	_, _, ok = r.Get(now, "n20")
	require.True(t, ok)
}

type provenHistory struct{ pool identifier.PoolName }

func (h provenHistory) Prove(_ context.Context, pool identifier.PoolName) (codec.StreamOrigin, bool) {
	return codec.StreamOrigin{Pool: pool, Software: "v2"}, pool == h.pool
}

// Guards against streams that nobody has a record of and that go on where their origin is not proved: their route has several pools, the
// pool had several versions, or a host has two different records.
func TestOriginWithoutARecordIsProvedOrUnknown(t *testing.T) {
	f := &fleet{handlers: make(map[identifier.HostID]map[string]connector.Handler), down: make(map[identifier.HostID]bool)}
	f.all = []codec.Member{{ID: "h0"}, {ID: "h1"}}
	var drivers []*binder.Driver
	for _, member := range f.all {
		drivers = append(drivers, binder.NewDriver(binder.DriverConfig{
			History: provenHistory{"p"}, Members: members{member.ID, f.all}, Peers: peers{f, member.ID}, Timer: timer.New(timer.Config{}),
		}))
	}
	found, ok := drivers[0].Resolve(t.Context(), "s", []identifier.PoolName{"p"})
	require.True(t, ok)
	require.Equal(t, origin, found)
	for _, pools := range [][]identifier.PoolName{nil, {"q"}, {"p", "q"}} {
		_, ok = drivers[0].Resolve(t.Context(), "s", pools)
		require.False(t, ok, "%v", pools)
	}
	drivers[1].Record("s", origin, time.Minute)
	drivers[1].Record("s", codec.StreamOrigin{Pool: "p", Software: "v1"}, time.Minute)
	time.Sleep(50 * time.Millisecond)
	for i, d := range drivers {
		_, ok = d.Resolve(t.Context(), "s", []identifier.PoolName{"p"})
		require.False(t, ok, "host %d", i)
	}
}
