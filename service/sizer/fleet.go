package sizer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/disseminator"
	"celerygap.example/service/peerconnector"
	"celerygap.example/service/prober"
	"celerygap.example/service/storekeeper"
)

// The numbers of zones and regions of the target size in docs/design.md section 1.6.
const (
	zones   = 8
	regions = 2
)

// hostPool is the pool of the celerygap hosts in the platform's list.
const hostPool identifier.PoolName = "celerygap"

// host is the control plane of one host, with its own timer, metrics and listener.
type host struct {
	self      codec.Member
	timer     *timer.Service
	peers     *peerconnector.Connector
	members   *prober.Driver
	catalogue *disseminator.Driver
}

// fleet has hosts that run in this process, talk to each other over loopback and share one store in memory.
type fleet struct {
	store *storekeeper.Store
	hosts []*host
	group *grouper.Group
	stop  context.CancelFunc
}

func startFleet(ctx context.Context, n int, config Config) (*fleet, error) {
	f := &fleet{store: storekeeper.New(), group: grouper.NewGroup(-1)}
	if err := f.writeCatalogue(ctx, firstCatalogue(config.Entries)); err != nil {
		return nil, err
	}
	ctx, f.stop = context.WithCancel(ctx)
	for i := range n {
		h, err := newHost(i, f.store, config)
		if err != nil {
			f.close()
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	f.publishHostList()
	for _, h := range f.hosts {
		f.run(ctx, h)
	}
	return f, nil
}

func newHost(i int, store connector.Store, config Config) (*host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, annotator.Wrap("listen", "self", err)
	}
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	h := &host{timer: timer.New(timer.Config{})}
	h.self = codec.Member{
		ID:      identifier.HostID(fmt.Sprintf("host-%04d", i)),
		Address: listener.Addr().String(),
		Zone:    identifier.Zone(fmt.Sprintf("zone-%d", i%zones)),
		Region:  identifier.Region(fmt.Sprintf("region-%d", i%regions)),
	}
	h.peers = peerconnector.New(peerconnector.Config{
		Self:     func() codec.Member { return h.members.Self() },
		Listener: listener, TLS: config.TLS, IdleTimeout: config.Idle, Timer: h.timer, Meter: metrics, Log: logger.Discard(),
	})
	h.members = prober.NewDriver(prober.DriverConfig{
		Self: h.self, Peers: h.peers, Timer: h.timer, Log: logger.Discard(), Rand: newRand(i, 1),
		Seeds:      func(ctx context.Context) ([]prober.ListedMember, error) { return seeds(ctx, store) },
		Revision:   func() identifier.Revision { return h.catalogue.Current().Revision },
		OnRevision: func(from codec.Member, r identifier.Revision) { h.catalogue.RevisionReported(from, r) },
	})
	h.catalogue = disseminator.NewDriver(disseminator.DriverConfig{
		Self: h.self, Members: h.members, MembersChanged: h.members.Changes(), Peers: h.peers, Store: store,
		Timer: h.timer, Meter: metrics, Log: logger.Discard(), Rand: newRand(i, 2),
	})
	return h, nil
}

func newRand(i int, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), stream)) }

func seeds(ctx context.Context, store connector.Store) ([]prober.ListedMember, error) {
	list, err := store.Hosts(ctx)
	return prober.FromList(list, hostPool), err
}

// publishHostList sets the host list that the hosts read from the store.
func (f *fleet) publishHostList() {
	var listed []codec.ListedHost
	for _, h := range f.hosts {
		listed = append(listed, codec.ListedHost{
			ID: identifier.UpstreamID(h.self.ID), Address: h.self.Address, Zone: h.self.Zone, Region: h.self.Region,
			Pool: hostPool, State: codec.HostStateLive,
		})
	}
	f.store.SetHosts(listed)
}

func (f *fleet) run(ctx context.Context, h *host) {
	for _, duty := range []func(context.Context) error{h.timer.Run, h.peers.Run, h.members.Run, h.catalogue.Run} {
		f.group.Go(func() { _ = duty(ctx) })
	}
}

func (f *fleet) close() {
	f.stop()
	f.group.Wait()
}

// firstCatalogue returns a catalogue with the given number of similar entries.
func firstCatalogue(entries int) codec.Catalogue {
	c := codec.Catalogue{Pools: []codec.Pool{{Name: "model-farm", Kind: codec.PoolKindEngine, ChecksFencing: true}}}
	for i := range entries {
		c.Entries = append(c.Entries, codec.Entry{
			Name: identifier.EntryName(fmt.Sprintf("entry-%04d", i)), Kind: codec.EntryKindModel,
			Class: codec.EntryClassLive, Owner: "size", Description: "an entry of the size measurement",
			Limits: codec.Limits{RequestsPerSecond: 10, Burst: 20, InFlight: 50, Queue: 100, Deadline: identifier.Duration(time.Minute)},
			Model:  &codec.ModelSpec{Pool: "model-farm", Model: "drafter"},
		})
	}
	return c
}

// writeCatalogue stores the catalogue as its next revision and adds an edit. The catalogue keeps the latest 64 edits, as
// when a host accepts an edit.
func (f *fleet) writeCatalogue(ctx context.Context, c codec.Catalogue) error {
	object, err := f.store.Get(ctx, disseminator.Key)
	if err != nil && !errors.Is(err, connector.ErrNotFound) {
		return annotator.Wrap("read catalogue", "store", err)
	}
	c.Revision++
	edit := codec.Edit{
		EditID: identifier.EditID(fmt.Sprintf("edit-%08d", c.Revision)), Author: "size", Revision: c.Revision,
		At: time.Now().UTC(), Summary: "change one entry",
	}
	c.Edits = append(append([]codec.Edit{}, c.Edits[max(0, len(c.Edits)-63):]...), edit)
	value, err := json.Marshal(c)
	if err != nil {
		return annotator.Wrap("encode catalogue", "self", err)
	}
	_, err = f.store.Put(ctx, disseminator.Key, object.Version, value)
	return annotator.Wrap("write catalogue", "store", err)
}

// change edits one entry and returns the time until the change is in effect on every host. It fails after a minute.
func (f *fleet) change(ctx context.Context) (time.Duration, error) {
	c := *f.hosts[0].catalogue.Current()
	c.Entries = append([]codec.Entry{}, c.Entries...)
	entry := &c.Entries[int(c.Revision)%len(c.Entries)]
	entry.Description = fmt.Sprintf("changed at revision %d", c.Revision)
	start := time.Now()
	if err := f.writeCatalogue(ctx, c); err != nil {
		return 0, err
	}
	for !f.inEffect(c.Revision + 1) {
		if time.Since(start) > time.Minute {
			return 0, fmt.Errorf("revision %d is not in effect on every host after a minute", c.Revision+1)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start), nil
}

// inEffect reports whether a revision, or a later one, is in effect on every host.
func (f *fleet) inEffect(revision identifier.Revision) bool {
	for _, h := range f.hosts {
		if h.catalogue.Current().Revision < revision {
			return false
		}
	}
	return true
}

// settled reports whether each host is ready and has all hosts as live members.
func (f *fleet) settled() bool {
	for _, h := range f.hosts {
		if !h.catalogue.Ready() || len(h.members.Live()) != len(f.hosts) {
			return false
		}
	}
	return true
}
