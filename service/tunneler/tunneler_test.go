package tunneler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/exchanger"
	"celerygap.example/service/tunneler"
)

// host is a driver whose streams go over loopback connections and whose links to the upstreams can be cut.
type host struct {
	*tunneler.Driver
	id       identifier.HostID
	all      *[]codec.Member
	listener net.Listener
	handler  connector.StreamHandler
	// fail is the error of direct dials; hang makes them last until their timeout.
	fail atomic.Pointer[error]
	hang atomic.Bool
	// dials counts the direct dials, streams those that other hosts opened.
	dials, streams atomic.Int64
	stop           context.CancelFunc

	mu    sync.Mutex
	conns []net.Conn
}

func (h *host) Self() codec.Member   { return codec.Member{ID: h.id} }
func (h *host) Live() []codec.Member { return *h.all }

func (h *host) HandleStream(_ string, handler connector.StreamHandler) { h.handler = handler }

func (h *host) DialStream(ctx context.Context, to codec.Member, _ string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", to.Address)
}

func (h *host) direct(ctx context.Context, network, address string) (net.Conn, error) {
	h.dials.Add(1)
	if h.hang.Load() {
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := h.fail.Load(); err != nil {
		return nil, *err
	}
	return (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext(ctx, network, address)
}

// kill closes the streams of other hosts, as the end of the process does.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.listener.Close()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
}

func newHosts(t *testing.T, count int, known func(string) bool) []*host {
	if known == nil {
		known = func(string) bool { return true }
	}
	all := make([]codec.Member, count)
	hosts := make([]*host, count)
	for i := range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		h := &host{id: identifier.HostID(fmt.Sprint("h", i)), all: &all, listener: listener}
		all[i] = codec.Member{ID: h.id, Address: listener.Addr().String()}
		h.Driver = tunneler.NewDriver(tunneler.DriverConfig{Members: h, Peers: h, Direct: h.direct, Known: known})
		ctx, stop := context.WithCancel(t.Context())
		h.stop = stop
		group := grouper.NewGroup(-1)
		group.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				h.streams.Add(1)
				h.mu.Lock()
				h.conns = append(h.conns, conn)
				h.mu.Unlock()
				group.Go(func() {
					h.handler(ctx, conn)
					_ = conn.Close()
				})
			}
		})
		t.Cleanup(func() {
			stop()
			h.kill()
			group.Wait()
		})
		hosts[i] = h
	}
	return hosts
}

var errRefused error = syscall.ECONNREFUSED

// newUpstream returns the address of a server that sends the lines in turn, with a pause between them, and then ends the
// connection, or resets it.
func newUpstream(t *testing.T, lines int, pause time.Duration, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group := grouper.NewGroup(-1)
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
					return
				}
				for number := range lines {
					time.Sleep(pause)
					if _, err := fmt.Fprintln(conn, "line", number); err != nil {
						return
					}
				}
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

