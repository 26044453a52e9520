package relayer_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
	"celerygap.example/service/relayer"
	"celerygap.example/service/storekeeper"
)

// cutStore is one host's path to a shared store.
type cutStore struct {
	*storekeeper.Store
	cut  bool
	lost bool
}

func (c *cutStore) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	if c.cut {
		return codec.Object{}, connector.ErrUnavailable
	}
	object, err := c.Store.Put(ctx, key, expected, value)
	if c.lost && err == nil {
		return codec.Object{}, connector.ErrOutcomeUnknown
	}
	return object, err
}

func (c *cutStore) Get(ctx context.Context, key string) (codec.Object, error) {
	if c.cut {
		return codec.Object{}, connector.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

type port struct {
	id    identifier.HostID
	hosts map[identifier.HostID]map[string]connector.Handler
}

func (p port) Self() codec.Member { return codec.Member{ID: p.id} }

func (p port) Live() []codec.Member { return []codec.Member{{ID: "a"}, {ID: "b"}} }

func (p port) Handle(method string, handler connector.Handler) {
	if p.hosts[p.id] == nil {
		p.hosts[p.id] = make(map[string]connector.Handler)
	}
	p.hosts[p.id][method] = handler
}

func (p port) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	handler, ok := p.hosts[to.ID][method]
	if !ok {
		return errors.New("unreachable")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := handler(ctx, text)
	if err != nil {
		return err
	}
	if text, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

func newPair() (a *relayer.Relayer, path *cutStore) {
	shared := storekeeper.New()
	hosts := make(map[identifier.HostID]map[string]connector.Handler)
	path = &cutStore{Store: shared}
	build := func(id identifier.HostID, store connector.ObjectStore) *relayer.Relayer {
		p := port{id, hosts}
		return relayer.New(relayer.Config{Store: store, Members: p, Peers: p, Log: logger.Discard()})
	}
	build("b", &cutStore{Store: shared})
	return build("a", path), path
}

// Guards against an owner that can list no results while only its own path to the store is broken.
func TestCallsGoThroughAnotherHost(t *testing.T) {
	a, path := newPair()
	path.cut = true
	written, err := a.Put(t.Context(), "kind/x", 0, json.RawMessage(`"v"`))
	require.NoError(t, err)
	found, err := a.Get(t.Context(), "kind/x")
	require.NoError(t, err)
	require.Equal(t, written.Version, found.Version)
	_, err = a.Get(t.Context(), "kind/y")
	require.ErrorIs(t, err, connector.ErrNotFound)
	_, err = a.Put(t.Context(), "kind/x", 0, json.RawMessage(`"w"`))
	conflict, ok := connector.AsConflict(err)
	require.True(t, ok)
	require.JSONEq(t, `"v"`, string(conflict.Current.Value))
}

// Guards against calling a write certain that may have taken effect on the own path before the other one failed.
func TestUncertainStaysUncertain(t *testing.T) {
	a, path := newPair()
	path.lost = true
	_, err := a.Put(t.Context(), "kind/x", 0, json.RawMessage(`"v"`))
	conflict, ok := connector.AsConflict(err)
	require.True(t, ok, "the repeat on the other path finds the first write: %v", err)
	require.JSONEq(t, `"v"`, string(conflict.Current.Value))
}

// Guards against a claim that nothing was written while no path gave an answer.
func TestNoPath(t *testing.T) {
	path := &cutStore{Store: storekeeper.New(), cut: true}
	p := port{"a", make(map[identifier.HostID]map[string]connector.Handler)}
	alone := relayer.New(relayer.Config{Store: path, Members: p, Peers: p, Log: logger.Discard()})
	_, err := alone.Put(t.Context(), "kind/x", 0, json.RawMessage(`"v"`))
	require.ErrorIs(t, err, connector.ErrOutcomeUnknown)
}
