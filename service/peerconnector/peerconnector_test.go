package peerconnector_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/peerconnector"
	"celerygap.example/service/sizer"
)

type host struct {
	*peerconnector.Connector
	self codec.Member
	stop func()
}

type echo struct {
	Text   string               `json:"text"`
	Sender peerconnector.Sender `json:"sender"`
}

func newHost(t *testing.T, id string, change func(*peerconnector.Config)) *host {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m, err := meter.New()
	require.NoError(t, err)
	h := &host{self: codec.Member{ID: identifier.HostID(id), Address: listener.Addr().String(), Incarnation: 7}}
	config := peerconnector.Config{
		Self: func() codec.Member { return h.self }, Listener: listener,
		Timer: timer.New(timer.Config{}), Meter: m, Log: logger.Discard(),
	}
	if change != nil {
		change(&config)
	}
	h.Connector = peerconnector.New(config)
	h.Handle("echo", func(ctx context.Context, params json.RawMessage) (any, error) {
		var e echo
		err := json.Unmarshal(params, &e)
		e.Sender, _ = peerconnector.SenderOf(ctx)
		return e, err
	})
	h.Handle("refuse", func(context.Context, json.RawMessage) (any, error) {
		return nil, &jsonrpc2.Error{Code: -32099, Message: "no"}
	})
	h.Handle("wait", func(ctx context.Context, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = config.Timer.Run(ctx) })
	group.Go(func() { _ = h.Run(ctx) })
	h.stop = func() { cancel(); group.Wait() }
	t.Cleanup(h.stop)
	return h
}

// Guards against a lost result, a missing sender, and a second connection for calls in the other direction.
func TestCallsGoBothWaysOverOneConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newHost(t, "a", nil), newHost(t, "b", nil)
	defer func() { a.stop(); b.stop() }()
	var got echo
	require.NoError(t, a.Call(t.Context(), b.self, "echo", echo{Text: "hello"}, &got))
	require.Equal(t, "hello", got.Text)
	require.Equal(t, a.self.ID, got.Sender.Host)
	require.Equal(t, a.self.Incarnation, got.Sender.Incarnation)
	require.NoError(t, b.Call(t.Context(), a.self, "echo", echo{Text: "back"}, &got))
	require.Equal(t, b.self.ID, got.Sender.Host)
	require.EqualValues(t, 1, a.Traffic().Dials)
	require.Zero(t, b.Traffic().Dials)
	// The sender counts the bytes after the write, when the receiver may already have responded.
	require.Eventually(t, func() bool { return a.Traffic().BytesSent == b.Traffic().BytesReceived }, 5*time.Second, time.Millisecond)
	require.Positive(t, a.Traffic().BytesSent)
}

// Guards against refusals that lose their code and against errors without step and peer, both for handlers of another
// host and for this host's own.
func TestRefusalsKeepTheirCode(t *testing.T) {
	a, b := newHost(t, "a", nil), newHost(t, "b", nil)
	for _, to := range []codec.Member{a.self, b.self} {
		for method, code := range map[string]int64{"refuse": -32099, "missing": jsonrpc2.CodeMethodNotFound} {
			err := a.Call(t.Context(), to, method, nil, nil)
			var remote *jsonrpc2.Error
			require.ErrorAs(t, err, &remote)
			require.Equal(t, code, remote.Code)
			var step *annotator.Error
			require.ErrorAs(t, err, &step)
			require.Contains(t, string(step.Peer), string(to.ID))
		}
	}
	require.Eventually(t, func() bool { return a.Traffic().BytesSent == b.Traffic().BytesReceived }, 5*time.Second, time.Millisecond)
}

