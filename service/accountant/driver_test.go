package accountant_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/accountant"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
	"celerygap.example/service/updater"
)

// fleet is some drivers with one store and one API; members without a driver run an earlier build.
type fleet struct {
	mu       sync.Mutex
	members  []codec.Member
	handlers map[string]connector.Handler
	holder   identifier.HostID
	fencing  identifier.Fencing
	// refuse is the number of next calls that are refused for their fencing token, lose that of next writes without a response.
	refuse, lose int
	refused      []identifier.Fencing
	reports      map[identifier.UsageWindow][]string
	store        *storekeeper.Store
}

// endpoint is what one host sees of the fleet.
type endpoint struct {
	*fleet
	id identifier.HostID
}

func (e endpoint) Self() codec.Member { return codec.Member{ID: e.id, Incarnation: 1} }

func (e endpoint) Live() []codec.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.members)
}

func (e endpoint) Handle(method string, handler connector.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[method+" "+string(e.id)] = handler
}

func (e endpoint) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	e.mu.Lock()
	handler, ok := e.handlers[method+" "+string(to.ID)]
	e.mu.Unlock()
	if !ok {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
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

func (e endpoint) Held() bool {
	_, ok := e.Fence()
	return ok
}

func (e endpoint) Fence() (connector.DutyFence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return connector.DutyFence{Holder: e.id, Fencing: e.fencing}, e.holder == e.id
}

func (e endpoint) Begin() (updater.Grant, bool) { return updater.Grant{}, e.Held() }
func (e endpoint) End()                         {}
func (e endpoint) Reached(bool)                 {}

// Refused gives the host the lease again with a higher token.
func (e endpoint) Refused(fencing identifier.Fencing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused = append(e.refused, fencing)
	e.fencing++
}

func (e endpoint) ReportUsage(_ context.Context, fence connector.DutyFence, report connector.UsageReport) (connector.DutyOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse > 0 {
		e.refuse--
		return connector.DutyRejected, fmt.Errorf("token %d is outdated", fence.Fencing)
	}
	text, err := json.Marshal(report.Counts)
	e.reports[report.Window] = append(e.reports[report.Window], string(text))
	return connector.DutyAccepted, err
}

func (e endpoint) OrderEngines(context.Context, connector.DutyFence, connector.EngineOrder) (connector.DutyOutcome, error) {
	return connector.DutyFailed, context.Canceled
}

// lossyStore loses responses to writes.
type lossyStore struct {
	*storekeeper.Store
	fleet *fleet
}

func (s lossyStore) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	object, err := s.Store.Put(ctx, key, expected, value)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.lose > 0 {
		s.fleet.lose--
		return codec.Object{}, connector.ErrOutcomeUnknown
	}
	return object, err
}

