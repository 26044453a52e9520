package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

// Guards against a reward call that is refused, and its item never finished, because upstreams crashed or reset connections while
// they ran it.
func TestSoundCallIsSentAgainAfterCrashes(t *testing.T) {
	for name, probeErr := range map[string]error{"crashed": errors.New("refused"), "reset": nil} {
		t.Run(name, func(t *testing.T) {
			script := &scriptedClient{probeErr: probeErr, plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){
				lost, lost, lost, lost, lost, lost, lost, lost, lost, succeed,
			}}
			d := newRouteDispatcher(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3})
			request := routeRequest
			request.Sound = true
			var response connector.PlainResponse
			var err error
			for range 10 {
				if response, err = d.Call(t.Context(), request); err == nil {
					break
				}
				refusal, ok := refuser.As(err)
				require.True(t, ok)
				require.NotEqual(t, refuser.CrashesUpstreams, refusal.Reason)
			}
			require.NoError(t, err)
			require.Equal(t, "complete", string(response.Body))
			require.Empty(t, d.Proven())
		})
	}
}

// Guards against a sample of a trainer's step that is refused because several engines crashed while they ran it.
func TestSoundPromptIsSentAgainAfterCrashes(t *testing.T) {
	var crashes atomic.Int32
	var servers []*httptest.Server
	var addresses []string
	for range 4 {
		server := newCrashingEngine(t, &crashes)
		servers = append(servers, server)
		addresses = append(addresses, addressOf(server))
	}
	healthy := newEngine(t)
	d := newFixture(t, addresses...)
	wanted := request("crash")
	wanted.Sound = true
	_, err := d.Generate(t.Context(), wanted, nil)
	require.Error(t, err)
	require.Equal(t, int32(len(servers)), crashes.Load())
	d.upstreams.mu.Lock()
	d.upstreams.list = []connector.Upstream{{ID: "healthy", Address: addressOf(healthy.server), Zone: "z", Region: "r"}}
	d.upstreams.mu.Unlock()
	result, err := d.Generate(t.Context(), wanted, nil)
	require.NoError(t, err)
	require.Equal(t, completeText, result.Text)
}

// Guards against a crashing request that is not found because sound requests run beside it.
func TestCrashingRequestIsProvenBesideSoundOnes(t *testing.T) {
	var crashes atomic.Int32
	var list []connector.Upstream
	for i := range 5 {
		list = append(list, connector.Upstream{ID: identifier.UpstreamID(fmt.Sprint("u", i)), Address: addressOf(newCrashingEngine(t, &crashes)), Zone: "z", Region: "r"})
	}
	d := newFixture(t)
	d.upstreams.list = list
	group := grouper.NewGroup(-1)
	for number := range 20 {
		group.Go(func() {
			sound := request(fmt.Sprint("sound ", number))
			sound.Sound = true
			_, err := d.Generate(t.Context(), sound, nil)
			assert.NoError(t, err)
		})
	}
	for range 5 {
		_, err := d.Generate(t.Context(), request("crash"), nil)
		require.Error(t, err)
	}
	group.Wait()
	require.Equal(t, int32(2), crashes.Load())
}
