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
	// directTimeout bounds a direct call to the store; a slow store takes about 300 ms.
	directTimeout = 600 * time.Millisecond
	// relayTimeout bounds a call through another host.
	relayTimeout = 900 * time.Millisecond
	// relayFirstDuration is how long after a failed direct call relayed calls are tried before direct ones.
	relayFirstDuration = 2 * time.Second
	// maxRelays bounds the hosts through which one call is tried.
	maxRelays = 2
)

// Config configures a Relayer.
type Config struct {
	Store   connector.ObjectStore
	Members connector.Members
	Peers   connector.Peers
	Log     *logger.Logger
}

// Relayer is a connector.ObjectStore whose Get and Put go through another host when the direct call fails. A write may then
// be made twice, so only writes that may be repeated safely may use it: creations and conditional updates. Leases must not
// be acquired through it, because a lease belongs to the host that calls the store.
type Relayer struct {
	connector.ObjectStore
	config Config
	// relayFirstUntil is when direct calls are tried first again, in Unix nanoseconds.
	relayFirstUntil atomic.Int64
}

var _ connector.ObjectStore = (*Relayer)(nil)

// New returns a Relayer and registers the methods by which other hosts call the store through this one.
func New(config Config) *Relayer {
	r := &Relayer{ObjectStore: config.Store, config: config}
	config.Peers.Handle(methodPut, r.servePut)
	config.Peers.Handle(methodGet, r.serveGet)
	return r
}

// Put writes an object if its version is the expected one; zero means that the object must not exist.
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

// call makes a direct call and, if that does not reach the store, a relayed one; until relayFirstUntil, it makes the relayed
// call first. If both fail and either may have taken effect, the error matches connector.ErrOutcomeUnknown.
func (r *Relayer) call(ctx context.Context, method string, params codec.RelayedCall, direct func(context.Context) (codec.Object, error)) (codec.Object, error) {
	attempts := []func(context.Context) (codec.Object, error){
		func(ctx context.Context) (codec.Object, error) { return r.direct(ctx, direct) },
		func(ctx context.Context) (codec.Object, error) { return r.relay(ctx, method, params) },
	}
	if time.Now().UnixNano() < r.relayFirstUntil.Load() {
		attempts[0], attempts[1] = attempts[1], attempts[0]
	}
	outcomeUnknown := false
	var err error
	for _, attempt := range attempts {
		var object codec.Object
		object, err = attempt(ctx)
		if !unreachable(err) {
			return object, err
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, connector.ErrOutcomeUnknown)
		if ctx.Err() != nil {
			break
		}
	}
	if outcomeUnknown && !errors.Is(err, connector.ErrOutcomeUnknown) {
		err = errors.Join(connector.ErrOutcomeUnknown, err)
	}
	return codec.Object{}, err
}

// unreachable reports whether a failed call may succeed on another path to the store.
func unreachable(err error) bool {
	return errors.Is(err, connector.ErrUnavailable) || errors.Is(err, connector.ErrOutcomeUnknown) || errors.Is(err, connector.ErrThrottled)
}

// direct calls the store from this host and records whether the store was reached.
func (r *Relayer) direct(ctx context.Context, call func(context.Context) (codec.Object, error)) (codec.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	object, err := call(ctx)
	if unreachable(err) {
		r.relayFirstUntil.Store(time.Now().Add(relayFirstDuration).UnixNano())
	} else {
		r.relayFirstUntil.Store(0)
	}
	return object, err
}

// relay makes the call through another live host, and tries up to maxRelays of them in random order until one reaches the
// store.
func (r *Relayer) relay(ctx context.Context, method string, params codec.RelayedCall) (codec.Object, error) {
	err := connector.ErrUnavailable
	outcomeUnknown := false
	for _, member := range r.others() {
		var object codec.Object
		object, err = r.relayTo(ctx, member, method, params)
		if !unreachable(err) {
			r.config.Log.Info(logger.StoreRelayed).Str("key", params.Key).Str("through", string(member.ID)).Send()
			return object, err
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, connector.ErrOutcomeUnknown)
	}
	if outcomeUnknown {
		err = errors.Join(connector.ErrOutcomeUnknown, err)
	}
	return codec.Object{}, err
}

// others returns at most maxRelays other live hosts in random order.
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

// relayTo makes the call through one host; a failure of the peer call leaves the outcome unknown.
func (r *Relayer) relayTo(ctx context.Context, member codec.Member, method string, params codec.RelayedCall) (codec.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply codec.RelayedReply
	if err := r.config.Peers.Call(ctx, member, method, params, &reply); err != nil {
		return codec.Object{}, errors.Join(connector.ErrOutcomeUnknown, annotator.Wrap("relay store call", annotator.Peer(member.ID), err))
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

// serve calls the store directly for another host.
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
