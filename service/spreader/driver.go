package spreader

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/follower"
)

// methodPush names the JSON-RPC method by which a watcher passes its state on; the kind follows.
const methodPush = "state_push/"

const (
	// roleInterval is how often a host looks at its role; with coverTime it bounds how late it follows by itself.
	roleInterval = 250 * time.Millisecond
	// confirmInterval is how often a watcher confirms its state to its zone, after a cheap read of the store.
	confirmInterval = 500 * time.Millisecond
	// checkTimeout bounds that read: a slow store takes some 300 ms.
	checkTimeout = 400 * time.Millisecond
	// pushTimeout bounds one push within a zone.
	pushTimeout = 300 * time.Millisecond
	// maxPushes bounds the pushes that run beside each other.
	maxPushes = 16
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Follower follower.Config
	Members  connector.Members
	Peers    connector.Peers
	Timer    *timer.Service
	Log      *logger.Logger
	// OnUpdate receives each new state; calls follow each other.
	OnUpdate func(follower.Update)
}

// Driver keeps the state of one kind current on this host.
type Driver struct {
	config DriverConfig
	work   *grouper.Group
	wake   chan struct{}

	mu       sync.Mutex
	machine  *Spreader
	sequence int64
	// known holds the revision that each host of the audience has confirmed.
	known map[identifier.HostID]int64
}

// NewDriver returns a Driver and registers its method with the peers.
func NewDriver(config DriverConfig) *Driver {
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), wake: make(chan struct{}, 1),
		machine: New(config.Members.Self(), config.Follower.Prefix), known: make(map[identifier.HostID]int64),
	}
	config.Peers.Handle(methodPush+config.Follower.Prefix, d.servePush)
	return d
}

// Run follows the store when this host's role asks for it, and confirms its state to the zone as the watcher.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	roles, stopRoles := d.config.Timer.Subscribe(roleInterval)
	defer stopRoles()
	confirms, stopConfirms := d.config.Timer.Subscribe(confirmInterval)
	defer stopConfirms()
	stopFollowing := func() {}
	defer func() { stopFollowing() }()
	following := false
	for {
		role := d.role()
		if role.Follow != following {
			d.config.Log.Info(logger.StateFollowed).Str("kind", d.config.Follower.Prefix).Bool("follow", role.Follow).
				Int("audience", len(role.Audience)).Send()
			stopFollowing()
			stopFollowing = d.follow(ctx, role.Follow)
			following = role.Follow
		}
		select {
		case <-ctx.Done():
			return nil
		case <-roles:
		case <-d.wake:
			d.push(ctx, role.Audience)
		case <-confirms:
			if len(role.Audience) > 0 && d.storeAnswers(ctx) {
				d.push(ctx, role.Audience)
			}
		}
	}
}

func (d *Driver) role() Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Role(time.Now(), d.config.Members.Live())
}

func (d *Driver) follow(ctx context.Context, wanted bool) (stop func()) {
	if !wanted {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	config := d.config.Follower
	config.OnUpdate = func(update follower.Update) {
		d.mu.Lock()
		changed := d.machine.Apply(update.Revision, update.Objects)
		d.publish(changed)
		d.mu.Unlock()
		if changed {
			d.askPush()
		}
	}
	d.work.Go(func() { _ = follower.New(config).Run(ctx) })
	return cancel
}

func (d *Driver) askPush() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// publish passes a changed state on; the mutex must be held.
func (d *Driver) publish(changed bool) {
	if !changed {
		return
	}
	d.sequence++
	d.config.OnUpdate(follower.Update{Sequence: d.sequence, Objects: d.machine.Objects()})
}

// storeAnswers reports whether the store can be reached. A waiting watch does not show that its connection has gone
// silent, and a watcher without a store must not confirm its state.
func (d *Driver) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := d.config.Follower.Store.ListStale(ctx, checkedKind)
	if err != nil {
		d.config.Log.Warn(logger.StoreUnavailable).Str("kind", d.config.Follower.Prefix).Err(err).Msg("the state is not confirmed to the zone")
	}
	return err == nil
}

// checkedKind is a kind without objects, so that its list is small.
const checkedKind = "storechecks/"

func (d *Driver) push(ctx context.Context, audience []codec.Member) {
	pushes := grouper.NewGroup(maxPushes)
	for _, member := range audience {
		d.mu.Lock()
		if !d.machine.Known() {
			d.mu.Unlock()
			return
		}
		push := d.machine.Push(d.known[member.ID])
		d.mu.Unlock()
		pushes.Go(func() { d.pushTo(ctx, member, push) })
	}
	pushes.Wait()
}

func (d *Driver) pushTo(ctx context.Context, member codec.Member, push codec.StatePush) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var reply codec.StateReply
	if err := d.config.Peers.Call(ctx, member, methodPush+d.config.Follower.Prefix, push, &reply); err != nil {
		// Whatever the host has, the next push carries the whole state.
		reply.Revision = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known[member.ID] = min(reply.Revision, push.Revision)
}

func (d *Driver) servePush(_ context.Context, params json.RawMessage) (any, error) {
	var push codec.StatePush
	if err := json.Unmarshal(params, &push); err != nil {
		return nil, annotator.Wrap("decode state", "peer", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	reply, changed := d.machine.Receive(time.Now(), push)
	d.publish(changed)
	return reply, nil
}
