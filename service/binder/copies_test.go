package binder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/service/binder"
	"celerygap.example/service/connector"
)

// spreadTime is more than it takes until a record is on the hosts that lack it.
const spreadTime = 700 * time.Millisecond

// runningFleet is a fleet whose drivers run, and whose hosts know when others are restarted.
type runningFleet struct {
	*fleet
	t       *testing.T
	mu      sync.Mutex
	live    []codec.Member
	drivers map[identifier.HostID]*binder.Driver
	stops   map[identifier.HostID]func()
}

type liveMembers struct {
	fleet *runningFleet
	self  identifier.HostID
}

func (m liveMembers) Live() []codec.Member {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return append([]codec.Member(nil), m.fleet.live...)
}

func (m liveMembers) Self() codec.Member {
	for _, member := range m.Live() {
		if member.ID == m.self {
			return member
		}
	}
	return codec.Member{ID: m.self}
}

func newRunningFleet(t *testing.T, count int) *runningFleet {
	f := &runningFleet{
		fleet: &fleet{handlers: make(map[identifier.HostID]map[string]connector.Handler), down: make(map[identifier.HostID]bool), called: make(map[string]int)}, t: t, drivers: make(map[identifier.HostID]*binder.Driver), stops: make(map[identifier.HostID]func()),
	}
	for i := range count {
		f.start(hostID(i))
	}
	return f
}

func hostID(index int) identifier.HostID { return identifier.HostID(fmt.Sprint("h", index)) }

// start starts a process of a host.
func (f *runningFleet) start(id identifier.HostID) {
	f.mu.Lock()
	incarnation := identifier.Incarnation(1)
	for i, member := range f.live {
		if member.ID == id {
			incarnation = member.Incarnation + 1
			f.live = append(f.live[:i:i], f.live[i+1:]...)
			break
		}
	}
	f.live = append(f.live, codec.Member{ID: id, Incarnation: incarnation})
	f.mu.Unlock()
	service := timer.New(timer.Config{Resolution: time.Millisecond})
	d := binder.NewDriver(binder.DriverConfig{Members: liveMembers{f, id}, Peers: peers{f.fleet, id}, Timer: service})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = service.Run(ctx) })
	group.Go(func() { _ = d.Run(ctx) })
	f.drivers[id] = d
	f.stops[id] = func() {
		cancel()
		group.Wait()
	}
	f.t.Cleanup(f.stops[id])
}

// kill ends the process of a host, which the others notice.
func (f *runningFleet) kill(id identifier.HostID) {
	f.stops[id]()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, member := range f.live {
		if member.ID == id {
			f.live = append(f.live[:i:i], f.live[i+1:]...)
			return
		}
	}
}

// restart replaces the process of a host by a new one.
func (f *runningFleet) restart(id identifier.HostID) {
	f.stops[id]()
	f.start(id)
}

// requireFound checks that each live host finds the origin of a stream.
func (f *runningFleet) requireFound(stream identifier.StreamID) {
	f.t.Helper()
	for _, member := range (liveMembers{f, ""}).Live() {
		found, ok := f.drivers[member.ID].Find(f.t.Context(), stream)
		require.True(f.t, ok, "host %s", member.ID)
		require.Equal(f.t, origin, found)
	}
}

// Guards against a stream that cannot be taken up after the other hosts were restarted, one after the other, while it ran.
func TestRecordSurvivesRestartsOfTheOtherHosts(t *testing.T) {
	f := newRunningFleet(t, 4)
	f.drivers["h0"].Record("s", origin, time.Minute)
	time.Sleep(spreadTime)
	for i := 1; i < 4; i++ {
		f.restart(hostID(i))
		time.Sleep(spreadTime)
	}
	f.kill("h0")
	f.requireFound("s")
}

// Guards against a stream that cannot be taken up after a rolling restart that begins with its own host.
func TestRecordSurvivesARollingRestart(t *testing.T) {
	f := newRunningFleet(t, 8)
	f.drivers["h0"].Record("s", origin, time.Minute)
	time.Sleep(spreadTime)
	for i := range 8 {
		f.restart(hostID(i))
		time.Sleep(spreadTime)
	}
	f.requireFound("s")
}

// Guards against records that stay with hosts that are replaced by others.
func TestRecordMovesToHostsThatReplaceOthers(t *testing.T) {
	f := newRunningFleet(t, 4)
	f.drivers["h0"].Record("s", origin, time.Minute)
	time.Sleep(spreadTime)
	for i := range 4 {
		f.start(hostID(10 + i))
		f.kill(hostID(i))
		time.Sleep(spreadTime)
	}
	f.requireFound("s")
}

// Guards against a planned stop right after the other hosts were restarted, before they have the records again.
func TestStoppingHostPassesItsRecordsOn(t *testing.T) {
	f := newRunningFleet(t, 4)
	f.drivers["h0"].Record("s", origin, time.Minute)
	time.Sleep(spreadTime)
	for i := 1; i < 4; i++ {
		f.restart(hostID(i))
	}
	require.NoError(t, f.drivers["h0"].HandOver(t.Context()))
	f.kill("h0")
	f.requireFound("s")
}

// Guards against a stream that goes on at one of two versions because hosts that were restarted got the record of only one.
func TestContradictionSurvivesARollingRestart(t *testing.T) {
	f := newRunningFleet(t, 6)
	f.drivers["h0"].Record("s", origin, time.Minute)
	f.drivers["h1"].Record("s", codec.StreamOrigin{Pool: "p", Software: "v1"}, time.Minute)
	time.Sleep(spreadTime)
	for i := range 6 {
		f.restart(hostID(i))
		time.Sleep(spreadTime)
	}
	for _, d := range f.drivers {
		_, ok := d.Find(t.Context(), "s")
		require.False(t, ok)
	}
}

// Guards against records that hosts of the build before do not get again, because they take one at a time.
func TestHostsOfTheBuildBeforeGetRecordsAgain(t *testing.T) {
	f := newRunningFleet(t, 3)
	f.drivers["h0"].Record("s", origin, time.Minute)
	time.Sleep(spreadTime)
	for i := 1; i < 3; i++ {
		f.restart(hostID(i))
		peers{f.fleet, hostID(i)}.Handle("record_origins", func(context.Context, json.RawMessage) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
		})
		time.Sleep(spreadTime)
	}
	f.kill("h0")
	f.requireFound("s")
}

// Guards against messages that grow with each change of the hosts: only those that lack records get them, many in one message.
func TestRecordsArePassedOnInFewMessages(t *testing.T) {
	const streams = 1000
	f := newRunningFleet(t, 10)
	for n := range streams {
		f.drivers["h0"].Record(identifier.StreamID(fmt.Sprint("s", n)), origin, time.Minute)
	}
	time.Sleep(2 * spreadTime)
	before := f.fleet.calls("record_origins")
	f.restart("h3")
	time.Sleep(2 * spreadTime)
	after := f.fleet.calls("record_origins")
	require.Positive(t, after-before)
	require.LessOrEqual(t, after-before, 10, "%d records, a third of which the host had", streams)
}
