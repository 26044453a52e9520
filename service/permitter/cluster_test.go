package permitter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/permitter"
)

var errLost = errors.New("connection lost")

// cluster connects permitters in one process, with faults between them.
type cluster struct {
	mu       sync.Mutex
	hosts    map[identifier.HostID]*node
	order    []codec.Member
	loseCall func(to identifier.HostID, method string) (before, after bool)
}

type node struct {
	cluster   *cluster
	member    codec.Member
	handlers  map[string]connector.Handler
	permitter *permitter.Permitter
	// sees replaces the membership that this host believes in.
	sees []codec.Member
}

func (n *node) Self() codec.Member { return n.member }

func (n *node) Live() []codec.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.sees != nil {
		return n.sees
	}
	return n.cluster.order
}

func (n *node) Handle(method string, handler connector.Handler) { n.handlers[method] = handler }

func (n *node) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	n.cluster.mu.Lock()
	target := n.cluster.hosts[to.ID]
	lose := n.cluster.loseCall
	n.cluster.mu.Unlock()
	before, after := false, false
	if lose != nil {
		before, after = lose(to.ID, method)
	}
	if target == nil || before {
		return errLost
	}
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := target.handlers[method](ctx, encoded)
	if err != nil || after {
		return errors.Join(err, errLost)
	}
	encoded, err = json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

// startCluster runs one permitter per store; the stores are views of one store with faults of their own.
func startCluster(t testing.TB, settings permitter.Settings, stores ...connector.Store) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	m := &cluster{hosts: make(map[identifier.HostID]*node)}
	clock := timer.New(timer.Config{})
	var group sync.WaitGroup
	group.Go(func() { _ = clock.Run(ctx) })
	for i, store := range stores {
		member := codec.Member{ID: identifier.HostID(fmt.Sprintf("h%d", i))}
		n := &node{cluster: m, member: member, handlers: make(map[string]connector.Handler)}
		own := settings
		own.Store, own.Members, own.Peers, own.Timer = store, n, n, clock
		own.Rand = rand.New(rand.NewPCG(uint64(i), 1))
		m.hosts[member.ID] = n
		m.order = append(m.order, member)
		n.permitter = permitter.New(own)
		group.Go(func() { _ = grouper.Supervise(ctx, grouper.Config{}, n.permitter.Duties()...) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return m
}

func (m *cluster) permits(i int) *permitter.Permitter { return m.hosts[m.order[i].ID].permitter }

func failOnInvariant(t testing.TB) {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, text string) { t.Errorf("invariant %s: %s", name, text) }))
}

func acquire(ctx context.Context, t require.TestingT, p *permitter.Permitter, key, body string) codec.PermitReply {
	reply, err := p.Acquire(ctx, codec.PermitRequest{Entry: "orders", Key: key, Fingerprint: identifier.Fingerprint(body)})
	require.NoError(t, err)
	return reply
}