// Guards against calls that outlast their deadline because the peer sends nothing, against further calls on such a
// connection, and against failing the other calls that still wait on it.
func TestSilentPeerTimesOutAndIsDialedAgain(t *testing.T) {
	a, b := newHost(t, "a", nil), newHost(t, "b", nil)
	waiting, cancelWaiting := context.WithCancel(t.Context())
	result := make(chan error, 1)
	group := grouper.NewGroup(-1)
	group.Go(func() { result <- a.Call(waiting, b.self, "wait", nil, nil) })
	require.Eventually(t, func() bool { return b.Traffic().MessagesReceived == 1 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, a.Call(ctx, b.self, "wait", nil, nil), context.DeadlineExceeded)
	require.NoError(t, a.Call(t.Context(), b.self, "echo", echo{}, nil))
	require.EqualValues(t, 2, a.Traffic().Dials)
	require.Empty(t, result, "the first call must still be waiting")
	cancelWaiting()
	group.Wait()
	require.ErrorIs(t, <-result, context.Canceled)
}

// Guards against calls that still reach the former process of a host that was replaced at another address under the same
// id, and against calls to a stopped host that do not fail.
func TestReplacedPeerIsDialedAtItsNewAddress(t *testing.T) {
	a, b := newHost(t, "a", nil), newHost(t, "b", nil)
	require.NoError(t, a.Call(t.Context(), b.self, "echo", echo{}, nil))
	later := newHost(t, "b", nil)
	require.NoError(t, a.Call(t.Context(), later.self, "echo", echo{}, nil))
	require.Positive(t, later.Traffic().MessagesReceived, "the former process is still running")
	later.stop()
	require.Error(t, a.Call(t.Context(), later.self, "echo", echo{}, nil))
}

// Guards against an unbounded number of handlers: calls above the bound must be refused with CodeBusy.
func TestHandlersAreBounded(t *testing.T) {
	a := newHost(t, "a", nil)
	b := newHost(t, "b", func(c *peerconnector.Config) { c.MaxHandlers = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = a.Call(ctx, b.self, "wait", nil, nil) })
	require.Eventually(t, func() bool {
		var remote *jsonrpc2.Error
		return errors.As(a.Call(t.Context(), b.self, "echo", echo{}, nil), &remote) && remote.Code == peerconnector.CodeBusy
	}, 5*time.Second, time.Millisecond)
	cancel()
	group.Wait()
}

// Guards against idle connections that stay open, and against a damaged length prefix that makes the host allocate memory.
func TestIdleAndDamagedConnectionsAreClosed(t *testing.T) {
	short := func(c *peerconnector.Config) { c.IdleTimeout = time.Millisecond }
	a, b := newHost(t, "a", short), newHost(t, "b", nil)
	require.NoError(t, a.Call(t.Context(), b.self, "echo", echo{}, nil))
	raw, err := net.Dial("tcp", b.self.Address)
	require.NoError(t, err)
	_, err = raw.Write([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	require.NoError(t, err)
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = raw.Read(make([]byte, 1))
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout())
	require.Eventually(t, func() bool { return a.Traffic().Connections == 0 }, 15*time.Second, 50*time.Millisecond)
}

// Guards against serving hosts without a trusted certificate, and against mutual TLS that does not connect.
func TestMutualTLSRefusesUntrustedHosts(t *testing.T) {
	secure := func(c *peerconnector.Config) {
		config, err := sizer.LoopbackTLS()
		require.NoError(t, err)
		c.TLS = config
	}
	var shared *tls.Config
	same := func(c *peerconnector.Config) {
		if shared == nil {
			secure(c)
			shared = c.TLS
		}
		c.TLS = shared
	}
	a, b := newHost(t, "a", same), newHost(t, "b", same)
	require.NoError(t, a.Call(t.Context(), b.self, "echo", echo{}, nil))
	require.NoError(t, b.Call(t.Context(), a.self, "echo", echo{}, nil))
	for _, untrusted := range []*host{newHost(t, "plain", nil), newHost(t, "other", secure)} {
		received := b.Traffic().MessagesReceived
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		require.Error(t, untrusted.Call(ctx, b.self, "echo", echo{}, nil))
		cancel()
		require.Equal(t, received, b.Traffic().MessagesReceived)
	}
}

// Guards against a sweep that closes a connection between the choice of the connection for a call and the start of the call.
func TestSweepSparesConnectionsInUse(t *testing.T) {
	a := newHost(t, "a", func(config *peerconnector.Config) { config.IdleTimeout = 6 * time.Millisecond })
	b := newHost(t, "b", func(config *peerconnector.Config) { config.IdleTimeout = time.Minute })
	callers := grouper.NewGroup(-1)
	for range 4 {
		callers.Go(func() {
			for i := range 300 {
				if err := a.Call(t.Context(), b.self, "echo", echo{}, nil); err != nil {
					t.Errorf("call %d: %v", i, err)
					return
				}
				// About the idle timeout, so that calls and sweeps meet.
				time.Sleep(time.Duration(5+i%3) * time.Millisecond)
			}
		})
	}
	callers.Wait()
}