func read(t *testing.T, h *host, address string) (string, error) {
	conn, err := h.Dial(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintln(conn, "send")
	require.NoError(t, err)
	text, err := io.ReadAll(conn)
	return string(text), err
}

// Guards against a host whose links are broken and that reaches nothing, against one that asks others although its own links
// work, and against one that does not go back to its own links.
func TestConnectionsGoThroughOtherHostsWhileTheOwnLinksAreBroken(t *testing.T) {
	hosts := newHosts(t, 3, nil)
	addresses := []string{newUpstream(t, 3, 0, false), newUpstream(t, 3, 0, false), newUpstream(t, 3, 0, false)}
	const complete = "line 0\nline 1\nline 2\n"
	others := func() int64 { return hosts[1].streams.Load() + hosts[2].streams.Load() }
	for range 20 {
		text, err := read(t, hosts[0], addresses[0])
		require.NoError(t, err)
		require.Equal(t, complete, text)
	}
	require.Zero(t, others(), "no other host is asked while the own links work")

	hosts[0].hang.Store(true)
	for _, address := range addresses {
		text, err := read(t, hosts[0], address)
		require.NoError(t, err)
		require.Equal(t, complete, text)
	}
	time.Sleep(450 * time.Millisecond)
	for _, address := range addresses {
		started := time.Now()
		_, err := read(t, hosts[0], address)
		require.NoError(t, err)
		require.Less(t, time.Since(started), 120*time.Millisecond, "other hosts are asked at once")
	}
	hosts[0].hang.Store(false)
	hosts[0].fail.Store(&errRefused)
	_, err := read(t, hosts[0], addresses[0])
	require.NoError(t, err)

	hosts[0].fail.Store(nil)
	_, err = read(t, hosts[0], addresses[0])
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	before := others()
	for range 10 {
		_, err := read(t, hosts[0], addresses[0])
		require.NoError(t, err)
	}
	require.Equal(t, before, others(), "the own links are used again")
}

// Guards against a response that ends with its connection and counts as complete although the host between, or the upstream,
// broke it off.
func TestBrokenTunnelIsNoEndOfAResponse(t *testing.T) {
	hosts := newHosts(t, 2, nil)
	hosts[0].fail.Store(&errRefused)
	text, err := read(t, hosts[0], newUpstream(t, 3, 0, true))
	require.Error(t, err, "the upstream reset the connection after %q", text)

	slow := newUpstream(t, 10, 30*time.Millisecond, false)
	time.AfterFunc(150*time.Millisecond, hosts[1].kill)
	text, err = read(t, hosts[0], slow)
	require.Error(t, err, "the other host ended after %q", text)
	require.NotContains(t, text, "line 9")
}

// Guards against an upstream that is down and costs a request a dial of each host, or much more time than without other hosts.
func TestUpstreamThatIsDownIsGivenUpSoon(t *testing.T) {
	hosts := newHosts(t, 8, nil)
	up := newUpstream(t, 1, 0, false)
	for _, h := range hosts {
		_, err := read(t, h, up)
		require.NoError(t, err)
	}
	down, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, down.Close())
	started := time.Now()
	_, err = hosts[0].Dial(t.Context(), "tcp", down.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Less(t, time.Since(started), 100*time.Millisecond)
	asked := int64(0)
	for _, h := range hosts {
		asked += h.streams.Load()
	}
	require.EqualValues(t, 1, asked, "a host that reaches other upstreams is believed")
}

// Guards against an upstream that has gone silent and costs a request much more time than the direct dial alone takes.
func TestSilentUpstreamIsGivenUpSoon(t *testing.T) {
	hosts := newHosts(t, 4, nil)
	for _, h := range hosts {
		h.hang.Store(true)
	}
	started := time.Now()
	_, err := hosts[0].Dial(t.Context(), "tcp", newUpstream(t, 1, 0, false))
	require.Error(t, err)
	require.Less(t, time.Since(started), 500*time.Millisecond)
}

// Guards against hosts that pass requests for connections in a circle, that open connections to any address, or that take
// further ones during a planned stop, which then interrupts them.
func TestOtherHostsOpenConnectionsToUpstreamsOnly(t *testing.T) {
	address := newUpstream(t, 5, 40*time.Millisecond, false)
	hosts := newHosts(t, 4, func(wanted string) bool { return wanted == address })
	for _, h := range hosts[:3] {
		h.fail.Store(&errRefused)
	}
	text, err := read(t, hosts[0], address)
	require.NoError(t, err)
	require.Contains(t, text, "line 4")
	require.EqualValues(t, 1, hosts[3].dials.Load())
	_, err = hosts[0].Dial(t.Context(), "tcp", newUpstream(t, 1, 0, false))
	require.Error(t, err)
	require.EqualValues(t, 1, hosts[3].dials.Load(), "the address is not that of an upstream")

	done := make(chan error, 1)
	group := grouper.NewGroup(-1)
	group.Go(func() {
		_, err := read(t, hosts[0], address)
		done <- err
	})
	time.Sleep(80 * time.Millisecond)
	hosts[3].Refuse()
	require.NoError(t, hosts[3].Wait(t.Context()))
	require.NoError(t, <-done, "the planned stop waited for the connection")
	_, err = hosts[1].Dial(t.Context(), "tcp", address)
	require.Error(t, err)
	group.Wait()
}

// Guards against a caller that has left while its connection is still opened, or still used, by another host.
func TestClosedConnectionEndsAtTheUpstream(t *testing.T) {
	hosts := newHosts(t, 2, nil)
	hosts[0].fail.Store(&errRefused)
	gone := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(gone)
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	x := exchanger.New(exchanger.Config{Dial: hosts[0].Dial})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, http.NoBody)
	require.NoError(t, err)
	_, err = x.Do(request, []byte("body"), exchanger.Options{})
	require.Error(t, err)
	select {
	case <-gone:
	case <-time.After(400 * time.Millisecond):
		require.Fail(t, "the upstream still works on the request")
	}
}

