package disseminator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/disseminator"
	"celerygap.example/service/storekeeper"
)

// driverCluster runs the drivers of several hosts in one process; a call runs the handler of the other host.
type driverCluster struct {
	t        *testing.T
	store    *storekeeper.Store
	mu       sync.Mutex
	members  []codec.Member
	handlers map[string]connector.Handler
}

// endpoint is connector.Peers and connector.Members of one host.
type endpoint struct {
	*driverCluster
	self codec.Member
}

func (e endpoint) Self() codec.Member { return e.self }

func (e endpoint) Live() []codec.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]codec.Member{}, e.members...)
}

func (e endpoint) Handle(method string, handler connector.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[string(e.self.ID)+method] = handler
}

func (e endpoint) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	e.mu.Lock()
	handler := e.handlers[string(to.ID)+method]
	e.mu.Unlock()
	if handler == nil {
		return errors.New("connection refused")
	}
	raw, _ := json.Marshal(params)
	response, err := handler(ctx, raw)
	if err != nil {
		return err
	}
	raw, _ = json.Marshal(response)
	return json.Unmarshal(raw, result)
}

func (f *driverCluster) start(i int) (driver *disseminator.Driver, stop func()) {
	self := codec.Member{
		ID: identifier.HostID(fmt.Sprintf("h%d", i)), Address: fmt.Sprint(i), Zone: identifier.Zone(fmt.Sprintf("z%d", i%2)),
	}
	f.mu.Lock()
	if i == len(f.members) {
		f.members = append(f.members, self)
	}
	f.mu.Unlock()
	m, err := meter.New()
	require.NoError(f.t, err)
	clock := timer.New(timer.Config{})
	driver = disseminator.NewDriver(disseminator.DriverConfig{
		Self: self, Members: endpoint{f, self}, Peers: endpoint{f, self}, Store: f.store, Timer: clock, Meter: m,
		Log: logger.Discard(), Rand: rand.New(rand.NewPCG(uint64(i), 1)),
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = clock.Run(ctx) })
	group.Go(func() { _ = driver.Run(ctx) })
	return driver, func() { cancel(); group.Wait() }
}

// put stores one edit and retries when a concurrent edit was stored first, as an operator does.
func (f *driverCluster) put(author string) {
	for {
		object, err := f.store.Get(f.t.Context(), disseminator.Key)
		if err != nil && !errors.Is(err, connector.ErrNotFound) {
			f.t.Errorf("read: %v", err)
			return
		}
		next := codec.Catalogue{}
		if object.Version > 0 {
			_ = json.Unmarshal(object.Value, &next)
		}
		next.Revision++
		name := identifier.EntryName(fmt.Sprintf("%s-%d", author, next.Revision))
		next.Entries = append(next.Entries, codec.Entry{Name: name, Owner: author})
		next.Edits = append(next.Edits, codec.Edit{EditID: identifier.EditID(name), Revision: next.Revision, At: time.Now().UTC()})
		value, _ := json.Marshal(next)
		if _, err := f.store.Put(f.t.Context(), disseminator.Key, object.Version, value); err == nil {
			return
		}
	}
}

// Guards against drivers that miss concurrent edits, lose the catalogue in a store outage, never become ready or become
// ready too early when they start during one, keep more than two watches per zone open, or run on after their context.
func TestDriversThroughRacingEditsAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer asserter.SetHandler(func(name asserter.Invariant, text string) { t.Errorf("%s: %s", name, text) })()
		f := &driverCluster{t: t, store: storekeeper.New(), handlers: make(map[string]connector.Handler)}
		var drivers []*disseminator.Driver
		for i := range 8 {
			driver, stop := f.start(i)
			defer stop()
			drivers = append(drivers, driver)
		}
		time.Sleep(5 * time.Second)
		newest := drivers[3].Subscribe()
		racers := grouper.NewGroup(-1)
		for _, author := range []string{"ana", "bo", "cy"} {
			racers.Go(func() {
				for range 10 {
					f.put(author)
				}
			})
		}
		racers.Wait()
		time.Sleep(13 * time.Second)
		for _, d := range drivers {
			require.True(t, d.Ready())
			require.EqualValues(t, 30, d.Current().Revision)
			require.Len(t, d.Current().Entries, 30)
		}
		require.EqualValues(t, 30, (<-newest).Revision)
		for _, h := range drivers[0].InEffect() {
			require.LessOrEqual(t, h.Revision, identifier.Revision(30))
		}
		require.LessOrEqual(t, f.store.Counts().Watches, int64(4*60))

		f.store.SetFaults(storekeeper.Faults{Down: true})
		late, stop := f.start(8)
		defer stop()
		require.False(t, late.Ready())
		time.Sleep(13 * time.Second)
		require.True(t, late.Ready())
		require.EqualValues(t, 30, late.Current().Revision)
		require.True(t, drivers[0].Ready())

		f.store.SetFaults(storekeeper.Faults{})
		f.put("ana")
		time.Sleep(13 * time.Second)
		for _, d := range append(drivers, late) {
			require.EqualValues(t, 31, d.Current().Revision)
		}
	})
}
