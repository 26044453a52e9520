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

// faultyPath is one host's path to a shared store.
type faultyPath struct {
	*storekeeper.Store
	down          bool // calls fail without effect
	losesResponse bool // writes take effect, but their response is lost
}

func (p *faultyPath) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	if p.down {
		return codec.Object{}, connector.ErrUnavailable
	}
	object, err := p.Store.Put(ctx, key, expected, value)
	if p.losesResponse && err == nil {
		return codec.Object{}, connector.ErrOutcomeUnknown
	}
	return object, err
}

func (p *faultyPath) Get(ctx context.Context, key string) (codec.Object, error) {
	if p.down {
		return codec.Object{}, connector.ErrUnavailable
	}
	return p.Store.Get(ctx, key)
}

// fakePeers implements connector.Members and connector.Peers for the host id; a call runs the handler of the other host.
type fakePeers struct {
	id    identifier.HostID
	hosts map[identifier.HostID]map[string]connector.Handler
}

func (p fakePeers) Self() codec.Member { return codec.Member{ID: p.id} }

func (p fakePeers) Live() []codec.Member { return []codec.Member{{ID: "a"}, {ID: "b"}} }

func (p fakePeers) Handle(method string, handler connector.Handler) {
	if p.hosts[p.id] == nil {
		p.hosts[p.id] = make(map[string]connector.Handler)
	}
	p.hosts[p.id][method] = handler
}

func (p fakePeers) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
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

// newPair returns the relayer of host "a" and its path to the store; host "b" reaches the same store without faults.
func newPair() (a *relayer.Relayer, path *faultyPath) {
	shared := storekeeper.New()
	hosts := make(map[identifier.HostID]map[string]connector.Handler)
	path = &faultyPath{Store: shared}
	build := func(id identifier.HostID, store connector.ObjectStore) *relayer.Relayer {
		p := fakePeers{id, hosts}
		return relayer.New(relayer.Config{Store: store, Members: p, Peers: p, Log: logger.Discard()})
	}
	build("b", &faultyPath{Store: shared})
	return build("a", path), path
}

// Guards against a host that can neither read nor write objects because its own path to the store is down, although other
// hosts reach the store. The owner of a batch job could then list no results.
func TestCallsGoThroughAnotherHost(t *testing.T) {
	a, path := newPair()
	path.down = true
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

// Guards against a write that is reported as not run although it took effect and only its response was lost. The repeat
// through the other host must report the conflict with the first write.
func TestRepeatAfterLostResponseConflicts(t *testing.T) {
	a, path := newPair()
	path.losesResponse = true
	_, err := a.Put(t.Context(), "kind/x", 0, json.RawMessage(`"v"`))
	conflict, ok := connector.AsConflict(err)
	require.True(t, ok, "the repeat through the other host must conflict with the first write: %v", err)
	require.JSONEq(t, `"v"`, string(conflict.Current.Value))
}

// Guards against reporting that nothing was written when the direct call and the call through a peer both failed: the peer
// may have executed the write.
func TestOutcomeIsUnknownWithoutAnyPath(t *testing.T) {
	path := &faultyPath{Store: storekeeper.New(), down: true}
	p := fakePeers{"a", make(map[identifier.HostID]map[string]connector.Handler)}
	alone := relayer.New(relayer.Config{Store: path, Members: p, Peers: p, Log: logger.Discard()})
	_, err := alone.Put(t.Context(), "kind/x", 0, json.RawMessage(`"v"`))
	require.ErrorIs(t, err, connector.ErrOutcomeUnknown)
}

// Guards against a write that counts as not run because the caller's time ended during the second path, after the first path
// had left its outcome unknown.
func TestOutcomeStaysUnknownWhenTimeEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hosts := make(map[identifier.HostID]map[string]connector.Handler)
	p := fakePeers{"a", hosts}
	path := &faultyPath{Store: storekeeper.New(), losesResponse: true}
	a := relayer.New(relayer.Config{Store: path, Members: p, Peers: p, Log: logger.Discard()})
	hosts["b"] = map[string]connector.Handler{"store_put": func(context.Context, json.RawMessage) (any, error) {
		cancel()
		return codec.RelayedReply{Outcome: codec.RelayOutcomeUnavailable}, nil
	}}
	_, err := a.Put(ctx, "kind/x", 0, json.RawMessage(`"v"`))
	require.ErrorIs(t, err, connector.ErrOutcomeUnknown)
}
