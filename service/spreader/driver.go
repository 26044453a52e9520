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

// methodPush is the name of the JSON-RPC method by which a watcher sends its state to its zone, without the kind that
// follows it.
const methodPush = "state_push/"

const (
	// roleInterval is how often a host evaluates its role; with stateTTL it bounds the time until a host whose watcher
	// failed follows the store itself.
	roleInterval = 250 * time.Millisecond
	// confirmInterval is how often a watcher confirms its state to its zone, after a cheap read of the store.
	confirmInterval = 500 * time.Millisecond
	// checkTimeout bounds that read: a slow store takes about 300 ms.
	checkTimeout = 400 * time.Millisecond
	// pushTimeout bounds one push within a zone.
	pushTimeout = 300 * time.Millisecond
	// maxPushes bounds the concurrent pushes.
	maxPushes = 16
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Follower follower.Config
	Members  connector.Members
	Peers    connector.Peers
	Timer    *timer.Service
	Log      *logger.Logger
	// OnUpdate receives each new state; calls are not concurrent.
	OnUpdate func(follower.Update)
}

// Driver feeds states from the store and from the zone's watcher to a Spreader, and pushes the state to the zone when this
// host is the watcher.
type Driver struct {
	config        DriverConfig
	work          *grouper.Group
	pushRequested chan struct{}

	mu       sync.Mutex
	machine  *Spreader
	sequence int64
	// confirmed holds the revision that each recipient last confirmed; 0 stands for none.
	confirmed map[identifier.HostID]int64
}

// NewDriver returns a Driver and registers its method with the peers.
func NewDriver(config DriverConfig) *Driver {
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), pushRequested: make(chan struct{}, 1),
		machine: New(config.Members.Self(), config.Follower.Prefix), confirmed: make(map[identifier.HostID]int64),
	}
	config.Peers.Handle(methodPush+config.Follower.Prefix, d.servePush)
	return d
}

// Run follows the store while this host's role requires it and, as the watcher, confirms its state to the zone.
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
			d.config.Log.Info(logger.StoreWatchChanged).Str("kind", d.config.Follower.Prefix).Bool("follow", role.Follow).
				Int("audience", len(role.Recipients)).Send()
			stopFollowing()
			stopFollowing = d.follow(ctx, role.Follow)
			following = role.Follow
		}
		select {
		case <-ctx.Done():
			return nil
		case <-roles:
		case <-d.pushRequested:
			d.push(ctx, role.Recipients)
		case <-confirms:
			if len(role.Recipients) > 0 && d.storeResponds(ctx) {
				d.push(ctx, role.Recipients)
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
			d.requestPush()
		}
	}
	d.work.Go(func() { _ = follower.New(config).Run(ctx) })
	return cancel
}

func (d *Driver) requestPush() {
	select {
	case d.pushRequested <- struct{}{}:
	default:
	}
}

// publish passes a changed state to OnUpdate; the mutex must be held.
func (d *Driver) publish(changed bool) {
	if !changed {
		return
	}
	d.sequence++
	d.config.OnUpdate(follower.Update{Sequence: d.sequence, Objects: d.machine.Objects()})
}

// storeResponds reports whether the store responds. A pending watch does not show that its connection is dead, and a watcher
// that cannot reach the store must not confirm its state.
func (d *Driver) storeResponds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := d.config.Follower.Store.ListStale(ctx, checkPrefix)
	if err != nil {
		d.config.Log.Warn(logger.StoreUnavailable).Str("kind", d.config.Follower.Prefix).Err(err).Msg("store check failed; the state is not confirmed to the zone")
	}
	return err == nil
}

// checkPrefix is the prefix of a kind without objects, so that its list is small.
const checkPrefix = "storechecks/"

func (d *Driver) push(ctx context.Context, recipients []codec.Member) {
	pushes := grouper.NewGroup(maxPushes)
	for _, member := range recipients {
		d.mu.Lock()
		if !d.machine.Known() {
			d.mu.Unlock()
			return
		}
		push := d.machine.Push(d.confirmed[member.ID])
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
		// It is unknown what the host holds, so the next push carries the complete state.
		reply.Revision = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmed[member.ID] = min(reply.Revision, push.Revision)
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
