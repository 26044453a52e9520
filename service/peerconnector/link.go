package peerconnector

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/reserver"
)

// reuseMargin is how long before the idle timeout an accepted connection is no longer used for calls. The dialing side
// closes idle connections, and without the margin a call could be sent on a connection that is being closed.
const reuseMargin = 5 * time.Second

// maxUnknownCalls bounds the concurrent handlers of an accepted connection whose other end is not known yet. The first call of a host
// names it.
const maxUnknownCalls = 4

// paramsFactor is the memory that a large request from a peer takes while it is served, in relation to the size of its parameters.
const paramsFactor = 3

// discardLog discards the log lines of jsonrpc2: they report closed connections, which the callers see as errors anyway.
var discardLog = log.New(io.Discard, "", 0)

// link is one connection to a peer, used for calls in both directions.
type link struct {
	owner  *Connector
	conn   *jsonrpc2.Conn
	socket *countingConn
	// dialed is set if this host opened the connection.
	dialed bool
	// address is the peer's listening address; on an accepted connection it is empty until the peer has sent it.
	address string
	// slots bounds the concurrent calls; each running call holds one.
	slots chan struct{}
	// ready is closed when conn is set, because jsonrpc2 may handle requests before its constructor returns.
	ready chan struct{}

	// addressSent is set by the first call, which alone carries this host's address.
	addressSent atomic.Bool
	// retired is set when the connection gets no new calls; it is closed when the calls in progress have ended.
	retired atomic.Bool
	// running counts the calls and handlers in progress.
	running atomic.Int64
	// unknownCalls counts the handlers in progress that were started before the peer was known.
	unknownCalls atomic.Int64
	// lastUse is the time of the last use in Unix nanoseconds.
	lastUse atomic.Int64

	mu       sync.Mutex
	closed   bool
	handlers *grouper.Group
}

// link returns the open connection to a peer or dials one; concurrent callers share one dial. The connection counts as running
// a call, which call ends, so that a sweep does not close it in between.
func (c *Connector) link(ctx context.Context, to codec.Member) (*link, error) {
	if l := c.openLink(to); l != nil {
		return l, nil
	}
	key := keyOf(to)
	done := c.dials.DoChan(string(key)+" "+to.Address, func() (any, error) { return c.dial(key, to.Address) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-done:
		if r.Err != nil {
			return nil, r.Err
		}
		l := r.Val.(*link)
		l.running.Add(1)
		return l, nil
	}
}

// openLink returns the usable connection to a peer, or nil.
func (c *Connector) openLink(to codec.Member) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.byPeer[keyOf(to)]
	if !ok || !l.usable(to.Address, time.Now()) {
		return nil
	}
	l.touch()
	l.running.Add(1)
	return l
}

// usable reports whether a call may be sent. If address differs, the connection leads to an earlier process of the peer.
func (l *link) usable(address string, now time.Time) bool {
	select {
	case <-l.conn.DisconnectNotify():
		return false
	default:
	}
	if l.address != address || l.retired.Load() {
		return false
	}
	idle := now.Sub(time.Unix(0, l.lastUse.Load()))
	return l.dialed || idle < l.owner.config.IdleTimeout-reuseMargin
}

func (c *Connector) dial(key peerKey, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(c.base, c.config.DialTimeout)
	defer cancel()
	c.traffic.dials.Add(1)
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	socket, err = c.secure(ctx, socket, address)
	if err != nil {
		return nil, err
	}
	l := c.newLink(socket, true)
	l.address = address
	return l, c.addLink(l, key)
}

// secure wraps a dialed connection in a countingConn and, if TLS is configured, completes the handshake.
func (c *Connector) secure(ctx context.Context, socket net.Conn, address string) (net.Conn, error) {
	counted := &countingConn{Conn: socket, traffic: &c.traffic, writeTimeout: c.config.CallTimeout}
	if c.config.TLS == nil {
		return counted, nil
	}
	config := c.config.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secured := tls.Client(counted, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = socket.Close()
		return nil, err
	}
	return secured, nil
}

func (c *Connector) newLink(socket net.Conn, dialed bool) *link {
	l := &link{
		owner:    c,
		dialed:   dialed,
		slots:    make(chan struct{}, c.config.MaxCalls),
		ready:    make(chan struct{}),
		handlers: grouper.NewGroup(c.config.MaxHandlers),
	}
	l.socket = countingConnOf(socket)
	if dialed {
		l.socket.keep()
	}
	l.touch()
	stream := jsonrpc2.NewBufferedStream(socket, frameCodec{
		traffic: &c.traffic, memory: c.config.Memory, unknown: c.config.Unknown, conn: l.socket, timeout: c.config.IdleTimeout,
	})
	defer close(l.ready)
	l.conn = jsonrpc2.NewConn(c.base, stream, l, jsonrpc2.SetLogger(discardLog))
	return l
}