// Guards against counts that are lost between the drivers of several hosts, with hosts of an earlier build among them, at a change of
// the holder, with a lost response of the store and a refused fencing token; and against a planned stop that loses counts.
func TestDriversReportTheCountsOfAllHosts(t *testing.T) {
	const window = time.Second
	f := &fleet{
		handlers: make(map[string]connector.Handler), holder: "a", fencing: 1, reports: make(map[identifier.UsageWindow][]string),
		store: storekeeper.New(), lose: 1, refuse: 1,
	}
	for _, id := range []identifier.HostID{"a", "b", "c", "old1", "old2", "old3"} {
		f.members = append(f.members, codec.Member{ID: id, Incarnation: 1})
	}
	service := timer.New(timer.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = service.Run(ctx) })
	drivers := make(map[identifier.HostID]*accountant.Driver)
	for _, member := range f.members[:3] {
		meters, err := meter.New()
		require.NoError(t, err)
		host := endpoint{f, member.ID}
		drivers[member.ID] = accountant.NewDriver(accountant.DriverConfig{
			LeaseKey: "leases/duties", Lease: host, Fenced: true, Members: host, Peers: host, Store: lossyStore{f.store, f}, Calls: host,
			Clock: time.Now, Timer: service, Log: logger.Discard(), Meter: meters, Window: window, Within: 10 * time.Second, Process: 1,
		})
	}
	for _, driver := range drivers {
		group.Go(func() { _ = driver.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	truth := make(map[identifier.UsageWindow]int64)
	for begin, changed := time.Now(), false; time.Since(begin) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
		at := time.Now()
		drivers["c"].Started("cuka620", at)
		drivers["b"].Started("cuka620", at)
		truth[identifier.UsageWindow(at.UnixNano()/int64(window))] += 2
		// The first report, which is refused, is due 2 to 3.2 s after the start, depending on when the first window ends. The holder
		// changes after it, because the check below expects the token of the first holder.
		f.mu.Lock()
		if !changed && time.Since(begin) > 3*time.Second && len(f.refused) > 0 {
			changed = true
			f.holder, f.fencing = "b", f.fencing+1
		}
		f.mu.Unlock()
	}
	require.NoError(t, drivers["c"].Flush(t.Context()))
	time.Sleep(4 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, []identifier.Fencing{1}, f.refused)
	for window, count := range truth {
		require.NotEmpty(t, f.reports[window], "window %d", window)
		for _, report := range f.reports[window] {
			require.Equal(t, fmt.Sprintf(`{"cuka620":%d}`, count), report, "window %d", window)
		}
	}
}

// Guards against counts of a process that has ended and that were only on the two collecting hosts, both of which are restarted before the
// report.
func TestCountsSurviveARollingRestart(t *testing.T) {
	const window = 20 * time.Second
	f := &fleet{handlers: make(map[string]connector.Handler), reports: make(map[identifier.UsageWindow][]string), store: storekeeper.New()}
	service := timer.New(timer.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	group.Go(func() { _ = service.Run(ctx) })
	drivers := make(map[identifier.HostID]*accountant.Driver)
	stops := make(map[identifier.HostID]func())
	start := func(id identifier.HostID, incarnation identifier.Incarnation) {
		meters, err := meter.New()
		require.NoError(t, err)
		f.mu.Lock()
		f.members = append(f.members, codec.Member{ID: id, Incarnation: incarnation})
		f.mu.Unlock()
		host := endpoint{f, id}
		driver := accountant.NewDriver(accountant.DriverConfig{
			LeaseKey: "leases/duties", Lease: host, Members: host, Peers: host, Store: lossyStore{f.store, f}, Calls: host, Clock: time.Now,
			Timer: service, Log: logger.Discard(), Meter: meters, Window: window, Within: 10 * time.Second, Process: incarnation,
		})
		driverCtx, stop := context.WithCancel(ctx)
		drivers[id], stops[id] = driver, stop
		group.Go(func() { _ = driver.Run(driverCtx) })
	}
	restart := func(id identifier.HostID, incarnation identifier.Incarnation) {
		f.mu.Lock()
		f.members = slices.DeleteFunc(slices.Clone(f.members), func(m codec.Member) bool { return m.ID == id })
		f.mu.Unlock()
		require.NoError(t, drivers[id].Flush(t.Context()))
		stops[id]()
		start(id, incarnation)
		time.Sleep(1500 * time.Millisecond)
	}
	ids := []identifier.HostID{"a", "b", "c"}
	for _, id := range ids {
		start(id, 1)
	}
	time.Sleep(1500 * time.Millisecond)
	at := time.Now()
	for range 7 {
		drivers["c"].Started("cuka620", at)
	}
	now := identifier.UsageWindow(at.UnixNano() / int64(window))
	restart("c", 2)
	restart("a", 2)
	restart("b", 2)
	most := int64(0)
	for _, id := range ids {
		var reply codec.UsageReply
		require.NoError(t, endpoint{f, "test"}.Call(t.Context(), codec.Member{ID: id}, "usage_query", codec.UsageQuery{Window: now}, &reply))
		var sum int64
		for _, counts := range reply.Counts {
			sum += counts.Windows[0].Counts["cuka620"]
		}
		most = max(most, sum)
	}
	require.EqualValues(t, 7, most)
}
