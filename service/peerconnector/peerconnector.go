package peerconnector

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/singleflight"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/reserver"
)

// The defaults of a Config.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = 5 * time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultMaxCalls    = 64
	DefaultMaxHandlers = 64
)

// CodeBusy is the JSON-RPC error code of a call that was refused because MaxHandlers calls of its connection were running.
const CodeBusy = -32050

// ErrStopped means that this host's peer connector has stopped.
var ErrStopped = errors.New("peer connector stopped")

// Config configures a Connector; zero durations and limits mean the defaults.
type Config struct {
	// Self returns this host; its id and incarnation are sent with each request.
	Self func() codec.Member
	// Listener accepts the connections of other hosts; Run closes it.
	Listener net.Listener
	// TLS, when set, secures dialed and accepted connections; it should require client certificates.
	TLS   *tls.Config
	Timer *timer.Service
	Meter *meter.Meter
	Log   *logger.Logger

	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline, and each write.
	CallTimeout time.Duration
	// IdleTimeout is how long a dialed connection without calls stays open.
	IdleTimeout time.Duration
	// MaxCalls bounds the concurrent calls of this host on one connection; further calls wait.
	MaxCalls int
	// MaxHandlers bounds the concurrent handlers of one connection; further requests are refused with CodeBusy.
	MaxHandlers int
	// Memory is the account to which messages of other hosts are charged, Unknown that of messages from connections whose other end
	// has not named itself; nil means no limit.
	Memory  *reserver.Account
	Unknown *reserver.Account
}

// Connector implements connector.Peers.
type Connector struct {
	config   Config
	handlers map[string]connector.Handler
	streams  map[string]connector.StreamHandler
	traffic  counters
	dials    singleflight.Group
	base     context.Context
	stop     context.CancelFunc
	// background runs the sweeps and the handshakes of accepted connections.
	background *grouper.Group

	mu      sync.Mutex
	stopped bool
	byPeer  map[peerKey]*link
	links   map[*link]struct{}
	// flushed is the traffic that the metrics already include.
	flushed Traffic
}

// peerKey identifies a peer by its id, or by its address while the id of a configured seed is not known.
type peerKey string

var (
	_ connector.Peers       = (*Connector)(nil)
	_ connector.PeerStreams = (*Connector)(nil)
)

// New returns a connector that can call other hosts at once; it serves their calls while Run runs.
func New(config Config) *Connector {
	config = withDefaults(config)
	base, stop := context.WithCancel(context.Background())
	return &Connector{
		config:     config,
		handlers:   make(map[string]connector.Handler),
		streams:    make(map[string]connector.StreamHandler),
		base:       base,
		stop:       stop,
		background: grouper.NewGroup(-1),
		byPeer:     make(map[peerKey]*link),
		links:      make(map[*link]struct{}),
	}
}

func withDefaults(config Config) Config {
	if config.DialTimeout <= 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	if config.MaxCalls <= 0 {
		config.MaxCalls = DefaultMaxCalls
	}
	if config.MaxHandlers <= 0 {
		config.MaxHandlers = DefaultMaxHandlers
	}
	return config
}

// Handle registers the handler of a method; it must be called before Run.
func (c *Connector) Handle(method string, handler connector.Handler) {
	c.handlers[method] = handler
}

// Call calls a method on another host. A refusal by the remote handler is a *jsonrpc2.Error in the error's chain.
func (c *Connector) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.CallTimeout)
		defer cancel()
	}
	err := c.call(ctx, to, method, params, result)
	c.config.Meter.PeerCalled(method, resultName(err))
	return annotator.Wrap(annotator.Step("call "+method), peerName(to), err)
}

func (c *Connector) call(ctx context.Context, to codec.Member, method string, params, result any) error {
	if to.ID != "" && to.ID == c.config.Self().ID {
		return c.callSelf(ctx, method, params, result)
	}
	l, err := c.link(ctx, to)
	if err != nil {
		return err
	}
	return l.call(ctx, method, params, result)
}

// callSelf runs the handler directly. Parameters and result pass through JSON, so that caller and handler share no memory.
func (c *Connector) callSelf(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := c.serve(ctx, method, raw)
	if err != nil {
		return toRPCError(err)
	}
	if result == nil {
		return nil
	}
	raw, err = json.Marshal(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (c *Connector) serve(ctx context.Context, method string, params json.RawMessage) (any, error) {
	handler, ok := c.handlers[method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: fmt.Sprintf("unknown method %q", method)}
	}
	return handler(ctx, params)
}

// toRPCError converts a handler's error to a JSON-RPC error; an error without a code becomes an internal error.
func toRPCError(err error) *jsonrpc2.Error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return remote
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// resultName returns the label of a call's result in the metrics.
func resultName(err error) string {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &remote):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, jsonrpc2.ErrClosed):
		return "connection_lost"
	default:
		return "connect_failed"
	}
}

func keyOf(member codec.Member) peerKey {
	if member.ID == "" {
		return peerKey("address " + member.Address)
	}
	return peerKey(member.ID)
}

func peerName(member codec.Member) annotator.Peer {
	if member.ID == "" {
		return annotator.Peer(member.Address)
	}
	return annotator.Peer(string(member.ID) + " at " + member.Address)
}

// Sender is the host that sent a request.
type Sender struct {
	Host        identifier.HostID      `json:"host"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Address is sent only with the first request on a connection, by the host that dialed it.
	Address string `json:"address,omitempty"`
}

type senderKey struct{}

// SenderOf returns the sender of the request that a handler's context belongs to.
func SenderOf(ctx context.Context) (Sender, bool) {
	sender, ok := ctx.Value(senderKey{}).(Sender)
	return sender, ok
}

// Traffic counts the traffic of this host with other hosts since its start.
type Traffic struct {
	BytesSent        int64
	BytesReceived    int64
	MessagesSent     int64
	MessagesReceived int64
	Dials            int64
	// Connections is the number of open connections.
	Connections int
}

// Traffic returns the counts of this host's traffic so far.
func (c *Connector) Traffic() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trafficLocked()
}

func (c *Connector) trafficLocked() Traffic {
	return Traffic{
		BytesSent:        c.traffic.bytesSent.Load(),
		BytesReceived:    c.traffic.bytesReceived.Load(),
		MessagesSent:     c.traffic.messagesSent.Load(),
		MessagesReceived: c.traffic.messagesReceived.Load(),
		Dials:            c.traffic.dials.Load(),
		Connections:      len(c.links),
	}
}

// LacksMethod reports whether a call failed because the other host does not know the method, as the host of an earlier build.
func LacksMethod(err error) bool {
	var failed *jsonrpc2.Error
	return errors.As(err, &failed) && failed.Code == jsonrpc2.CodeMethodNotFound
}
