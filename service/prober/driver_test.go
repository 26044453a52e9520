package prober_test

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

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/prober"
)

// network connects the hosts of one test; calls from and to hosts that are down are refused.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]connector.Handler
	down     map[string]bool
}

// endpoint is the connector.Peers of one host.
type endpoint struct {
	*network
	address string
}

func (e endpoint) Handle(method string, handler connector.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handlers[e.address] == nil {
		e.handlers[e.address] = make(map[string]connector.Handler)
	}
	e.handlers[e.address][method] = handler
}

func (e endpoint) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	e.mu.Lock()
	handler, down := e.handlers[to.Address][method], e.down[to.Address] || e.down[e.address]
	e.mu.Unlock()
	if down || handler == nil {
		return errors.New("connection refused")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := handler(ctx, raw)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Guards against drivers that do not join, spread fingerprints, detect a dead host, leave, or stop with their context.
func TestDriversJoinSpreadDetectAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &network{handlers: make(map[string]map[string]connector.Handler), down: make(map[string]bool)}
		var drivers []*prober.Driver
		var learned sync.Map
		var stops []func()
		for i := range 5 {
			address := fmt.Sprintf("address-%d", i)
			clock := timer.New(timer.Config{})
			driver := prober.NewDriver(prober.DriverConfig{
				Self:          codec.Member{ID: identifier.HostID(fmt.Sprintf("h%d", i)), Address: address},
				SeedAddresses: []string{"address-0", "address-1"}, Peers: endpoint{net, address}, Timer: clock,
				Log: logger.Discard(), Rand: rand.New(rand.NewPCG(uint64(i), 1)),
				OnFlagged: func(f, _ []codec.FlaggedFingerprint) { learned.Store(i, f[0].Fingerprint) },
			})
			ctx, cancel := context.WithCancel(t.Context())
			group := grouper.NewGroup(-1)
			group.Go(func() { _ = clock.Run(ctx) })
			group.Go(func() { _ = driver.Run(ctx) })
			stop := func() { cancel(); group.Wait() }
			defer stop()
			drivers, stops = append(drivers, driver), append(stops, stop)
		}
		time.Sleep(20 * time.Second)
		for _, d := range drivers {
			require.Len(t, d.Live(), 5)
			require.NotZero(t, d.Self().Incarnation)
		}
		drivers[2].Flagged([]codec.FlaggedFingerprint{{Fingerprint: "f", ExpiresAt: time.Now().Add(time.Hour)}}, nil)
		require.NoError(t, drivers[4].Leave(t.Context()))
		stops[4]()
		time.Sleep(10 * time.Second)
		require.Len(t, drivers[0].Live(), 4)
		for _, i := range []int{0, 1, 3} {
			got, _ := learned.Load(i)
			require.Equal(t, identifier.Fingerprint("f"), got)
		}
		net.mu.Lock()
		net.down["address-3"] = true
		net.mu.Unlock()
		time.Sleep(20 * time.Second)
		require.Len(t, drivers[0].Live(), 3)
		net.mu.Lock()
		net.down["address-3"] = false
		net.mu.Unlock()
		time.Sleep(20 * time.Second)
		require.Len(t, drivers[0].Live(), 4)
		require.Len(t, drivers[3].Live(), 4)
	})
}
