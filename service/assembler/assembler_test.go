package assembler_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/service/assembler"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
)

// slowFront responds after a delay and never counts a request as being served, as in the time between the arrival of a
// request's header and the start of its handler.
type slowFront struct {
	started chan struct{}
	// ended, unless nil, is closed by End, which the requests wait for.
	ended chan struct{}
	// refuse, unless nil, is called by Refuse.
	refuse func()
}

func (f *slowFront) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.started <- struct{}{}
		if f.ended != nil {
			<-f.ended
			time.Sleep(100 * time.Millisecond)
		} else {
			time.Sleep(500 * time.Millisecond)
		}
		if r.Context().Err() == nil {
			_, _ = io.WriteString(w, "complete")
		}
	})
}

func (f *slowFront) ReadyHandler() http.Handler { return http.NotFoundHandler() }
func (f *slowFront) Drain(time.Time)            {}

func (f *slowFront) Refuse() {
	if f.refuse != nil {
		f.refuse()
	}
}

func (f *slowFront) End() {
	if f.ended != nil {
		close(f.ended)
	}
}
func (f *slowFront) InFlight() int { return 0 }

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// stopDuringARequest starts a host with a front, sends it a request, stops the host while that is served, and returns the response.
func stopDuringARequest(t *testing.T, front *slowFront, grace time.Duration) (text string, failed error) {
	meters, err := meter.New()
	require.NoError(t, err)
	address := freeAddress(t)
	host, err := assembler.New(assembler.Config{
		Settings: assembler.Settings{
			HostID: "a", Zone: "z", Region: "r", Listen: address, ReadyListen: freeAddress(t), PeerListen: freeAddress(t),
			DrainWait: 50 * time.Millisecond, StopGrace: grace, LeaseDuration: 3 * time.Second,
		},
		Log: logger.Discard(), Meter: meters, Store: storekeeper.New(),
		Platform: assembler.Platform{
			ConfigurationKind: "config/", UpstreamKind: "servers/", VersionKind: "versions/",
			Upstream: func(codec.Object) (codec.ListedHost, error) { return codec.ListedHost{}, nil },
			Version: func(codec.Object) (identifier.ModelName, identifier.WeightVersion, error) {
				return "", 0, nil
			},
		},
		NewUpstreams: func(connector.Observer, connector.Network) assembler.Upstreams {
			return assembler.Upstreams{}
		},
		NewFront: func(assembler.Parts) assembler.Front { return front },
	})
	require.NoError(t, err)
	stop, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = host.Run(stop) })
	var body []byte
	client := grouper.NewGroup(-1)
	client.Go(func() {
		var response *http.Response
		require.Eventually(t, func() bool {
			response, failed = http.Get("http://" + address + "/")
			return failed == nil
		}, 5*time.Second, 10*time.Millisecond)
		defer func() { _ = response.Body.Close() }()
		body, failed = io.ReadAll(response.Body)
	})
	<-front.started
	cancel()
	client.Wait()
	group.Wait()
	return string(body), failed
}

// Guards against a planned stop that ends a request whose header was read but whose handler had not begun when the host
// checked for running requests.
func TestStopWaitsForRequestsThatAreBeingRead(t *testing.T) {
	text, err := stopDuringARequest(t, &slowFront{started: make(chan struct{}, 1)}, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "complete", text)
}

// Guards against a planned stop that was held up and closes connections before the answers to the requests that it ends are sent.
func TestStopThatWasHeldUpSendsItsAnswers(t *testing.T) {
	front := &slowFront{started: make(chan struct{}, 1), ended: make(chan struct{}), refuse: func() { time.Sleep(2 * time.Second) }}
	text, err := stopDuringARequest(t, front, 2*time.Second)
	require.NoError(t, err)
	require.Equal(t, "complete", text)
}