func countingConnOf(socket net.Conn) *countingConn {
	if buffered, ok := socket.(*bufferedConn); ok {
		socket = buffered.Conn
	}
	if secured, ok := socket.(*tls.Conn); ok {
		return secured.NetConn().(*countingConn)
	}
	return socket.(*countingConn)
}

// addLink registers a connection, or closes it with ErrStopped after the stop. Calls to key use it from now on; an empty
// key means that the peer is not known yet.
func (c *Connector) addLink(l *link, key peerKey) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		_ = l.conn.Close()
		return ErrStopped
	}
	c.links[l] = struct{}{}
	if key != "" {
		c.byPeer[key] = l
	}
	return nil
}

// removeLink forgets a connection that has ended. Those of clients that come and go would otherwise be kept until the next sweep.
func (c *Connector) removeLink(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, l)
	for key, other := range c.byPeer {
		if other == l {
			delete(c.byPeer, key)
		}
	}
}

func (l *link) touch() { l.lastUse.Store(time.Now().UnixNano()) }

// call makes a call on a connection that link has returned.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	defer func() {
		l.touch()
		l.running.Add(-1)
	}()
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.slots }()
	before := l.socket.received.Load()
	err := l.conn.Call(ctx, method, params, result, jsonrpc2.Meta(l.sender()))
	if errors.Is(err, context.DeadlineExceeded) && l.socket.received.Load() == before {
		// Nothing arrived during the call: the peer may be frozen or may have vanished without closing the connection, so
		// the next call dials a new one. Other calls may be waiting for a slow handler, so this one stays open for them.
		l.retired.Store(true)
	}
	return err
}

// sender returns this host as the sender of a call; the first call on a dialed connection includes the address.
func (l *link) sender() Sender {
	self := l.owner.config.Self()
	sender := Sender{Host: self.ID, Incarnation: self.Incarnation}
	if l.addressSent.CompareAndSwap(false, true) && l.dialed {
		sender.Address = self.Address
	}
	return sender
}

// Handle starts the handler of one request; it implements jsonrpc2.Handler.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-l.ready
	l.touch()
	sender := l.readSender(request)
	if l.start(func() { l.serve(context.WithValue(ctx, senderKey{}, sender), conn, request) }) || request.Notif {
		return
	}
	busy := &jsonrpc2.Error{Code: CodeBusy, Message: "too many calls on this connection"}
	_ = conn.ReplyWithError(ctx, request.ID, busy)
}

// start runs f in the handler group and reports whether it did. The lock ensures that no handler is added once the
// shutdown waits for the group.
func (l *link) start(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return false
	case l.socket.known.Load():
		return l.handlers.TryGo(f)
	case l.unknownCalls.Load() >= maxUnknownCalls:
		return false
	}
	l.unknownCalls.Add(1)
	return l.handlers.TryGo(func() {
		defer l.unknownCalls.Add(-1)
		f()
	})
}

func (l *link) serve(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	l.running.Add(1)
	defer l.running.Add(-1)
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if size := identifier.Bytes(len(params)); size > reserver.SmallSize {
		// The parameters and what is decoded and encoded of them stay in memory until the response.
		held, err := l.owner.config.Memory.Reserve(ctx, paramsFactor*size)
		if err != nil {
			if !request.Notif {
				_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: CodeBusy, Message: err.Error()})
			}
			return
		}
		defer held.Release()
	}
	result, err := l.owner.serve(ctx, request.Method, params)
	l.touch()
	if request.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, toRPCError(err))
		return
	}
	if err := conn.Reply(ctx, request.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		_ = conn.ReplyWithError(ctx, request.ID, toRPCError(err))
	}
}

// readSender returns the sender of a request. The first request on an accepted connection carries the peer's address;
// with it, the connection also serves calls to that peer.
func (l *link) readSender(request *jsonrpc2.Request) Sender {
	var sender Sender
	if request.Meta == nil || json.Unmarshal(*request.Meta, &sender) != nil {
		return Sender{}
	}
	if sender.Address != "" && sender.Host != "" && !l.dialed {
		l.socket.keep()
		l.owner.setPeer(l, sender)
	}
	return sender
}

// setPeer assigns an accepted connection to its peer, unless another usable connection to the peer exists.
func (c *Connector) setPeer(l *link, sender Sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.address = sender.Address
	key := peerKey(sender.Host)
	if former, ok := c.byPeer[key]; !ok || !former.usable(sender.Address, time.Now()) {
		c.byPeer[key] = l
	}
}
