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

// The prefixes of the JSON-RPC methods by which a host sends its state to others and requests theirs; the kind of the objects
// follows them.
const (
	methodPush = "state_push/"
	methodPull = "state_pull/"
)

const (
	// roleInterval is how often a host evaluates its role; with stateTTL it bounds the time until a host whose watcher
	// failed follows the store itself.
	roleInterval = 250 * time.Millisecond
	// confirmInterval is how often a watcher confirms its state to its recipients, after a cheap read of the store.
	confirmInterval = 500 * time.Millisecond
	// checkTimeout bounds that read: a slow store takes about 300 ms.
	checkTimeout = 400 * time.Millisecond
	// forwardInterval is the least time by which a confirmation must be newer than the last one that was passed on. Without it,
	// two hosts that are recipients of each other would send messages to and fro as fast as the network allows.
	forwardInterval = confirmInterval / 2
	// pushTimeout bounds one push, or one request for a state, within a region.
	pushTimeout = 300 * time.Millisecond
	// maxPullSources bounds the hosts from which a host without a state requests it in one round.
	maxPullSources = 3
	// maxPushes bounds the concurrent pushes.
	maxPushes = 16
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Follower follower.Config
	Members  connector.Members
	Peers    connector.Peers
	// Settled reports whether the members are known well enough for this host to have a role.
	Settled func() bool
	Timer   *timer.Service
	Log     *logger.Logger
	// ConfirmAlways reports whether this host needs to know that its state is current even if no other host relies on it; nil
	// means that it does not. It costs a cheap read of the store twice a second for each region, or for each host that gets no
	// confirmations.
	ConfirmAlways func() bool
	// OnUpdate receives each new state; calls are not concurrent.
	OnUpdate func(follower.Update)
}

// Driver feeds states from the store and from the zone's watcher to a Spreader, and pushes the state to the zone when this
// host is the watcher.
type Driver struct {
	config        DriverConfig
	work          *grouper.Group
	pushRequested chan struct{}
	// downReported receives a value when another host reports that it cannot reach the store.
	downReported chan struct{}
	// pulls runs at most one round of requests for the state.
	pulls *grouper.Group

	mu       sync.Mutex
	machine  *Spreader
	current  Confirmation
	sequence int64
	// forwarded is the confirmation that was last passed on; downForwardedAt is when a report that the store is down was.
	forwarded       time.Time
	downForwardedAt time.Time
	// confirmed holds the revision that each recipient last confirmed; 0 stands for none.
	confirmed map[identifier.HostID]int64
}

// NewDriver returns a Driver and registers its method with the peers.
func NewDriver(config DriverConfig) *Driver {
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), pushRequested: make(chan struct{}, 1), downReported: make(chan struct{}, 1),
		pulls: grouper.NewGroup(1), machine: New(config.Members.Self(), config.Follower.Prefix), confirmed: make(map[identifier.HostID]int64),
	}
	config.Peers.Handle(methodPush+config.Follower.Prefix, d.servePush)
	config.Peers.Handle(methodPull+config.Follower.Prefix, d.servePull)
	return d
}

// Run follows the store while this host's role requires it and passes the state on to the recipients of its role.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	defer d.pulls.Wait()
	roles, stopRoles := d.config.Timer.Subscribe(roleInterval)
	defer stopRoles()
	confirms, stopConfirms := d.config.Timer.Subscribe(confirmInterval)
	defer stopConfirms()
	stopFollowing, suspect := func() {}, func() {}
	defer func() { stopFollowing() }()
	following := false
	for {
		role := d.role(ctx)
		if role.Follow != following {
			d.config.Log.Info(logger.StoreWatchChanged).Str("kind", d.config.Follower.Prefix).Bool("follow", role.Follow).
				Int("audience", len(role.Recipients)).Send()
			stopFollowing()
			stopFollowing, suspect = d.follow(ctx, role.Follow)
			following = role.Follow
		}
		select {
		case <-ctx.Done():
			return nil
		case <-roles:
		case <-d.pushRequested:
			d.push(ctx, role.Recipients)
		case <-d.downReported:
			d.reportDown(ctx, role.Recipients)
		case <-confirms:
			if role.Follow && (len(role.Recipients) > 0 || d.needsCheck(role)) {
				d.confirm(ctx, role.Recipients, suspect)
			}
		}
	}
}

// ConfirmedAt returns when the state was last known to be current; it is zero if that was never known.
func (d *Driver) ConfirmedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current.At(time.Now())
}

func (d *Driver) needsCheck(role Role) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.NeedsCheck(time.Now(), role)
}

// confirm compares the state with the store and passes the result on: the state, or that the store cannot be reached. In that case
// the store may never answer the watch in progress either, so suspect ends it: otherwise the state would be confirmed again once
// the store responds, although the watch brings no changes.
func (d *Driver) confirm(ctx context.Context, recipients []codec.Member, suspect func()) {
	asked := time.Now()
	if !d.storeResponds(ctx) {
		suspect()
		d.reportDown(ctx, recipients)
		return
	}
	d.mu.Lock()
	now := time.Now()
	d.machine.Check(now)
	d.current.Compared(now, asked)
	d.mu.Unlock()
	d.push(ctx, recipients)
}

