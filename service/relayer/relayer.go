package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

// The JSON-RPC methods between relayers.
const (
	methodPut = "store_put"
	methodGet = "store_get"
)

const (
	// directTimeout bounds a call on the own path; a slow store takes some 300 ms.
	directTimeout = 600 * time.Millisecond
	// relayTimeout bounds a call through another host.
	relayTimeout = 900 * time.Millisecond
	// brokenFor is how long the own path is tried last after it failed.
	brokenFor = 2 * time.Second
	// maxRelays bounds the hosts that are asked for one call.
	maxRelays = 2
)

// Config configures a Relayer.
type Config struct {
	Store   connector.ObjectStore
	Members connector.Members
	Peers   connector.Peers
	Log     *logger.Logger
}

// Relayer is a connector.ObjectStore whose reads and writes of single objects go through another host when the own path
// fails. A write may then take effect twice, so it is only for writes that say the same when repeated: creations and
// conditional updates. Leases must not go through it, because they belong to the host that makes the call.
type Relayer struct {
	connector.ObjectStore
	config Config
	// brokenUntil is when the own path is tried first again, in Unix nanoseconds.
	brokenUntil atomic.Int64
}

var _ connector.ObjectStore = (*Relayer)(nil)

// New returns a relayer and registers its methods with the peers.
func New(config Config) *Relayer {
	r := &Relayer{ObjectStore: config.Store, config: config}
	config.Peers.Handle(methodPut, r.servePut)
	config.Peers.Handle(methodGet, r.serveGet)
	return r
}

// Put writes an object if its version is still expected; zero means that it must not exist.
func (r *Relayer) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	return r.call(ctx, methodPut, codec.RelayedCall{Key: key, Expected: expected, Value: value}, func(ctx context.Context) (codec.Object, error) {
		return r.ObjectStore.Put(ctx, key, expected, value)
	})
}

// Get returns one object or connector.ErrNotFound.
func (r *Relayer) Get(ctx context.Context, key string) (codec.Object, error) {
	return r.call(ctx, methodGet, codec.RelayedCall{Key: key}, func(ctx context.Context) (codec.Object, error) {
		return r.ObjectStore.Get(ctx, key)
	})
}

// call tries the own path and then other hosts, or the other way round while the own path is broken. If any try may have
// taken effect, the error says so.
func (r *Relayer) call(ctx context.Context, method string, params codec.RelayedCall, direct func(context.Context) (codec.Object, error)) (codec.Object, error) {
	tries := []func(context.Context) (codec.Object, error){
		func(ctx context.Context) (codec.Object, error) { return r.direct(ctx, direct) },
		func(ctx context.Context) (codec.Object, error) { return r.relay(ctx, method, params) },
	}
	if time.Now().UnixNano() < r.brokenUntil.Load() {
		tries[0], tries[1] = tries[1], tries[0]
	}
	uncertain := false
	var err error
	for _, try := range tries {
		var object codec.Object
		object, err = try(ctx)
		if !unreachable(err) || ctx.Err() != nil {
			return object, err
		}
		uncertain = uncertain || errors.Is(err, connector.ErrOutcomeUnknown)
	}
	if uncertain && !errors.Is(err, connector.ErrOutcomeUnknown) {
		err = errors.Join(connector.ErrOutcomeUnknown, err)
	}
	return codec.Object{}, err
}

// unreachable reports whether another path to the store may help.
func unreachable(err error) bool {
	return errors.Is(err, connector.ErrUnavailable) || errors.Is(err, connector.ErrOutcomeUnknown) || errors.Is(err, connector.ErrThrottled)
}

func (r *Relayer) direct(ctx context.Context, call func(context.Context) (codec.Object, error)) (codec.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	object, err := call(ctx)
	if unreachable(err) {
		r.brokenUntil.Store(time.Now().Add(brokenFor).UnixNano())
	} else {
		r.brokenUntil.Store(0)
	}
	return object, err
}

// relay asks some of the live hosts in random order.
func (r *Relayer) relay(ctx context.Context, method string, params codec.RelayedCall) (codec.Object, error) {
	err := connector.ErrUnavailable
	uncertain := false
	for _, member := range r.others() {
		var object codec.Object
		object, err = r.relayTo(ctx, member, method, params)
		if !unreachable(err) {
			r.config.Log.Info(logger.StoreRelayed).Str("key", params.Key).Str("through", string(member.ID)).Send()
			return object, err
		}
		uncertain = uncertain || errors.Is(err, connector.ErrOutcomeUnknown)
	}
	if uncertain {
		err = errors.Join(connector.ErrOutcomeUnknown, err)
	}
	return codec.Object{}, err
}

func (r *Relayer) others() []codec.Member {
	var others []codec.Member
	for _, member := range r.config.Members.Live() {
		if member.ID != r.config.Members.Self().ID {
			others = append(others, member)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(maxRelays, len(others))]
}

func (r *Relayer) relayTo(ctx context.Context, member codec.Member, method string, params codec.RelayedCall) (codec.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply codec.RelayedReply
	if err := r.config.Peers.Call(ctx, member, method, params, &reply); err != nil {
		return codec.Object{}, errors.Join(connector.ErrOutcomeUnknown, annotator.Wrap("relay to store", annotator.Peer(member.ID), err))
	}
	switch reply.Outcome {
	case codec.RelayOutcomeOk:
		return reply.Object, nil
	case codec.RelayOutcomeConflict:
		return codec.Object{}, &connector.ConflictError{Current: reply.Object}
	case codec.RelayOutcomeNotFound:
		return codec.Object{}, connector.ErrNotFound
	case codec.RelayOutcomeUncertain:
		return codec.Object{}, connector.ErrOutcomeUnknown
	default:
		return codec.Object{}, connector.ErrUnavailable
	}
}

func (r *Relayer) servePut(ctx context.Context, params json.RawMessage) (any, error) {
	var call codec.RelayedCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, annotator.Wrap("decode relayed write", "peer", err)
	}
	return r.serve(ctx, func(ctx context.Context) (codec.Object, error) {
		return r.ObjectStore.Put(ctx, call.Key, call.Expected, call.Value)
	}), nil
}

func (r *Relayer) serveGet(ctx context.Context, params json.RawMessage) (any, error) {
	var call codec.RelayedCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, annotator.Wrap("decode relayed read", "peer", err)
	}
	return r.serve(ctx, func(ctx context.Context) (codec.Object, error) { return r.ObjectStore.Get(ctx, call.Key) }), nil
}

// serve makes a call for another host on this host's own path.
func (r *Relayer) serve(ctx context.Context, call func(context.Context) (codec.Object, error)) codec.RelayedReply {
	object, err := r.direct(ctx, call)
	if conflict, ok := connector.AsConflict(err); ok {
		return codec.RelayedReply{Outcome: codec.RelayOutcomeConflict, Object: conflict.Current}
	}
	switch {
	case err == nil:
		return codec.RelayedReply{Outcome: codec.RelayOutcomeOk, Object: object}
	case errors.Is(err, connector.ErrNotFound):
		return codec.RelayedReply{Outcome: codec.RelayOutcomeNotFound}
	case errors.Is(err, connector.ErrOutcomeUnknown):
		return codec.RelayedReply{Outcome: codec.RelayOutcomeUncertain}
	default:
		return codec.RelayedReply{Outcome: codec.RelayOutcomeUnavailable}
	}
}
