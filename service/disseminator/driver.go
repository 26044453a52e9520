package disseminator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

// The JSON-RPC methods between disseminators.
const (
	MethodPush    = "push_catalogue"
	MethodCompare = "compare_catalogue"
)

const (
	tickInterval = 250 * time.Millisecond
	ringCapacity = 1024
	// maxCalls bounds the calls in progress: a new revision makes 4 pushes, a comparison one call.
	maxCalls = 32
	// callTimeout bounds one call; a complete catalogue of 1 MB takes about 20 ms on the link between regions.
	callTimeout = 3 * time.Second
)

// ErrBusy means that an event was dropped because the disseminator's event queue was full.
var ErrBusy = errors.New("disseminator event queue is full")

// DriverConfig configures a Driver.
type DriverConfig struct {
	Self    codec.Member
	Members connector.Members
	// MembersChanged gets a value after the live hosts changed, such as prober.Driver.Changes. Without it the driver reads
	// the live hosts at each tick.
	MembersChanged <-chan struct{}
	Peers          connector.Peers
	Store          connector.Store
	Timer          *timer.Service
	Meter          *meter.Meter
	Log            *logger.Logger
	Rand           *rand.Rand
}

// Driver feeds events to a Disseminator and executes its commands. It serves the JSON-RPC methods and implements
// connector.Catalogue.
type Driver struct {
	config   DriverConfig
	machine  *Disseminator
	ring     *buffer.Ring[request]
	calls    *grouper.Group
	watches  *grouper.Group
	current  atomic.Pointer[codec.Catalogue]
	ready    atomic.Bool
	endWatch context.CancelFunc

	mu          sync.Mutex
	subscribers []chan *codec.Catalogue
	inEffect    map[identifier.HostID]identifier.Revision
}

// request is an event with the channel for its response; the channel is nil for events without a response.
type request struct {
	event    Event
	response chan codec.CatalogueAnswer
}

var _ connector.Catalogue = (*Driver)(nil)

// NewDriver returns a Driver and registers its methods with the peers.
func NewDriver(config DriverConfig) *Driver {
	d := &Driver{
		config:   config,
		machine:  New(Config{Self: config.Self, Rand: config.Rand}),
		ring:     buffer.New[request](ringCapacity),
		calls:    grouper.NewGroup(maxCalls),
		watches:  grouper.NewGroup(-1),
		endWatch: func() {},
		inEffect: make(map[identifier.HostID]identifier.Revision),
	}
	d.current.Store(normalised(codec.Catalogue{}))
	config.Peers.Handle(MethodPush, d.handlePush)
	config.Peers.Handle(MethodCompare, d.handleCompare)
	return d
}

// Current returns the catalogue in effect on this host; it must not be changed.
func (d *Driver) Current() *codec.Catalogue { return d.current.Load() }

// Ready reports whether this host holds the highest revision known to its reachable peers and to the store.
func (d *Driver) Ready() bool { return d.ready.Load() }

// Subscribe returns a channel that receives each newer catalogue; a slow reader gets only the newest.
func (d *Driver) Subscribe() <-chan *codec.Catalogue {
	d.mu.Lock()
	defer d.mu.Unlock()
	subscriber := make(chan *codec.Catalogue, 1)
	d.subscribers = append(d.subscribers, subscriber)
	return subscriber
}

// InEffect returns the revision that each live host was last seen to hold, in order of id. The revisions come from
// comparisons, pushes and probes, so those of other hosts may be minutes old in a large fleet.
func (d *Driver) InEffect() []codec.HostInForce {
	self := d.config.Members.Self()
	var list []codec.HostInForce
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.config.Members.Live() {
		revision, seen := d.inEffect[m.ID]
		if m.ID == self.ID {
			revision, seen = d.Current().Revision, true
		}
		if seen {
			list = append(list, codec.HostInForce{ID: m.ID, Revision: revision})
		}
	}
	return list
}

// RevisionReported takes a hint that a host holds a revision, such as from a probe; it does not block.
func (d *Driver) RevisionReported(host codec.Member, revision identifier.Revision) {
	d.ring.Offer(request{event: RevisionReported{Host: host, Revision: revision}})
}

