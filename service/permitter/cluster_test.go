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

// cluster connects permitters in one process; calls between them can be lost.
type cluster struct {
	mu      sync.Mutex
	hosts   map[identifier.HostID]*host
	members []codec.Member
	// loseCall selects the calls that fail before they reach the host, or after their execution there.
	loseCall func(to identifier.HostID, method string) (before, after bool)
}

type host struct {
	cluster   *cluster
	member    codec.Member
	handlers  map[string]connector.Handler
	permitter *permitter.Permitter
	// localMembers replaces the members that this host knows.
	localMembers []codec.Member
}

func (h *host) Self() codec.Member { return h.member }

func (h *host) Live() []codec.Member {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.localMembers != nil {
		return h.localMembers
	}
	return h.cluster.members
}

func (h *host) Handle(method string, handler connector.Handler) { h.handlers[method] = handler }

func (h *host) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	h.cluster.mu.Lock()
	target := h.cluster.hosts[to.ID]
	lose := h.cluster.loseCall
	h.cluster.mu.Unlock()
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

// startCluster runs one permitter for each store; the stores give access to one object store, each with its own faults.
func startCluster(t testing.TB, config permitter.Config, stores ...connector.Store) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{hosts: make(map[identifier.HostID]*host)}
	clock := timer.New(timer.Config{})
	var group sync.WaitGroup
	group.Go(func() { _ = clock.Run(ctx) })
	for i, store := range stores {
		member := codec.Member{ID: identifier.HostID(fmt.Sprintf("h%d", i))}
		h := &host{cluster: c, member: member, handlers: make(map[string]connector.Handler)}
		own := config
		own.Store, own.Members, own.Peers, own.Timer = store, h, h, clock
		own.Rand = rand.New(rand.NewPCG(uint64(i), 1))
		c.hosts[member.ID] = h
		c.members = append(c.members, member)
		h.permitter = permitter.New(own)
		group.Go(func() { _ = grouper.Supervise(ctx, grouper.Config{}, h.permitter.Duties()...) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return c
}

func (c *cluster) permits(i int) *permitter.Permitter { return c.hosts[c.members[i].ID].permitter }

func failOnViolation(t testing.TB) {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, text string) { t.Errorf("invariant %s: %s", name, text) }))
}

func acquire(ctx context.Context, t require.TestingT, p *permitter.Permitter, key, body string) codec.PermitReply {
	reply, err := p.Acquire(ctx, codec.PermitRequest{Entry: "orders", Key: key, Fingerprint: identifier.Fingerprint(body)})
	require.NoError(t, err)
	return reply
}