// role returns this host's role, and requests the state from other hosts if it has to.
func (d *Driver) role(ctx context.Context) Role {
	now := time.Now()
	d.mu.Lock()
	d.current.Alive(now)
	if d.config.Settled == nil || d.config.Settled() {
		d.machine.Settle(now)
	}
	d.machine.ConfirmAlways(d.config.ConfirmAlways != nil && d.config.ConfirmAlways())
	role := d.machine.Role(now, d.config.Members.Live())
	needed := d.machine.NeedsState(now)
	d.mu.Unlock()
	if needed && len(role.Sources) > 0 {
		d.pulls.TryGo(func() { d.pull(ctx, role.Sources[:min(len(role.Sources), maxPullSources)]) })
	}
	return role
}

// pull requests the state from other hosts until one has a current state.
func (d *Driver) pull(ctx context.Context, sources []codec.Member) {
	for _, source := range sources {
		asked := time.Now()
		push, err := d.pullFrom(ctx, source)
		if err != nil || push.Revision == 0 {
			continue
		}
		d.mu.Lock()
		reply, changed := d.machine.Receive(time.Now(), push)
		if reply.Revision == push.Revision {
			d.current.Asked(asked, push.Age.Std())
		}
		d.publish(changed)
		d.forward(changed)
		d.mu.Unlock()
		return
	}
}

func (d *Driver) pullFrom(ctx context.Context, source codec.Member) (codec.StatePush, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var push codec.StatePush
	d.mu.Lock()
	request := codec.StatePull{From: d.config.Members.Self().ID, Kind: d.config.Follower.Prefix, Known: d.machine.Revision()}
	d.mu.Unlock()
	err := d.config.Peers.Call(ctx, source, methodPull+d.config.Follower.Prefix, request, &push)
	return push, err
}

// servePull returns the state, or one with revision 0 if this host's own is not current.
func (d *Driver) servePull(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.StatePull
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode request for the state", "peer", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.machine.Current(time.Now()) {
		return codec.StatePush{From: d.config.Members.Self().ID, Kind: d.config.Follower.Prefix}, nil
	}
	return d.machine.Push(time.Now(), request.Known), nil
}

// follow starts a follower if this host's role wants one; stop ends it, and suspect makes it list the kind again.
func (d *Driver) follow(ctx context.Context, wanted bool) (stop, suspect func()) {
	if !wanted {
		return func() {}, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	config := d.config.Follower
	config.OnUpdate = func(update follower.Update) {
		d.mu.Lock()
		changed := d.machine.Apply(update.Revision, update.Objects)
		now := time.Now()
		d.machine.Check(now)
		d.current.Told(now, now)
		d.publish(changed)
		d.mu.Unlock()
		if changed {
			d.requestPush()
		}
	}
	f := follower.New(config)
	d.work.Go(func() { _ = f.Run(ctx) })
	return cancel, f.Suspect
}

// forward requests a push to the recipients of this host's role, if any, when a state or a confirmation is new; the mutex must
// be held.
func (d *Driver) forward(changed bool) {
	if confirmed := d.machine.ConfirmedAt(); changed || confirmed.Sub(d.forwarded) >= forwardInterval {
		d.forwarded = confirmed
		d.requestPush()
	}
}

// forwardDown passes on that the store cannot be reached, unless it has just done so; the mutex must be held.
func (d *Driver) forwardDown(now time.Time) {
	if now.Sub(d.downForwardedAt) < forwardInterval {
		return
	}
	d.downForwardedAt = now
	select {
	case d.downReported <- struct{}{}:
	default:
	}
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

// reportDown tells the recipients that the store cannot be reached through this host, so that they do not all try it.
func (d *Driver) reportDown(ctx context.Context, recipients []codec.Member) {
	pushes := grouper.NewGroup(maxPushes)
	for _, member := range recipients {
		pushes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			push := codec.StatePush{From: d.config.Members.Self().ID, Kind: d.config.Follower.Prefix, StoreDown: true}
			// A host that misses the message tries the store itself.
			_ = d.config.Peers.Call(ctx, member, methodPush+d.config.Follower.Prefix, push, nil)
		})
	}
	pushes.Wait()
}

func (d *Driver) push(ctx context.Context, recipients []codec.Member) {
	pushes := grouper.NewGroup(maxPushes)
	for _, member := range recipients {
		d.mu.Lock()
		if !d.machine.Current(time.Now()) {
			// The recipients would take it for a confirmation.
			d.mu.Unlock()
			return
		}
		push := d.machine.Push(time.Now(), d.confirmed[member.ID])
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
	now := time.Now()
	reply, changed := d.machine.Receive(now, push)
	if !push.StoreDown && reply.Revision == push.Revision {
		d.current.Told(now, now.Add(-push.Age.Std()))
	}
	d.publish(changed)
	if push.StoreDown {
		d.forwardDown(now)
	} else {
		d.forward(changed)
	}
	return reply, nil
}