// Run feeds events to the state machine until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	ticks, cancel := d.config.Timer.Subscribe(tickInterval)
	defer cancel()
	defer d.calls.Wait()
	defer d.watches.Wait()
	defer func() { d.endWatch() }()
	d.readMembers(ctx)
	d.handle(ctx, request{event: Tick{}})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			if d.config.MembersChanged == nil {
				d.readMembers(ctx)
			}
			d.handle(ctx, request{event: Tick{}})
		case <-d.config.MembersChanged:
			d.readMembers(ctx)
		case r := <-d.ring.Items():
			d.handle(ctx, r)
		}
	}
}

func (d *Driver) readMembers(ctx context.Context) {
	live := d.config.Members.Live()
	d.handle(ctx, request{event: MembersChanged{Self: d.config.Members.Self(), Live: live}})
	d.discardDead(live)
}

func (d *Driver) discardDead(live []codec.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[identifier.HostID]identifier.Revision, len(live))
	for _, m := range live {
		if revision, seen := d.inEffect[m.ID]; seen {
			kept[m.ID] = revision
		}
	}
	d.inEffect = kept
}

func (d *Driver) handle(ctx context.Context, r request) {
	for _, command := range d.machine.Handle(d.config.Timer.Now(), r.event) {
		d.execute(ctx, r, command)
	}
}

func (d *Driver) execute(ctx context.Context, r request, command Command) {
	switch c := command.(type) {
	case ReadStore:
		d.calls.TryGo(func() { d.read(ctx) })
	case Watch:
		d.setWatch(ctx, c.Enabled)
	case Push:
		d.start(c.To, func() { d.call(ctx, c.To, MethodPush, c.Delta) })
	case Compare:
		d.start(c.To, func() { d.call(ctx, c.To, MethodCompare, c.Digest) })
	case Reply:
		r.response <- c.Response
	case Apply:
		d.apply(c.Catalogue)
	case SetReady:
		d.ready.Store(c.Ready)
	case RevisionSeen:
		d.mu.Lock()
		d.inEffect[c.Host] = c.Revision
		d.mu.Unlock()
	case Rejected:
		d.config.Log.Warn(logger.CatalogueRejected).Str("peer", c.From).Str("reason", c.Reason).Send()
	case StoreState:
		d.logStore(c.Up)
	}
}

// start starts a call. If too many are in progress, the call counts as failed; a later comparison transfers what it carried.
func (d *Driver) start(to codec.Member, f func()) {
	if !d.calls.TryGo(f) {
		d.ring.Offer(request{event: Failed{To: to}})
	}
}

func (d *Driver) call(ctx context.Context, to codec.Member, method string, params any) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response codec.CatalogueAnswer
	if err := d.config.Peers.Call(ctx, to, method, params, &response); err != nil {
		d.ring.Offer(request{event: Failed{To: to}})
		return
	}
	d.ring.Offer(request{event: Responded{From: to, Response: response}})
}

func (d *Driver) apply(next *codec.Catalogue) {
	former := d.current.Swap(next)
	asserter.Check(asserter.RevisionNeverReverts, next.Revision >= former.Revision,
		"host %s published revision %d after %d", d.config.Self.ID, next.Revision, former.Revision)
	d.config.Meter.RevisionInEffect(int64(next.Revision))
	d.config.Log.Info(logger.CatalogueApplied).Int64("revision", int64(next.Revision)).Send()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, subscriber := range slices.Clone(d.subscribers) {
		offerNewest(subscriber, next)
	}
}

// offerNewest sends a catalogue and replaces one that the reader has not taken yet.
func offerNewest(subscriber chan *codec.Catalogue, next *codec.Catalogue) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- next
}

func (d *Driver) logStore(up bool) {
	if up {
		d.config.Log.Info(logger.StoreRecovered).Send()
		return
	}
	d.config.Log.Warn(logger.StoreUnavailable).Send()
}

func (d *Driver) submit(ctx context.Context, event Event) (any, error) {
	r := request{event: event, response: make(chan codec.CatalogueAnswer, 1)}
	if !d.ring.Offer(r) {
		return nil, ErrBusy
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case response := <-r.response:
		return response, nil
	}
}

func (d *Driver) handlePush(ctx context.Context, params json.RawMessage) (any, error) {
	var delta codec.CatalogueDelta
	if err := json.Unmarshal(params, &delta); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return d.submit(ctx, Pushed{Delta: delta})
}

func (d *Driver) handleCompare(ctx context.Context, params json.RawMessage) (any, error) {
	var digest codec.CatalogueDigest
	if err := json.Unmarshal(params, &digest); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return d.submit(ctx, Compared{Digest: digest})
}
