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
)

// reuseMargin is how long before the idle timeout an accepted connection is no longer used for calls. The dialing side
// closes idle connections, and the margin keeps a call from being sent into a connection that is just being closed.
const reuseMargin = 5 * time.Second

// quiet drops the log lines of jsonrpc2, which report closed connections that the callers see as errors anyway.
var quiet = log.New(io.Discard, "", 0)

// link is one connection to a peer, used for calls in both directions.
type link struct {
	owner   *Connector
	conn    *jsonrpc2.Conn
	socket  *countedConn
	dialed  bool
	address string
	slots   chan struct{}
	// ready is closed when conn is set; jsonrpc2 reads requests before its constructor returns.
	ready chan struct{}

	introduced atomic.Bool
	// retired connections get no new calls; they are closed when the calls in progress have ended.
	retired atomic.Bool
	busy    atomic.Int64
	lastUse atomic.Int64

	mu       sync.Mutex
	closed   bool
	handlers *grouper.Group
}

// link returns the open connection to a peer or dials one; concurrent callers share one dial.
func (c *Connector) link(ctx context.Context, to codec.Member) (*link, error) {
	if l := c.open(to); l != nil {
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
		return r.Val.(*link), nil
	}
}

func (c *Connector) open(to codec.Member) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.byPeer[keyOf(to)]
	if !ok || !l.usable(to.Address, time.Now()) {
		return nil
	}
	l.touch()
	return l
}

// usable reports whether a call may be sent; a peer at another address is a later process with the same id.
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
	return l, c.admit(l, key)
}

func (c *Connector) secure(ctx context.Context, socket net.Conn, address string) (net.Conn, error) {
	counted := &countedConn{Conn: socket, traffic: &c.traffic, writeTimeout: c.config.CallTimeout}
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
	l.socket = countedOf(socket)
	l.touch()
	stream := jsonrpc2.NewBufferedStream(socket, frames{traffic: &c.traffic})
	defer close(l.ready)
	l.conn = jsonrpc2.NewConn(c.base, stream, l, jsonrpc2.SetLogger(quiet))
	return l
}

func countedOf(socket net.Conn) *countedConn {
	if secured, ok := socket.(*tls.Conn); ok {
		return secured.NetConn().(*countedConn)
	}
	return socket.(*countedConn)
}

// admit adds a connection to the table; a key that is in use keeps only the newer connection for calls.
func (c *Connector) admit(l *link, key peerKey) error {
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

func (l *link) touch() { l.lastUse.Store(time.Now().UnixNano()) }

func (l *link) call(ctx context.Context, method string, params, result any) error {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.busy.Add(1)
	defer func() {
		l.touch()
		l.busy.Add(-1)
		<-l.slots
	}()
	before := l.socket.received.Load()
	err := l.conn.Call(ctx, method, params, result, jsonrpc2.Meta(l.introduction()))
	if errors.Is(err, context.DeadlineExceeded) && l.socket.received.Load() == before {
		// Nothing arrived during the whole call: the peer may be frozen or gone without closing, so the next call dials.
		// Other calls may still be waiting for a slow handler, so the connection stays open for them.
		l.retired.Store(true)
	}
	return err
}

func (l *link) introduction() Sender {
	self := l.owner.config.Self()
	sender := Sender{Host: self.ID, Incarnation: self.Incarnation}
	if l.introduced.CompareAndSwap(false, true) && l.dialed {
		sender.Address = self.Address
	}
	return sender
}

// Handle starts the handler of one request; it implements jsonrpc2.Handler.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-l.ready
	l.touch()
	sender := l.learn(request)
	if l.start(func() { l.serve(context.WithValue(ctx, senderKey{}, sender), conn, request) }) || request.Notif {
		return
	}
	busy := &jsonrpc2.Error{Code: CodeBusy, Message: "too many calls on this connection"}
	_ = conn.ReplyWithError(ctx, request.ID, busy)
}

// start runs f in the handler group; the lock keeps the shutdown from waiting for a group that still grows.
func (l *link) start(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && l.handlers.TryGo(f)
}

func (l *link) serve(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	l.busy.Add(1)
	defer l.busy.Add(-1)
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := l.owner.serve(ctx, request.Method, params)
	l.touch()
	if request.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, asRemote(err))
		return
	}
	if err := conn.Reply(ctx, request.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		_ = conn.ReplyWithError(ctx, request.ID, asRemote(err))
	}
}

// learn reads the sender of a request; the first one of an accepted connection names the peer for calls back.
func (l *link) learn(request *jsonrpc2.Request) Sender {
	var sender Sender
	if request.Meta == nil || json.Unmarshal(*request.Meta, &sender) != nil {
		return Sender{}
	}
	if sender.Address != "" && sender.Host != "" && !l.dialed {
		l.owner.name(l, sender)
	}
	return sender
}

func (c *Connector) name(l *link, sender Sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.address = sender.Address
	key := peerKey(sender.Host)
	if former, ok := c.byPeer[key]; !ok || !former.usable(sender.Address, time.Now()) {
		c.byPeer[key] = l
	}
}