// Guards against idle connections that other hosts hold open for this one, and against a request that is lost, or sent twice,
// because it met such a connection.
func TestExchangesThroughOtherHostsUseAConnectionEach(t *testing.T) {
	hosts := newHosts(t, 2, nil)
	hosts[0].fail.Store(&errRefused)
	var mu sync.Mutex
	received := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		mu.Lock()
		received[string(text)]++
		mu.Unlock()
		_, _ = fmt.Fprint(w, "response to ", string(text))
	}))
	t.Cleanup(server.Close)
	x := exchanger.New(exchanger.Config{Dial: hosts[0].Dial})
	group := grouper.NewGroup(8)
	failures := make(chan error, 400)
	for number := range 400 {
		group.Go(func() {
			failures <- func() error {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
				if err != nil {
					return err
				}
				text := fmt.Sprint("request ", number)
				response, err := x.Do(request, []byte(text), exchanger.Options{SingleUse: number%2 == 0})
				if err != nil {
					return err
				}
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				if err == nil && !strings.HasSuffix(string(body), text) {
					err = errors.New("response to another request: " + string(body))
				}
				return err
			}()
		})
	}
	group.Wait()
	for range 400 {
		require.NoError(t, <-failures)
	}
	require.Len(t, received, 400)
	for text, count := range received {
		require.Equal(t, 1, count, text)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	require.NoError(t, hosts[1].Wait(ctx), "no idle connection is left")
}

// Guards against other hosts that are asked at once for an address of a sound path, or late for those of a broken one.
func TestPathsDecideWhenOtherHostsAreAsked(t *testing.T) {
	now := time.Now()
	p := tunneler.NewPaths()
	require.Positive(t, p.HedgeDelay(now, "a"))
	require.False(t, p.Reaches(now))
	p.Handle(now, tunneler.DirectOpened{Address: "a"})
	require.True(t, p.Reaches(now.Add(time.Second)))
	require.False(t, p.Reaches(now.Add(3*time.Second)))

	now = now.Add(time.Second)
	require.Empty(t, p.Handle(now, tunneler.OnlyRelayed{Address: "b"}))
	require.Zero(t, p.HedgeDelay(now, "b"))
	require.Positive(t, p.HedgeDelay(now, "a"), "one address that is cut off says nothing about the others")
	require.Equal(t, []tunneler.Command{tunneler.LogLost{Addresses: 2}}, p.Handle(now, tunneler.OnlyRelayed{Address: "c"}))
	require.Zero(t, p.HedgeDelay(now, "a"))
	require.Empty(t, p.Handle(now, tunneler.OnlyRelayed{Address: "d"}), "the loss is logged once")

	now = now.Add(time.Second)
	require.Equal(t, []tunneler.Command{tunneler.LogRegained{Address: "a"}}, p.Handle(now, tunneler.DirectOpened{Address: "a"}))
	require.Positive(t, p.HedgeDelay(now, "a"))
	require.Zero(t, p.HedgeDelay(now, "b"), "this address was not reached yet")
	require.Positive(t, p.HedgeDelay(now.Add(10*time.Second), "b"))
}
